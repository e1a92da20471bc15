package batch

import (
	"time"
)

// Fixed is a baseline policy that admits up to Streams batch streams to each engine
// and never preempts them. If YieldToOnline is set, it starts none while the engine
// reports waiting online requests.
type Fixed struct {
	Streams       int
	YieldToOnline bool
	engines       map[string]*fixedEngine
}

type fixedEngine struct {
	running       map[string]struct{}
	waitingOnline int // waiting online requests, as last reported
	gone          bool
}

var _ Policy = (*Fixed)(nil)

// NewFixed returns a policy for any number of engines.
func NewFixed(streams int, yieldToOnline bool) *Fixed {
	return &Fixed{Streams: streams, YieldToOnline: yieldToOnline, engines: map[string]*fixedEngine{}}
}

// Step implements Policy.
func (f *Fixed) Step(_ time.Time, event Event) []Action {
	state := f.engine(event.Engine)
	switch event.Kind {
	case EventLoad:
		state.waitingOnline = event.Load.Waiting - event.Load.WaitingBatch
		state.gone = event.Load.Draining
	case EventBatchStarted:
		state.running[event.Stream] = struct{}{}
	case EventBatchEnded:
		delete(state.running, event.Stream)
	case EventEngineGone:
		state.gone = true
	}
	free := f.Streams - len(state.running)
	if free <= 0 || state.gone || (f.YieldToOnline && state.waitingOnline > 0) {
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
