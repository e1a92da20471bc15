package mirror

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/transport"
)

// A front node waits on data nodes of its region while what it knows is new, and on any
// once it is old: its region may be cut off from those that know more.
func TestFactsCrossABorderToDataNodesOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	kind := Kind{Name: "k", Fresh: time.Minute}
	agent := New(Options{Self: Node{Name: "f", Zone: "a", Region: "north"}, Kinds: []Kind{kind}, Receiver: &fakeHost{}})
	agent.learnNodes([]Node{
		{Name: "a1", Address: "a1", Zone: "a", Region: "north", Started: 1}, {Name: "b1", Address: "b1", Zone: "b", Region: "north", Started: 1},
		{Name: "c1", Address: "c1", Zone: "c", Region: "south", Started: 1},
	})
	agent.fresh.confirm("k", time.Now())
	g.Expect(agent.candidates("a")).To(gomega.ConsistOf(transport.Address("a1")))
	g.Expect(agent.candidates("")).To(gomega.ConsistOf(transport.Address("a1"), transport.Address("b1")))
	agent.fresh.confirmed["k"] = time.Now().Add(-time.Hour)
	g.Expect(agent.candidates("")).To(gomega.ConsistOf(transport.Address("a1"), transport.Address("b1"), transport.Address("c1")))
	agent.fresh.confirm("k", time.Now())
	agent.notePull("a1", errDown)
	agent.notePull("b1", errDown)
	g.Expect(agent.candidates("a")).To(gomega.ConsistOf(transport.Address("c1")), "no data node of the region answers")
}
