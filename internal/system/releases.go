package system

import (
	"github.com/prometheus/client_golang/prometheus"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
)

var (
	descReleaseEngines = prometheus.NewDesc("chutelock_release_engines",
		"Engines by service and software version, as far as known here, and whether they get new requests. A stream or text that a version began can only go on while it has engines.",
		[]string{"service", "version", "state"}, nil)
	descReleaseRequests = prometheus.NewDesc("chutelock_release_requests",
		"This node's requests in flight by service and software version of their engines, and class of work.",
		[]string{"service", "version", "class"}, nil)
)

// Values of the state label of descReleaseEngines.
const (
	stateServing = "serving"
	stateLeaving = "leaving"
	stateDrained = "drained"
)

// releaseCollector implements prometheus.Collector.
type releaseCollector struct{ *core }

// Describe implements prometheus.Collector.
func (c releaseCollector) Describe(descs chan<- *prometheus.Desc) {
	descs <- descReleaseEngines
	descs <- descReleaseRequests
}

// Collect implements prometheus.Collector.
func (c releaseCollector) Collect(metrics chan<- prometheus.Metric) {
	for key, count := range countByRelease(c.catalog.Snapshot().Engines()) {
		metrics <- prometheus.MustNewConstMetric(descReleaseEngines, prometheus.GaugeValue, float64(count),
			key.release.Service, key.release.Version, key.state)
	}
	for release, counts := range c.balancer.OwnByRelease() {
		for class, count := range counts {
			metrics <- prometheus.MustNewConstMetric(descReleaseRequests, prometheus.GaugeValue, float64(count),
				release.Service, release.Version, balance.Class(class).String())
		}
	}
}

// releaseState is a release and the state of some of its engines.
type releaseState struct {
	release catalog.Release
	state   string
}

func countByRelease(engines []catalog.Engine) map[releaseState]int {
	counts := map[releaseState]int{}
	for i := range engines {
		state := stateServing
		switch {
		case engines[i].Leaving:
			state = stateLeaving
		case engines[i].Drained:
			state = stateDrained
		}
		counts[releaseState{engines[i].Release(), state}]++
	}
	return counts
}
