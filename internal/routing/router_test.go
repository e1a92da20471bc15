package routing

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/fleet"
)

var epoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// endpoints returns a snapshot of engines that all serve the model "m".
func endpoints(count int, reported time.Time, change func(int, *fleet.Endpoint)) *fleet.Snapshot {
	snapshot := &fleet.Snapshot{Taken: reported}
	for i := range count {
		endpoint := &fleet.Endpoint{Name: fmt.Sprintf("engine-%04d", i), Zone: "z", Region: "r", Load: engine.Load{At: reported, Models: []string{"m"}}}
		if change != nil {
			change(i, endpoint)
		}
		snapshot.Endpoints = append(snapshot.Endpoints, endpoint)
	}
	return snapshot
}

// routerModel drives a Router with random fleets and outcomes.
type routerModel struct {
	router   *Router
	now      time.Time
	snapshot *fleet.Snapshot
	live     []Decision
	inFlight map[string]int
}

func (m *routerModel) changeFleet(t *rapid.T) {
	m.snapshot = endpoints(rapid.IntRange(0, 8).Draw(t, "engines"), m.now, func(_ int, e *fleet.Endpoint) {
		e.Leaving = rapid.Float64().Draw(t, "leaving") < 0.1
		e.Load.Draining = rapid.Float64().Draw(t, "draining") < 0.1
		e.Region = rapid.SampledFrom([]string{"r", "r", "s"}).Draw(t, "region")
		e.Load.Running = rapid.IntRange(0, 40).Draw(t, "running")
		e.Load.RunningBatch = rapid.IntRange(0, e.Load.Running).Draw(t, "batch")
		e.Load.KVUse = rapid.Float64Range(0, 1).Draw(t, "kv")
		switch rapid.IntRange(0, 9).Draw(t, "report") {
		case 0:
			e.Load = engine.Load{}
		case 1:
			e.Load.At = m.now.Add(-time.Hour)
		case 2:
			e.Load.Models = []string{"other"}
		}
	})
}

func (m *routerModel) pick(t *rapid.T) {
	request := Request{Model: "m", Repeatable: rapid.Bool().Draw(t, "repeatable"), Slots: rapid.IntRange(0, 3).Draw(t, "slots")}
	if rapid.Bool().Draw(t, "confined") {
		request.Regions = []string{"r"}
	}
	if rapid.Bool().Draw(t, "long") {
		request.Prefix = []uint64{uint64(rapid.IntRange(1, 3).Draw(t, "family")), rapid.Uint64().Draw(t, "rest")}
	}
	if len(m.snapshot.Endpoints) > 0 && rapid.Bool().Draw(t, "again") {
		request.Tried = []string{rapid.SampledFrom(m.snapshot.Endpoints).Draw(t, "tried").Name}
	}
	var eligible []string
	for _, e := range m.snapshot.Endpoints {
		full := request.Slots > 0 && m.inFlight[e.Name] >= request.Slots
		outsideRegions := len(request.Regions) > 0 && e.Region != "r"
		if !e.Leaving && !e.Load.Draining && !full && !outsideRegions && slices.Contains(e.Load.Models, "m") && !slices.Contains(request.Tried, e.Name) {
			eligible = append(eligible, e.Name)
		}
	}
	decision, err := m.router.Pick(m.now, request, m.snapshot)
	if err != nil {
		var noEndpoint *NoEndpointError
		if len(eligible) > 0 || !errors.As(err, &noEndpoint) {
			t.Fatalf("Pick failed with %v, but %v are eligible", err, eligible)
		}
		return
	}
	if !slices.Contains(eligible, decision.Endpoint.Name) {
		t.Fatalf("picked %s, not one of %v", decision.Endpoint.Name, eligible)
	}
	m.inFlight[decision.Endpoint.Name]++
	m.live = append(m.live, decision)
}

func (m *routerModel) outcome(t *rapid.T) {
	if len(m.live) == 0 {
		return
	}
	position := rapid.IntRange(0, len(m.live)-1).Draw(t, "live")
	decision := m.live[position]
	outcome := Outcome{
		Attempt:  decision.Attempt,
		Kind:     rapid.SampledFrom([]OutcomeKind{OutcomeFirstToken, OutcomeFinished, OutcomeFailed, OutcomeFailed, OutcomeCancelled}).Draw(t, "kind"),
		Fate:     engine.Fate(rapid.IntRange(0, 2).Draw(t, "fate")),
		TimedOut: rapid.Bool().Draw(t, "timed out"),
		Tokens:   rapid.IntRange(0, 5).Draw(t, "tokens"),
	}
	m.router.Observe(m.now, outcome)
	if outcome.Kind != OutcomeFirstToken {
		m.inFlight[decision.Endpoint.Name]--
		m.live = slices.Delete(m.live, position, position+1)
		m.router.Observe(m.now, outcome) // the second end must be ignored
	}
}

func (m *routerModel) advanceTime(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "milliseconds")) * time.Millisecond)
}

func (m *routerModel) check(t *rapid.T) {
	for name, count := range m.inFlight {
		if got := m.router.InFlight(name); got != count {
			t.Fatalf("%d in flight on %s, want %d", got, name, count)
		}
	}
}

func TestRouterPicksEligibleAndCountsInFlight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &routerModel{router: NewRouter(Config{Zone: "z", Region: "r", PrefixEntries: 16}), now: epoch, inFlight: map[string]int{}}
		m.changeFleet(t)
		t.Repeat(map[string]func(*rapid.T){"fleet": m.changeFleet, "pick": m.pick, "pick more": m.pick, "outcome": m.outcome, "time": m.advanceTime, "": m.check})
	})
}

// fault is how an engine of a simulated fleet fails.
type fault int

const (
	healthy fault = iota
	rejecting
	unresponsive
	slow
)

// simulation sends requests at a fixed rate through one router to engines with
// fixed latencies, in virtual time.
type simulation struct {
	router   *Router
	engines  []fault
	now      time.Time
	snapshot *fleet.Snapshot
	events   []event
	sent     map[string]int
	failed   int
	families uint64 // number of prefix families; 0 means no prefixes
	requests uint64
}

type event struct {
	at      time.Time
	outcome Outcome
}

const (
	simulatedFirstToken = 50 * time.Millisecond
	simulatedDuration   = 400 * time.Millisecond
	simulatedTokens     = 36
	simulatedTimeout    = 10 * time.Second
)

func newSimulation(engines []fault) *simulation {
	return &simulation{
		router: NewRouter(Config{Zone: "z", Region: "r", Seed: 1}), engines: engines, now: epoch,
		snapshot: endpoints(len(engines), epoch, nil), sent: map[string]int{},
	}
}

// request advances the time by 10 ms and sends one request.
func (s *simulation) request() {
	s.now = s.now.Add(10 * time.Millisecond)
	slices.SortStableFunc(s.events, func(a, b event) int { return a.at.Compare(b.at) })
	for len(s.events) > 0 && !s.events[0].at.After(s.now) {
		s.router.Observe(s.events[0].at, s.events[0].outcome)
		s.events = s.events[1:]
	}
	request := Request{Model: "m", Repeatable: true}
	if s.requests++; s.families > 0 {
		request.Prefix = []uint64{s.requests%s.families + 1, s.requests%s.families + 1000}
	}
	decision, err := s.router.Pick(s.now, request, s.snapshot)
	if err != nil {
		panic(err)
	}
	name := decision.Endpoint.Name
	s.sent[name]++
	index := slices.IndexFunc(s.snapshot.Endpoints, func(e *fleet.Endpoint) bool { return e.Name == name })
	add := func(after time.Duration, outcome Outcome) {
		outcome.Attempt = decision.Attempt
		s.events = append(s.events, event{s.now.Add(after), outcome})
	}
	switch s.engines[index] {
	case rejecting:
		s.failed++
		add(time.Millisecond, Outcome{Kind: OutcomeFailed, Fate: engine.FateNotRun})
	case unresponsive:
		s.failed++
		add(simulatedTimeout, Outcome{Kind: OutcomeFailed, Fate: engine.FateUnknown, TimedOut: true})
	case slow:
		s.failed++
		add(8*simulatedFirstToken, Outcome{Kind: OutcomeFirstToken})
		add(8*simulatedDuration, Outcome{Kind: OutcomeFinished, Tokens: simulatedTokens})
	default:
		add(simulatedFirstToken, Outcome{Kind: OutcomeFirstToken})
		add(simulatedDuration, Outcome{Kind: OutcomeFinished, Tokens: simulatedTokens})
	}
}

func TestRouterEjectsAndRestoresFaultyEngines(t *testing.T) {
	for name, test := range map[string]struct {
		kind     fault
		faulty   int
		families uint64
		most     float64 // share of requests that may meet a faulty engine
		cause    string
	}{
		"rejecting":                             {rejecting, 4, 0, 0.008, CauseFailures},
		"one rejects":                           {rejecting, 1, 0, 0.002, CauseFailures},
		"four never answer":                     {unresponsive, 4, 0, 0.007, CauseNoAnswer},
		"one never answers":                     {unresponsive, 1, 0, 0.0015, CauseNoAnswer},
		"prefixes on engines that never answer": {unresponsive, 4, 24, 0.01, CauseNoAnswer},
		"slow":                                  {slow, 2, 0, 0.01, CauseSlow},
		"most reject":                           {rejecting, 10, 0, 0.02, CauseFailures}, // at most half may be ejected
		"all healthy":                           {healthy, 0, 0, 0, ""},
		"all reject":                            {rejecting, 12, 0, 1, CauseFailures},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			engines := make([]fault, 12)
			for i := range test.faulty {
				engines[i] = test.kind
			}
			s := newSimulation(engines)
			s.families = test.families
			const requests = 6000 // one minute
			for range requests {
				s.request()
				g.Expect(s.router.Ejected()).To(gomega.BeNumerically("<=", 6))
			}
			t.Logf("%.4f of requests met a faulty engine", float64(s.failed)/requests)
			g.Expect(float64(s.failed) / requests).To(gomega.BeNumerically("<=", test.most))
			causes := map[string]bool{}
			for _, transition := range s.router.Transitions() {
				causes[transition.Cause] = true
			}
			g.Expect(causes[test.cause]).To(gomega.Equal(test.cause != ""))
			if test.faulty > 6 {
				return
			}
			clear(engines) // all recover
			for range requests {
				s.request()
			}
			g.Expect(s.router.Ejected()).To(gomega.BeZero())
			clear(s.sent)
			s.families = 0
			for range requests {
				s.request()
			}
			for _, e := range s.snapshot.Endpoints {
				g.Expect(s.sent[e.Name]).To(gomega.BeNumerically("~", requests/12, requests/24), e.Name)
			}
		})
	}
}

// Nodes that see the same stale reports must not all pick the engine with the
// lowest load.
func TestStaleReportsCauseNoHerding(t *testing.T) {
	g := gomega.NewWithT(t)
	const nodes, engines = 40, 12
	snapshot := endpoints(engines, epoch.Add(-500*time.Millisecond), func(i int, e *fleet.Endpoint) {
		e.Load.Running = 20 + i%3
		if i == 7 {
			e.Load.Running = 17
		}
	})
	counts := map[string]int{}
	for node := range nodes {
		router := NewRouter(Config{Zone: "z", Region: "r", Seed: uint64(node)})
		for range 4 {
			decision, err := router.Pick(epoch, Request{Model: "m"}, snapshot)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			counts[decision.Endpoint.Name]++
		}
	}
	most := 0
	for _, count := range counts {
		most = max(most, count)
	}
	t.Logf("%d of %d decisions went to one engine of %d", most, 4*nodes, engines)
	g.Expect(most).To(gomega.BeNumerically("<=", 4*nodes/3))
}

func TestScorersPreferSuitableEndpoint(t *testing.T) {
	for name, test := range map[string]struct {
		request Request
		change  func(int, *fleet.Endpoint)
		want    string
	}{
		"same zone":                   {Request{}, func(i int, e *fleet.Endpoint) { e.Zone = fmt.Sprint("z", i) }, "engine-0001"},
		"same region":                 {Request{}, func(i int, e *fleet.Endpoint) { e.Zone, e.Region = "far", fmt.Sprint("r", i) }, "engine-0001"},
		"KV cache not full":           {Request{}, func(i int, e *fleet.Endpoint) { e.Load.KVUse = map[bool]float64{true: 0.5, false: 0.99}[i == 1] }, "engine-0001"},
		"adapter loaded":              {Request{Adapter: "a"}, func(i int, e *fleet.Endpoint) { e.Load.Adapters = map[int][]string{1: {"a"}}[i] }, "engine-0001"},
		"short queue":                 {Request{}, func(i int, e *fleet.Endpoint) { e.Load.Waiting = map[bool]int{true: 0, false: 20}[i == 1] }, "engine-0001"},
		"many streams of other nodes": {Request{}, func(i int, e *fleet.Endpoint) { e.Load.Running = map[bool]int{true: 60, false: 10}[i == 1] }, "not engine-0001"},
		"batch ignored": {Request{}, func(i int, e *fleet.Endpoint) {
			e.Load.Running, e.Load.RunningBatch, e.Load.WaitingBatch = 20*i, 20*i, 100*i
		}, ""},
		"missing report is not idle": {Request{}, func(i int, e *fleet.Endpoint) {
			e.Load.Running = 20
			if i != 1 {
				e.Load.At = time.Time{}
				e.Load.Running = 0
			} else {
				e.Load.Running = 5
			}
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			snapshot := endpoints(3, epoch, test.change)
			test.request.Model = "m"
			picked := map[string]int{}
			for seed := range 60 {
				router := NewRouter(Config{Zone: "z1", Region: "r1", Seed: uint64(seed)})
				decision, err := router.Pick(epoch, test.request, snapshot)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				picked[decision.Endpoint.Name]++
			}
			if strings.HasPrefix(test.want, "engine") {
				g.Expect(picked).To(gomega.Equal(map[string]int{test.want: 60}))
				return
			}
			if without, ok := strings.CutPrefix(test.want, "not "); ok {
				g.Expect(picked).To(gomega.HaveLen(2))
				g.Expect(picked).NotTo(gomega.HaveKey(without))
				return
			}
			g.Expect(picked).To(gomega.HaveLen(3))
		})
	}
}

// Capacity must be the own streams plus the reported free slots.
func TestCapacityCountsFreeSlots(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := endpoints(3, epoch, func(i int, e *fleet.Endpoint) { e.Load.Running = 4 * i })
	router := NewRouter(Config{})
	request := Request{Model: "m", Slots: 8}
	g.Expect(router.Capacity(epoch, request, snapshot)).To(gomega.Equal(8 + 4 + 0))
	for range 5 {
		_, err := router.Pick(epoch, request, snapshot)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(router.Capacity(epoch, request, snapshot)).To(gomega.Equal(12))
	g.Expect(router.Capacity(epoch, Request{Model: "none", Slots: 8}, snapshot)).To(gomega.BeZero())
	unknown := endpoints(3, epoch, func(i int, e *fleet.Endpoint) {
		if e.Load.Running = 4; i == 2 {
			e.Load.At, e.Load.Running = time.Time{}, 0 // counts as the peers' mean
		}
	})
	g.Expect(NewRouter(Config{}).Capacity(epoch, request, unknown)).To(gomega.Equal(4 + 4 + 4))
}

// Running and waiting batch streams must not take slots from online.
func TestCapacityIgnoresBatch(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := endpoints(3, epoch, func(_ int, e *fleet.Endpoint) {
		e.Load.Running, e.Load.RunningBatch = 100, 98
		e.Load.Waiting, e.Load.WaitingBatch = 5000, 5000
	})
	g.Expect(NewRouter(Config{}).Capacity(epoch, Request{Model: "m", Slots: 8}, snapshot)).To(gomega.Equal(3 * 6))
}

// A report that includes this node's own streams must not add them again.
func TestCapacityCountsOwnStreamsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	router := NewRouter(Config{})
	request := Request{Model: "m", Slots: 100}
	before := endpoints(1, epoch, nil)
	var attempts []*Attempt
	for range 10 {
		decision, err := router.Pick(epoch, request, before)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		attempts = append(attempts, decision.Attempt)
	}
	later := epoch.Add(time.Second)
	after := endpoints(1, later, func(_ int, e *fleet.Endpoint) { e.Load.Running = 10 })
	g.Expect(router.Capacity(later, request, after)).To(gomega.Equal(100))
	for _, attempt := range attempts[:6] {
		router.Observe(later.Add(100*time.Millisecond), Outcome{Attempt: attempt, Kind: OutcomeFinished})
	}
	same := endpoints(1, later, func(_ int, e *fleet.Endpoint) { e.Load.Running = 10 })
	g.Expect(router.Capacity(later.Add(100*time.Millisecond), request, same)).To(gomega.BeNumerically(">=", 99))
}
