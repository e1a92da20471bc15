package dissemination

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/settings"
)

// watcherOf returns a node of the region that watches the store, or nil.
func (s *sim) watcherOf(region string) *simNode {
	for _, node := range s.nodes {
		if node.member.Region == region && node.up && node.machine.Watching() {
			return node
		}
	}
	return nil
}

// Guards against a fleet that does not converge after one fault.
func TestFleetConvergesAfterSingleFault(t *testing.T) {
	for name, fault := range map[string]func(g *gomega.WithT, s *sim){
		"deltas are lost": func(g *gomega.WithT, s *sim) {
			s.loss = 1
			s.mustWrite(g, "a", "b")
			s.loss = 0
		},
		"a watcher is paused": func(g *gomega.WithT, s *sim) {
			s.watcherOf("region-0").pause(9 * time.Second)
			s.run(5 * time.Second)
			g.Expect(s.store.write(s.watcherOf("region-1"), "a", 7, false)).To(gomega.BeTrue())
			s.run(10 * time.Second)
		},
		"a watcher stops": func(g *gomega.WithT, s *sim) {
			s.watcherOf("region-0").stop()
			s.run(5 * time.Second)
		},
		"both watchers stop": func(g *gomega.WithT, s *sim) {
			s.watcherOf("region-0").stop()
			s.watcherOf("region-0").stop()
			g.Expect(s.store.write(s.watcherOf("region-1"), "a", 7, false)).To(gomega.BeTrue())
			s.run(5 * time.Second)
		},
		"watches go silent": func(g *gomega.WithT, s *sim) {
			s.store.silenceWatches()
			g.Expect(s.store.write(s.nodes[0], "a", 7, false)).To(gomega.BeTrue())
			s.run(25 * time.Second)
		},
		"one watch goes silent": func(g *gomega.WithT, s *sim) {
			s.store.watches[0].silent = true
			s.mustWrite(g, "a", "b")
			s.run(10 * time.Second)
			g.Expect(s.store.watches[0].silent).To(gomega.BeFalse())
		},
		"the store is down and compacts": func(g *gomega.WithT, s *sim) {
			s.store.setDown(true)
			s.run(30 * time.Second)
			s.store.setDown(false)
			g.Expect(s.store.write(s.nodes[0], "a", 7, false)).To(gomega.BeTrue())
			s.store.compacted = s.store.revision
			s.run(15 * time.Second)
		},
		"no changes for a long time": func(g *gomega.WithT, s *sim) {
			before := s.store.requests
			s.run(2 * time.Minute)
			g.Expect(s.store.requests).To(gomega.Equal(before), "idle watches stay open")
		},
		"a region is isolated": func(g *gomega.WithT, s *sim) {
			s.isolatedRegion = "region-1"
			s.mustWrite(g, "a", "b")
			s.isolatedRegion = ""
		},
		"all nodes restart": func(g *gomega.WithT, s *sim) {
			for _, node := range s.nodes {
				node.stop()
			}
			for _, node := range s.nodes {
				node.start()
			}
			s.run(10 * time.Second)
			g.Expect(s.store.maxOpen).To(gomega.Equal(2 * WatchersPerRegion))
		},
		"a region restarts": func(g *gomega.WithT, s *sim) {
			for _, node := range s.nodes[:8] {
				node.stop()
			}
			s.run(2 * time.Second)
			for _, node := range s.nodes[:8] {
				node.start()
			}
			s.run(10 * time.Second)
			g.Expect(s.store.maxOpen).To(gomega.Equal(2 * WatchersPerRegion))
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := startedFleet(g, 7)
			fault(g, s)
			s.run(5 * time.Second)
			expectConverged(g, s)
		})
	}
}

// Guards against a restarted node that publishes an older version.
func TestRestartPublishesNewestOfDiskAndPeers(t *testing.T) {
	for name, test := range map[string]struct {
		node    int // even ones have a disk
		restore bool
		down    bool
	}{
		"disk, store down":         {0, false, true},
		"no disk, store down":      {1, false, true},
		"disk, backup restored":    {0, true, false},
		"no disk, backup restored": {1, true, false},
		"disk, no fault":           {0, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := startedFleet(g, 3)
			s.store.backUp()
			node := s.nodes[test.node]
			node.stop()
			g.Expect(s.store.write(s.nodes[5], "a", 8, false)).To(gomega.BeTrue())
			s.run(2 * time.Second)
			newest := s.store.version()
			if test.restore {
				s.store.restoreBackup(0)
			}
			s.store.setDown(test.down)
			var first settings.Version
			s.onPublish = func(publisher *simNode, version settings.Version) {
				if publisher == node && first == 0 {
					first = version
				}
			}
			node.start()
			s.run(10 * time.Second)
			g.Expect(first).To(gomega.Equal(newest))
			g.Expect(s.violations).To(gomega.BeEmpty())
		})
	}
}

// Guards against settings that regress after the store is restored from a backup.
func TestRolledBackStoreIsRefusedUntilEpochRaised(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startedFleet(g, 5)
	s.store.backUp()
	s.mustWrite(g, "a", "b", "new")
	inForce := s.store.version()
	s.store.restoreBackup(0)
	s.run(15 * time.Second)
	g.Expect(s.notices[NoticeStoreBehind]).To(gomega.BeNumerically(">=", 2))
	g.Expect(s.store.write(s.nodes[0], "a", 99, false)).To(gomega.BeFalse(), "writes are refused")
	for range 9 { // writes made directly in the store
		s.store.put("a", false, fmt.Appendf(nil, "outside %d", s.store.revision))
		s.run(2 * time.Second)
	}
	g.Expect(s.store.version()).To(gomega.BeNumerically(">", inForce))
	for _, node := range s.nodes {
		g.Expect(node.published).To(gomega.Equal(inForce))
	}
	s.nodes[1].stop()
	s.nodes[1].start()
	s.run(10 * time.Second)
	g.Expect(s.nodes[1].published).To(gomega.Equal(inForce))
	g.Expect(s.store.recover(s.nodes[0])).To(gomega.BeTrue())
	s.run(15 * time.Second)
	expectConverged(g, s)
	g.Expect(s.nodes[0].published.Epoch()).To(gomega.Equal(uint16(1)))
	s.mustWrite(g, "a")
	s.run(2 * time.Second)
	expectConverged(g, s)
}

// Guards against wrong versions and staleness in zone reports.
func TestZoneReportsVersionAndStaleness(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startedFleet(g, 9)
	s.run(8 * time.Second)
	for _, node := range s.nodes {
		if node.machine.Head() != "" {
			continue
		}
		zones := node.machine.Zones(s.now)
		g.Expect(zones).To(gomega.HaveLen(4))
		for _, zone := range zones {
			g.Expect(zone.InForceAt(s.store.version())).To(gomega.BeTrue(), "%+v", zone)
			g.Expect(zone.InForceAt(s.store.version() + 1)).To(gomega.BeFalse())
			g.Expect(zone.Reported).To(gomega.Equal(4))
		}
	}
	s.store.setDown(true)
	s.run(45 * time.Second)
	for _, node := range s.nodes {
		g.Expect(node.machine.Stale(s.now)).To(gomega.BeTrue())
	}
	s.store.setDown(false)
	s.run(20 * time.Second)
	for _, node := range s.nodes {
		g.Expect(node.machine.Stale(s.now)).To(gomega.BeFalse())
	}
}
