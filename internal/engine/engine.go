// Package engine defines the client interface to inference engines and its
// request, result and error types. Each engine protocol has its own
// implementation of Client.
package engine

import (
	"context"
	"time"
)

// Priority orders requests within an engine; lower values run first, as in the
// `priority` field of OpenAI-compatible engines.
type Priority int

// Base priorities, to which the tenant's priority (0 to 9) is added.
const (
	PriorityOnline Priority = 0
	PriorityBatch  Priority = 100
)

// Request is one attempt to run a completion on one engine.
type Request struct {
	// ID identifies the caller's request. The engine echoes ID and Attempt in
	// every event, so that a response can be matched to its attempt.
	ID      string
	Attempt uint32
	// Path is "/v1/completions" or "/v1/chat/completions".
	Path string
	// Body is the caller's JSON object, without the fields that Client adds.
	Body     []byte
	Model    string
	Priority Priority
	// ResumeFrom is the number of output tokens that the caller already has. The
	// engine continues after them; its output is deterministic for a prompt.
	ResumeFrom int
	// Tenant is passed on for the engine's logs.
	Tenant string
}

// Chunk is one server-sent event of a completion and carries one token.
type Chunk struct {
	// Index is the zero-based position of the token in the whole output.
	Index int
	// Data is the event's JSON as the engine sent it, valid only until the sink
	// returns. Text may be retained.
	Data []byte
	Text string
}

// Finish describes how a generation ended and its token usage.
type Finish struct {
	// Reason is "stop", "length" or "suspended".
	Reason           string
	PromptTokens     int
	CachedTokens     int
	CompletionTokens int
}

// Fate classifies whether an engine ran a failed attempt.
type Fate int

// Values of Fate.
const (
	// FateUnknown means that the engine may have run some or all of the request.
	FateUnknown Fate = iota
	// FateNotRun means that no byte of the request reached an engine, or that the
	// engine reported rejecting the request before running any of it.
	FateNotRun
	// FateFailed means that the engine ran the request and reported an error.
	FateFailed
)

// Error describes a failed attempt. Fate is a separate field because a caller
// may be told "not run" only if the request certainly did not run.
type Error struct {
	Engine string
	Step   string
	Fate   Fate
	Status int
	// RetryAfter is the delay that the engine suggested, or zero.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *Error) Error() string {
	return "engine " + e.Engine + ": " + e.Step + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Load is a load report from an engine; it may be out of date.
type Load struct {
	// At is the time of measurement, or of receipt by the reader's clock if the
	// report has no timestamp.
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

// OrderVerb is the operation that an order requests.
type OrderVerb string

// Values of OrderVerb.
const (
	OrderLoadModel     OrderVerb = "load_model"
	OrderUnloadModel   OrderVerb = "unload_model"
	OrderLoadAdapter   OrderVerb = "load_adapter"
	OrderUnloadAdapter OrderVerb = "unload_adapter"
	OrderSetRole       OrderVerb = "set_role"
)

// Order is a control command to an engine. The engine rejects an order whose
// fencing token is lower than the highest it has seen.
type Order struct {
	Token   uint64    `json:"token"`
	Verb    OrderVerb `json:"verb"`
	Target  string    `json:"target"`
	Version string    `json:"version,omitempty"`
}

// Client is a client of one engine. Its methods are safe for concurrent use.
type Client interface {
	// Generate runs a request and passes each chunk to sink in order, on the
	// calling goroutine. Cancelling ctx or returning an error from sink cancels
	// the request at the engine. Any error returned is an *Error.
	Generate(ctx context.Context, request Request, sink func(Chunk) error) (Finish, error)
	// Suspend stops a running stream and keeps its state at the engine; Generate
	// returns with Reason "suspended". A later Generate with the same ID and
	// ResumeFrom set continues it, without recomputation if the state remains.
	Suspend(ctx context.Context, requestID string) error
	// Load returns a load report from the engine's metrics.
	Load(ctx context.Context) (Load, error)
	// Order sends a control command protected by a fencing token.
	Order(ctx context.Context, order Order) error
}
