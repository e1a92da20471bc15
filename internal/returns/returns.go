// Package returns decides when callers whose requests were refused should send them again.
//
// It is free of I/O and clocks. See docs/design/029-returns-of-refused-callers.md.
package returns

import "time"

// Refusal is a request that was refused and has not run.
type Refusal struct {
	// Tenant owns the request; empty if callers need no key.
	Tenant string
	// Deadline is when the caller stops waiting; zero if it is unknown.
	Deadline time.Time
	// Earliest is when the reason for the refusal may be gone, as when a tenant's limit or
	// share admits the request; zero if it is unknown.
	Earliest time.Time
	// MeanRun is the mean time that a request holds a slot of an engine.
	MeanRun time.Duration
}

// waitFraction is the part of their remaining time after which callers return at the latest.
const waitFraction = 1.0 / 3

// Spread returns a time to wait that is drawn uniformly from the time after the mean run, when
// running requests have ended, to the longest wait of a caller, so that callers refused
// together don't return together. draw is uniform in [0, 1).
func Spread(refusal Refusal, now time.Time, draw float64) time.Duration {
	earliest, latest := refusal.MeanRun, 2*refusal.MeanRun
	if !refusal.Deadline.IsZero() {
		latest = time.Duration(waitFraction * float64(refusal.Deadline.Sub(now)))
		earliest = min(earliest, latest/2)
	}
	return max(0, earliest+time.Duration(draw*float64(latest-earliest)))
}
