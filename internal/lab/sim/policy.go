package sim

import (
	"fmt"
	"time"

	"chutelock.dev/chutelock/internal/admission/batch"
	"chutelock.dev/chutelock/internal/engine"
)

// PolicyKind is a kind of batch admission policy.
type PolicyKind string

// Kinds of policies.
const (
	// PolicyNone runs no batch work; it is the baseline for latencies.
	PolicyNone PolicyKind = "none"
	// PolicyFIFO fills the engines, with batch work at online priority.
	PolicyFIFO PolicyKind = "fifo"
	// PolicyEnginePriority fills the engines, with batch work at batch priority.
	PolicyEnginePriority PolicyKind = "engine_priority"
	// PolicySplit reserves a share OnlineShare of engines for online requests and
	// the rest for batch work.
	PolicySplit PolicyKind = "static_split"
	// PolicyFixed admits up to Streams per engine, and no new one while the load
	// report shows waiting online requests.
	PolicyFixed PolicyKind = "fixed"
	// PolicyController uses batch.Controller.
	PolicyController PolicyKind = "controller"
	// PolicyClairvoyant limits batch work at each step with exact knowledge of the
	// engine, no delay and no cost, using the step bound and routing of a
	// recorded PolicyNone run. It is the reference for batch throughput.
	PolicyClairvoyant PolicyKind = "clairvoyant"
)

// Policy configures how a run admits batch work.
type Policy struct {
	Name string     `koanf:"name" validate:"required"`
	Kind PolicyKind `koanf:"kind" validate:"oneof=none fifo engine_priority static_split fixed controller clairvoyant"`
	// Routing of online requests; empty means Config.Routing.
	Routing     RoutingKind `koanf:"routing" validate:"omitempty,oneof=least_in_flight node"`
	Streams     int         `koanf:"streams" validate:"gte=0"`
	OnlineShare float64     `koanf:"online_share" validate:"gte=0,lte=1"`
	// Share is batch.Config.Share, for PolicyController.
	Share float64 `koanf:"share" validate:"gte=0,lte=1"`
	// Price is how many batch streams one online stream counts as, for
	// PolicyClairvoyant.
	Price float64 `koanf:"price" validate:"gte=0"`
	// Redo makes the controller cancel streams instead of suspending them.
	Redo bool `koanf:"redo"`
}

// pathLatency is the controller's setting for the latency to clients.
const pathLatency = 6 * time.Millisecond

// fillQueueLength is the number of streams that policies that fill engines keep
// queued at each engine.
const fillQueueLength = 4

func (p Policy) newAdmission(shape EngineShape) (batch.Policy, error) {
	switch p.Kind {
	case PolicyFIFO, PolicyEnginePriority, PolicySplit, PolicyClairvoyant:
		return batch.NewFixed(shape.MaxRunning+fillQueueLength, false), nil
	case PolicyFixed:
		return batch.NewFixed(p.Streams, true), nil
	case PolicyController:
		return batch.NewController(batch.Config{Share: p.Share, Slots: shape.MaxRunning, ChunkTokens: shape.TokenBudget, PathLatency: pathLatency, CannotSuspend: p.Redo}), nil
	case PolicyNone:
		return noAdmission{}, nil
	}
	return nil, fmt.Errorf("policy %q: unknown kind %q", p.Name, p.Kind)
}

func (p Policy) batchPriority() engine.Priority {
	if p.Kind == PolicyFIFO {
		return engine.PriorityOnline
	}
	return engine.PriorityBatch
}

// RoutingIn returns the routing that the policy uses in a run.
func (p Policy) RoutingIn(config Config) RoutingKind {
	switch {
	case p.Routing != "":
		return p.Routing
	case config.Routing != "":
		return config.Routing
	}
	return RoutingLeastInFlight
}

// ordersByDeadline reports whether items with earlier deadlines go first.
func (p Policy) ordersByDeadline() bool { return p.Kind != PolicyFIFO }

// onlineEngines returns how many engines, from the first, online requests may use.
func (p Policy) onlineEngines(engines int) int {
	if p.Kind != PolicySplit {
		return engines
	}
	return max(1, min(engines, int(float64(engines)*p.OnlineShare+0.5)))
}

// allowsBatch reports whether batch work may use the engine.
func (p Policy) allowsBatch(index, engines int) bool {
	return p.Kind != PolicySplit || index >= p.onlineEngines(engines)
}

// noAdmission is a batch.Policy that admits nothing.
type noAdmission struct{}

// Step implements batch.Policy.
func (noAdmission) Step(time.Time, batch.Event) []batch.Action { return nil }
