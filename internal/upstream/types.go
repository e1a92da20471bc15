package upstream

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Call is one request to one engine.
type Call struct {
	// ID identifies the request; the engine's response repeats it.
	ID     string
	Method string
	// URI is the request target exactly as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Tenant owns the request; empty if callers need no key.
	Tenant string
	// Engine is the ID of the intended engine; an engine with another ID refuses the request.
	Engine string
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// ResumeAfter is the number of the last event that the caller has; it is sent only if
	// Resume is set.
	Resume      bool
	ResumeAfter uint64
	// Proceed, if set, is called between connecting, which may take dialTimeout, and sending;
	// its error keeps the request from being sent.
	Proceed func() error
}

func (c *Call) checkProceed() error {
	if c.Proceed == nil {
		return nil
	}
	return c.Proceed()
}

// Load is the load that an engine reported.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is the engine's current run time relative to its usual one, as engines share
	// machines; 1 if the engine doesn't report it, 0 if nothing is known.
	Slowdown float64
	// ReportsSlowdown is set if the engine reported Slowdown itself.
	ReportsSlowdown bool
}

// Facts are the contents of a response's head.
type Facts struct {
	// ID is the request that the response belongs to; empty if missing.
	ID string
	// NotRun reports that the engine did not run the request.
	NotRun bool
	// Signed reports that the response carries an engine's signature.
	Signed bool
	// AddressReused reports that another engine has this address now.
	AddressReused bool
	// Instance is the engine that answered a health request; empty if missing.
	Instance string
	Load     *Load
}

// Dialect translates between calls, responses and the engines' headers.
type Dialect interface {
	// Header returns the header to send for a call.
	Header(call *Call, now time.Time) http.Header
	// Facts parses the head of a response.
	Facts(status int, header http.Header) Facts
}

// ErrUnsigned reports a successful response without an engine's signature, which did not
// come from the engine.
var ErrUnsigned = errors.New("upstream: success response without the engine's signature")

// ErrEngineExcluded is returned by a call's Proceed if the engine may get no new requests.
var ErrEngineExcluded = errors.New("upstream: the engine may get no new requests")

// Fate tells whether a request may have run whose exchange failed.
type Fate uint8

// Fates.
const (
	// FateNotSent: nothing was sent.
	FateNotSent Fate = iota
	// FateUnknown: the engine may have run the request.
	FateUnknown
)

// String returns the name used in logs.
func (f Fate) String() string { return [...]string{"not sent", "unknown"}[f] }

// Error reports a failed exchange.
type Error struct {
	Fate Fate
	// Step is what failed: path, dial, proceed, send, head or body.
	Step string
	// Peer is the engine's address.
	Peer  string
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("engine %s: %s: %v (%s)", e.Peer, e.Step, e.Cause, e.Fate)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
