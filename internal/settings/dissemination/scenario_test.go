package dissemination

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/settings"
)

// watcherOf finds a node of the region that reads the store.
func (s *sim) watcherOf(region string) *simNode {
	for _, node := range s.nodes {
		if node.member.Region == region && node.up && node.machine.Watching() {
			return node
		}
	}
	return nil
}

func TestFaultsOneByOne(t *testing.T) {
	for name, fault := range map[string]func(g *gomega.WithT, s *sim){
		"deltas are lost": func(g *gomega.WithT, s *sim) {
			s.loss = 1
			s.writeSome(g, "a", "b")
			s.loss = 0
		},
		"a watcher is paused and comes back": func(g *gomega.WithT, s *sim) {
			s.watcherOf("region-0").pause(9 * time.Second)
			s.run(5 * time.Second)
			g.Expect(s.store.write(s.watcherOf("region-1"), "a", 7, false)).To(gomega.BeTrue())
			s.run(10 * time.Second)
		},
		"a watcher dies": func(g *gomega.WithT, s *sim) {
			s.watcherOf("region-0").stop()
			s.run(5 * time.Second)
		},
		"both watchers die": func(g *gomega.WithT, s *sim) {
			s.watcherOf("region-0").stop()
			s.watcherOf("region-0").stop()
			g.Expect(s.store.write(s.watcherOf("region-1"), "a", 7, false)).To(gomega.BeTrue())
			s.run(5 * time.Second)
		},
		"watches go silent": func(g *gomega.WithT, s *sim) {
			s.store.killWatches()
			g.Expect(s.store.write(s.nodes[0], "a", 7, false)).To(gomega.BeTrue())
			s.run(25 * time.Second)
		},
		"one watch goes silent": func(g *gomega.WithT, s *sim) {
			s.store.watches[0].dead = true
			s.writeSome(g, "a", "b")
			s.run(10 * time.Second)
			g.Expect(s.store.watches[0].dead).To(gomega.BeFalse())
		},
		"the store is down and compacts": func(g *gomega.WithT, s *sim) {
			s.store.setDown(true)
			s.run(30 * time.Second)
			s.store.setDown(false)
			g.Expect(s.store.write(s.nodes[0], "a", 7, false)).To(gomega.BeTrue())
			s.store.compacted = s.store.revision
			s.run(15 * time.Second)
		},
		"a long time is quiet": func(g *gomega.WithT, s *sim) {
			before := s.store.requests
			s.run(2 * time.Minute)
			g.Expect(s.store.requests).To(gomega.Equal(before), "quiet watches stay open")
		},
		"a region is cut off": func(g *gomega.WithT, s *sim) {
			s.cutRegion = "region-1"
			s.writeSome(g, "a", "b")
			s.cutRegion = ""
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

func TestRestartDuringAnOutageTakesTheNewestOfDiskAndPeers(t *testing.T) {
	for name, test := range map[string]struct {
		node    int // even ones have a disk
		restore bool
		down    bool
	}{
		"disk, store down":          {0, false, true},
		"no disk, store down":       {1, false, true},
		"disk, old copy restored":   {0, true, false},
		"no disk, old copy":         {1, true, false},
		"disk, nothing else at all": {0, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := startedFleet(g, 3)
			s.store.keepCopy()
			node := s.nodes[test.node]
			node.stop()
			g.Expect(s.store.write(s.nodes[5], "a", 8, false)).To(gomega.BeTrue())
			s.run(2 * time.Second)
			newest := s.store.version()
			if test.restore {
				s.store.restoreCopy(0)
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
			g.Expect(s.faults).To(gomega.BeEmpty())
		})
	}
}

func TestStoreThatWentBackIsRefusedUntilTheEpochRises(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startedFleet(g, 5)
	s.store.keepCopy()
	s.writeSome(g, "a", "b", "new")
	inForce := s.store.version()
	s.store.restoreCopy(0)
	s.run(15 * time.Second)
	g.Expect(s.notices[NoticeStoreBehind]).To(gomega.BeNumerically(">=", 2))
	g.Expect(s.store.write(s.nodes[0], "a", 99, false)).To(gomega.BeFalse(), "operators are told")
	for range 9 { // somebody writes to the store all the same
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
	s.writeSome(g, "a")
	s.run(2 * time.Second)
	expectConverged(g, s)
}

func TestZonesAreReportedInForce(t *testing.T) {
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
