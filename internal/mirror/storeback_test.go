package mirror

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/clock"
)

// Guards against nodes that don't notice that the store answers, or take a peer's older news
// or a report of the same answer for it.
func TestAgentTellsThatStoreAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	kinds := []Kind{{Name: "slow", MaxStaleness: 8 * time.Second}, {Name: "strict", MaxStaleness: 2 * time.Second}}
	var told []time.Duration
	agent := New(Options{
		Self: Node{Name: "d"}, DataNode: true, Kinds: kinds, Receiver: &fakeHost{},
		StoreAnswered: func(silence time.Duration) { told = append(told, silence) },
	})
	at := clock.Now()
	confirm := func(kind string, after time.Duration) {
		agent.merge("peer", Delta{Kind: kind, Revision: 1, IsSnapshot: true}, at.Add(after))
	}
	confirm("slow", 0)
	told = nil // the first answer
	confirm("strict", 500*time.Millisecond)
	confirm("slow", 500*time.Millisecond)
	confirm("slow", 100*time.Millisecond)
	g.Expect(told).To(gomega.Equal([]time.Duration{500 * time.Millisecond}))
	confirm("slow", 3500*time.Millisecond)
	confirm("strict", 3400*time.Millisecond)
	confirm("strict", 3600*time.Millisecond)
	confirm("strict", 3602*time.Millisecond) // the same answer by way of a peer
	confirm("slow", 3604*time.Millisecond)
	g.Expect(told).To(gomega.Equal([]time.Duration{500 * time.Millisecond, 3 * time.Second, 100 * time.Millisecond}))
}

// Guards against taking the first answer that a node hears, or one after a short silence, for the
// store's return, and against missing that of an outage which a peer tells of.
func TestAgentKnowsWhenStoreReturned(t *testing.T) {
	g := gomega.NewWithT(t)
	agent := New(Options{
		Self: Node{Name: "d"}, DataNode: true, Kinds: []Kind{{Name: "a", MaxStaleness: time.Second}, {Name: "b", MaxStaleness: time.Second}}, Receiver: &fakeHost{},
	})
	at := clock.Now()
	confirm := func(kind string, after time.Duration) {
		agent.merge("peer", Delta{Kind: kind, Revision: 1, IsSnapshot: true}, at.Add(after))
	}
	confirm("a", 0)
	confirm("a", minOutage-time.Millisecond)
	g.Expect(agent.StoreReturned().IsZero()).To(gomega.BeTrue())
	confirm("b", 2*minOutage)
	confirm("a", 2*minOutage)
	returned := agent.StoreReturned()
	g.Expect(returned).To(gomega.BeTemporally(">=", at))
	confirm("b", minOutage) // older news
	confirm("b", 3*minOutage-time.Millisecond)
	g.Expect(agent.StoreReturned()).To(gomega.Equal(returned))
}
