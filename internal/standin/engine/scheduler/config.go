package scheduler

import (
	"errors"
	"time"
)

// Config configures a Scheduler.
type Config struct {
	// MaxRunning limits the number of running sequences (slots).
	MaxRunning int `koanf:"max_running"`
	// TokenBudget limits the number of tokens that a step computes.
	TokenBudget int `koanf:"token_budget"`
	// BlockTokens is the number of tokens per KV block.
	BlockTokens int `koanf:"block_tokens"`
	// Blocks is the number of KV blocks.
	Blocks int `koanf:"blocks"`
	// StepBase is the fixed part of a step's duration.
	StepBase time.Duration `koanf:"step_base"`
	// StepPerSequence is added for each sequence in the step.
	StepPerSequence time.Duration `koanf:"step_per_sequence"`
	// StepPerPrefillToken is added for each prefilled token.
	StepPerPrefillToken time.Duration `koanf:"step_per_prefill_token"`
	// BatchPriority is the lowest priority value that Load counts as batch work.
	BatchPriority int `koanf:"batch_priority"`
	// PreemptSlots lets a waiting sequence preempt a running one of lower priority
	// for its slot. Otherwise, only a shortage of KV blocks causes preemption.
	PreemptSlots bool `koanf:"preempt_slots"`
}

// DefaultConfig returns the configuration of a small engine with steps of a few
// milliseconds.
func DefaultConfig() Config {
	return Config{
		MaxRunning:          32,
		TokenBudget:         2048,
		BlockTokens:         16,
		Blocks:              4096,
		StepBase:            4 * time.Millisecond,
		StepPerSequence:     50 * time.Microsecond,
		StepPerPrefillToken: 10 * time.Microsecond,
		BatchPriority:       100,
	}
}

// Errors returned by a Scheduler.
var (
	// ErrDuplicate is returned if a sequence with the ID already exists.
	ErrDuplicate = errors.New("scheduler: duplicate sequence")
	// ErrUnknown is returned if no sequence with the ID is in the required state.
	ErrUnknown = errors.New("scheduler: unknown sequence")
	// ErrTooLong is returned if the sequence exceeds the total KV memory.
	ErrTooLong = errors.New("scheduler: sequence exceeds KV memory")
	// ErrInvalid is returned for token counts out of range.
	ErrInvalid = errors.New("scheduler: invalid sequence")
)

// Sequence describes a generation request.
type Sequence struct {
	ID string
	// Priority orders sequences; a lower value goes first.
	Priority     int
	PromptTokens int
	// PrefixHashes identifies the full blocks of the prompt. Each hash must cover
	// all tokens up to the end of its block; see HashBlocks.
	PrefixHashes []uint64
	// MaxTokens is the length of the whole output.
	MaxTokens int
	// ResumeFrom is the number of output tokens that the caller already received.
	ResumeFrom int
}

// Token is an emitted output token.
type Token struct {
	ID string
	// Index is the token's position in the whole output, from 0.
	Index int
}

// Finished describes a sequence that emitted its last token.
type Finished struct {
	ID           string
	PromptTokens int
	// CachedTokens is the number of tokens found in the prefix cache at the first
	// start.
	CachedTokens int
	// OutputTokens is the length of the whole output, including tokens before
	// ResumeFrom.
	OutputTokens int
}

// StepResult is the result of a step. Its slices are reused by the next Step.
type StepResult struct {
	// Idle is set if no sequence could run. Only Preempted, Stored and Removed may
	// then be set.
	Idle bool
	// Duration is the duration of the step. Its tokens exist at its end.
	Duration time.Duration
	Tokens   []Token
	Finished []Finished
	// Preempted holds the IDs of preempted sequences.
	Preempted []string
	// Stored and Removed are the hashes of blocks added to and evicted from the
	// prefix cache.
	Stored  []uint64
	Removed []uint64
	// Scheduled and Prefilled count the step's sequences and prefill tokens.
	Scheduled int
	Prefilled int
}

// Load is a snapshot of the scheduler's state.
type Load struct {
	Running      int
	Waiting      int
	RunningBatch int
	WaitingBatch int
	Suspended    int
	// BlocksCached counts the unreferenced blocks of the prefix cache,
	// BlocksSuspended the private blocks retained for suspended sequences, and
	// BlocksInUse all other used blocks.
	BlocksInUse     int
	BlocksCached    int
	BlocksSuspended int
	Blocks          int
	// StepTime and StepTokens describe the last step that was not idle.
	StepTime   time.Duration
	StepTokens int
	Steps      uint64
	Preempted  uint64
	// Tokens and Prefilled count the output and prefill tokens of all steps.
	Tokens    uint64
	Prefilled uint64
}

// KVUse returns the fraction of blocks in use, 0 to 1.
func (l Load) KVUse() float64 {
	if l.Blocks == 0 {
		return 0
	}
	return float64(l.BlocksInUse) / float64(l.Blocks)
}
