package balance

import (
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
)

func TestTheShortestConnectionOfTwoSpansIsTheDistance(t *testing.T) {
	g := gomega.NewWithT(t)
	d := distances{}
	g.Expect(d.roundTrip("far", start)).To(gomega.Equal(distanceUnknown))
	d.note("far", 30*time.Millisecond, start)
	d.note("far", 16*time.Millisecond, start.Add(time.Second))
	d.note("far", 80*time.Millisecond, start.Add(2*time.Second))
	g.Expect(d.roundTrip("far", start.Add(2*time.Second))).To(gomega.Equal(16 * time.Millisecond))
	d.note("far", 40*time.Millisecond, start.Add(distanceSpan+time.Second))
	g.Expect(d.roundTrip("far", start.Add(distanceSpan+time.Second))).To(gomega.Equal(16*time.Millisecond), "the former span counts")
	d.note("far", 41*time.Millisecond, start.Add(2*distanceSpan+3*time.Second))
	g.Expect(d.roundTrip("far", start.Add(2*distanceSpan+3*time.Second))).To(gomega.Equal(40*time.Millisecond), "the link has become slower")
	g.Expect(d.roundTrip("far", start.Add(9*distanceSpan))).To(gomega.Equal(distanceUnknown), "it was not measured lately")
	d.note("far", 90*time.Millisecond, start.Add(9*distanceSpan))
	g.Expect(d.roundTrip("far", start.Add(9*distanceSpan))).To(gomega.Equal(90 * time.Millisecond))
}

func TestConnectionsTellTheDistanceOfTheirZone(t *testing.T) {
	g := gomega.NewWithT(t)
	b := New(threePlaces)
	b.Connected("remote", 33*time.Millisecond)
	b.Connected("gone", time.Millisecond)
	g.Expect(b.table.distances).To(gomega.HaveLen(1))
	g.Expect(b.table.distances.roundTrip("c", time.Now())).To(gomega.Equal(33 * time.Millisecond))
}

// threePlaces has an engine in the node's own zone, one in another zone of its region,
// and one in each of two other regions.
func threePlaces() *catalog.Snapshot {
	return catalog.NewSnapshot(nil, []catalog.Engine{
		{ID: "own", Service: "s", Zone: "a", Region: "north", Slots: 8},
		{ID: "near", Service: "s", Zone: "b", Region: "north", Slots: 8},
		{ID: "remote", Service: "s", Zone: "c", Region: "south", Slots: 8},
		{ID: "remotest", Service: "s", Zone: "d", Region: "west", Slots: 8},
	})
}

const nearRegion, farRegion = 16 * time.Millisecond, 200 * time.Millisecond

// busy is a table with so many online and batch requests at each engine.
func busy(online, batch map[string]int) *Table {
	table := NewTable()
	table.distances.note("c", nearRegion, start)
	table.distances.note("d", farRegion, start)
	table.PeerLoad("others", Report{}, start) // batch work makes way while peers are heard
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

// Engines of other regions get nothing while one of the own region has a free slot, and
// what waits less there than here beyond that; the nearest region goes first.
func TestARegionIsLeftOnlyWhereWaitingTakesLongerThanTheWay(t *testing.T) {
	type load = map[string]int
	for name, one := range map[string]struct {
		online, batch load
		wait          time.Duration
		wanted        string
	}{
		"idle":                                  {load{}, load{}, time.Second, "own"},
		"the own zone is full":                  {load{"own": 8, "near": 5}, load{}, time.Second, "near"},
		"one slot is left in the region":        {load{"own": 9, "near": 7}, load{}, time.Second, "near"},
		"the region is full":                    {load{"own": 9, "near": 9, "remote": 3}, load{}, time.Second, "remote"},
		"the nearest region goes first":         {load{"own": 9, "near": 9, "remote": 7}, load{}, time.Second, "remote"},
		"waiting there is longer":               {load{"own": 9, "near": 9, "remote": 9, "remotest": 0}, load{}, time.Second, "own"},
		"batch work makes way":                  {load{"own": 2, "near": 2}, load{"own": 6, "near": 6}, time.Second, "own"},
		"too far to be in time, with free slot": {load{"own": 9, "near": 9, "remote": 11}, load{}, 195 * time.Millisecond, ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			wish := Wish{Service: "s", Zone: "a", Region: "north", Wait: one.wait}
			chosen, _ := busy(one.online, one.batch).Choose(threePlaces(), wish, start, func() float64 { return 0.5 })
			if one.wanted != "" {
				g.Expect(chosen.ID).To(gomega.Equal(one.wanted))
			}
			g.Expect(chosen.ID).NotTo(gomega.Equal("remotest"))
		})
	}
}

// A farther region without a wait is nearer than one with a wait.
func TestRoundTripAndWaitCountTogether(t *testing.T) {
	g := gomega.NewWithT(t)
	table := busy(map[string]int{"own": 12, "near": 12, "remote": 9}, nil)
	table.distances.note("d", 130*time.Millisecond, start) // the wait at the other is 125 ms longer
	wish := Wish{Service: "s", Zone: "a", Region: "north", Wait: time.Second}
	chosen, _ := table.Choose(threePlaces(), wish, start, func() float64 { return 0.5 })
	g.Expect(chosen.ID).To(gomega.Equal("remotest"))
}

// A region without engines for the request uses others, however far they are.
func TestARegionWithoutEnginesUsesTheNearestOther(t *testing.T) {
	g := gomega.NewWithT(t)
	wish := Wish{Service: "s", Zone: "x", Region: "east", Wait: 100 * time.Millisecond}
	draw := func() float64 { return 0.5 }
	chosen, found := busy(nil, nil).Choose(threePlaces(), wish, start, draw)
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(chosen.Region).NotTo(gomega.Equal("west"))
	full := map[string]int{"own": 30, "near": 30, "remote": 30}
	chosen, found = busy(full, nil).Choose(threePlaces(), wish, start, draw)
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(chosen.ID).To(gomega.Equal("remotest"), "it is late there, but served")
}

// Without regions all is as between zones.
func TestEnginesWithoutARegionCountAsNear(t *testing.T) {
	bare := []catalog.Engine{{ID: "own", Service: "s", Zone: "a", Slots: 8}, {ID: "other", Service: "s", Zone: "c", Slots: 8}}
	placed := []catalog.Engine{{ID: "own", Service: "s", Zone: "a", Region: "north", Slots: 8}, {ID: "other", Service: "s", Zone: "c", Region: "south", Slots: 8}}
	for name, one := range map[string]struct {
		engines []catalog.Engine
		region  string
	}{"engines tell none": {bare, "north"}, "the wish has none": {placed, ""}} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			wish := Wish{Service: "s", Zone: "a", Region: one.region, Wait: time.Second}
			snapshot, draw := catalog.NewSnapshot(nil, one.engines), func() float64 { return 0.5 }
			chosen, _ := busy(map[string]int{"own": 4}, nil).Choose(snapshot, wish, start, draw)
			g.Expect(chosen.ID).To(gomega.Equal("other"), "its own zone is fuller by half")
			chosen, _ = busy(nil, nil).Choose(snapshot, wish, start, draw)
			g.Expect(chosen.ID).To(gomega.Equal("own"))
		})
	}
}

// A prefix has one home in each region, so that requests with a shared prompt need not
// leave theirs for it, and find it read where they go.
func TestAPrefixHasAHomeInEachRegion(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := catalog.NewSnapshot(nil, []catalog.Engine{
		{ID: "a1", Service: "s", Zone: "a", Region: "north", Slots: 8}, {ID: "a2", Service: "s", Zone: "a", Region: "north", Slots: 8},
		{ID: "c1", Service: "s", Zone: "c", Region: "south", Slots: 8}, {ID: "c2", Service: "s", Zone: "c", Region: "south", Slots: 8},
	})
	homes := map[string]int{}
	for i := range 40 {
		wish := Wish{Service: "s", Region: "north", Prefix: strconv.Itoa(i), PrefixTokens: 100, PromptTokens: 150}
		for _, engine := range snapshot.Engines() {
			if NewTable().unread(snapshot, wish, engine) == 50 {
				homes[engine.Region]++
			}
		}
	}
	g.Expect(homes).To(gomega.Equal(map[string]int{"north": 40, "south": 40}))
}
