package fairshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/lab/virtualtime"
	"chutelock.dev/chutelock/internal/quota"
	"chutelock.dev/chutelock/internal/returns"
	"chutelock.dev/chutelock/internal/transport"
)

// Parameters of the played deployment: a third of the engines is 1.3 times slower. Front nodes
// get the load of their own zone before each choice, and that of other zones and tenants'
// counts at playReportInterval.
const (
	playZones, playFronts, playEngines, playSlots = 3, 50, 90, 8
	playTenants                                   = 76

	playTarget         = 300 * time.Millisecond
	playDeadline       = 5 * time.Second
	playMeanRun        = 640 * time.Millisecond
	playPrefill        = 10 * time.Millisecond
	playChooseDelay    = 2 * time.Millisecond
	playDelay          = time.Millisecond // of a message within a zone
	playZoneDelay      = 3 * time.Millisecond
	playReportInterval = 80 * time.Millisecond
	playWarmUp         = 2 * time.Second
	playCrowd          = 6 * time.Second
	// playHeadroom is the ratio of a tenant's limit to its usual rate.
	playHeadroom = 6
)

var playStart = time.Unix(1_000_000, 0)

// way is how room is divided among tenants.
type way int

const (
	noShares way = iota
	equalShares
	weightedShares
	sharesByZone // by weight, among tenants of each zone
)

func (w way) String() string {
	return [...]string{"none", "equal shares", "weighted", "by tenant and zone"}[w]
}

// outcome counts one tenant's requests that arrived in the crowd.
type outcome struct {
	asked, inTime, late, limited, overShare, noRoom, again int
}

type playEngine struct {
	speed   float64
	running int
	queue   []func()
}

type playFront struct {
	zone     int
	name     transport.Address
	table    *balance.Table
	reported balance.Report
	limiter  *quota.Limiter
	gate     *Gate
	// updatedAt is when the gate was updated.
	updatedAt time.Time
	// heardAt is when the load of other zones was shared that the node knows.
	heardAt time.Time
	cutOff  bool // from its relay's counts
}

type playRequest struct {
	tenant   int
	arrived  time.Time // of the present try
	deadline time.Time
	again    bool
	counted  bool
}

type player struct {
	*virtualtime.Clock
	random   *rand.Rand
	way      way
	snapshot *catalog.Snapshot
	engines  map[string]*playEngine
	fronts   []*playFront
	relays   [playZones]*quota.Collector
	zoneLoad [playZones]balance.Report // as the relay knows it
	shared   [playZones]balance.Report // as other zones know it
	sharedAt time.Time
	capacity float64              // requests per second that fill all slots
	usual    [playTenants]float64 // requests per second of each tenant
	factor   func(tenant int, since time.Duration) float64
	outcomes [playTenants]outcome
	lossRate float64 // of messages about counts
	bytes    int     // of messages about counts
	refused  int     // over share, at any time
	served   int     // in time while the crowd lasts, whenever asked for
}

var playBounds = quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// newPlayer returns a deployment whose tenants usually ask for load times the capacity.
func newPlayer(w way, load float64, seed uint64) *player {
	p := &player{Clock: virtualtime.New(playStart), random: rand.New(rand.NewPCG(seed, 1)), way: w, engines: map[string]*playEngine{}}
	var engines []catalog.Engine
	for i := range playEngines {
		id := strconv.Itoa(i)
		p.engines[id] = &playEngine{speed: [...]float64{1, 1, 1.3}[i/playZones%3]}
		engines = append(engines, catalog.Engine{ID: id, Service: "s", Zone: strconv.Itoa(i % playZones), Slots: playSlots})
		p.capacity += playSlots / (playMeanRun.Seconds()*p.engines[id].speed + playPrefill.Seconds())
	}
	p.snapshot = catalog.NewSnapshot(nil, engines)
	total := 0.0
	for i := range p.usual {
		p.usual[i] = math.Pow(float64(i+1), -0.9)
		total += p.usual[i]
	}
	for i := range p.usual {
		p.usual[i] *= load * p.capacity / total
	}
	for zone := range playZones {
		p.relays[zone] = quota.NewCollector(strconv.Itoa(zone), playBounds.Window, p.random.Uint32())
		p.zoneLoad[zone], p.shared[zone] = balance.Report{}, balance.Report{}
	}
	for i := range playFronts {
		front := &playFront{
			zone: i % playZones, name: transport.Address(fmt.Sprint("front", i)), table: balance.NewTable(), reported: balance.Report{},
			limiter: quota.NewLimiter(playBounds), gate: &Gate{},
		}
		p.fronts = append(p.fronts, front)
		p.After(time.Duration(i)*playReportInterval/playFronts, func() { p.reportDue(front) })
	}
	p.shareLoad()
	return p
}

// key returns the key that a tenant's demand is counted by.
func (p *player) key(tenant int, front *playFront) quota.Key {
	if p.way == sharesByZone {
		return quota.Key(1000 + tenant*playZones + front.zone)
	}
	return quota.Key(tenant)
}

func (p *player) limit(tenant int) quota.Limit {
	rate := playHeadroom * p.usual[tenant]
	return quota.Limit{Rate: rate, Burst: rate}
}

// updateIfDue updates a gate when a request comes, as front nodes do.
func (p *player) updateIfDue(front *playFront) {
	if p.way == noShares || p.Now().Sub(front.updatedAt) < UpdateInterval {
		return
	}
	front.updatedAt = p.Now()
	asking, age := front.limiter.Asking(p.Now())
	tenants := map[quota.Key]Tenant{}
	for key, asked := range asking {
		tenant := int(key)
		if p.way == sharesByZone {
			tenant = (tenant - 1000) / playZones
		}
		if tenant < 0 || (p.way == sharesByZone) != (key >= 1000) {
			continue
		}
		weight := 1.0
		if p.way != equalShares {
			weight = p.limit(tenant).Rate
		}
		tenants[key] = Tenant{weight, asked}
	}
	front.gate.Update(tenants, age, front.table.Occupancy(p.snapshot, []string{"s"}, p.Now()), p.Now())
}

// shareLoad exchanges the zones' load and counts.
func (p *player) shareLoad() {
	p.sharedAt = p.Now()
	for zone := range playZones {
		p.shared[zone] = balance.Report{}
		p.shared[zone].Add(p.zoneLoad[zone])
		for other := range playZones {
			if share, send := p.relays[zone].ShareFor(strconv.Itoa(other), p.Now()); send && other != zone {
				share.Counts.RoundDemand(p.random.Float64)
				p.send(share.Marshal(), playZoneDelay, func(message []byte) {
					decoded, _ := quota.UnmarshalShare(message)
					p.relays[other].Share(transport.Address(strconv.Itoa(zone)), decoded, p.Now())
				})
			}
		}
	}
	p.After(playReportInterval, p.shareLoad)
}

func (p *player) send(message []byte, delay time.Duration, deliver func([]byte)) {
	p.bytes += len(message)
	if p.random.Float64() >= p.lossRate {
		p.After(delay, func() { deliver(message) })
	}
}

func (p *player) reportDue(front *playFront) {
	p.After(playReportInterval, func() { p.reportDue(front) })
	if front.limiter.Due(p.Now()) {
		p.reportCounts(front)
	}
}

func (p *player) reportCounts(front *playFront) {
	relay := transport.Address(strconv.Itoa(front.zone))
	report, _ := front.limiter.Report(1, relay, p.Now())
	report.Counts.RoundDemand(p.random.Float64)
	if front.cutOff {
		return
	}
	p.send(report.Marshal(), playDelay, func(message []byte) {
		decoded, _ := quota.UnmarshalReport(message)
		collector := p.relays[front.zone]
		collector.Report(front.name, decoded, p.Now())
		sum := collector.Sum(front.name, func(quota.Key) float64 { return 0 }, p.Now())
		sum.Counts.RoundDemand(p.random.Float64)
		p.send(sum.Marshal(), playDelay, func(message []byte) {
			decoded, _ := quota.UnmarshalSum(message)
			front.limiter.ReceiveSum(relay, decoded, p.Now())
		})
	})
}

// offer generates a tenant's requests, factor times as many as usual.
func (p *player) offer(tenant int) {
	rate := p.usual[tenant] * p.factor(tenant, p.Now().Sub(playStart))
	gap := time.Duration(p.random.ExpFloat64() / rate * float64(time.Second))
	if gap > playReportInterval { // draws again, as the rate may have changed
		p.After(playReportInterval, func() { p.offer(tenant) })
		return
	}
	p.After(gap, func() {
		since := p.Now().Sub(playStart)
		request := &playRequest{tenant: tenant, deadline: p.Now().Add(playDeadline), counted: since >= playWarmUp && since < playWarmUp+playCrowd}
		if request.counted {
			p.outcomes[tenant].asked++
		}
		p.arrive(request)
		p.offer(tenant)
	})
}

// play runs the warm-up, the crowd and the time in which its callers return.
func (p *player) play() {
	for tenant := range p.usual {
		p.offer(tenant)
	}
	p.Run(playWarmUp + playCrowd + playDeadline)
}

func (p *player) arrive(request *playRequest) {
	request.arrived = p.Now()
	front := p.fronts[p.random.IntN(len(p.fronts))]
	p.checkLimit(front, request, false)
}

func (p *player) checkLimit(front *playFront, request *playRequest, final bool) {
	now := p.Now()
	decision := front.limiter.Check(quota.Key(request.tenant), p.limit(request.tenant), final, now, p.random.Float64)
	switch decision.Verdict {
	case quota.Unsure:
		p.reportCounts(front)
		p.After(5*time.Millisecond, func() { p.checkLimit(front, request, true) })
		return
	case quota.Refused:
		p.returnAfter(request, decision.RetryAfter, func(o *outcome) { o.limited++ })
		return
	}
	if p.way == sharesByZone {
		front.limiter.AddDemand(p.key(request.tenant, front), now)
	}
	front.gate.Count(p.key(request.tenant, front), now)
	p.updateIfDue(front)
	share := front.gate.Decide(p.key(request.tenant, front), []string{"s"}, now, p.random.Float64())
	if share.Refused {
		p.refused++
		front.limiter.Withdraw(quota.Key(request.tenant), now, now)
		p.returnAfter(request, p.spread(front, request), func(o *outcome) { o.overShare++ })
		return
	}
	p.hearLoad(front)
	p.After(playChooseDelay, func() { p.choose(front, request, now) })
}

// hearLoad tells a front node the present load of its zone, and the last share of others.
func (p *player) hearLoad(front *playFront) {
	if front.heardAt != p.sharedAt {
		front.heardAt = p.sharedAt
		for i := range playZones - 1 {
			zone := (front.zone + 1 + i) % playZones
			front.table.SetPeerLoad(strconv.Itoa(zone), p.shared[zone], p.Now())
		}
	}
	front.table.SetPeerLoad(strconv.Itoa(front.zone), p.zoneLoad[front.zone].Without(front.reported), p.Now())
}

func (p *player) spread(front *playFront, request *playRequest) time.Duration {
	return returns.Spread(returns.Refusal{Deadline: request.deadline, MeanRun: front.table.MeanHold()}, p.Now(), p.random.Float64())
}

// returnAfter refuses a try; callers return once if they have the time.
func (p *player) returnAfter(request *playRequest, wait time.Duration, count func(*outcome)) {
	if request.counted {
		count(&p.outcomes[request.tenant])
	}
	if request.again || p.Now().Add(wait).After(request.deadline) {
		return
	}
	request.again = true
	p.After(wait, func() { p.arrive(request) })
}

func (p *player) choose(front *playFront, request *playRequest, admitted time.Time) {
	now := p.Now()
	wait := max(0, playTarget-now.Sub(request.arrived)-30*time.Millisecond)
	engine, found := front.table.Choose(p.snapshot, balance.Wish{Service: "s", Zone: strconv.Itoa(front.zone), Wait: wait}, now, p.random.Float64)
	if !found {
		front.limiter.Withdraw(quota.Key(request.tenant), admitted, now)
		p.returnAfter(request, p.spread(front, request), func(o *outcome) { o.noRoom++ })
		return
	}
	front.table.Begin(engine.ID, balance.ClassOnline, 0, now)
	p.After(playDelay, func() { p.reportLoad(front) })
	target := p.engines[engine.ID]
	target.queue = append(target.queue, func() {
		busy := 0.85 + 0.15*float64(target.running)/playSlots
		ran := time.Duration(float64(playMeanRun) * target.speed * busy * (0.6 + 0.8*p.random.Float64()))
		p.After(playPrefill, func() { p.firstEvent(request) })
		p.After(playPrefill+ran, func() {
			target.running--
			front.table.End(engine.ID, balance.ClassOnline, p.Now())
			front.table.RecordResidence(playPrefill + ran)
			front.table.RecordHold(ran)
			p.reportLoad(front)
			target.startNext()
		})
	})
	target.startNext()
}

func (p *player) reportLoad(front *playFront) {
	p.zoneLoad[front.zone] = p.zoneLoad[front.zone].Without(front.reported)
	front.reported = front.table.OwnReport(p.Now())
	p.zoneLoad[front.zone].Add(front.reported)
}

func (e *playEngine) startNext() {
	if e.running < playSlots && len(e.queue) > 0 {
		e.running++
		run := e.queue[0]
		e.queue = e.queue[1:]
		run()
	}
}

func (p *player) firstEvent(request *playRequest) {
	o := &p.outcomes[request.tenant]
	since, inTime := p.Now().Sub(playStart), p.Now().Sub(request.arrived) <= playTarget
	if inTime && since >= playWarmUp && since < playWarmUp+playCrowd {
		p.served++
	}
	switch {
	case !request.counted:
	case !inTime:
		o.late++
	default:
		o.inTime++
		if request.again {
			o.again++
		}
	}
}

// sum returns the outcome of several tenants together.
func (p *player) sum(tenants func(int) bool) outcome {
	total := outcome{}
	for tenant, o := range p.outcomes {
		if tenants(tenant) {
			total = outcome{
				total.asked + o.asked, total.inTime + o.inTime, total.late + o.late, total.limited + o.limited,
				total.overShare + o.overShare, total.noRoom + o.noRoom, total.again + o.again,
			}
		}
	}
	return total
}

func (o outcome) share() float64 { return float64(o.inTime) / float64(max(1, o.asked)) }

// worstTenth returns the mean share in time of the tenth of the tenants that fare worst, the hot
// one left out.
func (p *player) worstTenth() float64 {
	var shares []float64
	for _, o := range p.outcomes[1:] {
		if o.asked > 0 {
			shares = append(shares, o.share())
		}
	}
	slices.Sort(shares)
	total := 0.0
	for _, share := range shares[:len(shares)/10] {
		total += share
	}
	return total / float64(len(shares)/10)
}
