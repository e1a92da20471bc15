package system

import (
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/transport"
)

func TestResultsAreReadInTheOwnZoneOrRegion(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := []mirror.Node{
		{Name: "a1", Address: "a1", Zone: "a", Region: "north"}, {Name: "b2", Address: "b2", Zone: "b", Region: "north"},
		{Name: "b1", Address: "b1", Zone: "b", Region: "north"}, {Name: "c1", Address: "c1", Zone: "c", Region: "south"},
	}
	of := func(zone, region string, replicas ...transport.Address) transport.Address {
		address, _ := nearest(nodes, replicas, "c1", mirror.Node{Zone: zone, Region: region})
		return address
	}
	g.Expect(of("a", "north", "b1", "a1", "c1")).To(gomega.Equal(transport.Address("a1")))
	g.Expect(of("a", "north", "c1", "b2", "b1")).To(gomega.Equal(transport.Address("b1")), "the same for all nodes of the zone")
	g.Expect(of("a", "north", "c1")).To(gomega.BeEmpty(), "the leader is asked")
	g.Expect(of("d", "south", "c1", "b1")).To(gomega.BeEmpty(), "another zone has nothing before the leader of the region")
	g.Expect(of("c", "south", "c1", "b1")).To(gomega.Equal(transport.Address("c1")))
}
