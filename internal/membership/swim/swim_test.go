package swim

import (
	"os"
	"sort"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chutelock.dev/chutelock/internal/membership"
)

// convergenceTimeout is the time after the last fault within which views must agree.
const convergenceTimeout = 30 * time.Second

// Guards against views that stay wrong after a random sequence of packet loss,
// partitions, pauses, crashes, restarts and planned stops.
func TestViewsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 3).Draw(t, "zones")
		perZone := rapid.IntRange(2, 6).Draw(t, "nodes in a zone")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), zones, perZone, nil)
		s.dropWhilePaused = rapid.Bool().Draw(t, "drop while paused")
		s.run(5 * time.Second)
		pick := rapid.SampledFrom(s.names())
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				s.run(time.Duration(rapid.IntRange(10, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"stop": func(t *rapid.T) { s.hosts[pick.Draw(t, "host")].up = false },
			"restart": func(t *rapid.T) {
				s.run(2 * time.Millisecond) // gives the new process a higher incarnation
				s.startHost(s.hosts[pick.Draw(t, "host")])
			},
			"pause": func(t *rapid.T) {
				h := s.hosts[pick.Draw(t, "host")]
				h.pausedUntil = s.clock.Now().Add(time.Duration(rapid.IntRange(50, 20000).Draw(t, "ms")) * time.Millisecond)
			},
			"leave": func(t *rapid.T) {
				h := s.hosts[pick.Draw(t, "host")]
				if h.up && !s.clock.Now().Before(h.pausedUntil) {
					h.leaving = true
					s.send(h, h.node.Leave(s.clock.Now()))
				}
			},
			"loss": func(t *rapid.T) { s.loss = rapid.SampledFrom([]float64{0, 0.01, 0.05, 0.3, 0.9}).Draw(t, "loss") },
			"cut": func(t *rapid.T) {
				mask := rapid.Uint32().Draw(t, "mask")
				side := map[*host]bool{}
				for i, name := range s.names() {
					side[s.hosts[name]] = mask>>(i%32)&1 == 1
				}
				s.partitioned = func(a, b *host) bool { return side[a] != side[b] }
			},
			"cut one way": func(t *rapid.T) {
				source := s.hosts[pick.Draw(t, "host")]
				s.partitioned = func(a, _ *host) bool { return a == source }
			},
			"heal": func(*rapid.T) { s.partitioned = nil },
		})
		s.partitioned, s.loss = nil, 0.01
		s.run(25 * time.Second) // longer than the longest pause
		s.run(convergenceTimeout)
		if err := s.checkViews(); err != nil {
			t.Fatal(err)
		}
	})
}

// measureDetection returns, in ascending order, the times until all running nodes
// of a zone detected a failure, at 1% packet loss.
func measureDetection(seed uint64, perZone, failures int) []time.Duration {
	s := newSimulation(seed, 1, perZone, nil)
	s.loss = 0.01
	s.run(20 * time.Second)
	names := s.names()
	var times []time.Duration
	for range failures {
		failed := s.hosts[names[s.random.IntN(len(names))]]
		failed.up = false
		start := s.clock.Now()
		for !s.knownDead(failed) {
			s.run(10 * time.Millisecond)
		}
		times = append(times, s.clock.Now().Sub(start))
		s.startHost(failed)
		s.run(s.randomDuration(5*time.Second, 10*time.Second))
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times
}

func (s *simulation) knownDead(failed *host) bool {
	for _, h := range s.hosts {
		if state, _ := s.observedState(h, failed); h.up && h != failed && state != membership.StateDead {
			return false
		}
	}
	return true
}

// Guards against slow failure detection under packet loss.
func TestFailureDetectedWithinThreeSeconds(t *testing.T) {
	g := gomega.NewWithT(t)
	failures := 30
	if os.Getenv(campaignVariable) != "" {
		failures = 1000
	}
	for _, perZone := range []int{3, 12, 38} {
		times := measureDetection(uint64(perZone), perZone, failures)
		worst := times[len(times)-1]
		t.Logf("%d nodes, %d failures at 1%% loss: median %v, p99 %v, max %v", perZone, failures,
			times[len(times)/2], times[len(times)*99/100], worst)
		g.Expect(worst).To(gomega.BeNumerically("<=", 3*time.Second), "%d nodes in the zone", perZone)
	}
}

// Guards against running members suspected or declared dead because of packet loss.
func TestFewFalseSuspicionsUnderLoss(t *testing.T) {
	g := gomega.NewWithT(t)
	duration := time.Hour
	if os.Getenv(campaignVariable) != "" {
		duration = 48 * time.Hour
	}
	s := newSimulation(7, 1, 12, nil)
	s.loss = 0.01
	s.run(time.Minute)
	before := s.sumStatistics(func(c Statistics) uint64 { return c.Suspicions })
	s.run(duration)
	suspicions := s.sumStatistics(func(c Statistics) uint64 { return c.Suspicions }) - before
	deaths := s.sumStatistics(func(c Statistics) uint64 { return c.Deaths })
	days := float64(len(s.hosts)) * duration.Hours() / 24
	t.Logf("%d suspicions and %d deaths in %.1f node-days at 1%% loss", suspicions, deaths, days)
	g.Expect(deaths).To(gomega.BeZero())
	g.Expect(float64(suspicions) / days).To(gomega.BeNumerically("<", 1))
}

// Guards against a node that suspects others because it did not run itself.
func TestPausedNodeSuspectsNoMember(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(3, 1, 5, nil)
	s.dropWhilePaused = true
	s.run(5 * time.Second)
	paused := s.hosts["node-0-02"]
	for range 400 {
		paused.pausedUntil = s.clock.Now().Add(s.randomDuration(350*time.Millisecond, 5*time.Second))
		s.run(s.randomDuration(7*time.Second, 8*time.Second))
	}
	s.run(convergenceTimeout)
	g.Expect(paused.node.Statistics().Suspicions).To(gomega.BeZero())
	g.Expect(paused.node.Statistics().Deaths).To(gomega.BeZero())
	g.Expect(s.checkViews()).To(gomega.Succeed())
}

// Guards against per-node traffic that grows with the zone.
func TestTrafficPerNodeIndependentOfZoneSize(t *testing.T) {
	g := gomega.NewWithT(t)
	rate := map[int]float64{}
	for _, perZone := range []int{10, 40, 100} {
		s := newSimulation(5, 1, perZone, nil)
		s.run(90 * time.Second) // until the joins are no longer gossiped
		clear(s.bytes)
		s.run(30 * time.Second)
		var total uint64
		for _, sent := range s.bytes {
			total += sent
		}
		rate[perZone] = float64(total) / float64(perZone) / 30
	}
	t.Logf("payload bytes per second sent by a node, by zone size: %v", rate)
	g.Expect(rate[100]).To(gomega.BeNumerically("<", 1.25*rate[10]))
}

// Guards against failures, joins and planned stops that other zones do not learn of.
func TestChangesReachOtherZones(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(9, 4, 4, nil)
	s.loss = 0.01
	s.run(15 * time.Second)
	g.Expect(s.checkViews()).To(gomega.Succeed(), "after the start")
	s.hosts["node-2-01"].up = false
	s.run(8 * time.Second)
	g.Expect(s.checkViews()).To(gomega.Succeed(), "after a failure")
	s.startHost(s.hosts["node-2-01"])
	s.run(5 * time.Second)
	g.Expect(s.checkViews()).To(gomega.Succeed(), "after a restart")
	leaving := s.hosts["node-1-00"]
	leaving.leaving = true
	s.send(leaving, leaving.node.Leave(s.clock.Now()))
	s.run(5 * time.Second)
	g.Expect(s.checkViews()).To(gomega.Succeed(), "after a planned stop")
}

// Guards against fault sequences, found by the random test, after which views stayed
// wrong.
func TestViewsConvergeInRegressionCases(t *testing.T) {
	type step func(*simulation)
	stop := func(name string) step { return func(s *simulation) { s.hosts[name].up = false } }
	leave := func(name string) step {
		return func(s *simulation) {
			h := s.hosts[name]
			h.leaving = true
			s.send(h, h.node.Leave(s.clock.Now()))
			s.run(10 * time.Millisecond)
		}
	}
	lose := func(loss float64, duration time.Duration) step {
		return func(s *simulation) {
			s.loss = loss
			s.run(duration)
		}
	}
	cases := []struct {
		name           string
		zones, perZone int
		steps          []step
	}{
		{"the only running node of a zone is leaving", 3, 2,
			[]step{leave("node-0-01"), stop("node-0-00")}},
		{"all known delegates of a zone fail at once", 2, 3,
			[]step{leave("node-0-02"), stop("node-1-01"), stop("node-0-01"), stop("node-0-00")}},
		{"all nodes of two zones leave", 2, 2,
			[]step{leave("node-0-00"), leave("node-0-01"), leave("node-1-00"), leave("node-1-01"), stop("node-1-00")}},
		{"a node fails after only other zones received its suspicion", 3, 2,
			[]step{lose(0.9, 928*time.Millisecond), stop("node-1-01"), lose(0.01, 0)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(0x14c9, c.zones, c.perZone, nil)
			s.run(5 * time.Second)
			for _, step := range c.steps {
				step(s)
			}
			s.run(convergenceTimeout)
			gomega.NewWithT(t).Expect(s.checkViews()).To(gomega.Succeed())
		})
	}
}

// Guards against suspicions on an overloaded machine, where ticks are late by less
// than a pause.
func TestDelayedTicksCauseFewSuspicions(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(13, 1, 12, nil)
	s.run(10 * time.Second)
	before := s.sumStatistics(func(c Statistics) uint64 { return c.Suspicions })
	const duration = 10 * time.Minute
	for end := s.clock.Now().Add(duration); s.clock.Now().Before(end); s.run(100 * time.Millisecond) {
		for _, name := range s.names() {
			if s.random.IntN(3) == 0 {
				s.hosts[name].pausedUntil = s.clock.Now().Add(s.randomDuration(100*time.Millisecond, 240*time.Millisecond))
			}
		}
	}
	suspicions := s.sumStatistics(func(c Statistics) uint64 { return c.Suspicions }) - before
	t.Logf("%d suspicions in %v by 12 nodes with delayed ticks", suspicions, duration)
	g.Expect(s.sumStatistics(func(c Statistics) uint64 { return c.Deaths })).To(gomega.BeZero())
	g.Expect(suspicions).To(gomega.BeNumerically("<", 30))
}
