package balance

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
)

// An engine of 6 slots frees one each 100 ms: a request that may wait 250 ms is third
// in its queue at most, and one that may wait long is so, too, as half of the slots may
// wait.
func TestAnEngineTakesWhatIsPredictedToBeInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	for range 300 {
		table.Ran(600 * time.Millisecond)
	}
	g.Expect(table.firstAfter(0, 6)).To(gomega.BeNumerically("~", 100*time.Millisecond, time.Millisecond))
	snapshot := engines(1, 6)
	engine, _ := snapshot.Engine("a")
	for _, one := range []struct {
		load   int
		wait   time.Duration
		wanted bool
	}{
		{5, time.Millisecond, true}, {6, 90 * time.Millisecond, false}, {6, 110 * time.Millisecond, true},
		{7, 190 * time.Millisecond, false}, {7, 250 * time.Millisecond, true}, {8, 250 * time.Millisecond, false},
		{8, time.Minute, true}, {9, time.Minute, false},
		{6, 0, true}, {7, 0, false}, // no bound: as deep as queueDepth
	} {
		table.PeerLoad("others", Report{KeyOf("a"): {Counts: Counts{one.load, 0}}}, start)
		g.Expect(table.hasRoom(engine, one.wait, start)).To(gomega.Equal(one.wanted), "%+v", one)
	}
}

// Requests that wait look by newest figures only.
func TestAWaitingRequestAsksBeforeEachLook(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := engines(1, 1)
	balancer := New(func() *catalog.Snapshot { return snapshot })
	full := Report{KeyOf("a"): {Counts: Counts{9, 0}}}
	balancer.PeerLoad("others", full)
	var asked atomic.Int32
	refresh := func(context.Context) {
		if asked.Add(1) == 3 {
			balancer.PeerLoad("others", Report{})
		}
	}
	lease, err := balancer.Acquire(context.Background(), Wish{Service: "s"}, 0, 10*time.Second, refresh)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(asked.Load()).To(gomega.BeEquivalentTo(3))
	lease.Release()
}
