package batch

import "time"

// Config is the controller's settings for the engines of one service. Zero
// fields take the defaults below.
type Config struct {
	// Share is Service.BatchShare: the weight between harm to online (0) and
	// batch throughput (1). Below one half the wait for a first token is
	// guarded too, at a high cost in throughput.
	Share float64
	// Slots is how many streams an engine runs at once (Service.SlotsPerEngine).
	Slots int
	// PathLatency is the part of a caller's time to first token that is spent
	// on the way and not at the engine.
	PathLatency time.Duration
	// Redo makes the controller cancel streams instead of suspending them, for
	// engines that can't suspend.
	Redo bool
	// ChunkTokens is the most prompt tokens that the engine prefills in a step.
	ChunkTokens int
	// Starting bounds the batch streams that are before their first token, so
	// that batch prefill does not stretch the steps.
	Starting int
	// Reserve is the least number of slots that batch leaves free, for online
	// requests whose announcement comes late or never.
	Reserve int
	// HoldLimit is how long a stream stays suspended before its item is handed
	// back, so that another engine can run it.
	HoldLimit time.Duration
}

// Defaults of Config.
const (
	defaultSlots     = 32
	defaultChunk     = 512
	defaultStarting  = 4
	defaultReserve   = 0
	defaultHoldLimit = 20 * time.Second
)

func (c Config) withDefaults() Config {
	if c.Slots <= 0 {
		c.Slots = defaultSlots
	}
	if c.ChunkTokens <= 0 {
		c.ChunkTokens = defaultChunk
	}
	if c.Starting <= 0 {
		c.Starting = defaultStarting
	}
	if c.Reserve <= 0 {
		c.Reserve = defaultReserve
	}
	if c.HoldLimit <= 0 {
		c.HoldLimit = defaultHoldLimit
	}
	return c
}

// harmRange is the harm that Share 1 allows, beyond that of Share 0.
const harmRange = 0.1

// harmGoal is how much the 99th percentile of the time between tokens may grow
// with batch: 1.05 for a Share of one half.
func (c Config) harmGoal() float64 { return 1 + harmRange*c.Share }

// waitGoal is how long a wait for the first token may be, if alone it is so
// long at the protected quantile.
func (c Config) waitGoal(alone time.Duration) time.Duration {
	return time.Duration(float64(alone+c.PathLatency)*c.harmGoal()) - c.PathLatency
}
