package balance

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
)

// Occupancy counts online requests of all nodes at engines that aren't ejected, and those at
// engines that the catalog doesn't have apart.
func TestOccupancy(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000_000, 0)
	snapshot := catalog.NewSnapshot(nil, []catalog.Engine{
		{ID: "a", Service: "s", Slots: 8}, {ID: "b", Service: "s", Slots: 8}, {ID: "ejected", Service: "s", Slots: 8}, {ID: "c", Service: "other", Slots: 4},
	})
	table := NewTable()
	table.Begin("a", ClassOnline, 0, now)
	table.Begin("a", ClassBatch, 0, now)
	table.RecordFailure("ejected", now)
	table.SetPeerLoad("others", Report{
		KeyOf("a"): {Counts: Counts{3, 2}}, KeyOf("ejected"): {Counts: Counts{5, 0}}, KeyOf("elsewhere"): {Counts: Counts{6, 1}},
	}, now)
	got := table.Occupancy(snapshot, []string{"s", "other", "none"}, now.Add(50*time.Millisecond))
	g.Expect(got).To(gomega.Equal(FleetOccupancy{
		Services: map[string]Occupancy{"s": {Slots: 16, Online: 4}, "other": {Slots: 4}, "none": {}},
		Unlisted: 6, MeanHold: initialMean, Age: 50 * time.Millisecond,
	}))
	g.Expect(got.Services["s"].Utilization()).To(gomega.Equal(0.25))
	g.Expect(got.Services["none"].Utilization()).To(gomega.Equal(1.0))
	g.Expect(table.Occupancy(snapshot, nil, now).Unlisted).To(gomega.Equal(6))
	g.Expect(table.Occupancy(snapshot, nil, now.Add(2*peerTTL)).Unlisted).To(gomega.BeZero(), "reports of silent peers lapse")
}

// Batch work has the slots that online requests of all nodes leave, also at ejected engines;
// requests queued at one engine take no slots of another.
func TestBatchRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000_000, 0)
	engines := []catalog.Engine{{ID: "a", Slots: 8}, {ID: "queued", Slots: 8}, {ID: "free", Slots: 4}, {ID: "ejected", Slots: 8}}
	table := NewTable()
	table.Begin("a", ClassOnline, 0, now)
	table.Begin("a", ClassBatch, 0, now)
	table.RecordFailure("ejected", now)
	table.SetPeerLoad("others", Report{KeyOf("a"): {Counts: Counts{3, 2}}, KeyOf("queued"): {Counts: Counts{11, 0}}}, now)
	g.Expect(table.BatchRoom(engines, now)).To(gomega.Equal(8 - 4 + 4 + 8))
	g.Expect(table.BatchRoom(engines[:1], now.Add(2*peerTTL))).To(gomega.Equal(7), "reports of silent peers lapse")
	g.Expect(table.BatchRoom(nil, now)).To(gomega.BeZero())
}
