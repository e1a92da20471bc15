package batch

import "time"

// Config holds the settings of a Controller for the engines of one service.
// Except for Share, PathLatency and CannotSuspend, zero fields take default values.
type Config struct {
	// Share is Service.BatchShare, from 0 (minimum slowdown of online) to 1
	// (maximum batch throughput). Below one half the time to first token is
	// protected too, at a high cost in throughput.
	Share float64
	// Slots is how many streams an engine runs at once (Service.SlotsPerEngine).
	Slots int
	// PathLatency is the part of a caller's time to first token that is spent
	// outside the engine.
	PathLatency time.Duration
	// CannotSuspend makes the controller cancel streams instead of suspending them.
	CannotSuspend bool
	// ChunkTokens is the maximum number of prompt tokens prefilled in a step.
	ChunkTokens int
	// MaxStarting is the maximum number of batch streams without a first token; it
	// keeps batch prefill from lengthening the steps.
	MaxStarting int
	// ReservedSlots is the number of slots that batch leaves free, for online requests
	// whose announcement is late or lost.
	ReservedSlots int
	// MaxSuspension is how long a stream stays suspended before it is cancelled, so
	// that another engine can run its item.
	MaxSuspension time.Duration
}

// Defaults of Config.
const (
	defaultSlots         = 32
	defaultChunkTokens   = 512
	defaultMaxStarting   = 4
	defaultReservedSlots = 0
	defaultMaxSuspension = 20 * time.Second
)

func (c Config) withDefaults() Config {
	if c.Slots <= 0 {
		c.Slots = defaultSlots
	}
	if c.ChunkTokens <= 0 {
		c.ChunkTokens = defaultChunkTokens
	}
	if c.MaxStarting <= 0 {
		c.MaxStarting = defaultMaxStarting
	}
	if c.ReservedSlots <= 0 {
		c.ReservedSlots = defaultReservedSlots
	}
	if c.MaxSuspension <= 0 {
		c.MaxSuspension = defaultMaxSuspension
	}
	return c
}

// harmRange is the difference of harmGoal between Share 1 and Share 0.
const harmRange = 0.1

// harmGoal returns the allowed 99th percentile of the time between tokens, relative
// to that without batch: 1.05 for a Share of one half.
func (c Config) harmGoal() float64 { return 1 + harmRange*c.Share }

// maxWait returns how long the engine's time to first token may be, given its
// protected quantile without batch.
func (c Config) maxWait(withoutBatch time.Duration) time.Duration {
	return time.Duration(float64(withoutBatch+c.PathLatency)*c.harmGoal()) - c.PathLatency
}
