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
	g.Expect(d.roundTrip("far")).To(gomega.Equal(distanceUnknown))
	d.note("far", 30*time.Millisecond, start)
	d.note("far", 16*time.Millisecond, start.Add(time.Second))
	d.note("far", 80*time.Millisecond, start.Add(2*time.Second))
	g.Expect(d.roundTrip("far")).To(gomega.Equal(16 * time.Millisecond))
	d.note("far", 40*time.Millisecond, start.Add(2*distanceSpan))
	g.Expect(d.roundTrip("far")).To(gomega.Equal(16*time.Millisecond), "the former span counts")
	d.note("far", 41*time.Millisecond, start.Add(4*distanceSpan))
	g.Expect(d.roundTrip("far")).To(gomega.Equal(40*time.Millisecond), "the way has become longer")
}

// threePlaces has an engine in the node's own zone, one in another zone of its region,
// and one in another region.
func threePlaces() *catalog.Snapshot {
	return catalog.NewSnapshot(nil, []catalog.Engine{
		{ID: "own", Service: "s", Zone: "a", Region: "north", Slots: 8},
		{ID: "near", Service: "s", Zone: "b", Region: "north", Slots: 8},
		{ID: "remote", Service: "s", Zone: "c", Region: "south", Slots: 8},
	})
}

// Engines of other regions get nothing while one of the own region has a free slot, and
// what waits less there than here beyond that.
func TestARegionIsLeftOnlyWhereWaitingTakesLongerThanTheWay(t *testing.T) {
	for name, one := range map[string]struct {
		own, near, remote int // requests at the engines
		way               time.Duration
		wanted            string
	}{
		"idle":                     {0, 0, 0, 16 * time.Millisecond, "own"},
		"the own zone is full":     {8, 5, 0, 16 * time.Millisecond, "near"},
		"two slots left":           {9, 6, 0, 16 * time.Millisecond, "near"},
		"one slot left":            {9, 7, 0, 16 * time.Millisecond, "own"},
		"the region is full":       {9, 9, 3, 16 * time.Millisecond, "remote"},
		"the way is too long":      {9, 9, 3, 200 * time.Millisecond, "own"},
		"the other region is full": {9, 9, 9, 16 * time.Millisecond, "own"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			table := NewTable()
			table.distances.note("c", one.way, start)
			for id, count := range map[string]int{"own": one.own, "near": one.near, "remote": one.remote} {
				for range count {
					table.Begin(id, ClassOnline, 0, start)
				}
			}
			wish := Wish{Service: "s", Zone: "a", Region: "north", Wait: time.Second}
			chosen, found := table.Choose(threePlaces(), wish, start, func() float64 { return 0.5 })
			g.Expect(found).To(gomega.BeTrue())
			g.Expect(chosen.ID).To(gomega.Equal(one.wanted))
		})
	}
}

// A request that can wait less than the way there takes is not sent there.
func TestTheWayCountsAgainstTheWait(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	table.distances.note("c", 200*time.Millisecond, start)
	for _, id := range []string{"own", "near"} {
		for range 12 {
			table.Begin(id, ClassOnline, 0, start)
		}
	}
	for range 8 {
		table.Begin("remote", ClassOnline, 0, start)
	}
	draw := func() float64 { return 0.5 }
	_, found := table.Choose(threePlaces(), Wish{Service: "s", Zone: "a", Region: "north", Wait: 100 * time.Millisecond}, start, draw)
	g.Expect(found).To(gomega.BeFalse())
	_, found = table.Choose(threePlaces(), Wish{Service: "s", Zone: "a", Region: "north", Wait: 300 * time.Millisecond}, start, draw)
	g.Expect(found).To(gomega.BeTrue())
}

// A prefix has one home in each region, so that requests with a shared prompt need not
// leave theirs for it.
func TestAPrefixHasAHomeInEachRegion(t *testing.T) {
	g := gomega.NewWithT(t)
	engines := threePlaces().Serving("s")
	for i := range 40 {
		prefix := strconv.Itoa(i)
		g.Expect(prefixHome(engines, Wish{Prefix: prefix, Region: "south"})).To(gomega.Equal("remote"))
		g.Expect(prefixHome(engines, Wish{Prefix: prefix, Region: "north"})).NotTo(gomega.Equal("remote"))
		g.Expect(prefixHome(engines, Wish{Prefix: prefix, Region: "west"})).NotTo(gomega.BeEmpty(), "a region without engines")
	}
}
