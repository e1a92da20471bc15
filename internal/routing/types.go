package routing

import (
	"fmt"
	"time"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/fleet"
)

// Request describes an attempt for which an endpoint is picked.
type Request struct {
	Model string
	// Adapter is the adapter that the request needs; empty means none.
	Adapter string
	// Regions where the request may run; empty means all.
	Regions []string
	// Prefix holds the keys of the prompt's leading blocks, see PrefixKeys.
	Prefix []uint64
	// PromptTokens estimates the prompt's length, which determines the value of a
	// cached prefix; 0 counts as very long.
	PromptTokens int
	// Tried names the endpoints that earlier attempts were sent to.
	Tried []string
	// Repeatable requests may probe an ejected endpoint.
	Repeatable bool
	// Ready requests get no endpoint that is ejected, busy, stalled or full, even if no other is left.
	Ready bool
	// Slots is the maximum number of streams on one endpoint; 0 means no limit.
	Slots int
}

// Decision is the endpoint chosen for an attempt.
type Decision struct {
	Endpoint *fleet.Endpoint
	// Attempt identifies the attempt in each Outcome.
	Attempt *Attempt
	// Score is the weighted sum of the endpoint's scores.
	Score float64
	// ExpectedPrefix is the share of the prompt, from 0 to 1, that the
	// endpoint is expected to have cached.
	ExpectedPrefix float64
	// Probe is whether the attempt probes an ejected endpoint.
	Probe bool
}

// Attempt is the state of a picked attempt.
type Attempt struct {
	state   *endpointState
	started time.Time // after the first token, the time of that
	probe   bool
	waiting bool // for the first token
	ended   bool

	// previous and next link the attempts that wait for their first token,
	// oldest first.
	previous, next *Attempt
}

// OutcomeKind is the kind of an Outcome.
type OutcomeKind uint8

// Kinds of outcomes.
const (
	OutcomeFirstToken OutcomeKind = iota + 1
	OutcomeFinished
	OutcomeFailed
	// OutcomeCancelled means that the caller disconnected or another attempt won;
	// it doesn't affect the endpoint's health.
	OutcomeCancelled
)

// Outcome is an observed event of an attempt: its first token or its end.
type Outcome struct {
	Attempt *Attempt
	Kind    OutcomeKind
	// Fate, Status and RetryAfter describe a failure.
	Fate       engine.Fate
	Status     int
	RetryAfter time.Duration
	// TimedOut is whether the failure is a missing first or next token.
	TimedOut bool
	// Tokens is the number of tokens of an attempt that finished.
	Tokens int
}

// Reason is the reason why no endpoint could be picked.
type Reason string

// Reasons of a NoEndpointError.
const (
	ReasonNoEndpoint Reason = "no engine serves the model"
	ReasonAllTried   Reason = "every engine of the model was tried"
	ReasonFull       Reason = "every engine of the model is full"
)

// NoEndpointError is returned by Router.Pick when no endpoint can take the attempt.
type NoEndpointError struct {
	Model  string
	Reason Reason
}

// Error implements error.
func (e *NoEndpointError) Error() string {
	return fmt.Sprintf("routing: model %q: %s", e.Model, e.Reason)
}

// Candidate is an endpoint in one decision. Stages must not modify it.
type Candidate struct {
	Endpoint *fleet.Endpoint
	// InFlight is the number of this node's own attempts on the endpoint.
	InFlight int
	// Load estimates the online streams of all nodes on the endpoint; fillCandidates
	// first stores those of other nodes in it.
	Load float64
	// Pressure is the input of the load score, in streams: own streams, waiting online
	// requests, and other nodes' streams far above the mean, weighted.
	Pressure float64
	// Freshness of the endpoint's report: 1 if new, towards 0 with age, 0 if missing.
	Freshness float64

	hash  uint64
	state *endpointState
}

// View holds the input that the stages of one decision share.
type View struct {
	Now     time.Time
	Request *Request
	// Zone and Region are where this node runs.
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
	// Name returns the filter's name.
	Name() string
	// Keep reports whether the candidate stays.
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
	// Pick returns the index of the chosen candidate; candidates is never empty.
	Pick(view *View, candidates []Candidate, scores []float64) int
}
