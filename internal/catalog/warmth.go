package catalog

import "time"

const (
	// returnMargin is added to the time for which engines of a zone that is drained no
	// more count as cold: they may turn cold until the drain ends, and what they say of
	// that comes up to 2 s later, within the cold time of 3 s and more. An estimate.
	returnMargin = 500 * time.Millisecond
	// riseStep is how long each step lasts in which the pace doubles once an engine is
	// warm, and riseSteps how many there are: at 8 requests a second, 16 and 32. A step is
	// slowstart.Span, within which the bound holds; that two do is an estimate, no engine's
	// maker tells of it.
	riseStep  = time.Second
	riseSteps = 2
)

// Paced says whether requests to the engine need a permit.
func (e *Engine) Paced(now time.Time) bool { return now.Before(e.PacedUntil) }

// PaceFactor is how many times the pace of a cold engine it may get: 1 as long as it is
// cold, and then more step by step.
func (e *Engine) PaceFactor(now time.Time) int {
	warm := now.Sub(e.ColdUntil)
	if warm < 0 {
		return 1
	}
	return 2 << min(int(warm/riseStep), riseSteps-1)
}

// Warmth keeps until when engines are cold, as far as a node can know. It is pure.
type Warmth struct {
	known map[string]warmth
	begun bool
}

type warmth struct {
	revision uint64
	// told is the remaining time of the entry's present revision, and since when that was
	// first seen; maybePast says that it was in the first list.
	told      time.Duration
	since     time.Time
	maybePast bool
	// warmed is when the entry said that the engine is warm sooner than it had told.
	warmed time.Time
	// drained is of the last update, and returned when the drain was seen to end.
	drained  bool
	returned time.Time
	// cold is what was last returned as a change.
	cold bool
}

// WarmthChange is an engine that turned cold, or warm.
type WarmthChange struct {
	Engine Engine
	Cold   bool
}

// NewWarmth returns a value that has seen no engines.
func NewWarmth() *Warmth { return &Warmth{known: map[string]warmth{}} }

// Update sets until when the engines are cold and paced. It returns what changed, and
// when to call next if nothing changes before; zero means not at all.
func (w *Warmth) Update(engines []Engine, services map[string]Service, now time.Time) (changes []WarmthChange, again time.Time) {
	known := map[string]warmth{}
	for i := range engines {
		engine := &engines[i]
		state := w.next(engine, now)
		service := services[engine.Service]
		engine.ColdUntil = state.until(service)
		engine.ColdMaybePast = state.maybePast && state.returned.IsZero()
		if service.ColdRate > 0 && !engine.ColdUntil.IsZero() {
			engine.PacedUntil = engine.ColdUntil.Add(riseSteps * riseStep)
		}
		cold := service.ColdRate > 0 && now.Before(engine.ColdUntil)
		if cold != state.cold {
			state.cold = cold
			changes = append(changes, WarmthChange{*engine, cold})
		}
		if cold && (again.IsZero() || engine.ColdUntil.Before(again)) {
			again = engine.ColdUntil
		}
		if !state.plain() {
			known[engine.ID] = state
		}
	}
	w.known, w.begun = known, w.begun || len(engines) > 0
	return changes, again
}

// next is what is known of an engine with its newest entry.
func (w *Warmth) next(engine *Engine, now time.Time) warmth {
	state, seen := w.known[engine.ID]
	if !seen || state.revision != engine.Revision || state.told != engine.ToldCold {
		state.warmed = time.Time{}
		if engine.ToldCold == 0 && now.Before(state.toldUntil()) {
			state.warmed = now
		}
		state.revision, state.told, state.since = engine.Revision, engine.ToldCold, now
		state.maybePast = !w.begun
	}
	if state.drained && !engine.Drained {
		state.returned = now
	}
	state.drained = engine.Drained
	return state
}

// plain says that the engine was never seen cold, nor in a drained zone: there is nothing
// to remember of it.
func (s warmth) plain() bool {
	return s.told == 0 && s.warmed.IsZero() && s.returned.IsZero() && !s.drained && !s.cold
}

// toldUntil is when the engine is warm by its own words; zero if it never said that it
// was cold.
func (s warmth) toldUntil() time.Time {
	if s.told > 0 {
		return s.since.Add(s.told)
	}
	return s.warmed
}

// until is when the engine bears its full rate; zero if it was not cold.
func (s warmth) until(service Service) time.Time {
	until := s.toldUntil()
	if s.returned.IsZero() || service.ColdTime <= 0 {
		return until
	}
	if back := s.returned.Add(service.ColdTime + returnMargin); back.After(until) {
		return back
	}
	return until
}

// Warm notes that an engine's cold that the entry of a revision tells of is over. It has
// no effect on what this node has seen begin.
func (w *Warmth) Warm(id string, revision uint64) {
	state, known := w.known[id]
	if !known || state.revision != revision || !state.maybePast {
		return
	}
	state.since, state.maybePast = state.since.Add(-state.told-riseSteps*riseStep), false
	w.known[id] = state
}
