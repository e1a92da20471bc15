// Package batch decides how much batch work an engine's home node admits to
// it, and when running batch streams are taken back for online traffic. It is
// pure: events and time in, actions out.
package batch

import (
	"time"

	"chutelock.dev/chutelock/internal/engine"
)

// EventKind says what an Event tells.
type EventKind uint8

// Kinds of events.
const (
	EventOnlineStarted  EventKind = iota + 1 // an online request is on its way to the engine
	EventOnlineFinished                      // it ended
	EventLoad                                // a lagging report of the engine arrived
	EventBatchStarted                        // a batch stream was sent
	EventBatchToken                          // a batch stream produced a token
	EventBatchEnded                          // a batch stream ended, or was suspended or cancelled
	// EventEngineGone: the engine is leaving, or its home moved. The policy
	// forgets the engine's streams; to end or move them is the caller's task.
	EventEngineGone
	EventTick        // time passes; at least every 10 ms while streams run
	EventEngineOwned // this node became the home again after EventEngineGone
)

// Event is one input of the controller.
type Event struct {
	Kind   EventKind
	Engine string
	// Stream is the request id of the stream that the event is about.
	Stream string
	// PromptTokens is an estimate of the tokens that the engine must prefill,
	// without those expected in its prefix cache; for started streams.
	PromptTokens int
	// Deadline of a started batch stream; zero means none.
	Deadline time.Time
	// Suspended says that an EventBatchEnded is the engine's answer to
	// ActionSuspend: the stream waits for ActionResume or ActionCancel.
	Suspended bool
	Load      engine.Load
}

// ActionKind says what to do.
type ActionKind uint8

// Kinds of actions.
const (
	ActionAdmit   ActionKind = iota + 1 // start up to Count more batch streams
	ActionSuspend                       // suspend the stream, keep its tokens
	ActionResume                        // go on with a suspended stream
	ActionCancel                        // stop the stream; its item goes back to the job
)

// Action is one output of the controller.
type Action struct {
	Kind   ActionKind
	Engine string
	Stream string
	Count  int
}

// Policy decides batch admission; the baselines that experiments compare
// implement it too.
type Policy interface {
	Step(now time.Time, event Event) []Action
}
