package routing

import (
	"fmt"
	"time"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/fleet"
)

// Request is what the stages know of an attempt to be placed.
type Request struct {
	Model string
	// Adapter must be loaded where the request runs; empty means none.
	Adapter string
	// Regions where the request may run; empty means all.
	Regions []string
	// Prefix holds the keys of the prompt's leading blocks, see PrefixKeys.
	Prefix []uint64
	// PromptTokens estimates the prompt's length, to tell what a cached prefix
	// is worth; 0 counts as very long.
	PromptTokens int
	// Tried names the endpoints that earlier attempts were sent to.
	Tried []string
	// Repeatable requests may serve as probes of a suspected endpoint.
	Repeatable bool
	// Slots bounds this node's streams on one endpoint; 0 means no bound.
	Slots int
}

// Decision is the endpoint chosen for an attempt.
type Decision struct {
	Endpoint *fleet.Endpoint
	// Attempt is handed back with each outcome.
	Attempt *Attempt
	// Score is the weighted sum of the endpoint's scores.
	Score float64
	// ExpectedPrefix is the share of the prompt, from 0 to 1, that the
	// endpoint is expected to have cached.
	ExpectedPrefix float64
	// Probe says that the endpoint was set aside and is being tried again.
	Probe bool
}

// Attempt is a picked attempt whose end has not been observed yet.
type Attempt struct {
	state   *endpointState
	started time.Time
	probe   bool
	waiting bool // the first token has not come
	ended   bool

	// previous and next link the attempts that wait for their first token,
	// oldest first.
	previous, next *Attempt
}

// OutcomeKind says what was seen of an attempt.
type OutcomeKind uint8

// Kinds of outcomes.
const (
	OutcomeFirstToken OutcomeKind = iota + 1
	OutcomeFinished
	OutcomeFailed
	// OutcomeCancelled: the caller left or another attempt won; it says
	// nothing about the endpoint.
	OutcomeCancelled
)

// Outcome is what was seen of an attempt.
type Outcome struct {
	Attempt *Attempt
	Kind    OutcomeKind
	// Fate, Status and RetryAfter describe a failure.
	Fate       engine.Fate
	Status     int
	RetryAfter time.Duration
	// TimedOut says that the failure is a missing first or next token.
	TimedOut bool
	// Tokens is the number of tokens of an attempt that finished.
	Tokens int
}

// Reason says why no endpoint could be picked.
type Reason string

// Reasons.
const (
	ReasonNoEndpoint Reason = "no engine serves the model"
	ReasonAllTried   Reason = "every engine of the model was tried"
	ReasonFull       Reason = "every engine of the model is full"
)

// NoEndpointError says that no endpoint can take the attempt.
type NoEndpointError struct {
	Model  string
	Reason Reason
}

// Error implements error.
func (e *NoEndpointError) Error() string {
	return fmt.Sprintf("routing: model %q: %s", e.Model, e.Reason)
}

// Candidate is an endpoint in one decision. Stages must not change it.
type Candidate struct {
	Endpoint *fleet.Endpoint
	// InFlight counts this node's own attempts on the endpoint.
	InFlight int
	// Load estimates the online streams on the endpoint, of all nodes.
	Load float64
	// Pressure is what the load score compares: own streams, online requests
	// that wait, and the streams of others where they stand out, weighted.
	Pressure float64
	// Freshness of the endpoint's report: 1 new, towards 0 with age, 0 missing.
	Freshness float64

	hash  uint64
	state *endpointState
}

// View is what the stages of one decision share.
type View struct {
	Now     time.Time
	Request *Request
	// Zone and Region are this node's own.
	Zone, Region string
	// MeanLoad is the mean of Candidate.Load over all candidates that passed
	// the filters.
	MeanLoad float64

	config   *Config
	prefixes *prefixTable
	random   randomSource
}

type randomSource interface {
	IntN(n int) int
}

// Filter drops endpoints from a decision.
type Filter interface {
	// Name is the metric label and the name in explanations.
	Name() string
	// Keep says whether the candidate stays.
	Keep(view *View, candidate *Candidate) bool
}

// Scorer rates the candidates that passed the filters.
type Scorer interface {
	Name() string
	// Score adds weight × a rating from 0 to 1 to each candidate's score.
	Score(view *View, candidates []Candidate, weight float64, scores []float64)
}

// Picker chooses among the scored candidates.
type Picker interface {
	// Pick returns an index; candidates is never empty.
	Pick(view *View, candidates []Candidate, scores []float64) int
}
