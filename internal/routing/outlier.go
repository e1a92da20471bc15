package routing

import (
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/engine"
)

// Transition is an endpoint set aside or taken back, for logs and metrics.
type Transition struct {
	Endpoint string
	Ejected  bool
	Cause    string
	Until    time.Time
}

// Causes of transitions.
const (
	CauseFailures = "consecutive failures"
	CauseNoAnswer = "accepted and never answered"
	CauseSlow     = "slower than its peers"
	CauseProbed   = "a probe succeeded"
)

// maxEjectionDoublings keeps the shift below from overflowing.
const maxEjectionDoublings = 16

// eject sets an endpoint aside unless too many of its peers are.
func (r *Router) eject(now time.Time, state *endpointState, cause string) {
	if state.ejected && now.Before(state.ejectedUntil) {
		return
	}
	if !state.ejected && !r.mayEject(state) {
		return
	}
	config := &r.config.Outliers
	aside := config.EjectionBase << min(state.ejections, maxEjectionDoublings)
	if aside > config.EjectionMax || aside <= 0 {
		aside = config.EjectionMax
	}
	state.ejections++
	state.ejected = true
	state.ejectedUntil = now.Add(aside)
	state.failures = 0
	state.firstToken, state.betweenToken = movingMean{}, movingMean{}
	r.transitions = append(r.transitions, Transition{Endpoint: state.name, Ejected: true, Cause: cause, Until: state.ejectedUntil})
}

// mayEject says whether one more endpoint of each of its pools may go aside.
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
	r.transitions = append(r.transitions, Transition{Endpoint: state.name, Cause: CauseProbed})
}

// observeFirstToken notes that the endpoint answers.
func (r *Router) observeFirstToken(now time.Time, attempt *Attempt) {
	state := attempt.state
	if !attempt.waiting {
		return
	}
	state.stopWaiting(attempt)
	state.lastFirstToken = now
	state.failures = 0
	took := now.Sub(attempt.started)
	attempt.started = now // from here on it dates the tokens
	state.firstToken.add(took.Seconds())
	if attempt.probe && state.ejected {
		r.judgeProbe(now, state, took)
	}
}

// judgeProbe takes an endpoint back if its probe was about as fast as its
// peers usually are, and else sets it aside for longer.
func (r *Router) judgeProbe(now time.Time, state *endpointState, took time.Duration) {
	limit := r.stallLimit()
	if usual := r.usualFirstToken; usual > 0 {
		config := &r.config.Outliers
		limit = max(time.Duration(config.SlowFactor*float64(usual)), usual+config.SlowMargin)
	}
	if took > limit {
		r.eject(now, state, CauseSlow)
		return
	}
	state.firstToken = movingMean{}
	r.restore(state)
}

// observeFailure counts a failure against the endpoint where it is one.
func (r *Router) observeFailure(now time.Time, outcome Outcome, wasWaiting bool) {
	state := outcome.Attempt.state
	if outcome.RetryAfter > 0 {
		state.busyUntil = now.Add(min(outcome.RetryAfter, r.config.Outliers.EjectionMax))
	}
	if isCallersFault(outcome) {
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

// isCallersFault says that the engine refused the request for what it is.
func isCallersFault(outcome Outcome) bool {
	return outcome.Fate != engine.FateUnknown && outcome.Status >= 400 && outcome.Status < 500 && outcome.Status != 408 && outcome.Status != 429
}

// compare sets aside the endpoints of a pool that are slower than their peers.
func (r *Router) compare(now time.Time, pool *pool) {
	if now.Sub(pool.compared) < r.config.Outliers.Interval {
		return
	}
	pool.compared = now
	r.compareBy(now, pool, func(s *endpointState) *movingMean { return &s.betweenToken }, 0)
	median := r.compareBy(now, pool, func(s *endpointState) *movingMean { return &s.firstToken }, r.config.Outliers.SlowMargin)
	if median > 0 {
		r.usualFirstToken = time.Duration(median * float64(time.Second))
	}
}

func (r *Router) compareBy(now time.Time, pool *pool, mean func(*endpointState) *movingMean, margin time.Duration) float64 {
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

// stallLimit is how long an attempt may wait for its first token before the
// endpoint counts as stalled.
func (r *Router) stallLimit() time.Duration {
	config := &r.config.Outliers
	return max(config.StallAfter, time.Duration(config.StallFactor*float64(r.usualFirstToken)))
}
