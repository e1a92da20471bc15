package system

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/config"
	"chutelock.dev/chutelock/internal/quota"
	"chutelock.dev/chutelock/internal/transport"
)

// quotaEnforcer enforces tenants' limits on a front node, with all nodes' counts.
type quotaEnforcer struct {
	peers transport.Sender
	// relay returns the data node to report to.
	relay       func() (transport.Address, bool)
	incarnation uint32
	// overloadActive reports whether refused callers are told when the limit may admit them,
	// and messages carry demands for shares of tenants: rounded without bias, those of the
	// largest tenants.
	overloadActive func() bool

	mutex       sync.Mutex // guards the fields below; a leaf
	limiter     *quota.Limiter
	sumReceived chan struct{} // closed when a sum arrives
}

func quotaBounds(settings config.Quota) quota.Bounds {
	return quota.Bounds{Window: settings.Window, Overage: settings.Overage, Slack: settings.Slack}
}

func quotaLimit(tenant *catalog.Tenant) quota.Limit {
	return quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst}
}

func newQuotaEnforcer(settings config.Quota, peers transport.Sender, relay func() (transport.Address, bool), overloadActive func() bool) *quotaEnforcer {
	return &quotaEnforcer{
		peers: peers, relay: relay, incarnation: rand.Uint32(), limiter: quota.NewLimiter(quotaBounds(settings)),
		sumReceived: make(chan struct{}), overloadActive: overloadActive,
	}
}

// admit decides on a request of a tenant. If the tenant may be near its limit, it gets
// the current counts first.
func (q *quotaEnforcer) admit(ctx context.Context, tenant *catalog.Tenant) quota.Decision {
	key, limit := quota.KeyOf(tenant.Name), quotaLimit(tenant)
	decision := q.check(key, limit, false)
	if decision.Verdict != quota.Unsure {
		return decision
	}
	if received := q.report(); received != nil {
		timer := time.NewTimer(responseTimeout)
		defer timer.Stop()
		select {
		case <-received:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return q.check(key, limit, true)
}

func (q *quotaEnforcer) check(key quota.Key, limit quota.Limit, final bool) quota.Decision {
	active := q.overloadActive() // before the mutex, which is a leaf
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.limiter.PlanReturns = active
	return q.limiter.Check(key, limit, final, clock.Now(), rand.Float64)
}

// withdraw takes back a request that was admitted but reached no engine.
func (q *quotaEnforcer) withdraw(tenant *catalog.Tenant, admitted time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.limiter.Withdraw(quota.KeyOf(tenant.Name), admitted, clock.Now())
}

// reportIfDue reports the admitted requests if a report is due.
func (q *quotaEnforcer) reportIfDue() {
	q.mutex.Lock()
	due := q.limiter.Due(clock.Now())
	q.mutex.Unlock()
	if due {
		q.report()
	}
}

// report sends the counts and returns a channel that is closed when the next sum
// arrives; nil if there is no relay.
func (q *quotaEnforcer) report() <-chan struct{} {
	to, known := q.relay()
	if !known {
		return nil
	}
	q.mutex.Lock()
	report, formerRelay := q.limiter.Report(q.incarnation, to, clock.Now())
	received := q.sumReceived
	q.mutex.Unlock()
	prepareDemand(report.Counts, report.Remembered, q.overloadActive)
	if formerRelay != "" {
		// Repeated with the next reports; if all are lost, the counts expire there.
		_ = q.peers.Datagram(formerRelay, kindQuotaReport, quota.Report{Incarnation: q.incarnation, Gone: true}.Marshal())
	}
	// An unsent report counts as lost: no sum arrives.
	_ = q.peers.Datagram(to, kindQuotaReport, report.Marshal())
	return received
}

// prepareDemand makes a message's counts fit for shares of tenants if active says so. other is the
// message's second list.
func prepareDemand(counts, other quota.Counts, active func() bool) {
	if active != nil && active() {
		counts.KeepLargest(len(other))
		counts.RoundDemand(rand.Float64)
	}
}

// asking returns what tenants ask for over all nodes, and the age of others' counts.
func (q *quotaEnforcer) asking() (map[quota.Key]quota.Asking, time.Duration) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.limiter.Asking(clock.Now())
}

// addDemand counts a request of a tenant without a limit.
func (q *quotaEnforcer) addDemand(key quota.Key) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.limiter.AddDemand(key, clock.Now())
}

// handleSum applies the counts of all other nodes and wakes the requests waiting for them.
func (q *quotaEnforcer) handleSum(from transport.Address, payload []byte) {
	sum, err := quota.UnmarshalSum(payload)
	if err != nil {
		eventMessageInvalid.Error(err, "peer", from)
		return
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.limiter.ReceiveSum(from, sum, clock.Now())
	close(q.sumReceived)
	q.sumReceived = make(chan struct{})
}

// quotaExchange aggregates counts of tenants' requests on a data node.
type quotaExchange struct {
	peers    transport.Sender
	bounds   quota.Bounds
	snapshot func() *catalog.Snapshot
	// overloadActive is that of quotaEnforcer.
	overloadActive func() bool
	saveDue        chan struct{} // of capacity 1: counts of limited tenants arrived

	mutex     sync.Mutex // guards the fields below; a leaf
	collector *quota.Collector
	// limits has the limits of configuration.
	limits        map[quota.Key]quota.Limit
	configuration *catalog.Configuration
}

func newQuotaExchange(settings *config.Node, peers transport.Sender, snapshot func() *catalog.Snapshot) *quotaExchange {
	return &quotaExchange{
		peers: peers, bounds: quotaBounds(settings.Quota), snapshot: snapshot,
		collector: quota.NewCollector(settings.Node.Zone, settings.Quota.Window, rand.Uint32()),
		saveDue:   make(chan struct{}, 1),
	}
}

// handleReport records a front node's counts and responds with those of all others.
func (e *quotaExchange) handleReport(from transport.Address, payload []byte) {
	report, err := quota.UnmarshalReport(payload)
	if err != nil {
		eventMessageInvalid.Error(err, "peer", from)
		return
	}
	now := clock.Now()
	e.mutex.Lock()
	e.refresh()
	e.collector.Report(from, report, now)
	e.requestSave(report.Counts)
	sum := e.collector.Sum(from, e.maxAdmitted, now)
	e.mutex.Unlock()
	prepareDemand(sum.Counts, sum.InReserve, e.overloadActive)
	// An unsent sum counts as lost; the next report gets another.
	_ = e.peers.Datagram(from, kindQuotaSum, sum.Marshal())
}

// silentZoneCount returns the number of zones from which no counts arrive.
func (e *quotaExchange) silentZoneCount() float64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return float64(e.collector.SilentZoneCount(clock.Now()))
}

// refresh updates the limits if the configuration changed; the caller holds the mutex.
func (e *quotaExchange) refresh() {
	configuration := e.snapshot().Configuration
	if configuration == e.configuration {
		return
	}
	e.configuration = configuration
	e.limits = map[quota.Key]quota.Limit{}
	for tenant := range configuration.EachTenant() {
		if tenant.Limited() {
			e.limits[quota.KeyOf(tenant.Name)] = quotaLimit(tenant)
		}
	}
}

// maxAdmitted returns the maximum number of requests admitted for a tenant; 0 without a
// limit. The caller holds the mutex.
func (e *quotaExchange) maxAdmitted(key quota.Key) float64 {
	limit, known := e.limits[key]
	if !known {
		return 0
	}
	return e.bounds.MaxAdmitted(limit)
}

// handleShare records another data node's counts.
func (e *quotaExchange) handleShare(from transport.Address, payload []byte) {
	share, err := quota.UnmarshalShare(payload)
	if err != nil {
		eventMessageInvalid.Error(err, "peer", from)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.refresh()
	e.collector.Share(from, share, clock.Now())
	e.requestSave(share.Counts)
}

// requestSave has counts saved if there may be some of limited tenants. The caller holds the mutex.
func (e *quotaExchange) requestSave(counts quota.Counts) {
	if len(e.limits) == 0 || len(counts) == 0 {
		return
	}
	select {
	case e.saveDue <- struct{}{}:
	default: // requested already
	}
}

// handleMemory records what another data node knows of the time before it started.
func (e *quotaExchange) handleMemory(from transport.Address, payload []byte) {
	memory, err := quota.UnmarshalMemory(payload)
	if err != nil {
		eventMessageInvalid.Error(err, "peer", from)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.collector.LearnRemembered(memory.Counts, clock.Now())
}

// sendShare sends this node's counts, if there are any, to a data node of a zone.
func (e *quotaExchange) sendShare(to transport.Address, zone string) {
	e.mutex.Lock()
	now := clock.Now()
	share, hasCounts := e.collector.ShareFor(zone, now)
	restored := e.collector.Restored(now)
	e.mutex.Unlock()
	if len(restored) > 0 {
		// Repeated with the next share.
		_ = e.peers.Datagram(to, kindQuotaMemory, quota.Memory{Counts: restored}.Marshal())
	}
	if hasCounts {
		prepareDemand(share.Counts, share.Recovered, e.overloadActive)
		// An unsent share counts as lost; the next one follows soon.
		_ = e.peers.Datagram(to, kindQuotaShare, share.Marshal())
	}
}
