package batchwork

import (
	"errors"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
)

// Item is one request of a job.
type Item struct {
	ID   string
	Path string
	// Header holds alternating names and values.
	Header []string
	Body   []byte
	// Tokens is the item's share of the queue's bound.
	Tokens int64
}

// Job is a job as submitted.
type Job struct {
	ID string
	// Host and Path are those of the submission; they determine the job's route.
	Host string
	Path string
	// Tenant owns the job; empty if no API key was required.
	Tenant string
	// Route names the queue, whose bound applies to the sum of the tenant's jobs in it.
	Route string
	// QueuedTokens is the queue's bound per tenant at submission; 0 means none.
	QueuedTokens int64
	// Retention is the time from submission after which items are given up.
	Retention time.Duration
	// Completion is the time from submission at which all results are due.
	Completion time.Duration
	// Submitted is set by the leader.
	Submitted time.Time
	// Regions are the permitted regions at submission. They aren't stored: the current
	// configuration applies later.
	Regions catalog.Regions
	Items   []Item
}

// State is the state of an item.
type State uint8

// Item states; the last two are final.
const (
	StateOpen State = iota
	StateSucceeded
	StateDead
)

// Result is a final item at its position.
type Result struct {
	ItemID string
	State  State
	// Text is set by the Caller; in transit the text is in Compressed.
	Text []byte
	// Compressed is the stored text: concatenated compressed parts.
	Compressed []byte
}

// Page is a range of a job's results.
type Page struct {
	Total   int
	Next    int
	Results []Result
}

// Errors of the calls.
var (
	// ErrNoJob means that the job, or the item in it, does not exist.
	ErrNoJob = errors.New("batchwork: no such job")
	// ErrTenantMismatch means that the identifier is used by another tenant's job; the job was
	// not accepted.
	ErrTenantMismatch = errors.New("batchwork: the job identifier is in use by another tenant")
	// ErrOwnerUnknown means that the job is that of a tenant which the configuration doesn't have, so
	// that it isn't known whether the caller may access it.
	ErrOwnerUnknown = errors.New("batchwork: the job's tenant is not in the configuration")
	// ErrNoHome means that no permitted region has enough data nodes for a shard; the job
	// was not accepted.
	ErrNoHome = errors.New("batchwork: no region permitted for the route and the tenant has enough data nodes")
	// ErrOutdated means that the caller's configuration is older than the shard's.
	ErrOutdated = errors.New("batchwork: the configuration is outdated")
	// ErrQueueFull means that the job exceeds the queue's bound; it was not accepted.
	ErrQueueFull = errors.New("batchwork: the queue is full")
	// ErrTooLate means that the job can't be done in time by far; it was not accepted.
	ErrTooLate = errors.New("batchwork: the job can't be done in time")
	// ErrNotTaken means that the call certainly had no effect.
	ErrNotTaken = errors.New("batchwork: no leader accepted the call")
	// ErrUnknown means that the call may or may not have taken effect.
	ErrUnknown = errors.New("batchwork: unknown whether the call took effect")
)
