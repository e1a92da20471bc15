package scheduler

import (
	"errors"
	"time"
)

// Config is the shape of an engine.
type Config struct {
	// MaxRunning bounds the sequences that hold a slot at once.
	MaxRunning int `koanf:"max_running"`
	// TokenBudget bounds the tokens that one step computes.
	TokenBudget int `koanf:"token_budget"`
	// BlockTokens is the number of tokens that a KV block holds.
	BlockTokens int `koanf:"block_tokens"`
	// Blocks is the number of KV blocks.
	Blocks int `koanf:"blocks"`
	// StepBase is the time of a step, however little it computes.
	StepBase time.Duration `koanf:"step_base"`
	// StepPerSequence is added for each sequence in the step.
	StepPerSequence time.Duration `koanf:"step_per_sequence"`
	// StepPerPrefillToken is added for each prefilled token.
	StepPerPrefillToken time.Duration `koanf:"step_per_prefill_token"`
	// BatchPriority is the priority from which a sequence counts as batch work
	// in Load.
	BatchPriority int `koanf:"batch_priority"`
	// PreemptSlots lets a waiting sequence also take the slot of a running one
	// of lower priority. Without it only a shortage of KV blocks preempts.
	PreemptSlots bool `koanf:"preempt_slots"`
}

// DefaultConfig is a small engine with steps of a few milliseconds.
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

// Errors of the scheduler.
var (
	// ErrDuplicate: a sequence of this ID is known already.
	ErrDuplicate = errors.New("scheduler: duplicate sequence")
	// ErrUnknown: no sequence of this ID is known in the needed state.
	ErrUnknown = errors.New("scheduler: unknown sequence")
	// ErrTooLong: the sequence can't fit into KV memory even when alone.
	ErrTooLong = errors.New("scheduler: sequence exceeds KV memory")
	// ErrInvalid: the sequence's numbers make no sense.
	ErrInvalid = errors.New("scheduler: invalid sequence")
)

// Sequence is one generation to run.
type Sequence struct {
	ID string
	// Priority orders sequences; a lower value goes first.
	Priority     int
	PromptTokens int
	// PrefixHashes names the full blocks of the prompt. Each hash must cover
	// all tokens up to the end of its block; see HashBlocks.
	PrefixHashes []uint64
	// MaxTokens is the length of the whole output.
	MaxTokens int
	// ResumeFrom is the number of output tokens that the caller already has.
	ResumeFrom int
}

// Token is an emitted output token.
type Token struct {
	ID string
	// Index is the token's position in the whole output, from 0.
	Index int
}

// Finished is a sequence that emitted its last token.
type Finished struct {
	ID           string
	PromptTokens int
	// CachedTokens were found in the prefix cache when it was first started.
	CachedTokens int
	// OutputTokens is the length of the whole output, resumed part included.
	OutputTokens int
}

// StepResult is what one step did. Its slices are reused by the next Step.
type StepResult struct {
	// Idle says that nothing could run; the other fields are then empty but
	// for KV events.
	Idle bool
	// Duration is how long the step takes; its tokens exist at its end.
	Duration time.Duration
	Tokens   []Token
	Finished []Finished
	// Preempted lists sequences that lost their blocks.
	Preempted []string
	// Stored and Removed are the prefix blocks that entered and left the cache.
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
	// BlocksInUse are held by running sequences; BlocksCached are only kept
	// for reuse and BlocksSuspended only for a resume.
	BlocksInUse     int
	BlocksCached    int
	BlocksSuspended int
	Blocks          int
	// StepTime and StepTokens describe the last step that was not idle.
	StepTime   time.Duration
	StepTokens int
	Steps      uint64
	Preempted  uint64
	// Tokens counts the output tokens of all steps, Prefilled the prefilled ones.
	Tokens    uint64
	Prefilled uint64
}

// KVUse is the share of blocks in use by running sequences, 0 to 1.
func (l Load) KVUse() float64 {
	if l.Blocks == 0 {
		return 0
	}
	return float64(l.BlocksInUse) / float64(l.Blocks)
}
