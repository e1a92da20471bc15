// Package fleet defines what this node knows of the engines, merged from the
// platform's machine list, load digests of the engines' homes and the node's
// own traffic. Routing decisions read immutable snapshots.
package fleet

import (
	"time"

	"chutelock.dev/chutelock/internal/engine"
)

// Endpoint is an engine as this node sees it. It is immutable once published
// in a snapshot.
type Endpoint struct {
	Name    string
	Address string // "ip:port" of the engine's HTTP API
	Zone    string
	Region  string
	// Home names the cluster member that polls this engine and admits batch
	// work to it.
	Home string
	// Leaving is set when any source reports it: the machine list, the
	// engine's own report, or its home.
	Leaving bool
	// Load is the newest known report; Load.At is zero until one has arrived.
	Load engine.Load
}

// Snapshot holds the known engines at one moment, ordered by name.
type Snapshot struct {
	Taken     time.Time
	Endpoints []*Endpoint
}

// Source returns the newest snapshot, never nil, without blocking.
type Source interface {
	Snapshot() *Snapshot
}

// Clients returns the client of an endpoint, shared by all callers.
type Clients interface {
	Client(endpoint *Endpoint) engine.Client
}

// OnlineObserver is notified before an online request is sent to an engine and
// after it ended, so that the engine's home can reclaim batch capacity at
// once. Its methods never block.
type OnlineObserver interface {
	OnlineStarted(endpoint *Endpoint, requestID string, promptTokens int)
	OnlineFinished(endpoint *Endpoint, requestID string)
}
