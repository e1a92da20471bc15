package forward

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/lab/virtualtime"
)

// Parameters of the simulated deployment: a quarter of the engines is 1.3 times slower, a
// quarter faster. Front nodes get the load of their own zone before each choice, and that of
// the other zones at simReportInterval.
const (
	simZones, simFronts, simEngines, simSlots = 4, 4, 6, 8

	simTarget         = 300 * time.Millisecond
	simDeadline       = 5 * time.Second
	simMeanRun        = 640 * time.Millisecond // mean time in a slot after the first event
	simPrefill        = 10 * time.Millisecond  // from a slot to the first event
	simChooseDelay    = 2 * time.Millisecond   // from a load report to the choice based on it
	simReportDelay    = time.Millisecond       // from a choice to load reports that include it
	simReportInterval = 80 * time.Millisecond  // between reports of other zones
	simPollInterval   = 10 * time.Millisecond  // between attempts of a waiting request to get an engine
	simDuration       = 5 * time.Second
)

// simAttempt is one request of a caller, new or retried.
type simAttempt struct {
	waitPolicy
	zone    int
	isRetry bool
	// returned is how often the caller returned, where that may be more than once.
	returned int
}

type simEngine struct {
	speed   float64
	running int
	queue   []func()
}

type simFront struct {
	zone     int
	table    *balance.Table
	reported balance.Report // last report to its zone
	cutOff   bool           // it gets no load of others
}

// simCounts counts first requests served in time, retries served in time, requests served
// late, refusals, and requests served in time by zone.
type simCounts struct {
	inTime, inTimeRetries, late, refused int
	byZone                               [simZones]int
	longestHeld                          time.Duration
}

type simulation struct {
	*virtualtime.Clock
	simCounts
	random     *rand.Rand
	snapshot   *catalog.Snapshot
	engines    map[string]*simEngine
	fronts     []*simFront
	otherZones [simZones]balance.Report // load of all other zones, by zone
	retry      bool                     // refused callers retry once
	capacity   float64                  // requests per second that fill all slots

	// Hooks of other tests; they may be nil.
	found    func(*simFront)              // an engine was chosen
	refuses  func(*simFront, *simAttempt) // replaces the retry of a refused caller
	answered func(*simAttempt)            // the first event arrived
}

// newSimulation returns a deployment whose first emptyZones zones have no engines.
func newSimulation(retry bool, emptyZones int) *simulation {
	s := &simulation{
		Clock: virtualtime.New(start), random: rand.New(rand.NewPCG(1, 1)), engines: map[string]*simEngine{}, retry: retry,
	}
	var engines []catalog.Engine
	for i := emptyZones * simEngines; i < simZones*simEngines; i++ {
		engine := &simEngine{speed: [...]float64{1, 1.3, 1, 1 / 1.3}[i%4]}
		id := strconv.Itoa(i)
		s.engines[id] = engine
		engines = append(engines, catalog.Engine{ID: id, Service: "s", Zone: strconv.Itoa(i / simEngines), Slots: simSlots})
		s.capacity += simSlots / (simMeanRun.Seconds()*engine.speed + simPrefill.Seconds())
	}
	s.snapshot = catalog.NewSnapshot(nil, engines)
	for i := range simZones * simFronts {
		s.fronts = append(s.fronts, &simFront{zone: i % simZones, table: balance.NewTable()})
	}
	s.exchangeReports()
	return s
}

// exchangeReports collects the reports of all front nodes and distributes them to other zones.
func (s *simulation) exchangeReports() {
	for _, front := range s.fronts {
		front.reported = front.table.OwnReport(s.Now())
	}
	for zone := range s.otherZones {
		s.otherZones[zone] = s.sumReports(func(front *simFront) bool { return front.zone != zone })
	}
	s.After(simReportInterval, s.exchangeReports)
}

func (s *simulation) sumReports(include func(*simFront) bool) balance.Report {
	sum := balance.Report{}
	for _, front := range s.fronts {
		if include(front) {
			sum.Add(front.reported)
		}
	}
	return sum
}

// offer generates new requests at rate per second.
func (s *simulation) offer(rate float64) {
	gap := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	s.After(gap, func() {
		if s.Now().Sub(start) < simDuration {
			s.arrive(s.Now().Add(simDeadline), false)
			s.offer(rate)
		}
	})
}

func (s *simulation) arrive(deadline time.Time, isRetry bool) {
	front := s.fronts[s.random.IntN(len(s.fronts))]
	s.acquire(front, &simAttempt{
		waitPolicy: waitPolicy{target: simTarget, arrived: s.Now(), deadline: deadline}, zone: front.zone, isRetry: isRetry,
	})
}

// offerVarying generates new requests for a time at a load that varies, in multiples of the
// engines' capacity and at most highest. Their times don't depend on what callers get.
func (s *simulation) offerVarying(load func(time.Duration) float64, highest float64, length time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	for since := time.Duration(0); since < length; since += time.Duration(random.ExpFloat64() / (highest * s.capacity) * float64(time.Second)) {
		if random.Float64()*highest < load(since) {
			s.After(since, func() { s.arrive(s.Now().Add(simDeadline), false) })
		}
	}
}

// acquire updates a front node's load table and then chooses an engine.
func (s *simulation) acquire(front *simFront, attempt *simAttempt) {
	front.reported = front.table.OwnReport(s.Now())
	sum := s.sumReports(func(other *simFront) bool { return other != front && other.zone == front.zone })
	sum.Add(s.otherZones[front.zone])
	if !front.cutOff {
		front.table.SetPeerLoad("others", sum, s.Now())
	}
	s.After(simChooseDelay, func() { s.choose(front, attempt) })
}

func (s *simulation) choose(front *simFront, attempt *simAttempt) {
	now := s.Now()
	criteria := balance.Wish{Service: "s", Zone: strconv.Itoa(front.zone), Wait: attempt.waitAtEngine(now)}
	engine, found := front.table.Choose(s.snapshot, criteria, now, s.random.Float64)
	switch {
	case found:
		if s.found != nil {
			s.found(front)
		}
		front.table.Begin(engine.ID, balance.ClassOnline, 0, now)
		report := front.table.OwnReport(now)
		s.After(simReportDelay, func() { front.reported = report })
		s.send(front, engine.ID, attempt)
	case attempt.acquireTimeout(now) > 0:
		s.After(min(simPollInterval, attempt.acquireTimeout(now)), func() { s.acquire(front, attempt) })
	default:
		s.refuse(front, attempt)
	}
}

func (s *simulation) refuse(front *simFront, attempt *simAttempt) {
	now := s.Now()
	s.refused++
	s.longestHeld = max(s.longestHeld, now.Sub(attempt.arrived))
	if s.refuses != nil {
		s.refuses(front, attempt)
		return
	}
	if s.retry && !attempt.isRetry {
		s.After(attempt.retryAfter(front.table.MeanHold(), now, s.random.Float64()), func() { s.arrive(attempt.deadline, true) })
	}
}

// send queues a request at an engine.
func (s *simulation) send(front *simFront, id string, attempt *simAttempt) {
	engine := s.engines[id]
	engine.queue = append(engine.queue, func() {
		busy := 0.85 + 0.15*float64(engine.running)/simSlots
		ran := time.Duration(float64(simMeanRun) * engine.speed * busy * (0.6 + 0.8*s.random.Float64()))
		s.After(simPrefill, func() { s.firstEvent(attempt) })
		s.After(simPrefill+ran, func() {
			engine.running--
			front.table.End(id, balance.ClassOnline, s.Now())
			front.table.RecordResidence(simPrefill + ran)
			front.table.RecordHold(ran)
			engine.startNext()
		})
	})
	engine.startNext()
}

func (e *simEngine) startNext() {
	if e.running < simSlots && len(e.queue) > 0 {
		e.running++
		run := e.queue[0]
		e.queue = e.queue[1:]
		run()
	}
}

func (s *simulation) firstEvent(attempt *simAttempt) {
	if s.answered != nil {
		s.answered(attempt)
	}
	switch {
	case s.Now().Sub(attempt.arrived) > simTarget:
		s.late++
		return
	case attempt.isRetry:
		s.inTimeRetries++
	default:
		s.inTime++
	}
	s.byZone[attempt.zone]++
}

// runLoads simulates loads given as multiples of the engines' capacity.
func runLoads(t *testing.T, retry bool, emptyZones int, check func(g *gomega.WithT, t *testing.T, load float64, sim *simulation)) {
	for _, load := range []float64{0.5, 0.8, 1, 1.2, 1.6, 2, 3, 4, 5} {
		t.Run(strconv.FormatFloat(load, 'f', 1, 64), func(t *testing.T) {
			sim := newSimulation(retry, emptyZones)
			sim.offer(load * sim.capacity)
			sim.Run(simDuration + 2*simDeadline)
			check(gomega.NewWithT(t), t, load, sim)
		})
	}
}

// goodput is count as a fraction of the engines' capacity.
func (s *simulation) goodput(count int) float64 {
	return float64(count) / (s.capacity * simDuration.Seconds())
}

// Overload must not reduce the number of requests served in time, or delay refusals.
func TestOverloadGoodput(t *testing.T) {
	runLoads(t, false, 0, func(g *gomega.WithT, t *testing.T, load float64, sim *simulation) {
		inTimeShare := float64(sim.inTime) / float64(sim.inTime+sim.late)
		t.Logf("goodput %.2f of %.2f, served in time %.2f, refused %d, held %v", sim.goodput(sim.inTime), min(1, load), inTimeShare, sim.refused, sim.longestHeld)
		g.Expect(sim.goodput(sim.inTime)).To(gomega.BeNumerically(">=", 0.9*min(1, load)))
		g.Expect(sim.longestHeld).To(gomega.BeNumerically("<=", 50*time.Millisecond))
	})
}

// Retries must not reduce the number of requests served in time.
func TestOverloadGoodputWithRetries(t *testing.T) {
	runLoads(t, true, 0, func(g *gomega.WithT, t *testing.T, load float64, sim *simulation) {
		inTime := sim.inTime + sim.inTimeRetries
		inTimeShare := float64(inTime) / float64(inTime+sim.late)
		t.Logf("goodput of first requests %.2f, of retries %.2f, served in time %.2f", sim.goodput(sim.inTime), sim.goodput(sim.inTimeRetries), inTimeShare)
		g.Expect(sim.goodput(inTime)).To(gomega.BeNumerically(">=", 0.9*min(1, load)))
	})
}

// Under overload, nine in ten served requests must be in time, also with retries.
func TestOverloadServedInTime(t *testing.T) {
	for _, retry := range []bool{false, true} {
		runLoads(t, retry, 0, func(g *gomega.WithT, _ *testing.T, _ float64, sim *simulation) {
			inTime := sim.inTime + sim.inTimeRetries
			g.Expect(float64(inTime) / float64(inTime+sim.late)).To(gomega.BeNumerically(">=", 0.9))
		})
	}
}

// A zone without engines must get its share of the other zones' engines under overload.
func TestOverloadSharesEnginesAcrossZones(t *testing.T) {
	runLoads(t, false, 1, func(g *gomega.WithT, t *testing.T, _ float64, sim *simulation) {
		otherZonesMean := float64(sim.byZone[1]+sim.byZone[2]+sim.byZone[3]) / 3
		t.Logf("served in time by zone %v", sim.byZone)
		g.Expect(float64(sim.byZone[0])).To(gomega.BeNumerically(">=", otherZonesMean/2))
		g.Expect(float64(sim.byZone[0])).To(gomega.BeNumerically("<=", 1.5*otherZonesMean))
	})
}
