package system

import (
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/config"
	"chutelock.dev/chutelock/internal/fairshare"
	"chutelock.dev/chutelock/internal/quota"
	"chutelock.dev/chutelock/internal/transport"
)

// Weights are those of the settings, else the limits' rates; names that the configuration
// doesn't have must change no other tenant's.
func TestTenantWeights(t *testing.T) {
	g := gomega.NewWithT(t)
	configuration := &catalog.Configuration{Routes: []catalog.Route{
		{Backends: []catalog.Backend{{Service: "b"}, {Service: "a"}}}, {Backends: []catalog.Backend{{Service: "a"}}},
		{Kind: catalog.KindBatch, Backends: []catalog.Backend{{Service: "c"}}},
	}}
	configuration.SetTenants([]catalog.Tenant{{Name: "limited", Rate: 40}, {Name: "set", Rate: 40}, {Name: "free"}})
	settings := map[string]float64{"set": 2.5, "gone": 7, "absent": 1}
	g.Expect(tenantWeights(configuration, settings)).To(gomega.Equal(map[quota.Key]float64{quota.KeyOf("limited"): 40, quota.KeyOf("set"): 2.5}))
	for name, weight := range map[string]float64{"limited": 40, "set": 2.5, "free": 0, "gone": 0} {
		g.Expect(tenantWeight(configuration.Tenant(name), settings)).To(gomega.Equal(weight), name)
	}
	g.Expect(unknownTenants(configuration, settings)).To(gomega.Equal([]string{"absent", "gone"}))
	g.Expect(onlineServices(configuration)).To(gomega.Equal([]string{"a", "b"}))
}

// Messages about counts must be as ever unless the decisions for contention are in force.
func TestDemandsAreRoundedOnlyWhereActive(t *testing.T) {
	g := gomega.NewWithT(t)
	sent := func(active bool) float64 {
		total := 0.0
		for range 400 {
			counts := quota.Counts{1: {Admitted: 1, Demand: 0.25}}
			prepareDemand(counts, nil, func() bool { return active })
			report, err := quota.UnmarshalReport(quota.Report{Counts: counts}.Marshal())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			total += report.Counts[1].Demand
		}
		return total
	}
	g.Expect(sent(false)).To(gomega.Equal(400.0))
	g.Expect(sent(true)).To(gomega.BeNumerically("~", 100, 40))
	counts := quota.Counts{1: {Demand: 0.25}}
	prepareDemand(counts, nil, nil)
	g.Expect(counts[1].Demand).To(gomega.Equal(0.25))
}

// A node without a relay must tell that it knows nothing of other nodes.
func TestAskingWithoutRelay(t *testing.T) {
	g := gomega.NewWithT(t)
	enforcer := &quotaEnforcer{
		relay: func() (transport.Address, bool) { return "", false }, limiter: quota.NewLimiter(quota.Bounds{Window: 5 * time.Second}),
	}
	enforcer.addDemand(7)
	enforcer.reportIfDue()
	asking, age := enforcer.asking()
	g.Expect(asking[7].Own).To(gomega.BeNumerically(">", 1))
	g.Expect(asking[7].Others).To(gomega.BeZero())
	g.Expect(age).To(gomega.BeNumerically(">", time.Hour))
}

// newTestShareGate returns the gate of a front node with one full engine, whose tenants have no
// limit.
func newTestShareGate(mode string) *shareGate {
	tracker := newTestTracker(fakeMirror{"engines": {"a"}}, time.Second)
	c := &core{
		settings: &config.Node{Overload: config.Overload{Mode: mode}}, registry: prometheus.NewRegistry(), catalog: tracker,
		adapter: &Adapter{Contended: func([]string) bool { return false }}, balancer: balance.New(tracker.Snapshot),
	}
	c.balancer.AcquireMany([]balance.Wish{{Service: "s"}, {Service: "s"}, {Service: "s"}, {Service: "s"}}, 0)
	c.balancer.SetPeerLoad("relay", balance.Report{})
	enforcer := newQuotaEnforcer(config.Quota{Window: 5 * time.Second}, nil, nil, func() bool { return false })
	enforcer.limiter.Report(1, "relay", clock.Now())
	enforcer.limiter.ReceiveSum("relay", quota.Sum{Counts: quota.Counts{quota.KeyOf("hot"): {Demand: 5000}}}, clock.Now())
	s := newShareGate(&front{core: c, quota: enforcer})
	s.configuration, s.services = &catalog.Configuration{}, []string{"s"}
	return s
}

// A request that finds no update of the last moments must be decided by a new one, also the first
// after a pause, and several at a time must share one.
func TestSharesAreUpdatedByRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestShareGate(config.OverloadOn)
	hot, route := &catalog.Tenant{Name: "hot"}, &catalog.Route{Backends: []catalog.Backend{{Service: "s"}}}
	s.decide(hot, route)
	g.Expect(s.gate.State(clock.Now()).Demand).To(gomega.BeNumerically(">", 4900), "the first request")
	g.Expect(s.gate.State(clock.Now()).OverShare).To(gomega.Equal(1))
	first := s.updatedAt
	var requests sync.WaitGroup
	for range 8 {
		requests.Go(func() {
			for range 50 {
				s.decide(hot, route)
			}
		})
	}
	requests.Wait()
	if clock.Since(first) < fairshare.UpdateInterval {
		g.Expect(s.updatedAt).To(gomega.Equal(first))
	}
	s.gate = fairshare.Gate{}
	s.updatedAt = first.Add(-fairshare.UpdateInterval)
	s.decide(hot, route)
	g.Expect(s.gate.State(clock.Now()).Demand).To(gomega.BeNumerically(">", 0), "the first request after a pause")

	s.gate = fairshare.Gate{}
	s.updatedAt = time.Time{}
	s.updating.Lock()
	g.Expect(s.decide(hot, route)).To(gomega.Equal(fairshare.Decision{}), "another request updates")
	s.updating.Unlock()
}

// Where the decisions for contention aren't in force, requests must not be counted, nor shares
// updated.
func TestSharesRestWhereInactive(t *testing.T) {
	for _, mode := range []string{config.OverloadOff, config.OverloadAuto} {
		g := gomega.NewWithT(t)
		s := newTestShareGate(mode)
		g.Expect(s.decide(&catalog.Tenant{Name: "hot"}, &catalog.Route{})).To(gomega.Equal(fairshare.Decision{}))
		g.Expect(s.updatedAt).To(gomega.BeZero())
		asking, _ := s.quota.asking()
		g.Expect(asking[quota.KeyOf("hot")].Own).To(gomega.BeZero())
		g.Expect(s.quota.limiter.Due(clock.Now())).To(gomega.BeFalse())
	}
}
