package dissemination

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/transport"
)

func members(zones, perZone int) []membership.Member {
	var all []membership.Member
	for zone := range zones {
		for number := range perZone {
			all = append(all, membership.Member{
				Name: fmt.Sprintf("n-%d-%d", zone, number), Address: transport.Address(fmt.Sprintf("10.0.%d.%d:1", zone, number)),
				Zone: fmt.Sprintf("z%d", zone), Region: fmt.Sprintf("r%d", zone/2),
			})
		}
	}
	return all
}

// Guards against nodes without exactly one parent and regions with excess watchers.
func TestPlanBuildsZoneTreesAndLimitsWatchers(t *testing.T) {
	for _, size := range [][2]int{{1, 1}, {1, 2}, {2, 1}, {4, 3}, {13, 38}} {
		g := gomega.NewWithT(t)
		view := &membership.View{Members: members(size[0], size[1])}
		readers := make(map[string][]string)
		parents := make(map[transport.Address]int)
		for _, member := range view.Members {
			plan := planFor(member, view)
			for _, child := range plan.children {
				parents[child]++
			}
			if plan.watcher {
				readers[member.Region] = append(readers[member.Region], member.Zone)
			}
			g.Expect(len(plan.children)).To(gomega.BeNumerically("<=", relayFanOut))
		}
		g.Expect(parents).To(gomega.HaveLen(size[0] * (size[1] - 1)))
		for address, count := range parents {
			g.Expect(count).To(gomega.Equal(1), address)
		}
		for region, zones := range readers {
			g.Expect(len(zones)).To(gomega.BeNumerically("<=", WatchersPerRegion), region)
			if len(zones) == 2 && size[0] > 1 {
				g.Expect(zones[0] != zones[1] || region == "r6").To(gomega.BeTrue(), "watchers in different zones")
			}
		}
	}
}

// Guards against a region that loses a watcher when a node shuts down.
func TestPlanReplacesLeavingWatcher(t *testing.T) {
	g := gomega.NewWithT(t)
	all := members(1, 5)
	count := func() (watcherCount int, first int) {
		for i, member := range all {
			if planFor(member, &membership.View{Members: all}).watcher {
				watcherCount, first = watcherCount+1, i
			}
		}
		return watcherCount, first
	}
	watcherCount, first := count()
	g.Expect(watcherCount).To(gomega.Equal(2))
	all[first].State = membership.StateLeaving
	watcherCount, replacement := count()
	g.Expect(watcherCount).To(gomega.Equal(2))
	g.Expect(replacement).NotTo(gomega.Equal(first))
}
