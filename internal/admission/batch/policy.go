// Package batch decides how much batch work an engine's home node admits to it,
// and when running batch streams are preempted for online traffic. It does no
// I/O: it takes events and the time and returns actions.
package batch

import (
	"time"

	"chutelock.dev/chutelock/internal/engine"
)

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	EventOnlineStarted  EventKind = iota + 1 // an online request was announced
	EventOnlineFinished                      // an online request ended
	EventLoad                                // a (delayed) load report arrived
	EventBatchStarted                        // a batch stream was sent
	EventBatchToken                          // a batch stream produced a token
	EventBatchEnded                          // a batch stream ended, or was suspended or cancelled
	// EventEngineGone means that the engine is leaving or has another home node.
	// The policy drops its streams; the caller has to end or move them.
	EventEngineGone
	EventTick        // sent at least every 10 ms while streams run
	EventEngineOwned // this node is the home again after EventEngineGone
)

// Event is an input of a Policy.
type Event struct {
	Kind   EventKind
	Engine string
	// Stream is the request id of the event's stream.
	Stream string
	// PromptTokens estimates the tokens that the engine must prefill for a started
	// stream, without those expected in its prefix cache.
	PromptTokens int
	// Deadline of a started batch stream; zero means none.
	Deadline time.Time
	// Suspended is whether an EventBatchEnded confirms an ActionSuspend: the
	// stream waits for ActionResume or ActionCancel.
	Suspended bool
	Load      engine.Load
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions.
const (
	ActionAdmit   ActionKind = iota + 1 // start up to Count more batch streams
	ActionSuspend                       // suspend the stream and keep its tokens
	ActionResume                        // resume a suspended stream
	ActionCancel                        // cancel the stream and return its item to the job
)

// Action is an output of a Policy.
type Action struct {
	Kind   ActionKind
	Engine string
	Stream string
	Count  int
}

// Policy decides batch admission. Besides Controller, the baselines of experiments
// implement it.
type Policy interface {
	Step(now time.Time, event Event) []Action
}
