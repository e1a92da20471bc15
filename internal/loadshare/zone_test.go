package loadshare

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/transport"
)

// lose takes data nodes of a zone away, or brings them back; with all its front nodes,
// too.
func (f *fleet) lose(zone string, lost, fronts bool) {
	for _, node := range f.nodes {
		if node.Zone == zone {
			f.down[node.Address] = lost
		}
	}
	for _, front := range f.fronts {
		if fronts && front.zone == zone {
			front.count = 1
			if lost {
				front.count = 0
			}
		}
	}
}

// cutOff parts a zone from the others, or ends that.
func (f *fleet) cutOff(zone string) { f.parted = zone }

// expectKnownIn says that each front node of some zones knows of all that front nodes
// have under way.
func (f *fleet) expectKnownIn(g *gomega.WithT, zones string) {
	for _, front := range f.fronts {
		if front.count > 0 && strings.Contains(zones, front.zone) {
			g.Expect(f.now.Sub(front.heardAt)).To(gomega.BeNumerically("<=", silence), "front %s", front.address)
			g.Expect(front.sum[engine].Counts[0]).To(gomega.Equal(f.total()), "front %s", front.address)
		}
	}
}

// A whole zone is lost: the others know of each other all the while, and of what the
// lost one had until it lapses; back, it knows of all as soon as a relay does.
func TestALostZoneLeavesTheOthersWhole(t *testing.T) {
	for _, leader := range []string{"", "a1", "b1"} {
		g := gomega.NewWithT(t)
		f := newFleet("abc", 3, 18)
		f.leader = transport.Address(leader)
		f.run(time.Second)
		f.lose("a", true, true)
		if leader == "a1" {
			f.leader = ""
		}
		for range 10 {
			f.run(ReportInterval)
			for _, front := range f.fronts {
				if front.zone != "a" {
					g.Expect(front.sum[engine].Counts[0]).To(gomega.BeNumerically(">=", 36))
					g.Expect(f.now.Sub(front.heardAt)).To(gomega.BeNumerically("<=", silence))
				}
			}
		}
		f.expectKnownIn(g, "bc")
		f.leader = "c1"
		f.run(7 * time.Second)
		f.lose("a", false, true)
		f.run(beginTime + 2*ReportInterval)
		f.expectKnownIn(g, "abc")
	}
}

// Front nodes whose zone has lost its data nodes report to another zone's, within one
// silence a data node, and come back to their own.
func TestFrontNodesWithoutDataNodesOfTheirZoneUseOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet("abc", 3, 18)
	f.run(time.Second)
	f.lose("a", true, false)
	f.run(3*(silence+ReportInterval) + 3*ReportInterval)
	f.expectKnownIn(g, "abc")
	f.run(5 * time.Second)
	f.expectKnownIn(g, "abc")
	f.lose("a", false, false)
	f.run(asideTime + time.Second)
	f.expectKnownIn(g, "abc")
	for _, front := range f.fronts {
		g.Expect(f.zoneOf(front.choice.chosen)).To(gomega.Equal(front.zone))
	}
}

// In a zone that is cut off, front nodes go on hearing a data node of it: sums of the
// zone alone are better than none, and a round over data nodes of other zones takes
// a silence each.
func TestAZoneThatIsCutOffGoesOnHearingItself(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet("abc", 3, 18)
	f.leader = "b1"
	f.run(time.Second)
	f.cutOff("a")
	f.run(4 * silence)
	longest := time.Duration(0)
	for range 50 {
		f.run(ReportInterval)
		for _, front := range f.fronts[:18] {
			longest = max(longest, f.now.Sub(front.answeredAt))
		}
	}
	t.Logf("longest without any sum: %v", longest)
	g.Expect(longest).To(gomega.BeNumerically("<=", 2*silence))
	f.cutOff("")
	f.run(asideTime + time.Second)
	f.expectKnownIn(g, "abc")
}
