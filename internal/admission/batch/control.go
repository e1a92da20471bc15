package batch

import (
	"time"
)

// Controller gives batch work the slack that online leaves on each engine,
// and takes it back when an online request is announced. See
// docs/design/007-batch-admission.md.
//
// For each engine it follows two timelines: the engine's real steps, and the
// steps that online alone would make (shadow). The 99th percentile of the
// second, stretched by the harm that Config.Share allows, bounds the steps
// that online may see. A step that would be longer is kept shorter by
// suspending batch streams, where that is worth it: the price says how many
// batch streams one online stream's wait outweighs, and follows the share of
// online's steps beyond the bound.
//
// Each event costs O(1), but for those that suspend or resume streams, which
// sort the engine's streams. A Controller is not safe for concurrent use.
type Controller struct {
	config  Config
	engines map[string]*engineState
}

var _ Policy = (*Controller)(nil)

// NewController returns a controller for any number of engines.
func NewController(config Config) *Controller {
	return &Controller{config: config.withDefaults(), engines: map[string]*engineState{}}
}

// Configure puts changed settings in force; streams above a lowered limit are
// suspended at the next event.
func (c *Controller) Configure(config Config) { c.config = config.withDefaults() }

// Step implements Policy.
func (c *Controller) Step(now time.Time, event Event) []Action {
	state := c.engine(event.Engine)
	if event.Kind == EventEngineOwned || state.cameBack(event) {
		*state = *newEngineState(event.Engine, &c.config)
	}
	if state.gone {
		return nil
	}
	state.advance(now, &c.config)
	if !state.observe(now, event, &c.config) {
		return nil
	}
	actions := c.decide(now, state)
	if event.Kind == EventOnlineStarted {
		state.noteWaits(now, &c.config)
	}
	return actions
}

func (c *Controller) engine(name string) *engineState {
	state := c.engines[name]
	if state == nil {
		state = newEngineState(name, &c.config)
		c.engines[name] = state
	}
	return state
}

// cameBack says that a report shows an engine that was gone at work again.
func (s *engineState) cameBack(event Event) bool {
	return s.gone && event.Kind == EventLoad && !event.Load.Draining && event.Load.At.After(s.goneAt)
}

// decide compares the active streams with the limit.
func (c *Controller) decide(now time.Time, state *engineState) []Action {
	limit := c.limit(now, state)
	if excess := state.active - limit; excess > 0 {
		return c.yield(now, state, excess)
	}
	actions := c.handBack(now, state)
	room := limit - state.active
	if room <= 0 || state.draining {
		return actions
	}
	for _, resumed := range state.resumable(room) {
		state.resume(now, resumed, &c.config)
		actions = append(actions, Action{Kind: ActionResume, Engine: state.name, Stream: resumed.id})
		room--
	}
	if state.suspended+state.leaving > 0 {
		return actions // these go first
	}
	if count := min(room, c.startable(state)); count > 0 {
		actions = append(actions, Action{Kind: ActionAdmit, Engine: state.name, Count: count})
	}
	return actions
}

// limit is the number of batch streams that the engine's next step should run.
func (c *Controller) limit(now time.Time, state *engineState) int {
	online := state.onlineCount()
	free := c.config.Slots - c.config.Reserve - online
	if state.shared(now) {
		free = free/2 - sharedReserve
	}
	if free <= 0 {
		return 0
	}
	// weight is how much online's wait outweighs the batch streams at stake.
	weight := state.price.value * float64(online) / float64(free)
	if state.real.arriving > 0 {
		if weight > 1 || state.bound <= 0 {
			return 0
		}
		return min(free, c.fitting(state))
	}
	if online > 0 {
		free = int(float64(free) * state.width.value)
	}
	if weight <= yieldAllWeight-1 {
		return free
	}
	return int(float64(free) * max(0, yieldAllWeight-weight))
}

// sharedReserve is how many more slots a home leaves free while another one
// seems to admit to the same engine and to get a part of the announcements.
const sharedReserve = 2

// yieldAllWeight is the weight from which no batch stream runs beside online;
// from one less on they are fewer and fewer.
const yieldAllWeight = 2

// fitting is how many batch streams keep the next step within the bound.
func (c *Controller) fitting(state *engineState) int {
	spare := state.bound - state.model.step(float64(state.onlineCount()), state.real.pending)
	if spare <= 0 {
		return 0
	}
	return int(spare / max(1, state.model.perStream()))
}

// startable is how many batch prefills the next step has time for.
func (c *Controller) startable(state *engineState) int {
	if state.onlineCount() == 0 || state.bound <= 0 {
		return c.config.Starting - state.starting
	}
	planned := state.model.step(float64(state.onlineCount()+state.active), state.real.pending)
	each := state.prompt.value * float64(state.model.perToken())
	fit := int(float64(state.bound-planned) / max(1, each))
	return min(fit, c.config.Starting-state.starting)
}

// yield takes streams back.
func (c *Controller) yield(now time.Time, state *engineState, count int) []Action {
	var actions []Action
	for _, victim := range state.victims(count) {
		if !victim.produced {
			state.real.withdraw(victim.prompt)
		}
		if c.config.Redo {
			state.remove(victim)
			actions = append(actions, Action{Kind: ActionCancel, Engine: state.name, Stream: victim.id})
			continue
		}
		state.setPhase(victim, phaseSuspending, now)
		actions = append(actions, Action{Kind: ActionSuspend, Engine: state.name, Stream: victim.id})
	}
	return actions
}

// handBack cancels streams that were suspended for too long, so that their
// items can run elsewhere.
func (c *Controller) handBack(now time.Time, state *engineState) []Action {
	if state.suspended == 0 || now.Sub(state.oldestHold) < c.config.HoldLimit {
		return nil
	}
	var actions []Action
	state.oldestHold = now
	for _, held := range state.ordered() {
		if held.phase != phaseSuspended {
			continue
		}
		if now.Sub(held.since) >= c.config.HoldLimit {
			state.remove(held)
			actions = append(actions, Action{Kind: ActionCancel, Engine: state.name, Stream: held.id})
			continue
		}
		if held.since.Before(state.oldestHold) {
			state.oldestHold = held.since
		}
	}
	return actions
}
