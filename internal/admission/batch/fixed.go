package batch

import (
	"time"
)

// Fixed is the simplest policy: up to Streams batch streams an engine, and no
// new one while the engine reports waiting online requests. Running streams
// are never taken back. Unless HeedLoad is set it doesn't look at reports
// either, and with Streams above the engine's slots it fills the engine: the
// baselines of the experiments.
type Fixed struct {
	Streams  int
	HeedLoad bool
	engines  map[string]*fixedEngine
}

type fixedEngine struct {
	running map[string]struct{}
	online  int // waiting online requests, as last reported
	gone    bool
}

var _ Policy = (*Fixed)(nil)

// NewFixed returns a policy for any number of engines.
func NewFixed(streams int, heedLoad bool) *Fixed {
	return &Fixed{Streams: streams, HeedLoad: heedLoad, engines: map[string]*fixedEngine{}}
}

// Step implements Policy.
func (f *Fixed) Step(_ time.Time, event Event) []Action {
	state := f.engine(event.Engine)
	switch event.Kind {
	case EventLoad:
		state.online = event.Load.Waiting - event.Load.WaitingBatch
		state.gone = event.Load.Draining
	case EventBatchStarted:
		state.running[event.Stream] = struct{}{}
	case EventBatchEnded:
		delete(state.running, event.Stream)
	case EventEngineGone:
		state.gone = true
	}
	free := f.Streams - len(state.running)
	if free <= 0 || state.gone || (f.HeedLoad && state.online > 0) {
		return nil
	}
	switch event.Kind {
	case EventBatchToken, EventBatchStarted, EventOnlineStarted, EventOnlineFinished:
		return nil
	}
	return []Action{{Kind: ActionAdmit, Engine: event.Engine, Count: free}}
}

func (f *Fixed) engine(name string) *fixedEngine {
	state := f.engines[name]
	if state == nil {
		state = &fixedEngine{running: map[string]struct{}{}}
		f.engines[name] = state
	}
	return state
}
