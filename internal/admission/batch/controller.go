package batch

import (
	"time"
)

// Controller admits batch streams to the capacity that online leaves on each
// engine, and preempts them when an online request is announced. See
// docs/design/007-batch-admission.md.
//
// For each engine it tracks two timelines: the real steps, and the simulated
// steps without batch. The 99th percentile of the simulated steps, times the
// slowdown that Config.Share allows, is the limit for online's steps. Longer steps
// are avoided by suspending batch streams where that is worth it: the price is
// the number of batch streams that one waiting online stream outweighs, and is
// adjusted by the share of online's steps over the limit.
//
// Each event costs O(1), except those that suspend, resume or cancel streams,
// which sort the engine's streams. A Controller is not safe for concurrent use.
type Controller struct {
	config  Config
	engines map[string]*engineState
}

var _ Policy = (*Controller)(nil)

// NewController returns a controller for any number of engines.
func NewController(config Config) *Controller {
	return &Controller{config: config.withDefaults(), engines: map[string]*engineState{}}
}

// Configure applies changed settings. Streams above a lowered limit are preempted
// at the next event.
func (c *Controller) Configure(config Config) { c.config = config.withDefaults() }

// Step implements Policy.
func (c *Controller) Step(now time.Time, event Event) []Action {
	state := c.engine(event.Engine)
	if event.Kind == EventEngineOwned || state.hasReturned(event) {
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
		state.recordWaits(now, &c.config)
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

// hasReturned reports whether the event is a report, sent after the engine was
// declared gone, that it is serving again.
func (s *engineState) hasReturned(event Event) bool {
	return s.gone && event.Kind == EventLoad && !event.Load.Draining && event.Load.At.After(s.goneAt)
}

// decide preempts, resumes or admits streams so that the active ones match limit.
func (c *Controller) decide(now time.Time, state *engineState) []Action {
	limit := c.limit(now, state)
	if excess := state.active - limit; excess > 0 {
		return c.preempt(now, state, excess)
	}
	actions := c.cancelLongSuspended(now, state)
	free := limit - state.active
	if free <= 0 || state.draining {
		return actions
	}
	for _, resumed := range state.resumable(free) {
		state.resume(now, resumed, &c.config)
		actions = append(actions, Action{Kind: ActionResume, Engine: state.name, Stream: resumed.id})
		free--
	}
	if state.suspended+state.suspending > 0 {
		return actions // suspended streams take priority over new ones
	}
	if count := min(free, c.maxStarts(state)); count > 0 {
		actions = append(actions, Action{Kind: ActionAdmit, Engine: state.name, Count: count})
	}
	return actions
}

// limit returns how many batch streams the engine's next step should run.
func (c *Controller) limit(now time.Time, state *engineState) int {
	online := state.onlineCount()
	free := c.config.Slots - c.config.ReservedSlots - online
	if state.shared(now) {
		free = free/2 - sharedReserve
	}
	if free <= 0 {
		return 0
	}
	// weight is the cost of online's wait relative to that of the batch streams.
	weight := state.price.value * float64(online) / float64(free)
	if state.real.pendingOnline > 0 {
		if weight > 1 || state.bound <= 0 {
			return 0
		}
		return min(free, c.maxStreams(state))
	}
	if online > 0 {
		free = int(float64(free) * state.fillRatio.value)
	}
	if weight <= preemptAllWeight-1 {
		return free
	}
	return int(float64(free) * max(0, preemptAllWeight-weight))
}

// sharedReserve is how many more slots a home node leaves free while another one
// seems to admit to the same engine and to get part of the announcements.
const sharedReserve = 2

// preemptAllWeight is the weight from which on no batch stream runs beside online;
// from one less on, the number of streams falls linearly.
const preemptAllWeight = 2

// maxStreams returns how many batch streams keep the next step within the bound.
func (c *Controller) maxStreams(state *engineState) int {
	spare := state.bound - state.model.step(float64(state.onlineCount()), state.real.pending)
	if spare <= 0 {
		return 0
	}
	return int(spare / max(1, state.model.perStream()))
}

// maxStarts returns how many more batch prefills keep the next step within the bound.
func (c *Controller) maxStarts(state *engineState) int {
	if state.onlineCount() == 0 || state.bound <= 0 {
		return c.config.MaxStarting - state.starting
	}
	planned := state.model.step(float64(state.onlineCount()+state.active), state.real.pending)
	perPrompt := state.promptTokens.value * float64(state.model.perToken())
	fitting := int(float64(state.bound-planned) / max(1, perPrompt))
	return min(fitting, c.config.MaxStarting-state.starting)
}

// preempt suspends or cancels count streams.
func (c *Controller) preempt(now time.Time, state *engineState, count int) []Action {
	var actions []Action
	for _, victim := range state.victims(count) {
		if !victim.produced {
			state.real.removePrefill(victim.prompt)
		}
		if c.config.CannotSuspend {
			state.remove(victim)
			actions = append(actions, Action{Kind: ActionCancel, Engine: state.name, Stream: victim.id})
			continue
		}
		state.setPhase(victim, phaseSuspending, now)
		actions = append(actions, Action{Kind: ActionSuspend, Engine: state.name, Stream: victim.id})
	}
	return actions
}

// cancelLongSuspended cancels streams that were suspended for too long, so that
// their items can run elsewhere.
func (c *Controller) cancelLongSuspended(now time.Time, state *engineState) []Action {
	if state.suspended == 0 || now.Sub(state.oldestSuspension) < c.config.MaxSuspension {
		return nil
	}
	var actions []Action
	state.oldestSuspension = now
	for _, suspended := range state.ordered() {
		if suspended.phase != phaseSuspended {
			continue
		}
		if now.Sub(suspended.since) >= c.config.MaxSuspension {
			state.remove(suspended)
			actions = append(actions, Action{Kind: ActionCancel, Engine: state.name, Stream: suspended.id})
			continue
		}
		if suspended.since.Before(state.oldestSuspension) {
			state.oldestSuspension = suspended.since
		}
	}
	return actions
}
