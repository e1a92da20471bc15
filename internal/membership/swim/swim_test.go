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

// settle is the time within which views must agree once faults have ended.
const settle = 30 * time.Second

// TestViewsConvergeAfterFaults brings about loss, cuts, pauses, deaths,
// restarts and planned stops in any order, and compares all views with the
// truth once the faults have ended.
func TestViewsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 3).Draw(t, "zones")
		perZone := rapid.IntRange(2, 6).Draw(t, "nodes in a zone")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), zones, perZone, nil)
		s.forgetful = rapid.Bool().Draw(t, "forgetful")
		s.run(5 * time.Second)
		pick := rapid.SampledFrom(s.names())
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				s.run(time.Duration(rapid.IntRange(10, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"stop": func(t *rapid.T) { s.hosts[pick.Draw(t, "host")].up = false },
			"restart": func(t *rapid.T) {
				s.run(2 * time.Millisecond) // a process takes time to start
				s.boot(s.hosts[pick.Draw(t, "host")])
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
				s.cut = func(a, b *host) bool { return side[a] != side[b] }
			},
			"cut one way": func(t *rapid.T) {
				mute := s.hosts[pick.Draw(t, "host")]
				s.cut = func(a, _ *host) bool { return a == mute }
			},
			"heal": func(*rapid.T) { s.cut = nil },
		})
		s.cut, s.loss = nil, 0.01
		s.run(25 * time.Second) // let pauses end
		s.run(settle)
		if err := s.disagreement(); err != nil {
			t.Fatal(err)
		}
	})
}

// detection measures how long it takes until every live node of a zone knows
// of a death, at 1% loss, sorted.
func detection(seed uint64, perZone, deaths int) []time.Duration {
	s := newSimulation(seed, 1, perZone, nil)
	s.loss = 0.01
	s.run(20 * time.Second)
	names := s.names()
	var times []time.Duration
	for range deaths {
		victim := s.hosts[names[s.random.IntN(len(names))]]
		victim.up = false
		began := s.clock.Now()
		for !s.knownDead(victim) {
			s.run(10 * time.Millisecond)
		}
		times = append(times, s.clock.Now().Sub(began))
		s.boot(victim)
		s.run(s.between(5*time.Second, 10*time.Second))
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times
}

func (s *simulation) knownDead(victim *host) bool {
	for _, h := range s.hosts {
		if state, _ := s.believes(h, victim); h.up && h != victim && state != membership.StateDead {
			return false
		}
	}
	return true
}

func TestDeathIsKnownWithinThreeSeconds(t *testing.T) {
	g := gomega.NewWithT(t)
	deaths := 30
	if os.Getenv(campaignVariable) != "" {
		deaths = 1000
	}
	for _, perZone := range []int{3, 12, 38} {
		times := detection(uint64(perZone), perZone, deaths)
		worst := times[len(times)-1]
		t.Logf("%d nodes, %d deaths at 1%% loss: median %v, p99 %v, worst %v", perZone, deaths,
			times[len(times)/2], times[len(times)*99/100], worst)
		g.Expect(worst).To(gomega.BeNumerically("<=", 3*time.Second), "%d nodes in the zone", perZone)
	}
}

// TestFewFalseSuspicions counts suspicions while nobody dies, at 1% loss.
func TestFewFalseSuspicions(t *testing.T) {
	g := gomega.NewWithT(t)
	duration := time.Hour
	if os.Getenv(campaignVariable) != "" {
		duration = 48 * time.Hour
	}
	s := newSimulation(7, 1, 12, nil)
	s.loss = 0.01
	s.run(time.Minute)
	before := s.total(func(c Statistics) uint64 { return c.Suspicions })
	s.run(duration)
	suspicions := s.total(func(c Statistics) uint64 { return c.Suspicions }) - before
	deaths := s.total(func(c Statistics) uint64 { return c.Deaths })
	days := float64(len(s.hosts)) * duration.Hours() / 24
	t.Logf("%d suspicions and %d deaths in %.1f node-days at 1%% loss", suspicions, deaths, days)
	g.Expect(deaths).To(gomega.BeZero())
	g.Expect(float64(suspicions) / days).To(gomega.BeNumerically("<", 1))
}

// TestPausedNodeDeclaresNobodyDead: a node that did not run must not take the
// silence as others' deaths.
func TestPausedNodeDeclaresNobodyDead(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(3, 1, 5, nil)
	s.forgetful = true
	s.run(5 * time.Second)
	paused := s.hosts["node-0-02"]
	for range 400 {
		paused.pausedUntil = s.clock.Now().Add(s.between(350*time.Millisecond, 5*time.Second))
		s.run(s.between(7*time.Second, 8*time.Second))
	}
	s.run(settle)
	g.Expect(paused.node.Statistics().Suspicions).To(gomega.BeZero())
	g.Expect(paused.node.Statistics().Deaths).To(gomega.BeZero())
	g.Expect(s.disagreement()).To(gomega.Succeed())
}

// TestCostDoesNotGrowWithTheZone compares the bytes that a node sends.
func TestCostDoesNotGrowWithTheZone(t *testing.T) {
	g := gomega.NewWithT(t)
	cost := map[int]float64{}
	for _, perZone := range []int{10, 40, 100} {
		s := newSimulation(5, 1, perZone, nil)
		s.run(90 * time.Second) // until the joins are no longer carried
		clear(s.bytes)
		s.run(30 * time.Second)
		var total uint64
		for _, sent := range s.bytes {
			total += sent
		}
		cost[perZone] = float64(total) / float64(perZone) / 30
	}
	t.Logf("payload bytes a second sent by a node, by nodes in its zone: %v", cost)
	g.Expect(cost[100]).To(gomega.BeNumerically("<", 1.25*cost[10]))
}

// TestZonesSeeEachOther: a death, a join and a planned stop are known in the
// other zones and regions too.
func TestZonesSeeEachOther(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(9, 4, 4, nil)
	s.loss = 0.01
	s.run(15 * time.Second)
	g.Expect(s.disagreement()).To(gomega.Succeed(), "after the start")
	s.hosts["node-2-01"].up = false
	s.run(8 * time.Second)
	g.Expect(s.disagreement()).To(gomega.Succeed(), "after a death")
	s.boot(s.hosts["node-2-01"])
	s.run(5 * time.Second)
	g.Expect(s.disagreement()).To(gomega.Succeed(), "after a restart")
	leaving := s.hosts["node-1-00"]
	leaving.leaving = true
	s.send(leaving, leaving.node.Leave(s.clock.Now()))
	s.run(5 * time.Second)
	g.Expect(s.disagreement()).To(gomega.Succeed(), "after a planned stop")
}

// TestFoundFailures replays failures that the fuzzing found.
func TestFoundFailures(t *testing.T) {
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
		{"only a leaving node is left to speak for its zone", 3, 2,
			[]step{leave("node-0-01"), stop("node-0-00")}},
		{"all known delegates of a zone died at once", 2, 3,
			[]step{leave("node-0-02"), stop("node-1-01"), stop("node-0-01"), stop("node-0-00")}},
		{"all nodes of two zones leave", 2, 2,
			[]step{leave("node-0-00"), leave("node-0-01"), leave("node-1-00"), leave("node-1-01"), stop("node-1-00")}},
		{"a node dies that suspected another, and told other zones only", 3, 2,
			[]step{lose(0.9, 928*time.Millisecond), stop("node-1-01"), lose(0.01, 0)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(0x14c9, c.zones, c.perZone, nil)
			s.run(5 * time.Second)
			for _, step := range c.steps {
				step(s)
			}
			s.run(settle)
			gomega.NewWithT(t).Expect(s.disagreement()).To(gomega.Succeed())
		})
	}
}

// TestStarvedNodesSuspectFew: on an overloaded machine all nodes run late, by
// less than what counts as a pause, and must not take that for deaths.
func TestStarvedNodesSuspectFew(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(13, 1, 12, nil)
	s.run(10 * time.Second)
	before := s.total(func(c Statistics) uint64 { return c.Suspicions })
	const duration = 10 * time.Minute
	for end := s.clock.Now().Add(duration); s.clock.Now().Before(end); s.run(100 * time.Millisecond) {
		for _, name := range s.names() {
			if s.random.IntN(3) == 0 {
				s.hosts[name].pausedUntil = s.clock.Now().Add(s.between(100*time.Millisecond, 240*time.Millisecond))
			}
		}
	}
	suspicions := s.total(func(c Statistics) uint64 { return c.Suspicions }) - before
	t.Logf("%d suspicions in %v of 12 starved nodes", suspicions, duration)
	g.Expect(s.total(func(c Statistics) uint64 { return c.Deaths })).To(gomega.BeZero())
	g.Expect(suspicions).To(gomega.BeNumerically("<", 30))
}
