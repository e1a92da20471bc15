package remote

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/transport"
	"chutelock.dev/chutelock/internal/wire"
)

const (
	// attemptTimeout bounds one attempt, so that a peer that went silent does
	// not use up the caller's whole time.
	attemptTimeout = 2 * time.Second
	// callTimeout bounds all attempts of a call: long enough for a change of
	// leader, and no longer, for the caller is told when to come back.
	callTimeout = 4 * time.Second
	// The wait between attempts grows between these.
	firstRetryWait   = 10 * time.Millisecond
	longestRetryWait = 500 * time.Millisecond
)

// Caller runs operations at the leader of any shard. Its methods may be called
// concurrently.
type Caller struct {
	self      transport.Address
	directory ledger.Directory
	sender    transport.Sender
	server    *Server
}

// suspecter is a directory that wants to be told when the leader it named could
// not be reached or did not lead.
type suspecter interface {
	Suspect(shard ledger.ShardID, leader transport.Address)
}

// NewCaller returns a caller on the node at self, whose own shards the server
// answers for.
func NewCaller(self transport.Address, directory ledger.Directory, sender transport.Sender, server *Server) *Caller {
	return &Caller{self: self, directory: directory, sender: sender, server: server}
}

// Shards returns the number of shards.
func (c *Caller) Shards() int { return c.directory.Shards() }

// Call runs an operation at the shard's leader and repeats it until it is
// answered, ctx ends or callTimeout is over.
func (c *Caller) Call(ctx context.Context, operation Operation, shard ledger.ShardID, payload []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	call := &call{caller: c, operation: operation, shard: shard, payload: payload}
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = firstRetryWait
	waits.MaxInterval = longestRetryWait
	answer, err := backoff.Retry(ctx, func() ([]byte, error) { return call.attempt(ctx) },
		backoff.WithBackOff(waits), backoff.WithMaxElapsedTime(0))
	if err != nil {
		return nil, call.verdict(err)
	}
	return answer, nil
}

// call is the state of one Call over its attempts.
type call struct {
	caller    *Caller
	operation Operation
	shard     ledger.ShardID
	payload   []byte
	request   []byte // what is sent to a peer; nil until one is called
	// hint is the leader that a peer pointed to.
	hint transport.Address
	// uncertain says that an attempt may have taken effect.
	uncertain bool
	peer      transport.Address
	last      error
}

func (c *call) attempt(ctx context.Context) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, backoff.Permanent(err)
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	answer, err := c.once(ctx)
	if err == nil {
		return answer, nil
	}
	c.last = err
	return nil, c.classify(err)
}

// once tries this node's replica if it leads, else the leader as far as known.
func (c *call) once(ctx context.Context) ([]byte, error) {
	if shard, ok := c.caller.directory.Local(c.shard); ok {
		if leading, _ := shard.Leading(); leading {
			c.peer = c.caller.self
			return c.caller.server.do(ctx, c.operation, c.shard, c.payload)
		}
	}
	leader := c.hint
	c.hint = ""
	if leader == "" {
		leader, _ = c.caller.directory.Leader(c.shard)
	}
	c.peer = leader
	if leader == "" || leader == c.caller.self {
		return nil, ledger.ErrUnavailable
	}
	if err := c.encode(); err != nil {
		return nil, backoff.Permanent(err)
	}
	answer, err := c.caller.sender.Call(ctx, leader, c.operation.messageKind(), c.request)
	err = decodeError(c.shard, err)
	if told, ok := c.caller.directory.(suspecter); ok && isSuspicious(err) {
		told.Suspect(c.shard, leader)
	}
	return answer, err
}

// encode makes the request, once and only if a peer is called.
func (c *call) encode() (err error) {
	if c.request == nil {
		c.request, err = wire.Marshal(requestVersion, requestHeader{uint32(c.shard)}, c.payload)
	}
	return err
}

// isSuspicious says that a peer was not reached or does not lead; an error of
// its handler is no reason to look for another leader.
func isSuspicious(err error) bool {
	var remote *transport.RemoteError
	return err != nil && !errors.As(err, &remote) && !errors.Is(err, ledger.ErrUnknownOutcome)
}

// classify notes whether the attempt may have taken effect, and makes the
// errors that no repetition mends permanent.
func (c *call) classify(err error) error {
	var notLeader *ledger.NotLeaderError
	var remote *transport.RemoteError
	switch {
	case errors.As(err, &notLeader):
		c.hint = notLeader.Leader
		return err
	case errors.Is(err, ledger.ErrUnavailable):
		return err
	case errors.Is(err, ledger.ErrUnknownOutcome):
		c.uncertain = true
		return err
	case errors.As(err, &remote):
		c.uncertain = true
		return backoff.Permanent(err)
	case c.peer == c.caller.self && !isContextError(err):
		c.uncertain = true
		return backoff.Permanent(err)
	default:
		c.uncertain = true
		return err
	}
}

func isContextError(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

// CallError is a call that failed for good. It unwraps to
// ledger.ErrUnavailable when no attempt can have taken effect, and to
// ledger.ErrUnknownOutcome otherwise.
type CallError struct {
	Shard   ledger.ShardID
	Peer    transport.Address
	Outcome error
	Cause   error
}

// Error implements error.
func (e *CallError) Error() string {
	return e.Outcome.Error() + ": last peer " + string(e.Peer) + ": " + e.Cause.Error()
}

// Unwrap returns the outcome, and the cause where it is a peer's own error.
// The ledger's error of the last attempt alone is not reachable: it says
// nothing about the attempts before.
func (e *CallError) Unwrap() []error {
	var remote *transport.RemoteError
	if errors.As(e.Cause, &remote) {
		return []error{e.Outcome, remote}
	}
	return []error{e.Outcome}
}

func (c *call) verdict(err error) error {
	if c.last != nil {
		err = c.last
	}
	outcome := ledger.ErrUnavailable
	if c.uncertain {
		outcome = ledger.ErrUnknownOutcome
	}
	return trace.Wrap(&CallError{Shard: c.shard, Peer: c.peer, Outcome: outcome, Cause: err})
}
