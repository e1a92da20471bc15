package fleet

import (
	"time"

	"chutelock.dev/chutelock/internal/engine"
)

// Spec is an engine as the platform's object of kind "engines" describes it.
type Spec struct {
	Name    string   `json:"-"`
	Address string   `json:"address"`
	Zone    string   `json:"zone"`
	Region  string   `json:"region"`
	Models  []string `json:"models"`
}

// HomeEventKind says what a HomeEvent tells.
type HomeEventKind uint8

// Kinds of events that a node gets about the engines that it is home of.
const (
	HomeGained         HomeEventKind = iota + 1 // this node is home from now on
	HomeLost                                    // another node is home, or the engine left the list
	HomeEngineLeaving                           // the engine takes no new work
	HomeEngineBack                              // it takes work again
	HomeLoad                                    // a load report of the engine arrived
	HomeOnlineStarted                           // a gateway sends an online request to the engine
	HomeOnlineFinished                          // that request ended, or nothing was heard of it for long
)

// HomeEvent tells an engine's home what happened.
type HomeEvent struct {
	Kind     HomeEventKind
	Endpoint *Endpoint
	// Request names the online request; it is the same in its two events.
	Request      string
	PromptTokens int
	Load         engine.Load
}

// HomeListener takes the events of this node's engines, one after the other.
// It must not block.
type HomeListener func(now time.Time, event HomeEvent)

// FailureObserver is told by a node's own traffic that an engine refused a
// connection or did not answer; the engine's home then looks at once. It
// never blocks.
type FailureObserver interface {
	EngineFailed(endpoint *Endpoint)
}
