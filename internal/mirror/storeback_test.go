package mirror

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/clock"
)

// Guards against nodes that don't notice that the store answers again after it answered
// nobody, or that take each answer for that.
func TestAgentTellsThatStoreIsBack(t *testing.T) {
	g := gomega.NewWithT(t)
	kinds := []Kind{{Name: "slow", MaxStaleness: 8 * time.Second}, {Name: "strict", MaxStaleness: 2 * time.Second}}
	told := 0
	agent := New(Options{Self: Node{Name: "d"}, DataNode: true, Kinds: kinds, Receiver: &fakeHost{}, StoreBack: func() { told++ }})
	confirm := func(kind string, at time.Time) {
		agent.merge("peer", Delta{Kind: kind, Revision: 1, IsSnapshot: true}, at)
	}
	at := clock.Now()
	confirm("slow", at)
	confirm("strict", at)
	for range 20 {
		at = at.Add(500 * time.Millisecond)
		confirm("strict", at)
	}
	confirm("slow", at)
	g.Expect(told).To(gomega.Equal(0), "the store answered all the time")
	confirm("slow", at.Add(-time.Second))
	g.Expect(told).To(gomega.Equal(0), "a peer that knows less")
	at = at.Add(3 * time.Second)
	confirm("slow", at)
	g.Expect(told).To(gomega.Equal(1), "the store was silent for 3 s")
	confirm("strict", at)
	confirm("strict", at.Add(100*time.Millisecond))
	g.Expect(told).To(gomega.Equal(1), "told once")
}
