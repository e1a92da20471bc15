package mirror

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/transport"
)

// A front node must pull from data nodes of its region while its data is fresh, and from any
// once it is stale, as its region may be cut off.
func TestFrontNodePullsFromOwnRegionUntilStale(t *testing.T) {
	g := gomega.NewWithT(t)
	kind := Kind{Name: "k", MaxStaleness: time.Minute}
	agent := New(Options{Self: Node{Name: "f", Zone: "a", Region: "north"}, Kinds: []Kind{kind}, Receiver: &fakeHost{}})
	agent.addNodes([]Node{
		{Name: "a1", Address: "a1", Zone: "a", Region: "north", Started: 1}, {Name: "b1", Address: "b1", Zone: "b", Region: "north", Started: 1},
		{Name: "c1", Address: "c1", Zone: "c", Region: "south", Started: 1},
	})
	agent.fresh.confirm("k", time.Now())
	g.Expect(agent.candidates("a")).To(gomega.ConsistOf(transport.Address("a1")))
	g.Expect(agent.candidates("")).To(gomega.ConsistOf(transport.Address("a1"), transport.Address("b1")))
	agent.fresh.confirmed["k"] = time.Now().Add(-time.Hour)
	g.Expect(agent.candidates("")).To(gomega.ConsistOf(transport.Address("a1"), transport.Address("b1"), transport.Address("c1")))
	agent.fresh.confirm("k", time.Now())
	agent.recordPullResult("a1", errUnavailable)
	agent.recordPullResult("b1", errUnavailable)
	g.Expect(agent.candidates("a")).To(gomega.ConsistOf(transport.Address("c1")), "all data nodes of the region have failed")
}
