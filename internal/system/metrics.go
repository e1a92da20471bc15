package system

import (
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/forward"
	"chutelock.dev/chutelock/internal/returns"
	"chutelock.dev/chutelock/internal/tenantstats"
)

// PathMetrics is the path of the metrics.
const PathMetrics = "/metrics"

// latencyBuckets are in seconds.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .2, .4, .8, 1.6, 3.2}

// requestMetrics counts callers' requests.
type requestMetrics struct {
	requests *prometheus.CounterVec
	attempts *prometheus.HistogramVec
	waited   *prometheus.HistogramVec
	first    *prometheus.HistogramVec
	total    *prometheus.HistogramVec
	// retryAfter has the times that refused callers were told, and returns their planned
	// ones by outlook.
	retryAfter *prometheus.HistogramVec
	returns    *prometheus.CounterVec
	resumed    *prometheus.CounterVec
}

func newRequestMetrics(registry prometheus.Registerer) *requestMetrics {
	histogram := func(name, help string, buckets []float64) *prometheus.HistogramVec {
		vector := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, []string{"kind"})
		registry.MustRegister(vector)
		return vector
	}
	m := &requestMetrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chutelock_requests_total", Help: "Requests by route kind, outcome, and whether their first byte came within the target.",
		}, []string{"kind", "outcome", "in_time"}),
		attempts: histogram("chutelock_request_attempts", "Exchanges with engines a request.", []float64{0, 1, 2, 3, 5, 8}),
		waited:   histogram("chutelock_request_wait_seconds", "Time that a request waited for an engine with room.", latencyBuckets),
		first:    histogram("chutelock_request_first_seconds", "Time to an answer's head or first event.", latencyBuckets),
		total:    histogram("chutelock_request_seconds", "Time to an answer's end.", latencyBuckets),

		retryAfter: histogram("chutelock_retry_after_seconds", "Retry-After of requests that no engine ran.", latencyBuckets),
		returns: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chutelock_planned_returns_total", Help: "Refusals by what was expected of the return; no-end: no room is foreseen within the longest wait.",
		}, []string{"outlook"}),
	}
	m.resumed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "chutelock_streams_resumed_total", Help: "Streams with events that were sent to an engine again, by the engine's software version relative to that which began them: same, other or unknown.",
	}, []string{"version"})
	registry.MustRegister(m.requests, m.returns, m.resumed)
	return m
}

func (m *requestMetrics) observe(result forward.Result) {
	kind := result.Route.Kind.String()
	inTime := result.First > 0 && result.First <= result.Route.Target
	m.requests.WithLabelValues(kind, result.Verdict, strconv.FormatBool(inTime)).Inc()
	m.attempts.WithLabelValues(kind).Observe(float64(result.Attempts))
	m.waited.WithLabelValues(kind).Observe(result.Waited.Seconds())
	m.total.WithLabelValues(kind).Observe(result.Total.Seconds())
	if result.RetryAfter > 0 {
		m.retryAfter.WithLabelValues(kind).Observe(result.RetryAfter.Seconds())
	}
	if result.First > 0 {
		m.first.WithLabelValues(kind).Observe(result.First.Seconds())
	}
}

func (m *requestMetrics) observeReturn(outlook returns.Outlook) {
	m.returns.WithLabelValues(outlook.String()).Inc()
}

func (m *requestMetrics) observeResumed(began, next catalog.Release) {
	label := "same"
	switch {
	case began == catalog.Release{}:
		label = "unknown"
	case began != next:
		label = "other"
	}
	m.resumed.WithLabelValues(label).Inc()
}

// largestTenants is how many tenants a node counts by themselves; the others are counted
// together.
const largestTenants = 20

// outcomeLate is the outcome of requests that were served after their route's target.
const outcomeLate = "late"

var descTenantRequests = prometheus.NewDesc("chutelock_tenant_requests_total",
	"Online requests by tenant, for those that ask this node most, and outcome: served in time, late, a verdict, or the rule that refused them. Tenant \"\" stands for all others.",
	[]string{"tenant", "outcome"}, nil)

// tenantMetrics counts online requests by tenant. It implements prometheus.Collector.
type tenantMetrics struct{ *tenantstats.Counters }

func newTenantMetrics(registry prometheus.Registerer) tenantMetrics {
	m := tenantMetrics{tenantstats.New(largestTenants)}
	registry.MustRegister(m)
	return m
}

func (m tenantMetrics) observe(result forward.Result) {
	if result.Tenant == "" {
		return
	}
	outcome := result.Verdict
	if result.Late() {
		outcome = outcomeLate
	}
	m.Add(result.Tenant, outcome)
}

// Describe implements prometheus.Collector.
func (m tenantMetrics) Describe(descs chan<- *prometheus.Desc) { descs <- descTenantRequests }

// Collect implements prometheus.Collector.
func (m tenantMetrics) Collect(metrics chan<- prometheus.Metric) {
	for _, count := range m.Counts() {
		metrics <- prometheus.MustNewConstMetric(descTenantRequests, prometheus.CounterValue, float64(count.Count), count.Tenant, count.Outcome)
	}
}

// registerGauges registers gauges that are read when metrics are collected.
func (c *core) registerGauges(gauges map[string]gauge) {
	for name, spec := range gauges {
		c.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: spec.help}, spec.read))
	}
}

type gauge struct {
	help string
	read func() float64
}

func (c *core) commonGauges() map[string]gauge {
	return map[string]gauge{
		"chutelock_configuration_version": {"Version of the configuration in force; 0 while none is known.", func() float64 {
			if configuration := c.catalog.Snapshot().Configuration; configuration != nil {
				return float64(configuration.Version)
			}
			return 0
		}},
		"chutelock_store_silence_seconds": {"Time since the platform's store last answered this node; watchers' is short.", func() float64 {
			return clock.Since(c.agent.LastStoreResponse()).Seconds()
		}},
		"chutelock_configuration_age_seconds": {"Time since this node's configuration was known to be the newest.", func() float64 {
			return c.agent.Age(c.adapter.ConfigurationKind).Seconds()
		}},
		"chutelock_engines_age_seconds": {"Time since this node's list of engines was known to be complete.", func() float64 {
			return c.agent.Age(c.adapter.EnginesKind).Seconds()
		}},
		"chutelock_engine_connections_opened_total": {"Connections opened to engines.", func() float64 {
			return float64(c.pool.Opened.Load())
		}},
		"chutelock_overload_decisions": {"1 while the decisions of overload.mode are in force.", func() float64 {
			if c.overloadActive() {
				return 1
			}
			return 0
		}},
		"chutelock_engines_slow": {"Engines that are slower than usual now, by their own reports to any node.", func() float64 {
			return float64(c.balancer.SpeedSummary().Slow)
		}},
		"chutelock_engines_speed_age_seconds": {"Mean age of the engines' reports of their slowness, of those that still count.", func() float64 {
			return c.balancer.SpeedSummary().MeanAge.Seconds()
		}},
		"chutelock_engines_pace_known": {"Engines whose usual pace relative to others of their service is known from runs.", func() float64 {
			return float64(c.balancer.SpeedSummary().Learned)
		}},
		"chutelock_cold_engines": {"Engines that are cold, as far as known here.", c.catalog.coldEngines},
		"chutelock_requests_waiting": {"Requests that wait for an engine with room.", func() float64 {
			return float64(c.balancer.Waiting())
		}},
	}
}

// serveMetrics serves the metrics if an address is configured.
func (c *core) serveMetrics() error {
	if c.settings.Listen.Metrics == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle(PathMetrics, promhttp.HandlerFor(c.registry, promhttp.HandlerOpts{}))
	c.metrics = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	return serve(c.settings.Listen.Metrics, c.metrics)
}
