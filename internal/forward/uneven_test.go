package forward

import (
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/enginespeed"
	"chutelock.dev/chutelock/internal/lab/virtualtime"
	"chutelock.dev/chutelock/internal/upstream"
)

// Parameters of a simulated deployment of engines that share their machines. Three in four
// run at 1.2 times the usual speed, the others at 0.55 times. Some turn slow at random for
// a moment, and others for seconds.
const (
	unevenZones, unevenFronts, unevenEngines = 3, 12, 16 // fronts and engines by zone
	unevenEvents                             = 18
	unevenPerEvent                           = 20 * time.Millisecond
	unevenDuration                           = 16 * time.Second
	briefSlowness, briefSlowTime             = 2.5, 600 * time.Millisecond
	briefSlowShare                           = 0.15
	longSlowness                             = 3.0
	longSlowFrom, longSlowUntil              = 4 * time.Second, 12 * time.Second
)

// unevenEngine works on its requests event by event, each at the engine's speed at the time.
type unevenEngine struct {
	simEngine
	zone      string
	longSlow  bool
	slowUntil time.Time
	served    int
}

func (e *unevenEngine) slowness(now time.Time) float64 {
	slowness := 1.0
	if since := now.Sub(start); e.longSlow && since >= longSlowFrom && since < longSlowUntil {
		slowness *= longSlowness
	}
	if now.Before(e.slowUntil) {
		slowness *= briefSlowness
	}
	return slowness
}

// unevenNode is a front node or a zone's relay.
type unevenNode struct {
	zone     int
	table    *balance.Table
	reported balance.Report
	cursors  map[*unevenNode]uint64 // of the speeds sent to peers
	name     string
}

// unevenCounts counts requests by what their callers got.
type unevenCounts struct {
	offered, inTime, late, refused, pastDeadline int
}

func (c *unevenCounts) share() float64 { return float64(c.inTime) / float64(max(c.offered, 1)) }

type unevenSimulation struct {
	*virtualtime.Clock
	unevenCounts
	random     *rand.Rand
	snapshot   *catalog.Snapshot
	engines    map[string]*unevenEngine
	fronts     []*unevenNode
	relays     [unevenZones]*unevenNode
	otherZones [unevenZones]balance.Report
	byZone     [unevenZones]unevenCounts
	capacity   float64
	crossed    int // requests sent to other zones
	// hotRate is the traffic of zone 0 as a multiple of another zone's.
	hotRate    float64
	relaysLost bool // no observations of speeds are passed on
}

func newUnevenSimulation(useSpeeds, slowness bool, seed uint64) *unevenSimulation {
	s := &unevenSimulation{Clock: virtualtime.New(start), random: rand.New(rand.NewPCG(seed, seed)), engines: map[string]*unevenEngine{}, hotRate: 1}
	var engines []catalog.Engine
	for i := range unevenZones * unevenEngines {
		zone, id := strconv.Itoa(i%unevenZones), strconv.Itoa(i)
		engine := &unevenEngine{simEngine: simEngine{speed: 1.2}, zone: zone, longSlow: slowness && i/unevenZones%3 == 1}
		if i/unevenZones%4 == 0 {
			engine.speed = 0.55
		}
		s.engines[id] = engine
		engines = append(engines, catalog.Engine{ID: id, Service: "s", Zone: zone, Slots: simSlots})
		s.capacity += simSlots * engine.speed / (unevenEvents * unevenPerEvent.Seconds())
		if slowness {
			s.After(time.Duration(s.random.Float64()*float64(briefSlowTime)/briefSlowShare), func() { s.turnSlow(engine) })
		}
	}
	s.snapshot = catalog.NewSnapshot(nil, engines)
	node := func(zone int, name string) *unevenNode {
		n := &unevenNode{zone: zone, table: balance.NewTable(), cursors: map[*unevenNode]uint64{}, name: name}
		n.table.SetUseSpeeds(useSpeeds)
		return n
	}
	for i := range unevenZones * unevenFronts {
		s.fronts = append(s.fronts, node(i%unevenZones, "front "+strconv.Itoa(i)))
	}
	for zone := range s.relays {
		s.relays[zone] = node(zone, "relay "+strconv.Itoa(zone))
	}
	s.exchange()
	return s
}

// turnSlow makes an engine slow for a moment, at a rate that keeps briefSlowShare of the
// engines slow.
func (s *unevenSimulation) turnSlow(engine *unevenEngine) {
	engine.slowUntil = s.Now().Add(briefSlowTime)
	pause := time.Duration(s.random.ExpFloat64() * float64(briefSlowTime) * (1/briefSlowShare - 1))
	s.After(briefSlowTime+pause, func() { s.turnSlow(engine) })
}

// sendSpeeds sends a node's observations to another one.
func (s *unevenSimulation) sendSpeeds(from, to *unevenNode, include func(enginespeed.Source) bool) {
	if s.relaysLost {
		return
	}
	update, next := from.table.SpeedsSince(from.cursors[to], s.Now(), include)
	from.cursors[to] = next
	if !update.Empty() {
		decoded, _ := enginespeed.UnmarshalUpdate(update.Marshal())
		decoded.Relayed = update.Relayed
		to.table.ApplySpeeds(s.snapshot, from.name, decoded, s.Now())
	}
}

// exchange sends loads and speeds between zones.
func (s *unevenSimulation) exchange() {
	for zone := range s.otherZones {
		s.otherZones[zone] = s.sum(func(front *unevenNode) bool { return front.zone != zone })
		for _, other := range s.relays {
			if other.zone != zone {
				s.sendSpeeds(s.relays[zone], other, func(source enginespeed.Source) bool { return source.Peer[0] == 'f' })
			}
		}
	}
	s.After(simReportInterval, s.exchange)
}

func (s *unevenSimulation) sum(include func(*unevenNode) bool) balance.Report {
	sum := balance.Report{}
	for _, front := range s.fronts {
		if include(front) {
			sum.Add(front.reported)
		}
	}
	return sum
}

// offer generates requests; zone 0 gets hotRate times the traffic of another zone.
func (s *unevenSimulation) offer(rate float64) {
	s.After(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.Now().Sub(start) >= unevenDuration {
			return
		}
		zone := 0
		if other := s.random.Float64()*(s.hotRate+unevenZones-1) - s.hotRate; other >= 0 {
			zone = 1 + int(other)
		}
		front := s.fronts[zone+unevenZones*s.random.IntN(unevenFronts)]
		s.offered++
		s.byZone[front.zone].offered++
		s.arrive(front, waitPolicy{target: simTarget, arrived: s.Now(), deadline: s.Now().Add(simDeadline)})
		s.offer(rate)
	})
}

func (s *unevenSimulation) arrive(front *unevenNode, policy waitPolicy) {
	relay := s.relays[front.zone]
	front.reported = front.table.OwnReport(s.Now())
	sum := s.sum(func(other *unevenNode) bool { return other != front && other.zone == front.zone })
	sum.Add(s.otherZones[front.zone])
	front.table.SetPeerLoad("others", sum, s.Now())
	s.sendSpeeds(front, relay, func(source enginespeed.Source) bool { return source.Peer == "" })
	s.sendSpeeds(relay, front, func(source enginespeed.Source) bool { return source.Peer != front.name })
	s.After(simChooseDelay, func() { s.choose(front, policy) })
}

func (s *unevenSimulation) choose(front *unevenNode, policy waitPolicy) {
	now, zone := s.Now(), strconv.Itoa(front.zone)
	wish := balance.Wish{Service: "s", Zone: zone, Wait: policy.waitAtEngine(now), Left: policy.deadline.Sub(now)}
	chosen, found := front.table.Choose(s.snapshot, wish, now, s.random.Float64)
	if !found {
		s.refused++
		s.byZone[front.zone].refused++
		return
	}
	if chosen.Zone != zone {
		s.crossed++
	}
	front.table.Begin(chosen.ID, balance.ClassOnline, 0, now)
	report := front.table.OwnReport(now)
	s.After(simReportDelay, func() { front.reported = report })
	engine := s.engines[chosen.ID]
	engine.queue = append(engine.queue, func() { s.run(front, chosen, engine, policy) })
	engine.startNext()
}

// run sends the events of a request that got a slot.
func (s *unevenSimulation) run(front *unevenNode, chosen catalog.Engine, engine *unevenEngine, policy waitPolicy) {
	begun, slowness := time.Time{}, 1.0
	var next func(int)
	next = func(event int) {
		now := s.Now()
		if event == 1 {
			begun, slowness = now, engine.slowness(now)
			front.table.RecordReport(chosen.ID, upstream.Load{Running: engine.running, Waiting: len(engine.queue), Slots: simSlots, Slowdown: slowness, ReportsSlowdown: true}, now)
		}
		if past := now.After(policy.deadline); !past && event < unevenEvents {
			busy := 0.85 + 0.15*float64(engine.running)/simSlots
			gap := float64(unevenPerEvent) / engine.speed * engine.slowness(now) * busy * (0.6 + 0.8*s.random.Float64())
			s.After(time.Duration(gap), func() { next(event + 1) })
			return
		} else if past {
			s.pastDeadline++
			s.byZone[front.zone].pastDeadline++
		} else if begun.Sub(policy.arrived) > simTarget {
			s.late++
			s.byZone[front.zone].late++
		} else {
			s.inTime++
			s.byZone[front.zone].inTime++
		}
		engine.running--
		engine.served++
		front.table.End(chosen.ID, balance.ClassOnline, now)
		front.table.RecordResidence(now.Sub(begun) + simPrefill)
		front.table.RecordHold(now.Sub(begun))
		front.table.RecordServiceHold(chosen, now.Sub(begun), event, now)
		front.table.RecordRun(chosen, now.Sub(begun)/time.Duration(max(event-1, 1)), slowness, now)
		engine.startNext()
	}
	s.After(time.Duration(float64(simPrefill)*engine.slowness(s.Now())/engine.speed), func() { next(1) })
}

// useBySpeed returns the part of the requests that matching engines served, relative to their
// part of the engines' capacity.
func (s *unevenSimulation) useBySpeed(match func(*unevenEngine) bool) float64 {
	served, all, capacity := 0, 0, 0.0
	for _, engine := range s.engines {
		all += engine.served
		if match(engine) {
			served += engine.served
			capacity += simSlots * engine.speed / (unevenEvents * unevenPerEvent.Seconds())
		}
	}
	return float64(served) / float64(all) / (capacity / s.capacity)
}

// play offers a load, as a multiple of the engines' usual capacity, and runs until all
// requests ended.
func (s *unevenSimulation) play(load float64) *unevenSimulation {
	s.offer(load * s.capacity)
	s.Run(unevenDuration + 3*simDeadline)
	return s
}

// playTogether plays independent simulations at the same time.
func playTogether(load float64, simulations ...*unevenSimulation) {
	var group sync.WaitGroup
	for _, s := range simulations {
		group.Go(func() { s.play(load) })
	}
	group.Wait()
}

func (s *unevenSimulation) log(t *testing.T, name string) {
	share := func(count int) float64 { return float64(count) / float64(s.offered) }
	t.Logf("%s: in time %.3f late %.3f refused %.3f past the deadline %.4f, into other zones %.3f; use relative to speed: fast %.2f slow %.2f",
		name, share(s.inTime), share(s.late), share(s.refused), share(s.pastDeadline), share(s.crossed),
		s.useBySpeed(func(e *unevenEngine) bool { return e.speed > 1 }), s.useBySpeed(func(e *unevenEngine) bool { return e.speed < 1 }))
}

// Callers must get more answers in time and fewer late where choices follow the speeds, and
// engines must not be used further from their speeds.
func TestUnevenEnginesServedInTime(t *testing.T) {
	for _, load := range []float64{0.5, 0.7, 3} {
		t.Run(strconv.FormatFloat(load, 'f', 1, 64), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			before, after := newUnevenSimulation(false, true, 1), newUnevenSimulation(true, true, 1)
			playTogether(load, before, after)
			before.log(t, "without")
			after.log(t, "with")
			g.Expect(after.share()).To(gomega.BeNumerically(">=", before.share()))
			g.Expect(after.late).To(gomega.BeNumerically("<", before.late))
			g.Expect(after.pastDeadline).To(gomega.BeNumerically("<=", before.pastDeadline))
			imbalance := func(s *unevenSimulation) float64 {
				return math.Abs(1 - s.useBySpeed(func(e *unevenEngine) bool { return e.speed < 1 }))
			}
			g.Expect(imbalance(after)).To(gomega.BeNumerically("<=", imbalance(before)))
		})
	}
}

// Without figures from other nodes callers must fare no worse than without the speeds.
func TestUnevenEnginesWithoutRelays(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	before, after := newUnevenSimulation(false, true, 1), newUnevenSimulation(true, true, 1)
	after.relaysLost = true
	playTogether(0.7, before, after)
	after.log(t, "relays lost")
	g.Expect(after.share()).To(gomega.BeNumerically(">=", before.share()))
}
