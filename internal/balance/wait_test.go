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

// An engine's slots each end a request in 600 ms on average: of 6 one ends within 163 ms
// in 85 of 100 times, two within 277 ms, and three within 373 ms; in 98 of 100 times
// within 288, 395 and 475 ms.
func TestAnEngineTakesWhatIsPredictedToBeInTime(t *testing.T) {
	for _, one := range []struct {
		load, other int // at the engine, and at the service's other one
		wait        time.Duration
		wanted      bool
	}{
		// The other one has slots: 0.85 is enough.
		{5, 0, time.Millisecond, true}, {6, 0, 160 * time.Millisecond, false}, {6, 0, 166 * time.Millisecond, true},
		{7, 0, 272 * time.Millisecond, false}, {7, 0, 282 * time.Millisecond, true}, {8, 0, 368 * time.Millisecond, false},
		{8, 0, 380 * time.Millisecond, true}, {8, 0, time.Minute, true}, {9, 0, time.Minute, false},
		{6, 0, 0, true}, {7, 0, 0, false}, // no bound: as deep as queueDepth
		// All slots are just taken: as before.
		{6, 6, 160 * time.Millisecond, false}, {6, 6, 166 * time.Millisecond, true},
		// More wait than there are slots: 0.98.
		{5, 8, time.Millisecond, true}, {6, 7, 282 * time.Millisecond, false}, {6, 7, 288 * time.Millisecond, true},
		{7, 6, 394 * time.Millisecond, false}, {7, 6, 396 * time.Millisecond, true}, {8, 6, 474 * time.Millisecond, false},
		{8, 6, 476 * time.Millisecond, true}, {8, 6, time.Minute, true}, {9, 6, time.Minute, false},
		{6, 8, 0, true}, {7, 8, 0, false},
	} {
		g := gomega.NewWithT(t)
		table := NewTable()
		for range 300 {
			table.Ran(600 * time.Millisecond)
		}
		snapshot := engines(2, 6)
		engine, _ := snapshot.Engine("a")
		table.PeerLoad("others", Report{KeyOf("a"): {Counts: Counts{one.load, 0}}, KeyOf("b"): {Counts: Counts{one.other, 0}}}, start)
		wish := Wish{Service: "s", Zone: "near", Wait: one.wait}
		prediction := table.predict(snapshot.Serving("s"), wish, start)
		g.Expect(prediction.hasRoom(engine)).To(gomega.Equal(one.wanted), "%+v", one)
	}
}

// The chance of a slot in time is that of so many ends, whoever counts them.
func TestTheChanceOfASlotIsThatOfSoManyEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	random := rand.New(rand.NewPCG(1, 2))
	for _, one := range []struct{ beyond, slots int }{{0, 1}, {0, 8}, {1, 8}, {3, 8}, {9, 32}} {
		within := 200 * time.Millisecond
		enough := 0
		for range 20_000 {
			ended := 0
			for range one.slots {
				if random.Float64() < within.Seconds()/table.ran.Seconds() {
					ended++
				}
			}
			if ended > one.beyond {
				enough++
			}
		}
		g.Expect(table.likely(one.beyond, one.slots, within)).To(gomega.BeNumerically("~", float64(enough)/20_000, 0.02), "%+v", one)
	}
	g.Expect(table.likely(3, 8, time.Minute)).To(gomega.BeEquivalentTo(1))
}

// What others may have sent since counts at engines of which the figures are old; but a
// zone without engines must not find all others full.
func TestUnheardRequestsCountAtOtherZones(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	snapshot := engines(2, 8) // a near, b far
	table.PeerLoad("others", Report{KeyOf("a"): {Counts: Counts{8, 0}}, KeyOf("b"): {Counts: Counts{8, 0}}}, start)
	room := func(zone, id string, now time.Time) bool {
		engine, _ := snapshot.Engine(id)
		return table.predict(snapshot.Serving("s"), Wish{Service: "s", Zone: zone, Wait: 230 * time.Millisecond}, now).hasRoom(engine)
	}
	g.Expect(room("near", "a", start)).To(gomega.BeTrue())
	g.Expect(room("near", "b", start)).To(gomega.BeFalse())
	g.Expect(room("near", "a", start.Add(80*time.Millisecond))).To(gomega.BeFalse(), "its own zone wasn't heard either")
	g.Expect(room("without", "b", start)).To(gomega.BeTrue())
	g.Expect(farWeight(snapshot.Serving("s"), "near")).To(gomega.BeEquivalentTo(1))
	g.Expect(farWeight(snapshot.Serving("s"), "without")).To(gomega.BeZero())
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
