package forward

import (
	"time"

	"chutelock.dev/chutelock/internal/returns"
)

const (
	// firstEventOverhead is the part of a target reserved for connecting and reading the prompt.
	firstEventOverhead = 30 * time.Millisecond
	// maxWaitWithoutTarget is how long after its arrival a request without a target waits
	// for an engine.
	maxWaitWithoutTarget = 100 * time.Millisecond
	// maxWaitAfterRun bounds the wait of a request that may have run, which can't be
	// refused as not run, or that continues a stream, for which few engines may be fit.
	maxWaitAfterRun = 800 * time.Millisecond
)

// waitPolicy decides how long a request may wait for an engine and in an engine's queue,
// and when its caller should retry. It has no side effects.
type waitPolicy struct {
	target            time.Duration
	arrived, deadline time.Time // deadline may be zero
	// mayHaveRun is set if an engine may have run the request or a part of its stream.
	mayHaveRun bool
	// begun is set if the caller has a part of the stream.
	begun bool
}

// waitAtEngine is how long the request may queue at an engine and still meet its target;
// 0 if it has no target or has missed it.
func (p waitPolicy) waitAtEngine(now time.Time) time.Duration {
	return max(0, p.target-now.Sub(p.arrived)-firstEventOverhead)
}

// acquireTimeout is how long the request may wait for an engine with a free slot if the
// first choice finds none. A request with a target doesn't wait: under overload it would
// only take the slot of another request and likely be late itself.
func (p waitPolicy) acquireTimeout(now time.Time) time.Duration {
	wait := time.Duration(0)
	switch {
	case p.begun && !p.deadline.IsZero():
		wait = p.deadline.Sub(now) // the stream could only be cut off, and its caller leaves by itself
	case p.mayHaveRun:
		wait = maxWaitAfterRun
	case p.target <= 0:
		wait = maxWaitWithoutTarget - now.Sub(p.arrived)
	}
	if !p.deadline.IsZero() {
		wait = min(wait, p.deadline.Sub(now)-minAttemptTime)
	}
	return max(0, wait)
}

// retryAfter is when the caller of a request that has not run should retry. draw is uniform
// in [0, 1).
func (p waitPolicy) retryAfter(meanRun time.Duration, now time.Time, draw float64) time.Duration {
	return returns.Spread(returns.Refusal{Deadline: p.deadline, MeanRun: meanRun}, now, draw)
}
