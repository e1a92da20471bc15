package balance

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/upstream"
)

func demandOf(service, zone string, asked, passed, admitted float64) Demand {
	return Demand{{hashName(service), hashName(zone), hashName("")}: {asked, passed, admitted}}
}

// Callers of a zone that has room must get the part that callers of all zones get.
func TestZoneLeavesRoomToOthers(t *testing.T) {
	for _, test := range []struct {
		name          string
		hot, cold     [3]float64 // asked, passed, admitted
		age           time.Duration
		passing       float64
		service, zone string
	}{
		{"the other refuses half", [3]float64{400, 400, 200}, [3]float64{200, 200, 200}, 0, 400.0 / 600, "s", "cold"},
		{"the jumped zone itself", [3]float64{400, 400, 200}, [3]float64{200, 200, 200}, 0, 1, "s", "hot"},
		{"in balance", [3]float64{400, 400, 300}, [3]float64{200, 150, 150}, 0, 0.75, "s", "cold"},
		{"both still leave room", [3]float64{400, 320, 320}, [3]float64{200, 160, 160}, 0, 1, "s", "cold"},
		{"another service", [3]float64{400, 400, 200}, [3]float64{200, 200, 200}, 0, 1, "other", "cold"},
		{"old figures", [3]float64{400, 400, 200}, [3]float64{200, 200, 200}, demandTTL + 1, 1, "s", "cold"},
		{"few requests", [3]float64{400, 400, 200}, [3]float64{5, 5, 5}, 0, 1, "s", "cold"},
		{"a false figure", [3]float64{8000, 8000, 0}, [3]float64{200, 200, 200}, 0, minPassing, "s", "cold"},
	} {
		g := gomega.NewWithT(t)
		shares := NewZoneShares(test.zone, "")
		total := demandOf("s", "hot", test.hot[0], test.hot[1], test.hot[2])
		total.Add(demandOf("s", "cold", test.cold[0], test.cold[1], test.cold[2]))
		received, fromData, err := UnmarshalDemand(total.Marshal(true))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(fromData).To(gomega.BeTrue())
		shares.SetTotal(received, start)
		g.Expect(shares.passing(hashName(test.service), start.Add(test.age))).To(gomega.BeNumerically("~", test.passing, 0.001), test.name)
	}
}

// Zones of another region can't share the room.
func TestZoneSharesStayInRegion(t *testing.T) {
	g := gomega.NewWithT(t)
	shares := NewZoneShares("cold", "r1")
	total := Demand{
		{hashName("s"), hashName("cold"), hashName("r1")}: {100, 100, 100},
		{hashName("s"), hashName("hot"), hashName("r2")}:  {100, 100, 10},
	}
	shares.SetTotal(total, start)
	g.Expect(shares.passing(hashName("s"), start)).To(gomega.BeEquivalentTo(1))
}

func TestDemandDecaysAndIsForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	shares := NewZoneShares("z", "")
	for range 100 {
		g.Expect(shares.Pass("s", start, 0.99)).To(gomega.BeTrue())
	}
	shares.Admitted("s", start)
	g.Expect(shares.Own(start)).To(gomega.Equal(demandOf("s", "z", 100, 100, 1)))
	g.Expect(shares.Own(start.Add(demandTime))[DemandKey{hashName("s"), hashName("z"), hashName("")}].Asked).To(gomega.BeNumerically("~", 36.8, 0.1))
	g.Expect(shares.Own(start.Add(time.Minute))).To(gomega.BeEmpty())
}

// A front node that stops reporting, and a data node, must age out of the sums.
func TestDemandExchangeSumsRecent(t *testing.T) {
	g := gomega.NewWithT(t)
	exchange := NewDemandExchange()
	exchange.Receive("f1", demandOf("s", "z", 10, 10, 10), false, start)
	exchange.Receive("f2", demandOf("s", "z", 20, 20, 10), false, start)
	exchange.Receive("f2", demandOf("s", "z", 30, 20, 10), false, start.Add(time.Millisecond))
	exchange.Receive("d", demandOf("s", "y", 5, 5, 5), true, start.Add(demandTTL))
	g.Expect(exchange.Share(start)).To(gomega.Equal(demandOf("s", "z", 40, 30, 20)))
	g.Expect(exchange.Total(start)).To(gomega.HaveLen(2))
	g.Expect(exchange.Total(start.Add(demandTTL + 1))).To(gomega.Equal(func() Demand {
		demand := demandOf("s", "z", 30, 20, 10)
		demand.Add(demandOf("s", "y", 5, 5, 5))
		return demand
	}()))
	g.Expect(exchange.Total(start.Add(time.Minute))).To(gomega.BeEmpty())
	g.Expect(demandOf("s", "z", 10, 10, 10).Short()).To(gomega.BeEmpty())
}

func TestUnmarshalDemandRejectsMalformed(t *testing.T) {
	g := gomega.NewWithT(t)
	valid := demandOf("s", "z", 1, 2, 3).Marshal(false)
	demand, _, err := UnmarshalDemand(valid)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(demand).To(gomega.Equal(demandOf("s", "z", 1, 1, 1)), "counts that contradict each other are clamped")
	for _, message := range [][]byte{nil, valid[:len(valid)-1], append(append([]byte(nil), valid...), 0), append([]byte{9}, valid[1:]...)} {
		_, _, err := UnmarshalDemand(message)
		g.Expect(err).To(gomega.HaveOccurred())
	}
	many := Demand{}
	for i := range 500 {
		many[DemandKey{Service: uint32(i)}] = DemandCounts{Asked: float64(i)}
	}
	g.Expect(len(many.Marshal(true))).To(gomega.BeNumerically("<=", 1200), "fits into a datagram")
}

// Requests that may not go to other zones' engines, or ran already, and all where choices
// don't follow the speeds, are not refused for other zones.
func TestAcquireLeavesRoomToOtherZones(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := newSnapshot(3, 1000)
	balancer := New(func() *catalog.Snapshot { return snapshot })
	useSpeeds := true
	balancer.UseSpeeds = func() bool { return useSpeeds }
	balancer.ShareAmongZones("near", "")
	balancer.RecordReport("a", upstream.Load{Slowdown: 1, ReportsSlowdown: true})
	total := demandOf("s", "far", 1000, 1000, 0)
	total.Add(demandOf("s", "near", 100, 100, 100))
	refusals := func(wish Wish) (count int) {
		balancer.SetDemand(total)
		for range 100 {
			lease, err := balancer.Acquire(context.Background(), wish, 0, 0, nil)
			if errors.Is(err, ErrZoneShare) && errors.Is(err, ErrNoRoom) {
				count++
			} else if err == nil {
				lease.Release()
			}
		}
		return count
	}
	wish := Wish{Service: "s", Zone: "near", Wait: time.Second}
	g.Expect(refusals(wish)).To(gomega.BeNumerically("~", 75, 24))
	wish.Avoid = []string{"c"}
	g.Expect(refusals(wish)).To(gomega.BeZero())
	useSpeeds = false
	wish.Avoid = nil
	g.Expect(refusals(wish)).To(gomega.BeZero())
	g.Expect(balancer.OwnDemand()).To(gomega.BeEmpty())
}
