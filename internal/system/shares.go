package system

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/fairshare"
	"chutelock.dev/chutelock/internal/quota"
	"chutelock.dev/chutelock/internal/returns"
	"chutelock.dev/chutelock/internal/telemetry"
)

var eventWeightUnknown = telemetry.Define(2113, "tenant-weight-unknown", "overload.weights names tenants that the configuration doesn't have; their weights are ignored until it does.")

// shareGate refuses online requests that exceed their tenant's share of the room while it is
// short.
type shareGate struct {
	*front
	overShare prometheus.Counter

	mutex sync.Mutex // guards the fields below; a leaf
	gate  fairshare.Gate

	updating      sync.Mutex            // guards the fields below; acquired before all others, by TryLock only
	updatedAt     time.Time             // the start of the last update
	weights       map[quota.Key]float64 // of all tenants of configuration
	services      []string              // of its online routes
	configuration *catalog.Configuration
	unknown       string // the names that were logged last
}

func newShareGate(f *front) *shareGate {
	s := &shareGate{front: f, overShare: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "chutelock_requests_over_share_total", Help: "Requests refused as their tenants asked for more than their share while room was short.",
	})}
	f.registry.MustRegister(s.overShare)
	state := func(read func(fairshare.State) float64) func() float64 {
		return func() float64 {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			return read(s.gate.State(clock.Now()))
		}
	}
	f.registerGauges(map[string]gauge{
		"chutelock_shares_capacity":    {"Requests a second over all nodes that are divided among tenants.", state(func(s fairshare.State) float64 { return s.Capacity })},
		"chutelock_shares_demand":      {"Requests a second over all nodes that tenants ask for within their limits.", state(func(s fairshare.State) float64 { return s.Demand })},
		"chutelock_tenants_over_share": {"Tenants that ask for more than their share while room is short.", state(func(s fairshare.State) float64 { return float64(s.OverShare) })},
	})
	return s
}

// updateIfDue updates the shares if they are older than an interval. While a request does so,
// others go on with the last ones. Nodes without requests don't wake up for it.
func (s *shareGate) updateIfDue() {
	if !s.updating.TryLock() {
		return
	}
	defer s.updating.Unlock()
	if now := clock.Now(); now.Sub(s.updatedAt) >= fairshare.UpdateInterval {
		s.updatedAt = now
		s.update()
	}
}

// update divides the room among the tenants that ask at present.
func (s *shareGate) update() {
	s.refresh(s.catalog.Snapshot().Configuration)
	asking, age := s.quota.asking()
	var room balance.FleetOccupancy
	if len(asking) > 0 {
		room = s.balancer.Occupancy(s.services)
	}
	tenants := make(map[quota.Key]fairshare.Tenant, len(asking))
	for key, asked := range asking {
		tenants[key] = fairshare.Tenant{Weight: s.weights[key], Asking: asked}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.gate.Update(tenants, age, room, clock.Now())
}

// refresh updates weights and services if the configuration changed.
func (s *shareGate) refresh(configuration *catalog.Configuration) {
	if configuration == s.configuration || configuration == nil {
		return
	}
	s.configuration = configuration
	s.weights = tenantWeights(configuration, s.settings.Overload.Weights)
	s.services = onlineServices(configuration)
	unknown := strings.Join(unknownTenants(configuration, s.settings.Overload.Weights), " ")
	if unknown != s.unknown && unknown != "" {
		eventWeightUnknown.Info("tenants", unknown, "configuration", configuration.Version)
	}
	s.unknown = unknown
}

// tenantWeights returns the tenants' weights; tenants without one are left out, which counts as 1.
func tenantWeights(configuration *catalog.Configuration, settings map[string]float64) map[quota.Key]float64 {
	weights := map[quota.Key]float64{}
	for tenant := range configuration.EachTenant() {
		if weight := tenantWeight(tenant, settings); weight > 0 {
			weights[quota.KeyOf(tenant.Name)] = weight
		}
	}
	return weights
}

// tenantWeight returns a tenant's weight when room is short: by the settings, else the limit's
// rate. It is 0 for a tenant with neither and for nil.
func tenantWeight(tenant *catalog.Tenant, settings map[string]float64) float64 {
	if tenant == nil {
		return 0
	}
	if weight, set := settings[tenant.Name]; set {
		return weight
	}
	return tenant.Rate
}

// unknownTenants returns the names in the settings that the configuration doesn't have.
func unknownTenants(configuration *catalog.Configuration, settings map[string]float64) []string {
	unknown := []string{}
	for _, name := range slices.Sorted(maps.Keys(settings)) {
		if configuration.Tenant(name) == nil {
			unknown = append(unknown, name)
		}
	}
	return unknown
}

// onlineServices returns the services of all routes for online requests.
func onlineServices(configuration *catalog.Configuration) []string {
	var services []string
	for i := range configuration.Routes {
		if route := &configuration.Routes[i]; route.Kind != catalog.KindBatch {
			services = append(services, route.Services()...)
		}
	}
	slices.Sort(services)
	return slices.Compact(services)
}

// decide decides on a tenant's request that is within its limit.
func (s *shareGate) decide(tenant *catalog.Tenant, route *catalog.Route) fairshare.Decision {
	if !s.overloadActive() {
		return fairshare.Decision{}
	}
	key := quota.KeyOf(tenant.Name)
	if !tenant.Limited() {
		s.quota.addDemand(key)
	}
	s.count(key)
	s.updateIfDue()
	s.mutex.Lock()
	decision := s.gate.Decide(key, route.Services(), clock.Now(), rand.Float64())
	s.mutex.Unlock()
	if decision.Refused {
		s.overShare.Inc()
	}
	return decision
}

// count counts a request that its tenant's limit admits.
func (s *shareGate) count(key quota.Key) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.gate.Count(key, clock.Now())
}

// retryAfter returns when a caller refused over its tenant's share should retry: as one that
// found no room, but not before the share has room for it.
func (s *shareGate) retryAfter(refusal returns.Refusal) time.Duration {
	refusal.MeanRun = s.balancer.MeanHold()
	return s.returnTimes.RetryAfter(refusal)
}
