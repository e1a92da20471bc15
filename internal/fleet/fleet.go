// Package fleet is the data layer of routing: what this node knows of the
// engines, from the platform's lagging list, load digests of the engines'
// home nodes, and its own traffic. Decisions read immutable snapshots.
package fleet

import (
	"time"

	"chutelock.dev/chutelock/internal/engine"
)

// Endpoint is one engine as this node sees it. Endpoints of a snapshot are
// immutable.
type Endpoint struct {
	Name    string
	Address string // "ip:port" of the engine's HTTP API
	Zone    string
	Region  string
	// Home is the name of the member that admits batch work to this engine.
	Home string
	// Leaving is set as soon as any source says so: the machine list, the
	// engine's own report, or its home node.
	Leaving bool
	// Load is the newest report known; Load.At says how old it is, and is
	// zero while there is none.
	Load engine.Load
}

// Snapshot is all engines at one moment, ordered by name.
type Snapshot struct {
	Taken     time.Time
	Endpoints []*Endpoint
}

// Source gives the newest snapshot without blocking; never nil.
type Source interface {
	Snapshot() *Snapshot
}

// Clients gives the client of an endpoint, shared by all its users.
type Clients interface {
	Client(endpoint *Endpoint) engine.Client
}

// OnlineObserver is told of online requests before they go to an engine and
// after they ended, so that the engine's home can take back batch slack at
// once. It never blocks.
type OnlineObserver interface {
	OnlineStarted(endpoint *Endpoint, requestID string, promptTokens int)
	OnlineFinished(endpoint *Endpoint, requestID string)
}
