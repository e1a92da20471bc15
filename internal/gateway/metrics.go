package gateway

import (
	"github.com/prometheus/client_golang/prometheus"
)

// Values of the label "code" for requests that ended without an error response.
const (
	codeOK         = "ok"
	codeCallerLeft = "caller_left"
)

// Values of the label "kind" of retries.
const (
	retryPlain  = "retry"
	retryResume = "resume"
	retryHedge  = "hedge"
)

type metrics struct {
	requests     *prometheus.CounterVec
	refusals     *prometheus.CounterVec
	attempts     *prometheus.CounterVec
	retries      *prometheus.CounterVec
	ejections    *prometheus.CounterVec
	restorations prometheus.Counter
	inFlight     prometheus.Gauge
	firstToken   prometheus.Histogram
	betweenToken prometheus.Histogram
	tokens       prometheus.Counter
}

const metricsNamespace = "chutelock"
const metricsSubsystem = "online"

func newMetrics(registry prometheus.Registerer) *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: name, Help: help}, labels)
	}
	histogram := func(name, help string, least float64, count int) prometheus.Histogram {
		return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(least, 1.6, count)})
	}
	m := &metrics{
		requests:     counter("requests_total", "Online requests by path and by the code of their answer.", "path", "code"),
		refusals:     counter("refusals_total", "Requests refused by admission, by reason.", "reason"),
		attempts:     counter("attempts_total", "Attempts at engines by how they ended.", "end"),
		retries:      counter("retries_total", "Second and later attempts by kind.", "kind"),
		ejections:    counter("ejections_total", "Engines set aside, by cause.", "cause"),
		restorations: prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: "restorations_total", Help: "Engines taken back after a probe."}),
		inFlight:     prometheus.NewGauge(prometheus.GaugeOpts{Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: "in_flight", Help: "Online requests in progress, waiting ones included."}),
		firstToken:   histogram("first_token_seconds", "Time from a request's arrival to its first token.", 0.002, 20),
		betweenToken: histogram("between_tokens_seconds", "Time between the tokens of an answer.", 0.0005, 20),
		tokens:       prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: "tokens_total", Help: "Tokens relayed to callers."}),
	}
	if registry != nil {
		registry.MustRegister(m.requests, m.refusals, m.attempts, m.retries, m.ejections, m.restorations, m.inFlight, m.firstToken, m.betweenToken, m.tokens)
	}
	return m
}

// queueCollector collects the current queue lengths at each scrape.
type queueCollector struct {
	lengths     func() map[string]int
	description *prometheus.Desc
}

func newQueueCollector(lengths func() map[string]int) *queueCollector {
	name := prometheus.BuildFQName(metricsNamespace, metricsSubsystem, "queue_length")
	return &queueCollector{lengths: lengths, description: prometheus.NewDesc(name, "Online requests that wait for a slot, by model.", []string{"model"}, nil)}
}

// Describe implements prometheus.Collector.
func (c *queueCollector) Describe(out chan<- *prometheus.Desc) { out <- c.description }

// Collect implements prometheus.Collector.
func (c *queueCollector) Collect(out chan<- prometheus.Metric) {
	for model, length := range c.lengths() {
		out <- prometheus.MustNewConstMetric(c.description, prometheus.GaugeValue, float64(length), model)
	}
}
