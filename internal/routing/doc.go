// Package routing chooses the engine for one attempt of an online request.
//
// A decision runs in stages over an immutable fleet.Snapshot: filters drop
// endpoints that must not or should not be used, scorers rate the rest from 0 to
// 1, and a picker chooses among the best. Beside the snapshot the stages read
// only what this node observed of its own traffic.
//
// The package does no I/O and never blocks: time is an argument, and random
// numbers come from a seed. A Router is not safe for concurrent use; callers hold
// a lock around each call. The order of calls for one attempt is
//
//	decision, err := router.Pick(now, request, snapshot)
//	router.Observe(now, Outcome{Attempt: decision.Attempt, Kind: OutcomeFirstToken})
//	router.Observe(now, Outcome{Attempt: decision.Attempt, Kind: OutcomeFinished})
//
// where the last may be OutcomeFailed or OutcomeCancelled. It is required for
// every picked attempt, which otherwise counts as in flight forever. Outcomes
// after the last are ignored.
package routing
