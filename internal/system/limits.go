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

// limits holds a front node's counts of tenants' requests against what other nodes
// count.
type limits struct {
	peers transport.Sender
	// receiver is the data node that takes reports.
	receiver    func() (transport.Address, bool)
	incarnation uint32

	mutex   sync.Mutex // guards what is below; a leaf
	limiter *quota.Limiter
	heard   chan struct{} // closes when a sum comes
}

func quotaBounds(settings config.Quota) quota.Bounds {
	return quota.Bounds{Window: settings.Window, Overage: settings.Overage, Slack: settings.Slack}
}

func quotaLimit(tenant *catalog.Tenant) quota.Limit {
	return quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst}
}

func newLimits(settings config.Quota, peers transport.Sender, receiver func() (transport.Address, bool)) *limits {
	return &limits{
		peers: peers, receiver: receiver, incarnation: rand.Uint32(), limiter: quota.NewLimiter(quotaBounds(settings)),
		heard: make(chan struct{}),
	}
}

// admit decides on a request of a tenant, and asks for newer counts first where the
// tenant may be near its limit.
func (l *limits) admit(ctx context.Context, tenant *catalog.Tenant) quota.Decision {
	key, limit := quota.KeyOf(tenant.Name), quotaLimit(tenant)
	decision := l.check(key, limit, false)
	if decision.Verdict != quota.Unsure {
		return decision
	}
	if heard := l.report(); heard != nil {
		timer := time.NewTimer(askTimeout)
		defer timer.Stop()
		select {
		case <-heard:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return l.check(key, limit, true)
}

func (l *limits) check(key quota.Key, limit quota.Limit, last bool) quota.Decision {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.limiter.Check(key, limit, last, clock.Now(), rand.Float64)
}

// withdraw takes back a request that was admitted at a time and reached no engine.
func (l *limits) withdraw(tenant *catalog.Tenant, admitted time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.limiter.Withdraw(quota.KeyOf(tenant.Name), admitted, clock.Now())
}

// reportDue reports what was let through, if there is news.
func (l *limits) reportDue() {
	l.mutex.Lock()
	due := l.limiter.Due(clock.Now())
	l.mutex.Unlock()
	if due {
		l.report()
	}
}

// report sends the counts, and returns what closes with the next sum; nil if nobody
// takes them.
func (l *limits) report() <-chan struct{} {
	to, known := l.receiver()
	if !known {
		return nil
	}
	l.mutex.Lock()
	report, left := l.limiter.Report(l.incarnation, to, clock.Now())
	heard := l.heard
	l.mutex.Unlock()
	if left != "" {
		// Told again with the next reports; if all are lost, its count runs out by itself.
		_ = l.peers.Datagram(left, kindQuotaReport, quota.Report{Incarnation: l.incarnation, Gone: true}.Marshal())
	}
	// A report that can't be sent is like a lost one: no sum comes back.
	_ = l.peers.Datagram(to, kindQuotaReport, report.Marshal())
	return heard
}

// takeSum takes what all others let through.
func (l *limits) takeSum(from transport.Address, payload []byte) {
	sum, err := quota.UnmarshalSum(payload)
	if err != nil {
		eventBadMessage.Error(err, "peer", from)
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.limiter.ReceiveSum(from, sum, clock.Now())
	close(l.heard)
	l.heard = make(chan struct{})
}

// quotaExchange is the part of a data node that takes counts of tenants' requests.
type quotaExchange struct {
	peers  transport.Sender
	bounds quota.Bounds
	facts  func() *catalog.Snapshot

	mutex     sync.Mutex // guards what is below; a leaf
	collector *quota.Collector
	// limits are those of the configuration.
	limits        map[quota.Key]quota.Limit
	configuration *catalog.Configuration
}

func newQuotaExchange(settings *config.Node, peers transport.Sender, facts func() *catalog.Snapshot) *quotaExchange {
	return &quotaExchange{
		peers: peers, bounds: quotaBounds(settings.Quota), facts: facts,
		collector: quota.NewCollector(settings.Node.Zone, settings.Quota.Window, rand.Uint32()),
	}
}

// takeReport takes a front node's counts and answers with those of all others.
func (e *quotaExchange) takeReport(from transport.Address, payload []byte) {
	report, err := quota.UnmarshalReport(payload)
	if err != nil {
		eventBadMessage.Error(err, "peer", from)
		return
	}
	now := clock.Now()
	e.mutex.Lock()
	e.refresh()
	e.collector.Report(from, report, now)
	sum := e.collector.Sum(from, e.bound, now)
	e.mutex.Unlock()
	// A sum that can't be sent is like a lost one; the next report gets another.
	_ = e.peers.Datagram(from, kindQuotaSum, sum.Marshal())
}

// silentZoneCount is the number of zones of which nobody is heard.
func (e *quotaExchange) silentZoneCount() float64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return float64(e.collector.SilentZoneCount(clock.Now()))
}

// refresh reads the limits of a new configuration; the caller holds the mutex.
func (e *quotaExchange) refresh() {
	configuration := e.facts().Configuration
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

// bound is the most that a tenant may be let through; the caller holds the mutex.
func (e *quotaExchange) bound(key quota.Key) float64 {
	limit, known := e.limits[key]
	if !known {
		return 0
	}
	return e.bounds.MaxAdmitted(limit)
}

// takeShare takes what another data node counts.
func (e *quotaExchange) takeShare(from transport.Address, payload []byte) {
	share, err := quota.UnmarshalShare(payload)
	if err != nil {
		eventBadMessage.Error(err, "peer", from)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.collector.Share(from, share, clock.Now())
}

// share sends this node's counts to a data node of a zone, if there are any.
func (e *quotaExchange) share(to transport.Address, zone string) {
	e.mutex.Lock()
	share, some := e.collector.ShareFor(zone, clock.Now())
	e.mutex.Unlock()
	if some {
		// A share that can't be sent is like a lost one; the next is due soon.
		_ = e.peers.Datagram(to, kindQuotaShare, share.Marshal())
	}
}
