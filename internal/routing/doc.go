// Package routing chooses the engine for one attempt of an online request.
//
// A decision runs in stages over an immutable fleet.Snapshot: filters drop
// endpoints that must not (or had better not) be used, scorers rate the rest
// from 0 to 1, and a picker chooses among the best. Beside the snapshot the
// stages read only what this node saw of its own traffic.
//
// The package is pure: time comes as an argument, randomness from a seed, and
// nothing blocks. A Router is not safe for concurrent use; its shell holds a
// lock around each call. The order of calls for one attempt is
//
//	decision, err := router.Pick(now, request, snapshot)
//	router.Observe(now, Outcome{Attempt: decision.Attempt, Kind: OutcomeFirstToken})
//	router.Observe(now, Outcome{Attempt: decision.Attempt, Kind: OutcomeFinished})
//
// where the last may be OutcomeFailed or OutcomeCancelled and must come for
// every picked attempt, or the endpoint stays charged with it. Outcomes that
// come after the last are ignored.
package routing
