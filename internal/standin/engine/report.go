package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"chutelock.dev/chutelock/internal/standin/engine/scheduler"
	"chutelock.dev/chutelock/internal/standin/fault"
)

// Names of the metrics on /metrics, which the engine client parses.
const (
	MetricRunning      = "engine_requests_running"
	MetricWaiting      = "engine_requests_waiting"
	MetricSuspended    = "engine_requests_suspended"
	MetricKVUse        = "engine_kv_use_ratio"
	MetricStepSeconds  = "engine_step_seconds"
	MetricStepTokens   = "engine_step_tokens"
	MetricDraining     = "engine_draining"
	MetricModel        = "engine_model_loaded"
	MetricAdapter      = "engine_adapter_loaded"
	MetricFencingToken = "engine_fencing_token"
	MetricRole         = "engine_role"
	MetricTokens       = "engine_output_tokens_total"
	MetricPrefilled    = "engine_prefill_tokens_total"
	MetricPreempted    = "engine_preemptions_total"
	// LabelClass divides running and waiting into ClassOnline and ClassBatch.
	LabelClass  = "class"
	ClassOnline = "online"
	ClassBatch  = "batch"
	// LabelName holds the name of a model, an adapter or a role.
	LabelName    = "name"
	LabelVersion = "version"
)

// report is a snapshot of the engine's state.
type report struct {
	at       time.Time
	load     scheduler.Load
	draining bool
	token    uint64
	role     string
	models   map[string]string
	adapters map[string]string
}

// maxReports is the maximum number of reports kept to serve delayed ones.
const maxReports = 1024

// reporter takes a report periodically and serves one that is ReportLag old.
// No other lock is taken under its mutex.
type reporter struct {
	server *Server

	mutex   sync.Mutex
	reports []report // oldest first, never empty
}

func newReporter(server *Server) *reporter {
	created := &reporter{server: server}
	created.reports = []report{server.measure()}
	return created
}

// measure returns a report of the current state.
func (s *Server) measure() report {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	measured := report{
		at:       time.Now(),
		load:     s.scheduler.Load(),
		draining: s.draining,
		token:    s.token,
		role:     s.role,
		models:   make(map[string]string, len(s.models)),
		adapters: make(map[string]string, len(s.adapters)),
	}
	for name, version := range s.models {
		measured.models[name] = version
	}
	for name, version := range s.adapters {
		measured.adapters[name] = version
	}
	return measured
}

func (r *reporter) run(ctx context.Context) {
	ticker := time.NewTicker(r.server.config.ReportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.add(r.server.measure())
		case <-ctx.Done():
			return
		}
	}
}

func (r *reporter) add(measured report) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.reports) >= maxReports {
		r.reports = append(r.reports[:0], r.reports[1:]...)
	}
	r.reports = append(r.reports, measured)
}

// delayed returns the newest report at least the lag old, or else the oldest.
func (r *reporter) delayed(now time.Time) report {
	lag := r.server.config.ReportLag
	if longer, found := r.server.injector.Take(now, fault.ReportLag, fault.Target{}); found {
		lag = time.Duration(longer.Latency)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for i := len(r.reports) - 1; i > 0; i-- {
		if !r.reports[i].at.After(now.Add(-lag)) {
			return r.reports[i]
		}
	}
	return r.reports[0]
}

func (r *reporter) handler() http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(r)
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}

// Describe implements prometheus.Collector. The collector is unchecked.
func (r *reporter) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (r *reporter) Collect(metrics chan<- prometheus.Metric) {
	reported := r.delayed(time.Now())
	load := reported.load
	gauge := func(name, help string, value float64, labels ...string) {
		names := make([]string, 0, len(labels)/2)
		values := make([]string, 0, len(labels)/2)
		for i := 0; i+1 < len(labels); i += 2 {
			names = append(names, labels[i])
			values = append(values, labels[i+1])
		}
		description := prometheus.NewDesc(name, help, names, nil)
		metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, values...)
	}
	count := func(name, help string, value uint64) {
		description := prometheus.NewDesc(name, help, nil, nil)
		metrics <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(value))
	}
	count(MetricTokens, "Output tokens since the start.", load.Tokens)
	count(MetricPrefilled, "Prefilled tokens since the start.", load.Prefilled)
	count(MetricPreempted, "Requests that lost their KV blocks to others.", load.Preempted)
	const runningHelp, waitingHelp = "Requests that hold a slot.", "Requests that wait for a slot."
	gauge(MetricRunning, runningHelp, float64(load.Running-load.RunningBatch), LabelClass, ClassOnline)
	gauge(MetricRunning, runningHelp, float64(load.RunningBatch), LabelClass, ClassBatch)
	gauge(MetricWaiting, waitingHelp, float64(load.Waiting-load.WaitingBatch), LabelClass, ClassOnline)
	gauge(MetricWaiting, waitingHelp, float64(load.WaitingBatch), LabelClass, ClassBatch)
	gauge(MetricSuspended, "Requests that are suspended.", float64(load.Suspended))
	gauge(MetricKVUse, "Share of the KV blocks held by running requests.", load.KVUse())
	gauge(MetricStepSeconds, "Time of the last step.", load.StepTime.Seconds())
	gauge(MetricStepTokens, "Output tokens of the last step.", float64(load.StepTokens))
	gauge(MetricDraining, "1 while the engine is leaving.", boolValue(reported.draining))
	gauge(MetricFencingToken, "Highest token of an order.", float64(reported.token))
	gauge(MetricRole, "Role in force.", 1, LabelName, reported.role)
	for name, version := range reported.models {
		gauge(MetricModel, "Loaded models.", 1, LabelName, name, LabelVersion, version)
	}
	for name, version := range reported.adapters {
		gauge(MetricAdapter, "Loaded adapters.", 1, LabelName, name, LabelVersion, version)
	}
}

func boolValue(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
