package batchwork

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// cutCause is why a run was cut.
type cutCause string

const (
	cutOnline       cutCause = "online" // its slot was needed
	cutNotLeading   cutCause = "not-leading"
	cutJobEnded     cutCause = "job-ended"
	cutExecutorLost cutCause = "executor-lost"
	cutSuperseded   cutCause = "superseded"
)

// Metrics counts batch work at a leader. A nil Metrics counts nothing.
type Metrics struct {
	refused, cuts, ended, dropped *prometheus.CounterVec
}

// NewMetrics returns metrics that are registered with a registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	counter := func(name, help, label string) *prometheus.CounterVec {
		vector := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
		registry.MustRegister(vector)
		return vector
	}
	return &Metrics{
		refused: counter("chutelock_batch_jobs_refused_total", "Batch jobs refused by this node as the leader: too late, or queue full.", "cause"),
		cuts:    counter("chutelock_batch_runs_cut_total", "Runs of items that this node as the leader cut.", "cause"),
		ended:   counter("chutelock_batch_items_ended_total", "Items that ended at this node as the leader: in time, late or given up.", "outcome"),
		dropped: counter("chutelock_batch_updates_dropped_total", "Updates of items that had no effect at this node as the leader: superseded by another run's text, or closed.", "outcome"),
	}
}

func (m *Metrics) jobRefused(cause string) {
	if m != nil {
		m.refused.WithLabelValues(cause).Inc()
	}
}

func (m *Metrics) runCut(cause cutCause) {
	if m != nil {
		m.cuts.WithLabelValues(string(cause)).Inc()
	}
}

func (m *Metrics) updateDropped(outcome updateOutcome) {
	if m != nil {
		m.dropped.WithLabelValues(outcome.String()).Inc()
	}
}

func (m *Metrics) itemEnded(state State, due, now time.Time) {
	if m == nil || state == StateOpen {
		return
	}
	outcome := "in-time"
	switch {
	case state == StateDead:
		outcome = "given-up"
	case now.After(due):
		outcome = "late"
	}
	m.ended.WithLabelValues(outcome).Inc()
}
