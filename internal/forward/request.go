package forward

import (
	"net/http"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/poison"
)

// Request is a caller's request. Its method, URI, header and body are sent to the engine
// unchanged.
type Request struct {
	ID     string
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Tenant owns the request; Priority 0 is served first.
	Tenant   string
	Priority int
	// Regions are where the request may be served.
	Regions catalog.Regions
	// Arrived is when the request's head was read.
	Arrived time.Time
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// PromptTokens is the length of the prompt; 0 if unknown.
	PromptTokens int
	// Prefix identifies the shared parts of the prompt; PrefixTokens is their length.
	Prefix       string
	PrefixTokens int
	// SharedParts are the IDs of the parts of the prompt that other requests may share, in order.
	SharedParts []string
	// LastEvent is the number of the last event that the caller has received.
	LastEvent uint64
	// Resumes is the ID of the request that brought the first event of the stream that this one
	// continues; empty if the stream is new.
	Resumes string
}

// Stream returns the ID of the request that began the stream: this one, or the one that it
// continues.
func (r *Request) Stream() string {
	if r.Resumes != "" {
		return r.Resumes
	}
	return r.ID
}

// Continues reports whether the request continues the stream of an earlier one.
func (r *Request) Continues() bool { return r.LastEvent > 0 || r.Resumes != "" }

// Fingerprint identifies equal requests: same tenant, target and body.
func (r *Request) Fingerprint() poison.Fingerprint {
	return poison.FingerprintOf(r.Tenant, r.Host, r.Method, r.URI, r.Body)
}

// Verdict is the reason for a refusal by this node.
type Verdict uint8

// Verdicts.
const (
	// VerdictNotRun guarantees that the request has not run and will not.
	VerdictNotRun Verdict = iota
	// VerdictUnknown: the request may have run.
	VerdictUnknown
	// VerdictTimeout: the deadline has passed; the request may have run.
	VerdictTimeout
)

// String returns the name used in logs.
func (v Verdict) String() string { return [...]string{"not-run", "unknown", "timeout"}[v] }

// Sink writes the response to a request: WriteResponse, or Refuse, or BeginStream, WriteEvent
// for each event and EndStream. Abort may cut any of these short.
type Sink interface {
	// WriteResponse writes a response with its whole body.
	WriteResponse(status int, header http.Header, body []byte) error
	// BeginStream writes the head of a stream.
	BeginStream(status int, header http.Header) error
	// WriteEvent writes one event and flushes it.
	WriteEvent(raw []byte) error
	// EndStream completes a stream.
	EndStream() error
	// Abort closes the connection, so that the response doesn't look complete.
	Abort()
	// Refuse writes a refusal by this node. retryAfter is when the caller should retry; 0 means
	// unspecified.
	Refuse(verdict Verdict, retryAfter time.Duration) error
}
