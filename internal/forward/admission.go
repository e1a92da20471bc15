package forward

import "time"

const (
	// firstTime is kept of a target for what passes beside the wait at an engine: the
	// prompt is read in some 10 ms, connections and nodes take a few.
	firstTime = 30 * time.Millisecond
	// doorDefault is how long a request without a target looks for an engine after it
	// came, as it loses nothing by that.
	doorDefault = 100 * time.Millisecond
	// committedTime is how long a request looks that may have run: it can't be told that
	// it has not, so that a refusal leaves its caller with nothing. A stream that has
	// begun is given up by its caller after a pause of 2 s, and an engine's silence has
	// taken 1.1 s of that.
	committedTime = 800 * time.Millisecond
	// honouredShare is how much of the time that it has left a caller waits before it
	// comes back.
	honouredShare = 1.0 / 3
)

// admission decides how long a request may look for an engine and wait at one, and
// when its caller may come back. It is pure.
type admission struct {
	target            time.Duration
	arrived, deadline time.Time // deadline may be zero
	// committed: an engine may have run the request.
	committed bool
}

// waitAtEngine is how long the request may wait at an engine and still be in time; 0
// if it has no target or is late already: then it gets what those in time leave.
func (a admission) waitAtEngine(now time.Time) time.Duration {
	return max(0, a.target-now.Sub(a.arrived)-firstTime)
}

// patience is how long the request may look for an engine with room after its first
// look. One that could only be in time by luck is told at once: in overload a slot that
// gets free is taken by who looks next, so that waiting takes it from another one, and
// all who wait look at the same slot. With looks for 20 ms, played at twice
// what the engines bear, 0.91 of those served were in time; with one look 0.95.
func (a admission) patience(now time.Time) time.Duration {
	wait := time.Duration(0)
	switch {
	case a.committed:
		wait = committedTime
	case a.target <= 0:
		wait = doorDefault - now.Sub(a.arrived)
	}
	if !a.deadline.IsZero() {
		wait = min(wait, a.deadline.Sub(now)-leastTime)
	}
	return max(0, wait)
}

// comeBack is when a caller whose request has not run should ask again, draw being
// uniform in [0, 1): after as long as engines take for what they have, as all of them
// are as full as they may be, and from there on spread over all the time that a caller
// is willing to wait, as nobody knows how long there will be no room. Those refused
// together come back apart.
func (a admission) comeBack(ran time.Duration, now time.Time, draw float64) time.Duration {
	first, last := ran, 2*ran
	if !a.deadline.IsZero() {
		last = time.Duration(honouredShare * float64(a.deadline.Sub(now)))
		first = min(first, last/2)
	}
	return max(0, first+time.Duration(draw*float64(last-first)))
}
