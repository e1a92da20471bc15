package sim

import (
	"fmt"
	"time"

	"chutelock.dev/chutelock/internal/admission/batch"
	"chutelock.dev/chutelock/internal/engine"
)

// PolicyKind names a way to admit batch work.
type PolicyKind string

// The kinds of policies.
const (
	// PolicyNone runs no batch work: the reference for harm.
	PolicyNone PolicyKind = "none"
	// PolicyFIFO fills the engines and gives batch work online's priority.
	PolicyFIFO PolicyKind = "fifo"
	// PolicyEnginePriority fills the engines and relies on their priorities.
	PolicyEnginePriority PolicyKind = "engine_priority"
	// PolicySplit gives batch work engines of its own, a share of OnlineShare
	// being left to online.
	PolicySplit PolicyKind = "static_split"
	// PolicyFixed is the thin first version: Streams an engine, no new one
	// while online requests are reported waiting.
	PolicyFixed PolicyKind = "fixed"
	// PolicyController is batch.Controller.
	PolicyController PolicyKind = "controller"
	// PolicyClairvoyant sees the engines without lag, limits each step at once
	// and for free, and has the bound on steps from the recorded run without
	// batch: the reference for harvest.
	PolicyClairvoyant PolicyKind = "clairvoyant"
)

// Policy is one way of running batch work that an experiment compares.
type Policy struct {
	Name string     `koanf:"name" validate:"required"`
	Kind PolicyKind `koanf:"kind" validate:"oneof=none fifo engine_priority static_split fixed controller clairvoyant"`
	// Routing of online requests; empty means the run's.
	Routing     RoutingKind `koanf:"routing" validate:"omitempty,oneof=least_in_flight node"`
	Streams     int         `koanf:"streams" validate:"gte=0"`
	OnlineShare float64     `koanf:"online_share" validate:"gte=0,lte=1"`
	// Share is Service.BatchShare, for the controller.
	Share float64 `koanf:"share" validate:"gte=0,lte=1"`
	// Price is the clairvoyant's weight of an online stream in batch streams.
	Price float64 `koanf:"price" validate:"gte=0"`
	// Redo makes the controller cancel streams instead of suspending them.
	Redo bool `koanf:"redo"`
}

// pathLatency is what the controller is told of the way to the callers.
const pathLatency = 6 * time.Millisecond

// fillDepth is how many streams beyond an engine's slots a filling policy
// keeps waiting there.
const fillDepth = 4

func (p Policy) admission(shape EngineShape) (batch.Policy, error) {
	switch p.Kind {
	case PolicyFIFO, PolicyEnginePriority, PolicySplit, PolicyClairvoyant:
		return batch.NewFixed(shape.MaxRunning+fillDepth, false), nil
	case PolicyFixed:
		return batch.NewFixed(p.Streams, true), nil
	case PolicyController:
		return batch.NewController(batch.Config{Share: p.Share, Slots: shape.MaxRunning, ChunkTokens: shape.TokenBudget, PathLatency: pathLatency, Redo: p.Redo}), nil
	case PolicyNone:
		return idle{}, nil
	}
	return nil, fmt.Errorf("policy %q: unknown kind %q", p.Name, p.Kind)
}

func (p Policy) priority() engine.Priority {
	if p.Kind == PolicyFIFO {
		return engine.PriorityOnline
	}
	return engine.PriorityBatch
}

// RoutingIn is the routing that the policy uses in a run.
func (p Policy) RoutingIn(config Config) RoutingKind {
	switch {
	case p.Routing != "":
		return p.Routing
	case config.Routing != "":
		return config.Routing
	}
	return RoutingLeastInFlight
}

// deadlineOrder says whether items with less slack go first.
func (p Policy) deadlineOrder() bool { return p.Kind != PolicyFIFO }

// onlineEngines is how many engines, from the first, online requests may use.
func (p Policy) onlineEngines(engines int) int {
	if p.Kind != PolicySplit {
		return engines
	}
	return max(1, min(engines, int(float64(engines)*p.OnlineShare+0.5)))
}

// batchEngine says whether batch work may use the engine.
func (p Policy) batchEngine(index, engines int) bool {
	return p.Kind != PolicySplit || index >= p.onlineEngines(engines)
}

// idle admits nothing.
type idle struct{}

// Step implements batch.Policy.
func (idle) Step(time.Time, batch.Event) []batch.Action { return nil }
