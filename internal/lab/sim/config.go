package sim

import (
	"time"

	"chutelock.dev/chutelock/internal/lab/arrivals"
	"chutelock.dev/chutelock/internal/standin/engine/scheduler"
)

// Zone configures the engines and nodes of a zone.
type Zone struct {
	Name    string `koanf:"name" validate:"required"`
	Engines int    `koanf:"engines" validate:"gte=0"`
	Nodes   int    `koanf:"nodes" validate:"gte=1"`
}

// EngineShape configures the capacity and the step-time model of engines.
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

func (s EngineShape) schedulerConfig() scheduler.Config {
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

// Network holds the one-way network latencies.
type Network struct {
	InZone       time.Duration `koanf:"in_zone" validate:"gte=0"`
	BetweenZones time.Duration `koanf:"between_zones" validate:"gte=0"`
	Client       time.Duration `koanf:"client" validate:"gte=0"`
}

// Reports configures the interval and the delay of the engines' load reports.
type Reports struct {
	Every time.Duration `koanf:"every" validate:"gt=0"`
	Lag   time.Duration `koanf:"lag" validate:"gte=0"`
}

// Deployment configures the simulated engines, nodes and network.
type Deployment struct {
	Name    string      `koanf:"name" validate:"required"`
	Zones   []Zone      `koanf:"zones" validate:"min=1,dive"`
	Engine  EngineShape `koanf:"engine"`
	Network Network     `koanf:"network"`
	Reports Reports     `koanf:"reports"`
	// Takeover is the delay until another home replaces one that died, and until
	// homes and gateways learn that an engine is leaving or dead.
	Takeover time.Duration `koanf:"takeover" validate:"gt=0"`
	// LeaseExpiry is the delay until items of a dead home are available again.
	LeaseExpiry time.Duration `koanf:"lease_expiry" validate:"gt=0"`
}

// FaultKind is a kind of fault.
type FaultKind string

// Kinds of faults.
const (
	FaultEngineDies   FaultKind = "engine_dies"   // crashes and restarts empty after For
	FaultEngineLeaves FaultKind = "engine_leaves" // starts draining and stops for good after For
	FaultEngineSlow   FaultKind = "engine_slow"   // steps take Factor times as long for For
	FaultReportsStop  FaultKind = "reports_stop"  // the engine sends no load reports for For
	FaultTwoHomes     FaultKind = "two_homes"     // a second home also admits to the engine for For
	FaultHomeDies     FaultKind = "home_dies"     // the engine's home crashes
)

// Fault is a fault injected at a given time.
type Fault struct {
	At     time.Duration `koanf:"at" validate:"gte=0"`
	For    time.Duration `koanf:"for" validate:"gte=0"`
	Kind   FaultKind     `koanf:"kind" validate:"oneof=engine_dies engine_leaves engine_slow reports_stop two_homes home_dies"`
	Engine int           `koanf:"engine" validate:"gte=0"`
	Factor float64       `koanf:"factor" validate:"gte=0"`
}

// Config configures a run, except for its policy and seed.
type Config struct {
	Deployment Deployment      `koanf:"deployment"`
	Online     arrivals.Online `koanf:"online"`
	Batch      arrivals.Batch  `koanf:"batch"`
	Faults     []Fault         `koanf:"faults" validate:"dive"`
	// Routing is the default of Policy.Routing.
	Routing RoutingKind `koanf:"routing" validate:"omitempty,oneof=least_in_flight node"`
	// Warmup is excluded from measurements; Duration includes it.
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
