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

var eventDrainProgress = telemetry.Define(7204, "zone-drain-progress", "The number of this node's requests in flight at engines of drained zones; logged when there are some, again at growing intervals, and once there are none or no zone is drained.")

const (
	// drainLogInterval is the time between two checks of the requests in flight in
	// drained zones, and the minimum between two log lines; maxDrainLogInterval is
	// the maximum between two lines, as a stream may last for minutes.
	drainLogInterval    = time.Second
	maxDrainLogInterval = 32 * time.Second
)

// drainLogSchedule decides when to log the requests in drained zones. It does no I/O.
type drainLogSchedule struct {
	lastLogged time.Time
	interval   time.Duration // until the next line; 0 while nothing is in flight
}

// advanceIfDue reports whether to log the number of requests in flight now, and if so
// advances the schedule.
func (s *drainLogSchedule) advanceIfDue(inFlight int, now time.Time) bool {
	switch {
	case inFlight == 0:
		ended := s.interval > 0
		s.interval = 0
		return ended
	case s.interval == 0:
		s.interval = drainLogInterval
	case now.Sub(s.lastLogged) < s.interval:
		return false
	default:
		s.interval = min(2*s.interval, maxDrainLogInterval)
	}
	s.lastLogged = now
	return true
}

// logDrainProgress logs the requests in flight in drained zones until the node stops.
func (c *core) logDrainProgress() {
	var schedule drainLogSchedule
	for c.sleep(drainLogInterval) {
		zones := c.catalog.drainedZones()
		inFlight := c.balancer.OwnByZone(zones)
		online, batch := 0, 0
		for _, counts := range inFlight {
			online += counts[balance.ClassOnline]
			batch += counts[balance.ClassBatch]
		}
		if schedule.advanceIfDue(online+batch, clock.Now()) {
			eventDrainProgress.Info("zones", zones, "online", online, "batch", batch, "by_zone", formatByZone(zones, inFlight))
		}
	}
}

func formatByZone(zones []string, inFlight map[string]balance.Counts) string {
	var parts []string
	for _, zone := range zones {
		counts := inFlight[zone]
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

// drainCollector implements prometheus.Collector.
type drainCollector struct{ *core }

// Describe implements prometheus.Collector.
func (c drainCollector) Describe(descs chan<- *prometheus.Desc) {
	descs <- descZoneDrained
	descs <- descDrainRequests
}

// Collect implements prometheus.Collector.
func (c drainCollector) Collect(metrics chan<- prometheus.Metric) {
	zones := c.catalog.drainedZones()
	inFlight := c.balancer.OwnByZone(zones)
	for _, zone := range zones {
		metrics <- prometheus.MustNewConstMetric(descZoneDrained, prometheus.GaugeValue, 1, zone)
		for class, count := range inFlight[zone] {
			metrics <- prometheus.MustNewConstMetric(descDrainRequests, prometheus.GaugeValue, float64(count), zone, balance.Class(class).String())
		}
	}
}
