package agent

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chutelock.dev/chutelock/internal/settings/dissemination"
)

type metrics struct {
	epoch, revision, age, stale, watching, refused prometheus.Gauge
	changes, pulls, dropped                        prometheus.Counter
}

func newMetrics(registry prometheus.Registerer) *metrics {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: "chutelock_settings_" + name, Help: help})
	}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "chutelock_settings_" + name, Help: help})
	}
	result := &metrics{
		epoch:    gauge("epoch", "Epoch of the settings in force."),
		revision: gauge("revision", "Store revision of the settings in force."),
		age:      gauge("confirmed_age_seconds", "Time since the settings in force were last known to be the newest."),
		stale:    gauge("stale", "1 while the node can't tell whether its settings are the newest."),
		watching: gauge("watching", "1 while the node reads the store."),
		refused:  gauge("store_refused", "1 while the node refuses a store that went back or forked."),
		changes:  counter("changes_total", "Objects changed in force."),
		pulls:    counter("pulls_total", "Pulls from peers."),
		dropped:  counter("messages_dropped_total", "Messages of peers dropped because the queue was full."),
	}
	if registry != nil {
		registry.MustRegister(result.epoch, result.revision, result.age, result.stale, result.watching,
			result.refused, result.changes, result.pulls, result.dropped)
	}
	return result
}

func (m *metrics) recordPublish(action dissemination.Publish) {
	m.epoch.Set(float64(action.Version.Epoch()))
	m.revision.Set(float64(action.Version.Revision()))
	m.changes.Add(float64(len(action.Changes)))
}

func (m *metrics) recordState(machine *dissemination.Machine, now time.Time) {
	if age, known := machine.Age(now); known {
		m.age.Set(age.Seconds())
	}
	m.stale.Set(gaugeValue(machine.Stale(now)))
	m.watching.Set(gaugeValue(machine.Watching()))
	m.refused.Set(gaugeValue(machine.StoreRefused()))
}

func gaugeValue(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
