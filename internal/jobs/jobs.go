// Package jobs accepts batch jobs, leases their items to dispatchers and
// stores their results. Sub-packages: machine (the replicated state machine),
// command and query (write and read paths), dispatch (running items).
package jobs

import (
	"context"
	"time"
)

// ItemStatus is the final state of an item.
type ItemStatus uint8

// Item states; all but ItemOpen are final.
const (
	ItemOpen ItemStatus = iota
	ItemSucceeded
	ItemFailed         // error returned by the engine, or too many tries
	ItemOutcomeUnknown // non-repeatable, sent to an engine, no result received
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

// Lease assigns items to one dispatcher until Expires. A result under an older
// Epoch of an item is still accepted if it is the item's first.
type Lease struct {
	JobID    string
	Tenant   string
	Model    string
	Deadline time.Time
	Epoch    uint64
	Expires  time.Time
	Items    []Item
}

// Result is a dispatcher's report on one item.
type Result struct {
	JobID  string
	Index  uint32
	Epoch  uint64
	Status ItemStatus
	// Body is the engine's complete response, or an error in OpenAI format.
	Body []byte
	// HTTPStatus is the status code written to the result line.
	HTTPStatus uint16
	// CompletionTokens is the number of tokens that the engine generated.
	CompletionTokens uint32
}

// Work is the dispatchers' interface to the items and results of all shards.
type Work interface {
	// Lease leases up to count items of a model, ordered by urgency and the
	// tenants' shares. It returns no lease when there is no open item.
	Lease(ctx context.Context, dispatcher, model string, count int) ([]Lease, error)
	// Start records that a non-repeatable item is about to be sent, and must
	// succeed before any byte goes to an engine. False means that the item
	// must not be sent (cancelled, or already started).
	Start(ctx context.Context, lease Lease, index uint32) (bool, error)
	// Report commits results; all but the first of an item are dropped.
	Report(ctx context.Context, results []Result) error
	// Renew extends leases, and returns the ids of jobs whose leases are
	// revoked: their items must be aborted immediately.
	Renew(ctx context.Context, dispatcher string, jobIDs []string) (revoked []string, err error)
}

// RenewError lists the jobs whose leases Renew failed to renew; the leases of
// all other jobs were renewed.
type RenewError struct {
	JobIDs []string
	Cause  error
}

// Error implements error.
func (e *RenewError) Error() string { return "jobs: leases were not renewed: " + e.Cause.Error() }

// Unwrap returns Cause.
func (e *RenewError) Unwrap() error { return e.Cause }
