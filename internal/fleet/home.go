package fleet

import (
	"time"

	"chutelock.dev/chutelock/internal/engine"
)

// Spec is an engine as stored in the platform's objects of kind "engines".
type Spec struct {
	Name    string   `json:"-"`
	Address string   `json:"address"`
	Zone    string   `json:"zone"`
	Region  string   `json:"region"`
	Models  []string `json:"models"`
}

// HomeEventKind is the kind of a HomeEvent.
type HomeEventKind uint8

// Kinds of events that a node receives for the engines it is the home of.
const (
	HomeGained         HomeEventKind = iota + 1 // this node became the home
	HomeLost                                    // another node became the home, or the engine left the list
	HomeEngineLeaving                           // the engine takes no new work
	HomeEngineBack                              // the engine takes new work again
	HomeLoad                                    // a load report of the engine arrived
	HomeOnlineStarted                           // a gateway is sending an online request to the engine
	HomeOnlineFinished                          // the request ended, or its end was not reported in time
)

// HomeEvent is an event for the home of an engine.
type HomeEvent struct {
	Kind     HomeEventKind
	Endpoint *Endpoint
	// Request identifies the online request; its start and end events carry
	// the same value.
	Request      string
	PromptTokens int
	Load         engine.Load
}

// HomeListener receives the events of this node's engines, one at a time. It
// must not block.
type HomeListener func(now time.Time, event HomeEvent)

// FailureObserver is notified when this node's own traffic finds that an
// engine refused a connection or did not answer; the engine's home then polls
// it at once. Its methods never block.
type FailureObserver interface {
	EngineFailed(endpoint *Endpoint)
}
