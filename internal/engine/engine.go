// Package engine is the client side of a model engine: the types and the
// interface through which the rest of chutelock uses one. The HTTP dialect is
// an adapter behind Client; another dialect is another adapter.
package engine

import (
	"context"
	"time"
)

// Priority orders requests inside an engine; a lower value runs earlier, as
// in the `priority` field of OpenAI-compatible engines.
type Priority int

// The priority classes in use. A tenant's own priority, 0 to 9, is added.
const (
	PriorityOnline Priority = 0
	PriorityBatch  Priority = 100
)

// Request is one attempt to run a completion on one engine.
type Request struct {
	// ID names the caller's request; ID and Attempt together name the attempt
	// and come back in every chunk, so that answers can be matched.
	ID      string
	Attempt uint32
	// Path is "/v1/completions" or "/v1/chat/completions".
	Path string
	// Body is the caller's JSON object, without the fields that the adapter adds.
	Body     []byte
	Model    string
	Priority Priority
	// ResumeFrom is the number of output tokens that the caller already has;
	// the engine continues behind them (its output is a function of the prompt).
	ResumeFrom int
	// Tenant is passed for the engine's own logs.
	Tenant string
}

// Chunk is one server-sent event of a completion, which carries one token.
type Chunk struct {
	// Index is the position of the token in the whole output, from 0.
	Index int
	// Data is the JSON of the event as the engine sent it. It is valid only
	// until the sink returns; Text may be kept.
	Data []byte
	// Text is the token's text.
	Text string
}

// Finish says how a generation ended.
type Finish struct {
	// Reason is "stop", "length" or "suspended".
	Reason           string
	PromptTokens     int
	CachedTokens     int
	CompletionTokens int
}

// Fate is what is known of an attempt that failed.
type Fate int

// Fates of a failed attempt.
const (
	// FateUnknown: the engine may have run some or all of it.
	FateUnknown Fate = iota
	// FateNotRun: no byte of the request reached an engine, or the engine
	// itself answered that it refused the request before running any of it.
	FateNotRun
	// FateFailed: the engine ran it and answered with an error of its own.
	FateFailed
)

// Error is a failed attempt. It keeps the fate apart from the message,
// because "not run" may be said to a caller only when it is true.
type Error struct {
	Engine string
	Step   string
	Fate   Fate
	Status int
	// RetryAfter is the engine's own hint, zero when it gave none.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *Error) Error() string {
	return "engine " + e.Engine + ": " + e.Step + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Load is an engine's own report; it lags behind the truth.
type Load struct {
	// At is when the engine measured, by the reader's clock if it was stamped
	// on receipt.
	At            time.Time
	Running       int
	Waiting       int
	RunningBatch  int
	WaitingBatch  int
	KVUse         float64 // 0 to 1
	TokensPerStep float64
	StepTime      time.Duration
	Draining      bool
	Models        []string
	Adapters      []string
	FencingToken  uint64
}

// OrderVerb is what an order asks an engine to do.
type OrderVerb string

// Orders.
const (
	OrderLoadModel     OrderVerb = "load_model"
	OrderUnloadModel   OrderVerb = "unload_model"
	OrderLoadAdapter   OrderVerb = "load_adapter"
	OrderUnloadAdapter OrderVerb = "unload_adapter"
	OrderSetRole       OrderVerb = "set_role"
)

// Order is fenced: an engine refuses one whose Token is lower than the
// highest it has seen.
type Order struct {
	Token   uint64    `json:"token"`
	Verb    OrderVerb `json:"verb"`
	Target  string    `json:"target"`
	Version string    `json:"version,omitempty"`
}

// Client talks to one engine. All methods may be called concurrently.
type Client interface {
	// Generate runs a request and hands each chunk to sink in order, on the
	// calling goroutine. Ending ctx or an error from sink cancels the request
	// at the engine. A failure is an *Error.
	Generate(ctx context.Context, request Request, sink func(Chunk) error) (Finish, error)
	// Suspend parks a running stream with its state; Generate returns with
	// Reason "suspended". A later Generate of the same ID with ResumeFrom
	// goes on from there, cheaply if the state is still kept.
	Suspend(ctx context.Context, requestID string) error
	// Load reads the engine's metrics.
	Load(ctx context.Context) (Load, error)
	// Order sends a fenced order.
	Order(ctx context.Context, order Order) error
}
