package dispatch

import (
	"github.com/prometheus/client_golang/prometheus"

	"chutelock.dev/chutelock/internal/jobs"
)

// metrics holds the dispatcher's Prometheus metrics.
type metrics struct {
	running   prometheus.Gauge
	started   prometheus.Counter
	suspended prometheus.Counter
	results   *prometheus.CounterVec
	tokens    prometheus.Counter
}

var statusLabels = map[jobs.ItemStatus]string{
	jobs.ItemOpen:           "returned",
	jobs.ItemSucceeded:      "succeeded",
	jobs.ItemFailed:         "failed",
	jobs.ItemOutcomeUnknown: "outcome_unknown",
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	created := &metrics{
		running: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chutelock_batch_streams", Help: "Batch streams at engines of this home, the suspended ones included.",
		}),
		started: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chutelock_batch_attempts_total", Help: "Attempts of batch items sent to engines.",
		}),
		suspended: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chutelock_batch_suspensions_total", Help: "Batch streams suspended for online requests.",
		}),
		results: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chutelock_batch_results_total", Help: "Results reported, by status.",
		}, []string{"status"}),
		tokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chutelock_batch_tokens_total", Help: "Tokens of batch items that succeeded.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(created.running, created.started, created.suspended, created.results, created.tokens)
	}
	return created
}

func (m *metrics) count(results []jobs.Result) {
	for _, result := range results {
		m.results.WithLabelValues(statusLabels[result.Status]).Inc()
		m.tokens.Add(float64(result.CompletionTokens))
	}
}
