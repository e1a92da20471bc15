package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
)

// largeService has the given number of engines; tests use more than windowSize.
func largeService(count int) *catalog.Snapshot {
	list := make([]catalog.Engine, 0, count)
	for i := range count {
		list = append(list, catalog.Engine{ID: fmt.Sprintf("e%05d", i), Service: "s", Zone: fmt.Sprint("z", i%5), Slots: 2})
	}
	return catalog.NewSnapshot(nil, list)
}

func batchWishes(count int) []Wish {
	wishes := make([]Wish, count)
	for i := range wishes {
		wishes[i] = Wish{Service: "s", Class: ClassBatch}
	}
	return wishes
}

// Batch work must fill all engines up to the reserve, and none beyond its slots.
func TestBatchFillsLargeService(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot, table, now := largeService(3000), NewTable(), time.Now()
	placed, running := 0, map[string]int{}
	for {
		chosen := table.chooseMany(snapshot, batchWishes(16), now)
		for _, engine := range chosen {
			table.Begin(engine.ID, ClassBatch, 0, now)
			running[engine.ID]++
		}
		placed += len(chosen)
		if len(chosen) < 16 {
			break
		}
	}
	g.Expect(float64(placed)).To(gomega.BeNumerically("~", 6000*(1-batchReserve), 16))
	for id, count := range running {
		g.Expect(count).To(gomega.BeNumerically("<=", 2), id)
	}
}

// Ejected engines must be skipped as long as any healthy engine has room, in whichever window
// it is.
func TestChooseManyFindsOnlyHealthyEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot, table, now := largeService(3000), NewTable(), time.Now()
	for _, engine := range snapshot.Serving("s") {
		if engine.ID != "e02222" {
			table.RecordFailure(engine.ID, now)
		}
	}
	for range 10 {
		chosen := table.chooseMany(snapshot, batchWishes(1), now)
		g.Expect(chosen).To(gomega.HaveLen(1))
		g.Expect(chosen[0].ID).To(gomega.Equal("e02222"))
	}
	table.RecordFailure("e02222", now)
	g.Expect(table.chooseMany(snapshot, batchWishes(1), now)).To(gomega.HaveLen(1), "all engines are ejected")
}

// Peers' batch work must be attributed to its engine by the key alone.
func TestPreemptionDetectedInLargeService(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot, table, now := largeService(3000), NewTable(), time.Now()
	table.SetPeerLoad("leader", Report{KeyOf("e01234"): {Counts: Counts{0, 2}}}, now)
	g.Expect(table.AnyPreemptionNeeded(snapshot, now)).To(gomega.BeFalse())
	table.SetPeerLoad("front", Report{KeyOf("e01234"): {Counts: Counts{1, 0}}}, now)
	g.Expect(table.AnyPreemptionNeeded(snapshot, now)).To(gomega.BeTrue())
	g.Expect(table.AnyPreemptionNeeded(snapshot, now.Add(2*preemptTTL))).To(gomega.BeFalse(), "the peers' reports have expired")
}

// BenchmarkChooseMany chooses engines for four requests among 10,000 engines.
func BenchmarkChooseMany(b *testing.B) {
	snapshot, table, now := largeService(10_000), NewTable(), time.Now()
	wishes := batchWishes(4)
	b.Run("all engines", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			table.chooseFrom(table.candidates(snapshot, wishes[0], now), wishes, now)
		}
	})
	b.Run("one window", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			table.chooseMany(snapshot, wishes, now)
		}
	})
}
