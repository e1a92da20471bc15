package loadshare

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/transport"
)

// setZoneDown stops or restarts the data nodes of a zone, and its front nodes if withFronts
// is set.
func (f *fleet) setZoneDown(zone string, down, withFronts bool) {
	for _, node := range f.nodes {
		if node.Zone == zone {
			f.down[node.Address] = down
		}
	}
	for _, front := range f.fronts {
		if withFronts && front.zone == zone {
			front.count = 1
			if down {
				front.count = 0
			}
		}
	}
}

// partition cuts a zone off from the others; an empty zone ends that.
func (f *fleet) partition(zone string) { f.partitionedZone = zone }

// expectOnlineLoadIn expects each front node of the zones to know all requests.
func (f *fleet) expectOnlineLoadIn(g *gomega.WithT, zones string) {
	for _, front := range f.fronts {
		if front.count > 0 && strings.Contains(zones, front.zone) {
			g.Expect(f.now.Sub(front.heardAt)).To(gomega.BeNumerically("<=", answerTimeout), "front %s", front.address)
			g.Expect(front.sum[engine].Counts[0]).To(gomega.Equal(f.total()), "front %s", front.address)
		}
	}
}

// The loss of a zone must not hide the load of other zones, and the zone must know all
// load once its relay is past the warm-up.
func TestZoneLossKeepsSumsOfOtherZonesComplete(t *testing.T) {
	for _, leader := range []string{"", "a1", "b1"} {
		g := gomega.NewWithT(t)
		f := newFleet("abc", 3, 18)
		f.leader = transport.Address(leader)
		f.run(time.Second)
		f.setZoneDown("a", true, true)
		if leader == "a1" {
			f.leader = ""
		}
		for range 10 {
			f.run(ReportInterval)
			for _, front := range f.fronts {
				if front.zone != "a" {
					g.Expect(front.sum[engine].Counts[0]).To(gomega.BeNumerically(">=", 36))
					g.Expect(f.now.Sub(front.heardAt)).To(gomega.BeNumerically("<=", answerTimeout))
				}
			}
		}
		f.expectOnlineLoadIn(g, "bc")
		f.leader = "c1"
		f.run(7 * time.Second)
		f.setZoneDown("a", false, true)
		f.run(warmupTime + 2*ReportInterval)
		f.expectOnlineLoadIn(g, "abc")
	}
}

// Front nodes without data nodes in their zone must use those of other zones, after
// one answerTimeout for each data node, and return to their own.
func TestFrontNodesUseRelaysOfOtherZones(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet("abc", 3, 18)
	f.run(time.Second)
	f.setZoneDown("a", true, false)
	f.run(3*(answerTimeout+ReportInterval) + 3*ReportInterval)
	f.expectOnlineLoadIn(g, "abc")
	f.run(5 * time.Second)
	f.expectOnlineLoadIn(g, "abc")
	f.setZoneDown("a", false, false)
	f.run(ejectionTime + time.Second)
	f.expectOnlineLoadIn(g, "abc")
	for _, front := range f.fronts {
		g.Expect(f.zoneOf(front.picker.chosen)).To(gomega.Equal(front.zone))
	}
}

// Front nodes of a partitioned zone must keep receiving sums from their own data nodes
// while they try those of other zones.
func TestPartitionedZoneKeepsReceivingSums(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet("abc", 3, 18)
	f.leader = "b1"
	f.run(time.Second)
	f.partition("a")
	f.run(4 * answerTimeout)
	longest := time.Duration(0)
	for range 50 {
		f.run(ReportInterval)
		for _, front := range f.fronts[:18] {
			longest = max(longest, f.now.Sub(front.answeredAt))
		}
	}
	t.Logf("longest time without a sum: %v", longest)
	g.Expect(longest).To(gomega.BeNumerically("<=", 2*answerTimeout))
	f.partition("")
	f.run(ejectionTime + time.Second)
	f.expectOnlineLoadIn(g, "abc")
}
