package system

import (
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/loadshare"
	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/transport"
)

// Guards against reading results from a replica in another region, or by way of one in
// another zone if the leader is in the same region.
func TestNearestReplicaPrefersZoneThenRegion(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := []mirror.Node{
		{Name: "a1", Address: "a1", Zone: "a", Region: "north"}, {Name: "b2", Address: "b2", Zone: "b", Region: "north"},
		{Name: "b1", Address: "b1", Zone: "b", Region: "north"}, {Name: "c1", Address: "c1", Zone: "c", Region: "south"},
	}
	nearestFrom := func(zone, region string, replicas ...transport.Address) transport.Address {
		address, _ := nearestReplica(nodes, replicas, "c1", mirror.Node{Zone: zone, Region: region})
		return address
	}
	g.Expect(nearestFrom("a", "north", "b1", "a1", "c1")).To(gomega.Equal(transport.Address("a1")))
	g.Expect(nearestFrom("a", "north", "c1", "b2", "b1")).To(gomega.Equal(transport.Address("b1")), "the first by name")
	g.Expect(nearestFrom("a", "north", "c1")).To(gomega.BeEmpty(), "no replica in the region: the leader is asked")
	g.Expect(nearestFrom("d", "south", "c1", "b1")).To(gomega.BeEmpty(), "the leader is in the region and preferred to another zone's replica")
	g.Expect(nearestFrom("c", "south", "c1", "b1")).To(gomega.Equal(transport.Address("c1")))
}

// Guards against shedding connections at a node that is as busy as others, or that has few requests.
func TestLoadShareOfCrowdedNode(t *testing.T) {
	g := gomega.NewWithT(t)
	report := func(requests int) balance.Report {
		return balance.Report{1: balance.Load{Counts: balance.Counts{balance.ClassOnline: requests}}}
	}
	for _, c := range []struct {
		mine, all, fronts int
		want              float64
	}{
		{0, 0, 9, 0}, {minCrowd - 1, minCrowd - 1, 9, 0}, {20, 180, 9, 1}, {90, 180, 9, 4.5}, {30, 20, 9, 9}, {20, 20, 1, 1},
	} {
		g.Expect(loadShare(report(c.mine), loadshare.Sum{Fronts: c.fronts, Load: report(c.all)})).To(gomega.BeNumerically("~", c.want), "%+v", c)
	}
}
