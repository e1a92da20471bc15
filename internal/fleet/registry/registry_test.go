package registry

import (
	"sort"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/fleet/announce"
	"chutelock.dev/chutelock/internal/membership"
)

// leavingLimit bounds the time until no node uses a leaving engine.
const leavingLimit = 3 * time.Second

// Guards against views that do not converge after any order of engine, node,
// network and store faults and list changes.
func TestViewsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"),
			rapid.IntRange(1, 3).Draw(t, "zones"), rapid.IntRange(1, 4).Draw(t, "nodes"), rapid.IntRange(1, 6).Draw(t, "engines"))
		s.run(8 * time.Second)
		pickHost := rapid.SampledFrom(s.names)
		pickEngine := rapid.Custom(func(t *rapid.T) *fakeEngine {
			names := make([]string, 0, len(s.engines))
			for name := range s.engines {
				names = append(names, name)
			}
			sort.Strings(names)
			return s.engines[rapid.SampledFrom(names).Draw(t, "engine")]
		})
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				s.run(time.Duration(rapid.IntRange(10, 6000).Draw(t, "ms")) * time.Millisecond)
			},
			"engine stops":        func(t *rapid.T) { pickEngine.Draw(t, "which").up = false },
			"engine falls silent": func(t *rapid.T) { pickEngine.Draw(t, "which").silent = true },
			"engine drains":       func(t *rapid.T) { pickEngine.Draw(t, "which").draining = true },
			"engine is listed as leaving": func(t *rapid.T) {
				target := pickEngine.Draw(t, "which")
				target.leaving, target.listedAt = true, s.clock.Now()
			},
			"engine comes back": func(t *rapid.T) {
				target := pickEngine.Draw(t, "which")
				target.up, target.silent, target.draining = true, false, false
			},
			"engine moves": func(t *rapid.T) {
				target := pickEngine.Draw(t, "which")
				target.spec.Address += "1"
				s.revision++
			},
			"node dies": func(t *rapid.T) { s.stop(s.hosts[pickHost.Draw(t, "host")]) },
			"node starts": func(t *rapid.T) {
				s.run(time.Millisecond)
				s.boot(s.hosts[pickHost.Draw(t, "host")])
			},
			"node pauses": func(t *rapid.T) {
				s.hosts[pickHost.Draw(t, "host")].pausedUntil = s.clock.Now().Add(
					time.Duration(rapid.IntRange(100, 8000).Draw(t, "ms")) * time.Millisecond)
			},
			"store": func(t *rapid.T) { s.storeDown = rapid.Bool().Draw(t, "down") },
			"loss":  func(t *rapid.T) { s.loss = rapid.SampledFrom([]float64{0, 0.01, 0.2, 0.8}).Draw(t, "loss") },
			"cut": func(t *rapid.T) {
				isolated := s.hosts[pickHost.Draw(t, "host")]
				s.partitioned = func(a, b *host) bool { return a == isolated || b == isolated }
			},
			"heal": func(*rapid.T) { s.partitioned = nil },
		})
		s.partitioned, s.loss, s.storeDown = nil, 0.01, false
		s.run(10 * time.Second)
		s.membersChanged()
		s.run(10 * time.Second)
		s.reportFailures()
		s.run(20 * time.Second)
		if err := s.checkViews(); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against new work sent to an engine leavingLimit after it starts
// leaving, for each source, at 5% loss and with a node restarting meanwhile.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	sources := map[string]func(s *simulation, target *fakeEngine) time.Time{
		"the engine's own report": func(s *simulation, target *fakeEngine) time.Time {
			target.draining = true
			return s.clock.Now()
		},
		"the engine's machine refuses": func(s *simulation, target *fakeEngine) time.Time {
			target.up = false
			return s.clock.Now()
		},
		"the engine accepts and never answers": func(s *simulation, target *fakeEngine) time.Time {
			target.silent = true
			return s.clock.Now()
		},
		// The list lags; the time counts from when a reader sees it.
		"the machine list": func(s *simulation, target *fakeEngine) time.Time {
			target.leaving, target.listedAt = true, s.clock.Now().Add(-s.listLag)
			s.run(2 * time.Second)
			return s.clock.Now()
		},
	}
	for name, leave := range sources {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newSimulation(11, 3, 6, 10)
			s.loss = 0.05
			s.run(15 * time.Second)
			var worst time.Duration
			for index := range 10 {
				target := s.engines[sortedEngines(s)[index*3]]
				start := leave(s, target)
				starting := s.hosts[s.names[index]]
				s.stop(starting)
				s.run(s.randomDuration(0, time.Second))
				s.boot(starting)
				for s.usableAnywhere(target.spec.Name) && s.clock.Now().Sub(start) < 10*leavingLimit {
					s.run(10 * time.Millisecond)
				}
				worst = max(worst, s.clock.Now().Sub(start))
				for range 300 { // no node may send it new work later
					s.run(50 * time.Millisecond)
					g.Expect(s.usableAnywhere(target.spec.Name)).To(gomega.BeFalse())
				}
			}
			t.Logf("worst of 10: %v", worst)
			g.Expect(worst).To(gomega.BeNumerically("<=", leavingLimit))
		})
	}
}

func sortedEngines(s *simulation) []string {
	names := make([]string, 0, len(s.engines))
	for name := range s.engines {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (s *simulation) usableAnywhere(engine string) bool {
	for _, h := range s.hosts {
		if h.up && h.usable(engine) {
			return true
		}
	}
	return false
}

// Guards against a node that routes before it has pulled a peer's view,
// including leaving engines, while the store is down.
func TestStartedNodeIsNotReadyBeforePull(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(2, 2, 4, 6)
	s.run(10 * time.Second)
	s.engines["engine-00-001"].draining = true
	s.run(3 * time.Second)
	s.storeDown = true
	h := s.hosts["node-00-002"]
	s.boot(h)
	g.Expect(h.registry.Ready()).To(gomega.BeFalse())
	for !h.registry.Ready() {
		g.Expect(h.snapshot.Endpoints).To(gomega.BeEmpty())
		s.run(5 * time.Millisecond)
	}
	g.Expect(h.usable("engine-00-001")).To(gomega.BeFalse())
	g.Expect(h.snapshot.Endpoints).To(gomega.HaveLen(12))
}

// Guards against routing on a stale view after a pause.
func TestPausedNodeDropsStaleView(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(4, 1, 4, 6)
	s.dropWhilePaused = true
	s.run(10 * time.Second)
	h := s.hosts["node-00-001"]
	h.pausedUntil = s.clock.Now().Add(20 * time.Second)
	s.run(time.Second)
	s.engines["engine-00-003"].draining = true
	before := h.snapshot
	s.run(19 * time.Second)
	for h.snapshot == before {
		s.run(time.Millisecond)
	}
	g.Expect(h.usable("engine-00-003")).To(gomega.BeFalse())
	s.run(time.Second)
	g.Expect(h.registry.Ready()).To(gomega.BeTrue())
}

// Guards against adopting an old copy of the store.
func TestHandleStoreRefusesLowerRevision(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(5, 1, 1, 2)
	now := s.clock.Now()
	registry := New(Config{Self: s.hosts[s.names[0]].member}, now)
	registry.HandleStore(now, 8, s.specs())
	output := registry.HandleStore(now, 7, nil)
	g.Expect(output.Decisions).To(gomega.ContainElement(gomega.HaveField("Kind", DecidedListRefused)))
	g.Expect(registry.Snapshot(now).Endpoints).To(gomega.HaveLen(2))
}

// Guards against marking all engines as failed when the home's own network
// fails; a gateway's failure report still counts.
func TestHomeSuspectsLocalFaultWhenAllPollsTimeOut(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(6, 1, 1, 8)
	s.run(10 * time.Second)
	for _, e := range s.engines {
		e.silent = true
	}
	s.run(4 * time.Second)
	h := s.hosts[s.names[0]]
	g.Expect(h.usable("engine-00-002")).To(gomega.BeTrue())
	s.execute(h, h.registry.EngineFailed(s.clock.Now(), "engine-00-002"))
	s.run(2 * time.Second)
	g.Expect(h.usable("engine-00-002")).To(gomega.BeFalse())
}

// Guards against counting duplicate announcements and requests with a lost
// end.
func TestHandleAnnouncementsPairsStartsAndEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(7, 1, 1, 1)
	s.run(10 * time.Second)
	h := s.hosts[s.names[0]]
	send := func(request uint64, started bool) {
		record := announce.Record{Engine: EngineID("engine-00-000"), Request: request, Started: started}
		s.execute(h, h.registry.HandleAnnouncements(s.clock.Now(), []announce.Record{record}))
	}
	send(1, true)
	send(1, true)
	send(2, true)
	g.Expect(h.online).To(gomega.Equal(2))
	send(1, false)
	send(1, false)
	g.Expect(h.online).To(gomega.Equal(1))
	s.run(onlineExpiry + time.Second)
	g.Expect(h.online).To(gomega.BeZero())
}

// Guards against control traffic over budget in large zones or many zones.
func TestControlBytesStayWithinBudget(t *testing.T) {
	const (
		measured = 20 * time.Second
		budget   = 18 * 1024
	)
	for _, c := range []struct{ zones, nodes, engines int }{{2, 38, 442}, {13, 8, 92}} {
		g := gomega.NewWithT(t)
		s := newSimulation(8, c.zones, c.nodes, c.engines)
		s.run(20 * time.Second)
		g.Expect(s.checkViews()).To(gomega.Succeed())
		clear(s.sent)
		clear(s.received)
		s.run(measured)
		var worst, total float64
		for _, name := range s.names {
			bytes := (s.sent[name] + s.received[name]) / measured.Seconds()
			worst = max(worst, bytes)
			total += bytes
		}
		t.Logf("%d zones of %d nodes and %d engines: fleet messages, sent and received, %.0f bytes/s a node on average, %.0f at most",
			c.zones, c.nodes, c.engines, total/float64(len(s.names)), worst)
		g.Expect(worst).To(gomega.BeNumerically("<", budget))
	}
}

// Guards against an older summary reverting another zone's leaving update.
func TestLeavingUpdateOverridesOlderSummary(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(3, 2, 2, 3)
	s.run(15 * time.Second)
	now := s.clock.Now()
	there, here := s.hosts["node-01-000"].registry, s.hosts["node-00-000"]
	state := there.engines[EngineID("engine-01-001")]
	older := encodeSummary(&summary{zone: "zone-01", sample: []entry{there.entryOf(now, state)}})
	record := there.recordOf(now, state)
	record.Sources = SourceReport
	zone := zoneID("zone-01")
	for _, payload := range [][]byte{
		encodeDatagram(datagramHeader{Type: typeUpdate, Zone: zone}, appendLoad(nil, &record)),
		encodeDatagram(datagramHeader{Type: typeSummary, Zone: zone, Sequence: 1 << 31}, older),
	} {
		output, err := here.registry.HandleDatagram(now, "10.1.0.1:7000", payload)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		s.execute(here, output)
	}
	g.Expect(here.registry.samples[zone].engines).To(gomega.HaveLen(1))
	g.Expect(here.usable("engine-01-001")).To(gomega.BeFalse())
}

// Guards against a node's loss moving the homes of other nodes' engines, and
// against moving all of its engines to one node.
func TestNodeLossMovesOnlyItsEngines(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(9, 1, 10, 200)
	s.run(10 * time.Second)
	before := map[string]*fleet.Endpoint{}
	for _, endpoint := range s.hosts["node-00-000"].snapshot.Endpoints {
		before[endpoint.Name] = endpoint
	}
	s.stop(s.hosts["node-00-005"])
	s.run(3 * time.Second)
	counts := map[string]int{}
	for _, endpoint := range s.hosts["node-00-000"].snapshot.Endpoints {
		counts[endpoint.Home]++
		if before[endpoint.Name].Home != "node-00-005" {
			g.Expect(endpoint.Home).To(gomega.Equal(before[endpoint.Name].Home))
		}
	}
	g.Expect(counts).To(gomega.HaveLen(9))
	g.Expect(s.checkViews()).To(gomega.Succeed())
	_, ok := membership.Owner("engine/x", nil)
	g.Expect(ok).To(gomega.BeFalse())
}

// Guards against members that a summary reaches twice or never.
func TestSummaryTreeReachesEveryPositionOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	for size := range 50 {
		reached := map[int]int{}
		for position := 0; position <= size; position++ {
			first, last := children(position, size)
			for child := first; child < last; child++ {
				reached[child]++
				g.Expect(child).To(gomega.BeNumerically(">", position))
			}
		}
		g.Expect(reached).To(gomega.HaveLen(size))
		for position := 1; position <= size; position++ {
			g.Expect(reached[position]).To(gomega.Equal(1), "position %d of %d", position, size)
		}
	}
}
