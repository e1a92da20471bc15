package callerconn

import "time"

const (
	// maxLateness is how late a timer may fire before the node counts as overloaded. A request
	// wakes the process several times before its first event is passed on.
	maxLateness = 25 * time.Millisecond
	// shedStep is the share by which more new connections are shed for each sample over
	// maxLateness, and shedDecay the share by which fewer are for each other one.
	shedStep  = 0.1
	shedDecay = 0.02
	// maxShed keeps the node accepting some connections, as it is ready.
	maxShed = 0.9
)

// shedder decides which share of new connections a crowded node sheds. It has no clock and is not safe
// for concurrent use.
type shedder struct{ share float64 }

// observe takes a sample of how late a timer fired. crowded says that this node has more than its even
// share of the callers: shed connections then find a node with more room.
func (s *shedder) observe(lateness time.Duration, crowded bool) {
	switch {
	case !crowded:
		s.share = 0
	case lateness > maxLateness:
		s.share = min(maxShed, s.share+shedStep)
	default:
		s.share = max(0, s.share-shedDecay)
	}
}

// sheds reports whether to shed a connection; draw is uniform in [0, 1).
func (s *shedder) sheds(draw float64) bool { return draw < s.share }
