package balance

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
)

// Slots end a request in 600 ms on average. With 6 slots, one, two and three end within 163,
// 277 and 373 ms with probability 0.85, and within 288, 395 and 475 ms with 0.98.
func TestHasRoomRequiresOnTimeProbability(t *testing.T) {
	for _, test := range []struct {
		load, other int // at the engine, and at the service's other one
		wait        time.Duration
		want        bool
	}{
		// The other engine has free slots: 0.85 is required.
		{5, 0, time.Millisecond, true}, {6, 0, 160 * time.Millisecond, false}, {6, 0, 166 * time.Millisecond, true},
		{7, 0, 272 * time.Millisecond, false}, {7, 0, 282 * time.Millisecond, true}, {8, 0, 368 * time.Millisecond, false},
		{8, 0, 380 * time.Millisecond, true}, {8, 0, time.Minute, true}, {9, 0, time.Minute, false},
		{6, 0, 0, true}, {7, 0, 0, false}, // no bound: up to maxQueued
		// All slots are in use and none queue: 0.85 is required.
		{6, 6, 160 * time.Millisecond, false}, {6, 6, 166 * time.Millisecond, true},
		// Online requests exceed the slots: 0.98 is required.
		{5, 8, time.Millisecond, true}, {6, 7, 282 * time.Millisecond, false}, {6, 7, 288 * time.Millisecond, true},
		{7, 6, 394 * time.Millisecond, false}, {7, 6, 396 * time.Millisecond, true}, {8, 6, 474 * time.Millisecond, false},
		{8, 6, 476 * time.Millisecond, true}, {8, 6, time.Minute, true}, {9, 6, time.Minute, false},
		{6, 8, 0, true}, {7, 8, 0, false},
	} {
		g := gomega.NewWithT(t)
		table := NewTable()
		for range 300 {
			table.RecordHold(600 * time.Millisecond)
		}
		snapshot := newSnapshot(2, 6)
		engine, _ := snapshot.Engine("a")
		table.SetPeerLoad("others", Report{KeyOf("a"): {Counts: Counts{test.load, 0}}, KeyOf("b"): {Counts: Counts{test.other, 0}}}, start)
		wish := Wish{Service: "s", Zone: "near", Wait: test.wait}
		prediction := table.predict(snapshot.Serving("s"), wish, start)
		g.Expect(prediction.hasRoom(engine)).To(gomega.Equal(test.want), "%+v", test)
	}
}

// The probability must match a simulation of the slots.
func TestSlotProbabilityMatchesSimulation(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	random := rand.New(rand.NewPCG(1, 2))
	for _, test := range []struct{ excess, slots int }{{0, 1}, {0, 8}, {1, 8}, {3, 8}, {9, 32}} {
		within := 200 * time.Millisecond
		successes := 0
		for range 20_000 {
			ended := 0
			for range test.slots {
				if random.Float64() < within.Seconds()/table.meanHold.Seconds() {
					ended++
				}
			}
			if ended > test.excess {
				successes++
			}
		}
		g.Expect(table.slotProbability(test.excess, test.slots, within)).To(gomega.BeNumerically("~", float64(successes)/20_000, 0.02), "%+v", test)
	}
	g.Expect(table.slotProbability(3, 8, time.Minute)).To(gomega.BeEquivalentTo(1))
}

// Unreported requests must count at engines of other zones, but not for a zone without
// engines.
func TestHasRoomCountsUnreportedRequestsOfOtherZones(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	snapshot := newSnapshot(2, 8) // a near, b far
	table.SetPeerLoad("others", Report{KeyOf("a"): {Counts: Counts{8, 0}}, KeyOf("b"): {Counts: Counts{8, 0}}}, start)
	room := func(zone, id string, now time.Time) bool {
		engine, _ := snapshot.Engine(id)
		return table.predict(snapshot.Serving("s"), Wish{Service: "s", Zone: zone, Wait: 230 * time.Millisecond}, now).hasRoom(engine)
	}
	g.Expect(room("near", "a", start)).To(gomega.BeTrue())
	g.Expect(room("near", "b", start)).To(gomega.BeFalse())
	g.Expect(room("near", "a", start.Add(80*time.Millisecond))).To(gomega.BeFalse(), "the own zone's load is old, too")
	g.Expect(room("without", "b", start)).To(gomega.BeTrue())
	g.Expect(farWeight(snapshot.Serving("s"), "near")).To(gomega.BeEquivalentTo(1))
	g.Expect(farWeight(snapshot.Serving("s"), "without")).To(gomega.BeZero())
}

// A waiting request must refresh the peers' load before each recheck.
func TestAcquireRefreshesBeforeEachRecheck(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := newSnapshot(1, 1)
	balancer := New(func() *catalog.Snapshot { return snapshot })
	full := Report{KeyOf("a"): {Counts: Counts{9, 0}}}
	balancer.SetPeerLoad("others", full)
	var refreshes atomic.Int32
	refresh := func(context.Context) {
		if refreshes.Add(1) == 3 {
			balancer.SetPeerLoad("others", Report{})
		}
	}
	lease, err := balancer.Acquire(context.Background(), Wish{Service: "s"}, 0, 10*time.Second, refresh)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(refreshes.Load()).To(gomega.BeEquivalentTo(3))
	lease.Release()
}
