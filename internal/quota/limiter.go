package quota

import (
	"time"

	"chutelock.dev/chutelock/internal/transport"
)

const (
	// nearLimitMaxAge is the maximum age of others' counts for a tenant near its limit, and
	// lowUseMaxAge that for one at low use.
	nearLimitMaxAge = 60 * time.Millisecond
	lowUseMaxAge    = 400 * time.Millisecond
	// growingMaxAge is the maximum age for a tenant whose requests grow here, and so
	// probably at other nodes.
	growingMaxAge = 20 * time.Millisecond
	// nearLimitFraction is the fraction of the limit from which a tenant is near it, and
	// growingFraction the one from which growth matters: a tenant at less takes longer than
	// a report interval to reach its limit with twenty times its rate.
	nearLimitFraction = 0.5
	growingFraction   = 0.05
	// refreshInterval is the interval between reports without new requests.
	refreshInterval = 400 * time.Millisecond
	// isolationAge is the age of the last sum from which a node is isolated. A node whose
	// relay fails hears from another within refreshInterval and three reports.
	isolationAge = 700 * time.Millisecond
	// handoverReports is how many reports carry remembered counts to a new relay, and
	// departure notices to the former one, as datagrams may be lost.
	handoverReports = 3
	// reserveHold is how long allowance is reserved for a silent node.
	reserveHold = 10 * time.Second
	// pacingPeriod is the time over which the free allowance is spread. Without pacing, a
	// tenant over its limit uses it up at the start of each window, and nodes admit too
	// many requests before they hear of each other: 10% more at ten times the limit over 51
	// nodes.
	pacingPeriod = time.Second
	// maxRetryAfter bounds the retry time of refused callers.
	maxRetryAfter = 5 * time.Second
	// idleWindows is the number of windows after which an idle tenant is dropped.
	idleWindows = 2
)

// Limit is a tenant's limit: within any span of time, Rate requests a second plus
// Burst.
type Limit struct {
	Rate  float64
	Burst float64
}

// Bounds are the window that limits apply to and the tolerated overage: as a fraction
// of the limit, and in requests.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// toleratedFraction is the part of the tolerance that is granted to callers, so that
// slightly high counts refuse no request below the limit. The rest covers the delay
// between nodes.
const toleratedFraction = 0.25

// MaxAdmitted returns the number of requests to admit within the window.
func (b Bounds) MaxAdmitted(limit Limit) float64 {
	exact := limit.Rate*b.Window.Seconds() + limit.Burst
	return exact + toleratedFraction*(b.Overage*exact+b.Slack)
}

// Verdict is the outcome of a check.
type Verdict uint8

// Verdicts.
const (
	// Admitted means that the request is within the limit and was counted.
	Admitted Verdict = iota
	// Refused means that the tenant is at its limit.
	Refused
	// Unsure means that newer counts are needed to decide.
	Unsure
)

// Decision is a verdict and the counts that led to it.
type Decision struct {
	Verdict Verdict
	// RetryAfter is the time after which a refused caller should retry.
	RetryAfter time.Duration
	// Own and Others are the requests admitted within the window, Bound their maximum,
	// and Age the age of Others. Others includes Reserve, which is kept for silent zones.
	Own, Others, Reserve, Bound float64
	Age                         time.Duration
}

// Limiter decides on requests at a front node. It is not safe for concurrent use.
type Limiter struct {
	// PlanReturns makes callers wait for maxRetryAfter while their tenant asks for more than
	// its limit admits.
	PlanReturns bool

	bounds  Bounds
	tenants map[Key]*tenant
	// others are the counts of other nodes as of sumAt, silentZones the zones that don't
	// answer data nodes and that a reserve is added for, and inReserve the counts among
	// others that already use it.
	others, inReserve Counts
	silentZones       SilentZones
	sumAt             time.Time
	// sumIncarnation is the sender of the last sum. remembered are the counts from earlier
	// senders as of rememberedAt; rememberedReports more reports carry them.
	sumIncarnation    uint32
	remembered        Counts
	rememberedAt      time.Time
	rememberedReports int
	// relay is the receiver of the last report, formerRelay the one before;
	// departureNotices more reports come with a notice to it.
	relay, formerRelay transport.Address
	departureNotices   int
	// unreported says that requests were admitted since the last report, at reportedAt.
	unreported bool
	reportedAt time.Time
	sweepAt    time.Time
}

type tenant struct {
	admitted window
	demand   rate
	// reported is the node's own count in its last report. acknowledged is the value of
	// reported when the last sum arrived; other nodes keep a reserve for it.
	reported, acknowledged float64
	// retryAt is the retry time given to the last refused caller.
	retryAt time.Time
}

// NewLimiter returns a limiter without any counts.
func NewLimiter(bounds Bounds) *Limiter {
	return &Limiter{bounds: bounds, tenants: map[Key]*tenant{}}
}

func (l *Limiter) tenant(key Key) *tenant {
	t := l.tenants[key]
	if t == nil {
		t = &tenant{admitted: window{span: l.bounds.Window}}
		l.tenants[key] = t
	}
	return t
}

// Check decides on a request of a tenant. final says that the verdict must not be
// Unsure, and that the demand already includes the request. draw returns uniform
// values in [0, 1).
func (l *Limiter) Check(key Key, limit Limit, final bool, now time.Time, draw func() float64) Decision {
	t := l.tenant(key)
	if !final {
		t.demand.add(now)
	}
	others := l.others[key]
	age := now.Sub(l.sumAt)
	d := Decision{Own: t.admitted.count(now), Bound: l.bounds.MaxAdmitted(limit), Age: age}
	d.Reserve = max(0, l.silentZones.fraction()*d.Bound-l.inReserve[key].Admitted)
	d.Others = l.othersCount(key, d.Reserve, now)
	if !final && (l.stale(d) || t.isGrowing(d)) {
		d.Verdict = Unsure
		return d
	}
	if age > isolationAge {
		d.Verdict = l.decideIsolated(t, d)
	} else {
		demand := pacedDemand(t.demand.current(now)+others.Demand, d.Own+others.Admitted, l.bounds.Window)
		d.Verdict = decideShared(d, demand, draw)
	}
	if d.Verdict == Admitted {
		t.admitted.add(now)
		l.unreported = true
	} else {
		d.RetryAfter = l.retryAfter(t, limit, others.Demand, now)
	}
	return d
}

// othersCount returns the requests admitted by others plus the reserve, as far as they
// are still within the window.
func (l *Limiter) othersCount(key Key, reserved float64, now time.Time) float64 {
	current := (l.others[key].Admitted + reserved) * remainingFraction(now.Sub(l.sumAt), isolationAge, l.bounds.Window)
	return max(current, l.remembered[key].Admitted*remainingFraction(now.Sub(l.rememberedAt), 0, l.bounds.Window))
}

// stale says that others' counts are too old to decide by.
func (l *Limiter) stale(d Decision) bool {
	if d.Own+d.Others < nearLimitFraction*d.Bound {
		return d.Age > lowUseMaxAge
	}
	return d.Age > nearLimitMaxAge
}

// isGrowing says that others' counts are too old as this node has admitted more since than its
// usual rate explains. Other nodes admit as many more before they hear of it, so
// a tenant that jumps to many times its limit exceeds it by what all admit meanwhile.
func (t *tenant) isGrowing(d Decision) bool {
	if d.Age <= growingMaxAge || d.Own+d.Others < growingFraction*d.Bound {
		return false
	}
	return d.Own-t.acknowledged > growthNoise(t.acknowledged, d.Age, t.admitted.span)
}

// pacedDemand returns the demand that the free allowance is spread over. Of a steady tenant's
// it is what exceeds the requests that leave the window, as these free as much. Demand beyond
// the noise of its average counts in full: limits are exceeded in jumps and after restarts if
// the allowance that comes back is spent in advance.
func pacedDemand(demand, counted float64, window time.Duration) float64 {
	returning := counted / window.Seconds()
	if demand-returning > rateNoise(returning) {
		return demand
	}
	return max(0, demand-returning)
}

// decideShared decides by the counts of all nodes. If the demand exceeds the free
// allowance, requests are admitted at random so that about as many fit.
func decideShared(d Decision, demand float64, draw func() float64) Verdict {
	free := d.Bound - d.Own - d.Others
	expected := demand * pacingPeriod.Seconds()
	if free >= 1 && draw()*expected < free {
		return Admitted
	}
	return Refused
}

// decideIsolated decides without others' counts: the node keeps to its acknowledged
// count, for which the others keep a reserve, or to one request.
func (l *Limiter) decideIsolated(t *tenant, d Decision) Verdict {
	if d.Own+1 <= max(1, t.acknowledged*remainingFraction(d.Age, reserveHold-l.bounds.Window, l.bounds.Window)) {
		return Admitted
	}
	return Refused
}

// Withdraw takes back a request that was admitted and reached no engine.
func (l *Limiter) Withdraw(key Key, admitted, now time.Time) {
	if t := l.tenants[key]; t != nil {
		t.admitted.remove(admitted, now)
	}
}

// ReceiveSum takes a relay's answer to a report. After a change of sender, the former
// one's counts apply, too, until they expire, as the new one may not know them yet.
// Late answers of a former relay are ignored.
func (l *Limiter) ReceiveSum(from transport.Address, sum Sum, now time.Time) {
	if from != l.relay {
		return
	}
	if sum.Incarnation != l.sumIncarnation {
		l.sumIncarnation = sum.Incarnation
		l.saveRemembered(now)
	}
	l.others, l.inReserve, l.silentZones, l.sumAt = sum.Counts, sum.InReserve, sum.SilentZones, now
	for _, t := range l.tenants {
		t.acknowledged = t.reported
	}
}

// saveRemembered saves the counts of others, to be reported to a new relay.
func (l *Limiter) saveRemembered(now time.Time) {
	if len(l.others) == 0 && len(l.remembered) == 0 {
		return
	}
	remembered := l.rememberedCounts(now)
	current := Counts{}
	current.add(l.others, remainingFraction(now.Sub(l.sumAt), 0, l.bounds.Window), now.Sub(l.sumAt))
	remembered.mergeMax(current)
	l.remembered, l.rememberedAt, l.rememberedReports = remembered, now, handoverReports
}

// rememberedCounts returns what remains within the window of earlier senders' counts.
func (l *Limiter) rememberedCounts(now time.Time) Counts {
	age := now.Sub(l.rememberedAt)
	fraction := remainingFraction(age, 0, l.bounds.Window)
	if fraction <= 0 {
		l.remembered = nil
	}
	counts := Counts{}
	counts.add(l.remembered, fraction, age)
	return counts
}

// Report returns the report to a relay. formerRelay, if not empty, is to be notified
// that this node has left it.
func (l *Limiter) Report(incarnation uint32, relay transport.Address, now time.Time) (report Report, formerRelay transport.Address) {
	if relay != l.relay {
		l.formerRelay, l.relay, l.departureNotices = l.relay, relay, handoverReports
		l.saveRemembered(now)
	}
	report = Report{Incarnation: incarnation, Counts: l.ownCounts(now)}
	if l.rememberedReports > 0 {
		l.rememberedReports--
		report.Remembered, report.SilentZones = l.rememberedCounts(now), l.silentZones
	}
	if l.departureNotices > 0 {
		l.departureNotices--
		formerRelay = l.formerRelay
	}
	return report, formerRelay
}

func (l *Limiter) ownCounts(now time.Time) Counts {
	l.sweep(now)
	l.unreported, l.reportedAt = false, now
	counts := Counts{}
	for key, t := range l.tenants {
		t.reported = t.admitted.count(now)
		if count := (Count{Admitted: t.reported, Demand: t.demand.current(now)}); count.Admitted > 0 || count.Demand >= 1 {
			counts[key] = count
		}
	}
	return counts
}

// Due reports whether to send a report: requests were admitted since the last one, or
// it is so old that the relay would take this node for lost.
func (l *Limiter) Due(now time.Time) bool {
	return l.unreported || (len(l.tenants) > 0 && now.Sub(l.reportedAt) >= refreshInterval)
}

// sweep drops idle tenants.
func (l *Limiter) sweep(now time.Time) {
	if now.Before(l.sweepAt) {
		return
	}
	l.sweepAt = now.Add(l.bounds.Window)
	for key, t := range l.tenants {
		if now.Sub(t.demand.updatedAt) > idleWindows*l.bounds.Window && now.After(t.retryAt) {
			delete(l.tenants, key)
		}
	}
}
