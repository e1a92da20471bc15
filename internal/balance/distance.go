package balance

import "time"

const (
	// rttWindow is the length of a window; the minimum of the last two counts, so that it
	// usually covers several connections to each zone in use.
	rttWindow = time.Minute
	// defaultRTT is assumed for zones without a recent connection. Regions of deployments are
	// 16 to 24 ms apart.
	defaultRTT = 20 * time.Millisecond
)

// rttTracker holds the round-trip time to each zone, estimated as the minimum recent time to
// open a connection to an engine there; longer times include delays at the engine or this
// node. It is not safe for concurrent use.
type rttTracker map[string]*rttMinimum

// rttMinimum holds the minima of the current and the previous window.
type rttMinimum struct {
	since             time.Time
	current, previous time.Duration // 0 means none
}

func (t rttTracker) record(zone string, took time.Duration, now time.Time) {
	zoneRTT := t[zone]
	switch {
	case zoneRTT == nil || now.Sub(zoneRTT.since) > 2*rttWindow:
		t[zone] = &rttMinimum{since: now, current: took}
	case now.Sub(zoneRTT.since) > rttWindow:
		*zoneRTT = rttMinimum{since: now, current: took, previous: zoneRTT.current}
	default:
		zoneRTT.current = min(zoneRTT.current, took)
	}
}

// rtt returns the round-trip time to a zone. An estimate expires after two windows, so that a
// zone not used for its distance is tried again.
func (t rttTracker) rtt(zone string, now time.Time) time.Duration {
	zoneRTT := t[zone]
	switch {
	case zoneRTT == nil || now.Sub(zoneRTT.since) > 2*rttWindow:
		return defaultRTT
	case zoneRTT.previous > 0:
		return min(zoneRTT.current, zoneRTT.previous)
	}
	return zoneRTT.current
}
