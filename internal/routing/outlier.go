package routing

import (
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/engine"
)

// Transition is an ejection or restoration of an endpoint, for logs and metrics.
type Transition struct {
	Endpoint string
	Ejected  bool
	Cause    string
	Until    time.Time
}

// Causes of ejections and restorations.
const (
	CauseFailures       = "consecutive failures"
	CauseNoAnswer       = "accepted and never answered"
	CauseSlow           = "slower than its peers"
	CauseProbeSucceeded = "a probe succeeded"
)

// maxEjectionDoublings keeps the shift in eject from overflowing.
const maxEjectionDoublings = 16

// eject ejects an endpoint unless too many of its peers are ejected.
func (r *Router) eject(now time.Time, state *endpointState, cause string) {
	if state.ejected && now.Before(state.ejectedUntil) {
		return
	}
	if !state.ejected && !r.mayEject(state) {
		return
	}
	config := &r.config.Outliers
	duration := config.EjectionBase << min(state.ejections, maxEjectionDoublings)
	if duration > config.EjectionMax || duration <= 0 {
		duration = config.EjectionMax
	}
	state.ejections++
	state.ejected = true
	state.ejectedUntil = now.Add(duration)
	state.failures = 0
	state.firstToken, state.betweenToken = movingMean{}, movingMean{}
	r.transitions = append(r.transitions, Transition{Endpoint: state.name, Ejected: true, Cause: cause, Until: state.ejectedUntil})
}

// mayEject reports whether each pool of the endpoint allows one more ejection.
func (r *Router) mayEject(state *endpointState) bool {
	for _, pool := range r.pools {
		ejected, member := 0, false
		for i := range pool.members {
			peer := pool.members[i].state
			if peer == state {
				member = true
			}
			if peer.ejected {
				ejected++
			}
		}
		if member && float64(ejected+1) > r.config.Outliers.MaxEjectedShare*float64(len(pool.members)) {
			return false
		}
	}
	return true
}

func (r *Router) restore(state *endpointState) {
	state.ejected = false
	state.ejections = 0
	state.failures = 0
	r.transitions = append(r.transitions, Transition{Endpoint: state.name, Cause: CauseProbeSucceeded})
}

// observeFirstToken records the time to first token and evaluates a probe.
func (r *Router) observeFirstToken(now time.Time, attempt *Attempt) {
	state := attempt.state
	if !attempt.waiting {
		return
	}
	state.stopWaiting(attempt)
	state.lastFirstToken = now
	state.failures = 0
	took := now.Sub(attempt.started)
	attempt.started = now // from now on, the time between tokens is measured
	state.firstToken.add(took.Seconds())
	if attempt.probe && state.ejected {
		r.evaluateProbe(now, state, took)
	}
}

// evaluateProbe restores an endpoint whose probe was about as fast as its peers'
// median, and ejects it for longer otherwise.
func (r *Router) evaluateProbe(now time.Time, state *endpointState, took time.Duration) {
	limit := r.stallLimit()
	if median := r.medianFirstToken; median > 0 {
		config := &r.config.Outliers
		limit = max(time.Duration(config.SlowFactor*float64(median)), median+config.SlowMargin)
	}
	if took > limit {
		r.eject(now, state, CauseSlow)
		return
	}
	state.firstToken = movingMean{}
	r.restore(state)
}

// observeFailure counts a failure, unless it is a client error, and ejects the
// endpoint if it has timed out, failed a probe or failed too often.
func (r *Router) observeFailure(now time.Time, outcome Outcome, wasWaiting bool) {
	state := outcome.Attempt.state
	if outcome.RetryAfter > 0 {
		state.busyUntil = now.Add(min(outcome.RetryAfter, r.config.Outliers.EjectionMax))
	}
	if isClientError(outcome) {
		return
	}
	state.failures++
	state.lastFailure = now
	switch {
	case outcome.TimedOut && wasWaiting && state.lastFirstToken.Before(outcome.Attempt.started):
		r.eject(now, state, CauseNoAnswer)
	case outcome.Attempt.probe, state.failures >= r.config.Outliers.ConsecutiveFailures:
		r.eject(now, state, CauseFailures)
	}
}

// isClientError reports whether the engine rejected an invalid request.
func isClientError(outcome Outcome) bool {
	return outcome.Fate != engine.FateUnknown && outcome.Status >= 400 && outcome.Status < 500 && outcome.Status != 408 && outcome.Status != 429
}

// ejectSlow ejects the endpoints of a pool that are slower than their peers.
func (r *Router) ejectSlow(now time.Time, pool *pool) {
	if now.Sub(pool.lastCompared) < r.config.Outliers.Interval {
		return
	}
	pool.lastCompared = now
	r.ejectSlowBy(now, pool, func(s *endpointState) *movingMean { return &s.betweenToken }, 0)
	median := r.ejectSlowBy(now, pool, func(s *endpointState) *movingMean { return &s.firstToken }, r.config.Outliers.SlowMargin)
	if median > 0 {
		r.medianFirstToken = time.Duration(median * float64(time.Second))
	}
}

func (r *Router) ejectSlowBy(now time.Time, pool *pool, mean func(*endpointState) *movingMean, margin time.Duration) float64 {
	config := &r.config.Outliers
	r.scratch = r.scratch[:0]
	for i := range pool.members {
		if m := mean(pool.members[i].state); m.samples >= config.SlowSamples {
			r.scratch = append(r.scratch, m.value)
		}
	}
	if len(r.scratch) < 3 {
		return 0
	}
	slices.Sort(r.scratch)
	median := r.scratch[(len(r.scratch)-1)/2]
	limit := max(median*config.SlowFactor, median+margin.Seconds())
	for i := range pool.members {
		state := pool.members[i].state
		if m := mean(state); m.samples >= config.SlowSamples && m.value > limit {
			r.eject(now, state, CauseSlow)
		}
	}
	return median
}

// stallLimit returns how long an attempt may wait for its first token before the
// endpoint counts as stalled.
func (r *Router) stallLimit() time.Duration {
	config := &r.config.Outliers
	return max(config.StallAfter, time.Duration(config.StallFactor*float64(r.medianFirstToken)))
}
