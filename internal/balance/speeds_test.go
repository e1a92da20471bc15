package balance

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/enginespeed"
	"chutelock.dev/chutelock/internal/upstream"
)

func anySource(enginespeed.Source) bool { return true }

func reportSlowness(table *Table, id string, slowness float64) {
	table.RecordReport(id, upstream.Load{Slots: 8, Slowdown: slowness, ReportsSlowdown: true}, start)
}

// copySpeeds sends all observations of one table to another.
func copySpeeds(t *testing.T, snapshot *catalog.Snapshot, from, to *Table) {
	update, _ := from.SpeedsSince(0, start, anySource)
	decoded, err := enginespeed.UnmarshalUpdate(update.Marshal())
	if err != nil {
		t.Fatal(err)
	}
	to.ApplySpeeds(snapshot, "peer", decoded, start)
}

// A node must avoid an engine that told another node that it is slow.
func TestSlownessHeardByPeerCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot, hearing, other := newSnapshot(3, 8), NewTable(), NewTable() // a near, b far, c near
	reportSlowness(hearing, "a", 4)
	g.Expect(other.enginesShareMachines.Load()).To(gomega.BeFalse())
	copySpeeds(t, snapshot, hearing, other)
	g.Expect(other.enginesShareMachines.Load()).To(gomega.BeTrue(), "also nodes that send no requests learn it")
	other.SetUseSpeeds(true)
	wish := Wish{Service: "s", Zone: "near", Wait: 200 * time.Millisecond}
	chosen, found := other.Choose(snapshot, wish, start, zeroDraw)
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(chosen.ID).To(gomega.Equal("c"))
	for range 8 {
		other.Begin("a", ClassOnline, 0, start)
		other.Begin("c", ClassOnline, 0, start)
	}
	prediction := other.predict(snapshot.Serving("s"), wish, start)
	a, _ := snapshot.Engine("a")
	c, _ := snapshot.Engine("c")
	g.Expect(prediction.hasRoom(c)).To(gomega.BeTrue(), "one request may queue at c")
	g.Expect(prediction.hasRoom(a)).To(gomega.BeFalse(), "none may queue at a, whose slots get free later")
}

// A slow report must not change choices where they don't follow the speeds.
func TestSpeedsWithoutUseChangeNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot, hearing, other := newSnapshot(3, 8), NewTable(), NewTable()
	reportSlowness(hearing, "a", 4)
	copySpeeds(t, snapshot, hearing, other)
	engine, _ := snapshot.Engine("a")
	wish := Wish{Service: "s", Zone: "near", Wait: 200 * time.Millisecond, Left: time.Millisecond}
	g.Expect(other.score(engine, wish, "", start)).To(gomega.BeZero())
	g.Expect(other.hold(engine, start)).To(gomega.Equal(other.meanHold))
	g.Expect(other.predict(snapshot.Serving("s"), wish, start).tooSlow(engine)).To(gomega.BeFalse())
	g.Expect(hearing.OwnReport(start)).To(gomega.HaveLen(0), "load reports carry no slowness")
}

// A request must not go where it can't end by its deadline, unless no other engine has room.
func TestChooseEndsByDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot, table := newSnapshot(2, 8), NewTable() // a near, b far
	table.SetUseSpeeds(true)
	reportSlowness(table, "a", 6)
	engineB, _ := snapshot.Engine("b")
	for range 10 {
		table.RecordServiceHold(engineB, 500*time.Millisecond, 20, start) // 3 s at a
	}
	for range 7 {
		table.Begin("b", ClassOnline, 0, start)
	}
	wish := Wish{Service: "s", Zone: "near", Wait: 200 * time.Millisecond, Left: 5 * time.Second}
	chosen, _ := table.Choose(snapshot, wish, start, zeroDraw)
	g.Expect(chosen.ID).To(gomega.Equal("a"), "the deadline is far")
	wish.Left = time.Second
	chosen, _ = table.Choose(snapshot, wish, start, zeroDraw)
	g.Expect(chosen.ID).To(gomega.Equal("b"))
	for range 8 {
		table.Begin("b", ClassOnline, 0, start)
	}
	chosen, found := table.Choose(snapshot, wish, start, zeroDraw)
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(chosen.ID).To(gomega.Equal("a"), "no other engine has room")
}

// Batch work must fill engines by how fast they end it.
func TestBatchFollowsSpeeds(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot, table := newSnapshot(2, 8), NewTable()
	table.SetUseSpeeds(true)
	reportSlowness(table, "a", 3)
	byEngine := map[string]int{}
	for _, engine := range table.chooseMany(snapshot, batchWishes(4), start) {
		byEngine[engine.ID]++
	}
	g.Expect(byEngine).To(gomega.Equal(map[string]int{"a": 1, "b": 3}))
}

// A stream must move only to an engine that is much faster and has a free slot.
func TestChooseFaster(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot, table := newSnapshot(2, 2), NewTable()
	table.SetUseSpeeds(true)
	reportSlowness(table, "b", 1)
	engineA, _ := snapshot.Engine("a")
	engineB, _ := snapshot.Engine("b")
	wish := Wish{Service: "s"}
	hasFaster := func(perEvent time.Duration) bool {
		_, found := table.chooseFaster(snapshot, engineA, wish, perEvent, start, zeroDraw)
		return found
	}
	g.Expect(hasFaster(time.Second)).To(gomega.BeFalse(), "the service's usual pace is unknown")
	table.RecordRun(engineB, 20*time.Millisecond, 1, start)
	g.Expect(hasFaster(30 * time.Millisecond)).To(gomega.BeFalse())
	g.Expect(hasFaster(200 * time.Millisecond)).To(gomega.BeTrue())
	table.RecordFailure("b", start)
	g.Expect(hasFaster(200 * time.Millisecond)).To(gomega.BeFalse())
	table.RecordSuccess("b", start)
	table.Begin("b", ClassOnline, 0, start)
	table.Begin("b", ClassOnline, 0, start)
	g.Expect(hasFaster(200 * time.Millisecond)).To(gomega.BeFalse())
}

// A pause doesn't make a slow engine worth moving to, unless it is much faster than what is
// known of the stream's own.
func TestChooseFasterLeavesOutSlowEngines(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot, table := newSnapshot(2, 2), NewTable()
	table.SetUseSpeeds(true)
	engineA, _ := snapshot.Engine("a")
	engineB, _ := snapshot.Engine("b")
	table.enginesShareMachines.Store(true)
	table.RecordRun(engineB, 20*time.Millisecond, 1, start)
	reportSlowness(table, "b", 3)
	found := func() bool {
		_, found := table.chooseFaster(snapshot, engineA, Wish{Service: "s"}, time.Second, start, zeroDraw)
		return found
	}
	g.Expect(found()).To(gomega.BeFalse())
	reportSlowness(table, "a", 7)
	g.Expect(found()).To(gomega.BeTrue())
}

// Streams that leave an engine at a time must not leave it for the same free slot.
func TestAcquireFasterReservesSlot(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := newSnapshot(2, 1)
	balancer := New(func() *catalog.Snapshot { return snapshot })
	balancer.UseSpeeds = func() bool { return true }
	engineA, _ := snapshot.Engine("a")
	engineB, _ := snapshot.Engine("b")
	balancer.RecordReport("b", upstream.Load{Slots: 1, Slowdown: 1, ReportsSlowdown: true})
	balancer.table.RecordRun(engineB, 20*time.Millisecond, 1, time.Now())
	acquire := func() *Lease {
		lease, _ := balancer.AcquireFaster(engineA, Wish{Service: "s"}, time.Second)
		return lease
	}
	first := acquire()
	g.Expect(first.Engine.ID).To(gomega.Equal("b"))
	g.Expect(acquire()).To(gomega.BeNil())
	first.Cancel()
	first.Cancel() // changes nothing
	g.Expect(acquire()).NotTo(gomega.BeNil())
}

// A choice that follows the speeds must allocate no more than one that doesn't.
func TestSpeedsAllocateNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot, table := largeService(1000), NewTable()
	allocations := func() float64 {
		return testing.AllocsPerRun(20, func() {
			table.Choose(snapshot, Wish{Service: "s", Zone: "near", Wait: 200 * time.Millisecond, Left: time.Second}, start, zeroDraw)
		})
	}
	for _, engine := range snapshot.Serving("s") {
		reportSlowness(table, engine.ID, 2)
	}
	before := allocations()
	table.SetUseSpeeds(true)
	g.Expect(allocations()).To(gomega.BeNumerically("<=", before))
}
