// Package jobs accepts batch jobs, leases their items to dispatchers and
// keeps their results. Sub-packages: machine (the replicated state machine),
// command and query (what changes and what reads), dispatch (running items).
package jobs

import (
	"context"
	"time"
)

// ItemStatus is the final state of an item.
type ItemStatus uint8

// Final states of items; zero means that the item is not final yet.
const (
	ItemOpen ItemStatus = iota
	ItemSucceeded
	ItemFailed         // the engine's own error, or too many tries
	ItemOutcomeUnknown // non-repeatable, and its fate is not known
	ItemCancelled
	ItemExpired
)

// Item is one line of a job's input.
type Item struct {
	Index      uint32
	CustomID   string
	Path       string // "/v1/completions" or "/v1/chat/completions"
	Body       []byte
	Repeatable bool
}

// Lease is a range of items given to one dispatcher until Expires. Results
// under an older Epoch of the same item are still taken if they come first.
type Lease struct {
	JobID    string
	Tenant   string
	Model    string
	Deadline time.Time
	Epoch    uint64
	Expires  time.Time
	Items    []Item
}

// Result is what a dispatcher reports for one item.
type Result struct {
	JobID  string
	Index  uint32
	Epoch  uint64
	Status ItemStatus
	// Body is the engine's whole answer, or an OpenAI-shaped error.
	Body []byte
	// HTTPStatus is the status code to show in the result line.
	HTTPStatus uint16
	// CompletionTokens counts what the engine generated.
	CompletionTokens uint32
}

// Work is where dispatchers get items and leave results, at any shard.
type Work interface {
	// Lease takes up to count items for a model, the job with the least slack
	// first. It returns no lease when there is no open item.
	Lease(ctx context.Context, dispatcher, model string, count int) ([]Lease, error)
	// Start records that a non-repeatable item is about to be sent. It must
	// have succeeded before a byte goes to an engine; false means that the
	// item must not be sent (cancelled, or started before).
	Start(ctx context.Context, lease Lease, index uint32) (bool, error)
	// Report commits results; those that came second are dropped.
	Report(ctx context.Context, results []Result) error
	// Renew extends leases, and returns the ids of jobs whose leases are
	// revoked (cancelled): their items must stop at once.
	Renew(ctx context.Context, dispatcher string, jobIDs []string) (revoked []string, err error)
}

// RenewError says which jobs' leases Renew could not renew; those of the
// other jobs were renewed.
type RenewError struct {
	JobIDs []string
	Cause  error
}

// Error implements error.
func (e *RenewError) Error() string { return "jobs: leases were not renewed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RenewError) Unwrap() error { return e.Cause }
