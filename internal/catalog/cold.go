package catalog

import "time"

const (
	// drainMargin extends the cold time assumed for engines after the drain of their zone
	// ends: they may turn cold until then, and their entries report it with a delay.
	drainMargin = 500 * time.Millisecond
	// The permitted rate doubles in rampSteps steps of rampStep once an engine is warm: from
	// 8 requests per second to 16 and 32. rampStep equals slowstart.Span, over which the rate
	// is bounded.
	rampStep  = time.Second
	rampSteps = 2
)

// Paced reports whether requests to the engine need a permit.
func (e *Engine) Paced(now time.Time) bool { return now.Before(e.PacedUntil) }

// PaceFactor returns the multiple of its cold rate that a paced engine may get: 1 while it is
// cold, doubling with each step after that.
func (e *Engine) PaceFactor(now time.Time) int {
	sinceWarm := now.Sub(e.ColdUntil)
	if sinceWarm < 0 {
		return 1
	}
	return 2 << min(int(sinceWarm/rampStep), rampSteps-1)
}

// ColdTracker tracks how long engines stay cold, as far as this node knows. It does no I/O and is
// not safe for concurrent use.
type ColdTracker struct {
	states      map[string]coldState
	initialized bool
}

type coldState struct {
	revision uint64
	// reported is the remaining cold time in the entry's revision, and reportedAt when that
	// revision was first seen. maybePast is set if it was in the first list.
	reported   time.Duration
	reportedAt time.Time
	maybePast  bool
	// warmAt is when the entry reported the engine warm before the reported time was over.
	warmAt time.Time
	// drained is the state at the last update, and drainEnded when a drain last ended.
	drained    bool
	drainEnded time.Time
	// lastCold is the state last returned as a change.
	lastCold bool
}

// ColdChange is an engine that became cold or warm.
type ColdChange struct {
	Engine Engine
	Cold   bool
}

// NewColdTracker returns a ColdTracker without engines.
func NewColdTracker() *ColdTracker { return &ColdTracker{states: map[string]coldState{}} }

// Update sets ColdUntil, PacedUntil and ColdMaybePast of the engines. It returns the changes
// and when to call Update again if nothing changes before; zero if it need not be called.
func (t *ColdTracker) Update(engines []Engine, services map[string]Service, now time.Time) (changes []ColdChange, nextUpdate time.Time) {
	states := map[string]coldState{}
	for i := range engines {
		engine := &engines[i]
		state := t.nextState(engine, now)
		service := services[engine.Service]
		engine.ColdUntil = state.coldUntil(service)
		engine.ColdMaybePast = state.maybePast && state.drainEnded.IsZero()
		if service.ColdRate > 0 && !engine.ColdUntil.IsZero() {
			engine.PacedUntil = engine.ColdUntil.Add(rampSteps * rampStep)
		}
		cold := service.ColdRate > 0 && now.Before(engine.ColdUntil)
		if cold != state.lastCold {
			state.lastCold = cold
			changes = append(changes, ColdChange{*engine, cold})
		}
		if cold && (nextUpdate.IsZero() || engine.ColdUntil.Before(nextUpdate)) {
			nextUpdate = engine.ColdUntil
		}
		if !state.isDefault() {
			states[engine.ID] = state
		}
	}
	t.states, t.initialized = states, t.initialized || len(engines) > 0
	return changes, nextUpdate
}

// nextState returns the state of an engine updated with its current entry.
func (t *ColdTracker) nextState(engine *Engine, now time.Time) coldState {
	state, seen := t.states[engine.ID]
	if !seen || state.revision != engine.Revision || state.reported != engine.ReportedCold {
		state.warmAt = time.Time{}
		if engine.ReportedCold == 0 && now.Before(state.reportedUntil()) {
			state.warmAt = now
		}
		state.revision, state.reported, state.reportedAt = engine.Revision, engine.ReportedCold, now
		state.maybePast = !t.initialized
	}
	if state.drained && !engine.Drained {
		state.drainEnded = now
	}
	state.drained = engine.Drained
	return state
}

// isDefault reports whether no cold time and no drain is recorded, so that the state need not
// be kept.
func (s coldState) isDefault() bool {
	return s.reported == 0 && s.warmAt.IsZero() && s.drainEnded.IsZero() && !s.drained && !s.lastCold
}

// reportedUntil returns when the engine is warm according to its entries; zero if they never
// reported it cold.
func (s coldState) reportedUntil() time.Time {
	if s.reported > 0 {
		return s.reportedAt.Add(s.reported)
	}
	return s.warmAt
}

// coldUntil returns when the engine can take its full rate; zero if it was not cold.
func (s coldState) coldUntil(service Service) time.Time {
	until := s.reportedUntil()
	if s.drainEnded.IsZero() || service.ColdTime <= 0 {
		return until
	}
	if back := s.drainEnded.Add(service.ColdTime + drainMargin); back.After(until) {
		return back
	}
	return until
}

// EndCold ends the cold time that a revision of an engine's entry reports. It has no effect if
// this node knows when that cold time began.
func (t *ColdTracker) EndCold(id string, revision uint64) {
	state, known := t.states[id]
	if !known || state.revision != revision || !state.maybePast {
		return
	}
	state.reportedAt, state.maybePast = state.reportedAt.Add(-state.reported-rampSteps*rampStep), false
	t.states[id] = state
}
