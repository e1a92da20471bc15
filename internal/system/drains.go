package system

import (
	"fmt"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/telemetry"
)

var eventDrainProgress = telemetry.Define(7204, "zone-drain-progress", "How many requests this node has under way at engines of drained zones: when it is first seen, again at growing distances, and once there are none, or no zone is drained any more.")

const (
	// drainInterval is the time between two looks at what is under way in drained
	// zones, and the least between two lines on it; drainIntervalMost is the most
	// between two lines, as a stream may go on for minutes.
	drainInterval     = time.Second
	drainIntervalMost = 32 * time.Second
)

// drainWatch decides when to tell of what is under way in drained zones. It is pure.
type drainWatch struct {
	told  time.Time
	pause time.Duration // until the next line; 0 while nothing is under way
}

// due takes how many requests are under way, and says whether that is to be told.
func (w *drainWatch) due(underWay int, now time.Time) bool {
	switch {
	case underWay == 0:
		ended := w.pause > 0
		w.pause = 0
		return ended
	case w.pause == 0:
		w.pause = drainInterval
	case now.Sub(w.told) < w.pause:
		return false
	default:
		w.pause = min(2*w.pause, drainIntervalMost)
	}
	w.told = now
	return true
}

// tellDrains tells how far drained zones are, until the node stops.
func (c *core) tellDrains() {
	var watch drainWatch
	for c.rest(drainInterval) {
		zones := c.facts.drainedZones()
		underWay := c.balancer.OwnByZone(zones)
		online, batch := 0, 0
		for _, counts := range underWay {
			online += counts[balance.ClassOnline]
			batch += counts[balance.ClassBatch]
		}
		if watch.due(online+batch, clock.Now()) {
			eventDrainProgress.Info("zones", zones, "online", online, "batch", batch, "by_zone", byZone(zones, underWay))
		}
	}
}

func byZone(zones []string, underWay map[string]balance.Counts) string {
	var parts []string
	for _, zone := range zones {
		counts := underWay[zone]
		parts = append(parts, fmt.Sprintf("%s: %d online, %d batch", zone, counts[balance.ClassOnline], counts[balance.ClassBatch]))
	}
	return strings.Join(parts, "; ")
}

var (
	descZoneDrained = prometheus.NewDesc("chutelock_zone_drained",
		"1 for each zone whose engines get nothing new from this node.", []string{"zone"}, nil)
	descDrainRequests = prometheus.NewDesc("chutelock_drained_zone_requests",
		"Requests that this node has under way at engines of a drained zone; a leader counts all runs of items.", []string{"zone", "class"}, nil)
)

// drainMetrics implements prometheus.Collector.
type drainMetrics struct{ *core }

// Describe implements prometheus.Collector.
func (m drainMetrics) Describe(into chan<- *prometheus.Desc) {
	into <- descZoneDrained
	into <- descDrainRequests
}

// Collect implements prometheus.Collector.
func (m drainMetrics) Collect(into chan<- prometheus.Metric) {
	zones := m.facts.drainedZones()
	underWay := m.balancer.OwnByZone(zones)
	for _, zone := range zones {
		into <- prometheus.MustNewConstMetric(descZoneDrained, prometheus.GaugeValue, 1, zone)
		for class, count := range underWay[zone] {
			into <- prometheus.MustNewConstMetric(descDrainRequests, prometheus.GaugeValue, float64(count), zone, balance.Class(class).String())
		}
	}
}
