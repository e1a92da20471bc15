package balance

import (
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
)

func TestRTTIsMinimumOfTwoWindows(t *testing.T) {
	g := gomega.NewWithT(t)
	d := rttTracker{}
	g.Expect(d.rtt("far", start)).To(gomega.Equal(defaultRTT))
	d.record("far", 30*time.Millisecond, start)
	d.record("far", 16*time.Millisecond, start.Add(time.Second))
	d.record("far", 80*time.Millisecond, start.Add(2*time.Second))
	g.Expect(d.rtt("far", start.Add(2*time.Second))).To(gomega.Equal(16 * time.Millisecond))
	d.record("far", 40*time.Millisecond, start.Add(rttWindow+time.Second))
	g.Expect(d.rtt("far", start.Add(rttWindow+time.Second))).To(gomega.Equal(16*time.Millisecond), "minimum of the previous window")
	d.record("far", 41*time.Millisecond, start.Add(2*rttWindow+3*time.Second))
	g.Expect(d.rtt("far", start.Add(2*rttWindow+3*time.Second))).To(gomega.Equal(40*time.Millisecond), "the older window has expired")
	g.Expect(d.rtt("far", start.Add(9*rttWindow))).To(gomega.Equal(defaultRTT), "no recent connection")
	d.record("far", 90*time.Millisecond, start.Add(9*rttWindow))
	g.Expect(d.rtt("far", start.Add(9*rttWindow))).To(gomega.Equal(90 * time.Millisecond))
}

func TestConnectedRecordsZoneRTT(t *testing.T) {
	g := gomega.NewWithT(t)
	b := New(threeRegions)
	b.RecordConnect("remote", 33*time.Millisecond)
	b.RecordConnect("gone", time.Millisecond)
	g.Expect(b.table.zoneRTTs).To(gomega.HaveLen(1))
	g.Expect(b.table.zoneRTTs.rtt("c", time.Now())).To(gomega.Equal(33 * time.Millisecond))
}

// threeRegions has an engine in the node's own zone, one in another zone of its region, and
// one in each of two other regions.
func threeRegions() *catalog.Snapshot {
	return catalog.NewSnapshot(nil, []catalog.Engine{
		{ID: "own", Service: "s", Zone: "a", Region: "north", Slots: 8},
		{ID: "near", Service: "s", Zone: "b", Region: "north", Slots: 8},
		{ID: "remote", Service: "s", Zone: "c", Region: "south", Slots: 8},
		{ID: "remotest", Service: "s", Zone: "d", Region: "west", Slots: 8},
	})
}

const southRTT, westRTT = 16 * time.Millisecond, 200 * time.Millisecond

// loadedTable returns a table with the given numbers of requests in flight by engine.
func loadedTable(online, batch map[string]int) *Table {
	table := NewTable()
	table.zoneRTTs.record("c", southRTT, start)
	table.zoneRTTs.record("d", westRTT, start)
	table.SetPeerLoad("others", Report{}, start) // batch work is preemptible while peers report
	for id, count := range online {
		for range count {
			table.Begin(id, ClassOnline, 0, start)
		}
	}
	for id, count := range batch {
		for range count {
			table.Begin(id, ClassBatch, 0, start)
		}
	}
	return table
}

// A region must be left only if the wait there exceeds the round trip to another region plus
// the wait there.
func TestChooseLeavesRegionOnlyWhenWaitExceedsRTT(t *testing.T) {
	type load = map[string]int
	for name, test := range map[string]struct {
		online, batch load
		wait          time.Duration
		want          string
	}{
		"idle":                                {load{}, load{}, time.Second, "own"},
		"own zone full":                       {load{"own": 8, "near": 5}, load{}, time.Second, "near"},
		"one slot free in the region":         {load{"own": 9, "near": 7}, load{}, time.Second, "near"},
		"region full":                         {load{"own": 9, "near": 9, "remote": 3}, load{}, time.Second, "remote"},
		"nearest region first":                {load{"own": 9, "near": 9, "remote": 7}, load{}, time.Second, "remote"},
		"longer wait there":                   {load{"own": 9, "near": 9, "remote": 9, "remotest": 0}, load{}, time.Second, "own"},
		"batch work preemptible":              {load{"own": 2, "near": 2}, load{"own": 6, "near": 6}, time.Second, "own"},
		"free slot too distant to be on time": {load{"own": 9, "near": 9, "remote": 11}, load{}, 195 * time.Millisecond, ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			wish := Wish{Service: "s", Zone: "a", Region: "north", Wait: test.wait}
			chosen, _ := loadedTable(test.online, test.batch).Choose(threeRegions(), wish, start, func() float64 { return 0.5 })
			if test.want != "" {
				g.Expect(chosen.ID).To(gomega.Equal(test.want))
			}
			g.Expect(chosen.ID).NotTo(gomega.Equal("remotest"))
		})
	}
}

// A more distant region without a queue must be preferred to a nearer one with a long queue.
func TestChooseAddsRTTAndWait(t *testing.T) {
	g := gomega.NewWithT(t)
	table := loadedTable(map[string]int{"own": 12, "near": 12, "remote": 9}, nil)
	table.zoneRTTs.record("d", 130*time.Millisecond, start) // the queue at the nearer region takes 125 ms longer
	wish := Wish{Service: "s", Zone: "a", Region: "north", Wait: time.Second}
	chosen, _ := table.Choose(threeRegions(), wish, start, func() float64 { return 0.5 })
	g.Expect(chosen.ID).To(gomega.Equal("remotest"))
}

// A request whose region has no engines for it must be served elsewhere, even if late.
func TestChooseUsesOtherRegionsWhenOwnHasNoEngines(t *testing.T) {
	g := gomega.NewWithT(t)
	wish := Wish{Service: "s", Zone: "x", Region: "east", Wait: 100 * time.Millisecond}
	draw := func() float64 { return 0.5 }
	chosen, found := loadedTable(nil, nil).Choose(threeRegions(), wish, start, draw)
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(chosen.Region).NotTo(gomega.Equal("west"))
	full := map[string]int{"own": 30, "near": 30, "remote": 30}
	chosen, found = loadedTable(full, nil).Choose(threeRegions(), wish, start, draw)
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(chosen.ID).To(gomega.Equal("remotest"), "late, but served")
}

// Without region information engines are chosen by zone only.
func TestChooseTreatsUnknownRegionAsOwn(t *testing.T) {
	withoutRegion := []catalog.Engine{{ID: "own", Service: "s", Zone: "a", Slots: 8}, {ID: "other", Service: "s", Zone: "c", Slots: 8}}
	withRegion := []catalog.Engine{{ID: "own", Service: "s", Zone: "a", Region: "north", Slots: 8}, {ID: "other", Service: "s", Zone: "c", Region: "south", Slots: 8}}
	for name, test := range map[string]struct {
		engines []catalog.Engine
		region  string
	}{"engines without region": {withoutRegion, "north"}, "wish without region": {withRegion, ""}} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			wish := Wish{Service: "s", Zone: "a", Region: test.region, Wait: time.Second}
			snapshot, draw := catalog.NewSnapshot(nil, test.engines), func() float64 { return 0.5 }
			chosen, _ := loadedTable(map[string]int{"own": 4}, nil).Choose(snapshot, wish, start, draw)
			g.Expect(chosen.ID).To(gomega.Equal("other"), "the own zone is half full")
			chosen, _ = loadedTable(nil, nil).Choose(snapshot, wish, start, draw)
			g.Expect(chosen.ID).To(gomega.Equal("own"))
		})
	}
}

// A prefix must be cached at one engine in each region, so that requests need not leave
// theirs for it.
func TestPrefixHasHomePerRegion(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := catalog.NewSnapshot(nil, []catalog.Engine{
		{ID: "a1", Service: "s", Zone: "a", Region: "north", Slots: 8}, {ID: "a2", Service: "s", Zone: "a", Region: "north", Slots: 8},
		{ID: "c1", Service: "s", Zone: "c", Region: "south", Slots: 8}, {ID: "c2", Service: "s", Zone: "c", Region: "south", Slots: 8},
	})
	homes := map[string]int{}
	for i := range 40 {
		wish := Wish{Service: "s", Region: "north", Prefix: strconv.Itoa(i), PrefixTokens: 100, PromptTokens: 150}
		for _, engine := range snapshot.Engines() {
			if NewTable().unreadTokens(snapshot, wish, engine) == 50 {
				homes[engine.Region]++
			}
		}
	}
	g.Expect(homes).To(gomega.Equal(map[string]int{"north": 40, "south": 40}))
}
