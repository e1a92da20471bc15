package upstream

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Call is one request to one engine.
type Call struct {
	// ID identifies the request; the engine's answer carries it back.
	ID     string
	Method string
	// URI is the request target exactly as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Tenant is whose request it is; empty if callers need no key.
	Tenant string
	// Engine is the ID of the engine that is meant; an engine of another instance name
	// refuses.
	Engine string
	// Deadline is when the answer is of no use any more.
	Deadline time.Time
	// ResumeAfter is the number of the last event that the caller has; it is
	// sent only if Resume is set.
	Resume      bool
	ResumeAfter uint64
	// Proceed, if set, is asked right before the request is written, once a connection
	// stands, which may take dialTimeout; its error keeps the request from being sent.
	Proceed func() error
}

func (c *Call) mayProceed() error {
	if c.Proceed == nil {
		return nil
	}
	return c.Proceed()
}

// Load is what an engine told of itself.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Stretch is how many times as long as usual work takes there now, as engines share
	// their machines with others; 1 if the engine doesn't tell, 0 if nothing is known.
	Stretch float64
}

// Facts are what an answer's head says, whatever its spelling.
type Facts struct {
	// ID is the request that the answer belongs to; empty when not told.
	ID string
	// NotRun says that the engine certainly did not run the request.
	NotRun bool
	// Signed says that the answer carries an engine's signature.
	Signed bool
	// Elsewhere says that another engine has this address now.
	Elsewhere bool
	Load      *Load
}

// Dialect spells requests and reads answers as the engines do.
type Dialect interface {
	// Header returns the header to send for a call.
	Header(call *Call, now time.Time) http.Header
	// Facts reads the head of an answer.
	Facts(status int, header http.Header) Facts
}

// ErrUnsigned says that an answer that looks like a success is none of the
// engine's: it lacks the signature.
var ErrUnsigned = errors.New("upstream: a success without the engine's signature")

// ErrUnwanted is an answer of a call's Proceed: the engine may get nothing new, and
// nothing was sent.
var ErrUnwanted = errors.New("upstream: the engine gets nothing new any more")

// Fate is what is known of a request whose exchange failed.
type Fate uint8

// Fates.
const (
	// FateNotSent: not one byte went out.
	FateNotSent Fate = iota
	// FateUnknown: the engine may have run the request.
	FateUnknown
)

// String names the fate as in logs.
func (f Fate) String() string { return [...]string{"not sent", "unknown"}[f] }

// Error is a failed exchange.
type Error struct {
	Fate Fate
	// Step is what failed: dial, send, head, body.
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
