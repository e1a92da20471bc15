package balance

import "time"

const (
	// distanceSpan is how long the shortest connection counts as a zone's distance, at
	// least: requests open some connections to each zone that they use within it.
	distanceSpan = time.Minute
	// distanceUnknown is assumed of a zone to which no connection was opened lately:
	// between the 16 ms and 24 ms of the regions of two deployments.
	distanceUnknown = 20 * time.Millisecond
)

// distances holds the round trips to zones, as the shortest that opening a connection
// to an engine there took lately: longer ones had to wait for the engine or this node.
// It is not safe for concurrent use.
type distances map[string]*distance

// distance is the least of the present and of the former span.
type distance struct {
	since           time.Time
	present, former time.Duration // 0 is none
}

func (d distances) note(zone string, took time.Duration, now time.Time) {
	known := d[zone]
	switch {
	case known == nil || now.Sub(known.since) > 2*distanceSpan:
		d[zone] = &distance{since: now, present: took}
	case now.Sub(known.since) > distanceSpan:
		*known = distance{since: now, present: took, former: known.present}
	default:
		known.present = min(known.present, took)
	}
}

// roundTrip is the distance of a zone. A zone that was too far away to be used, and is
// not measured any more for that, is tried again after two spans.
func (d distances) roundTrip(zone string, now time.Time) time.Duration {
	known := d[zone]
	switch {
	case known == nil || now.Sub(known.since) > 2*distanceSpan:
		return distanceUnknown
	case known.former > 0:
		return min(known.present, known.former)
	}
	return known.present
}
