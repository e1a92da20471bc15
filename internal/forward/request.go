package forward

import (
	"net/http"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/poison"
)

// Request is a caller's request. Its method, target, header and body go to the
// engine as they came.
type Request struct {
	ID     string
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Tenant is whose request it is, and Priority its rank; 0 goes first.
	Tenant   string
	Priority int
	// Regions are where the request may be served.
	Regions catalog.Regions
	// Arrived is when the head was read.
	Arrived time.Time
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// PromptTokens is the length of the prompt; 0 if the caller doesn't say.
	PromptTokens int
	// Prefix identifies the shared parts of the prompt; PrefixTokens is their
	// length.
	Prefix       string
	PrefixTokens int
	// LastEvent is the number of the last event that the caller has already.
	LastEvent uint64
}

// Fingerprint is the same for all requests of one caller with the same target and body.
func (r *Request) Fingerprint() poison.Fingerprint {
	return poison.Of(r.Tenant, r.Host, r.Method, r.URI, r.Body)
}

// Verdict is an answer of the system's own.
type Verdict uint8

// Verdicts.
const (
	// VerdictNotRun promises that the request has not run and will not.
	VerdictNotRun Verdict = iota
	// VerdictUnknown promises nothing.
	VerdictUnknown
	// VerdictTimeout: the time is over; promises nothing.
	VerdictTimeout
)

// String names the verdict as in logs.
func (v Verdict) String() string { return [...]string{"not-run", "unknown", "timeout"}[v] }

// Sink takes the one answer to a request: Whole, or Refuse, or Begin, events
// and End, or any of these cut short by Abort.
type Sink interface {
	// Whole answers with a complete body.
	Whole(status int, header http.Header, body []byte) error
	// Begin sends the head of a stream.
	Begin(status int, header http.Header) error
	// Event sends one event at once.
	Event(raw []byte) error
	// End completes a stream.
	End() error
	// Abort breaks the connection, so that the answer doesn't look complete.
	Abort()
	// Refuse gives an answer of the system's own. after is when the caller
	// may come back; 0 leaves it open.
	Refuse(verdict Verdict, after time.Duration) error
}
