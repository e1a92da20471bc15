package sim

import (
	"time"

	"chutelock.dev/chutelock/internal/lab/arrivals"
	"chutelock.dev/chutelock/internal/standin/engine/scheduler"
)

// Zone is a place with engines and nodes.
type Zone struct {
	Name    string `koanf:"name" validate:"required"`
	Engines int    `koanf:"engines" validate:"gte=0"`
	Nodes   int    `koanf:"nodes" validate:"gte=1"`
}

// EngineShape is the step-time model and the memory of the engines.
type EngineShape struct {
	MaxRunning          int           `koanf:"max_running" validate:"gt=0"`
	TokenBudget         int           `koanf:"token_budget" validate:"gt=0"`
	BlockTokens         int           `koanf:"block_tokens" validate:"gt=0"`
	Blocks              int           `koanf:"blocks" validate:"gt=0"`
	StepBase            time.Duration `koanf:"step_base" validate:"gt=0"`
	StepPerSequence     time.Duration `koanf:"step_per_sequence" validate:"gte=0"`
	StepPerPrefillToken time.Duration `koanf:"step_per_prefill_token" validate:"gte=0"`
	PreemptSlots        bool          `koanf:"preempt_slots"`
}

func (s EngineShape) scheduler() scheduler.Config {
	return scheduler.Config{
		MaxRunning:          s.MaxRunning,
		TokenBudget:         s.TokenBudget,
		BlockTokens:         s.BlockTokens,
		Blocks:              s.Blocks,
		StepBase:            s.StepBase,
		StepPerSequence:     s.StepPerSequence,
		StepPerPrefillToken: s.StepPerPrefillToken,
		PreemptSlots:        s.PreemptSlots,
	}
}

// Network holds one-way latencies.
type Network struct {
	InZone       time.Duration `koanf:"in_zone" validate:"gte=0"`
	BetweenZones time.Duration `koanf:"between_zones" validate:"gte=0"`
	Client       time.Duration `koanf:"client" validate:"gte=0"`
}

// Reports says how the engines' load reports reach the nodes.
type Reports struct {
	Every time.Duration `koanf:"every" validate:"gt=0"`
	Lag   time.Duration `koanf:"lag" validate:"gte=0"`
}

// Deployment is where traffic is served.
type Deployment struct {
	Name    string      `koanf:"name" validate:"required"`
	Zones   []Zone      `koanf:"zones" validate:"min=1,dive"`
	Engine  EngineShape `koanf:"engine"`
	Network Network     `koanf:"network"`
	Reports Reports     `koanf:"reports"`
	// Takeover is the time from the death of a home node until the next home
	// starts to admit, and from an engine's leaving until homes and gateways
	// know of it.
	Takeover time.Duration `koanf:"takeover" validate:"gt=0"`
	// LeaseExpiry is the time until items of a dead home are given out again.
	LeaseExpiry time.Duration `koanf:"lease_expiry" validate:"gt=0"`
}

// FaultKind names a failure.
type FaultKind string

// The failures.
const (
	FaultEngineDies   FaultKind = "engine_dies"   // at once, and comes back empty after For
	FaultEngineLeaves FaultKind = "engine_leaves" // announced; ends after For, never comes back
	FaultEngineSlow   FaultKind = "engine_slow"   // steps take Factor times as long
	FaultReportsStop  FaultKind = "reports_stop"  // no load report of the engine
	FaultTwoHomes     FaultKind = "two_homes"     // a second node admits to the engine too
	FaultHomeDies     FaultKind = "home_dies"     // the home's batch role stops at once
)

// Fault is a failure on the schedule.
type Fault struct {
	At     time.Duration `koanf:"at" validate:"gte=0"`
	For    time.Duration `koanf:"for" validate:"gte=0"`
	Kind   FaultKind     `koanf:"kind" validate:"oneof=engine_dies engine_leaves engine_slow reports_stop two_homes home_dies"`
	Engine int           `koanf:"engine" validate:"gte=0"`
	Factor float64       `koanf:"factor" validate:"gte=0"`
}

// Config is one run without its policy and seed.
type Config struct {
	Deployment Deployment      `koanf:"deployment"`
	Online     arrivals.Online `koanf:"online"`
	Batch      arrivals.Batch  `koanf:"batch"`
	Faults     []Fault         `koanf:"faults" validate:"dive"`
	// Routing of online requests for policies that don't set their own.
	Routing RoutingKind `koanf:"routing" validate:"omitempty,oneof=least_in_flight node"`
	// Warmup is left out of all measures; Duration includes it.
	Warmup   time.Duration `koanf:"warmup" validate:"gte=0"`
	Duration time.Duration `koanf:"duration" validate:"gtfield=Warmup"`
}

func (c Config) engines() int {
	count := 0
	for _, zone := range c.Deployment.Zones {
		count += zone.Engines
	}
	return count
}
