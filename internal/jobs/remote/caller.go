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
	// attemptTimeout bounds one attempt, so that an unresponsive peer leaves time
	// for others within callTimeout.
	attemptTimeout = 2 * time.Second
	// callTimeout bounds all attempts of a call; it permits a leader election.
	callTimeout = 4 * time.Second
	// Bounds of the exponential backoff between attempts.
	initialRetryWait = 10 * time.Millisecond
	maxRetryWait     = 500 * time.Millisecond
)

// Caller runs operations at the leader of any shard. Its methods may be called
// concurrently.
type Caller struct {
	self      transport.Address
	directory ledger.Directory
	sender    transport.Sender
	server    *Server
}

// leaderSuspecter is implemented by directories that accept reports of leaders
// that were unreachable or did not lead.
type leaderSuspecter interface {
	Suspect(shard ledger.ShardID, leader transport.Address)
}

// NewCaller returns a caller on the node at self. Operations on shards led by
// this node run at server directly.
func NewCaller(self transport.Address, directory ledger.Directory, sender transport.Sender, server *Server) *Caller {
	return &Caller{self: self, directory: directory, sender: sender, server: server}
}

// Shards returns the number of shards.
func (c *Caller) Shards() int { return c.directory.Shards() }

// Call runs an operation at the shard's leader. It retries until the operation
// is answered or fails permanently, ctx ends or callTimeout passes.
func (c *Caller) Call(ctx context.Context, operation Operation, shard ledger.ShardID, payload []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	call := &call{caller: c, operation: operation, shard: shard, payload: payload}
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = initialRetryWait
	waits.MaxInterval = maxRetryWait
	answer, err := backoff.Retry(ctx, func() ([]byte, error) { return call.attempt(ctx) },
		backoff.WithBackOff(waits), backoff.WithMaxElapsedTime(0))
	if err != nil {
		return nil, call.finalError(err)
	}
	return answer, nil
}

// call is the state of one Call across its attempts.
type call struct {
	caller    *Caller
	operation Operation
	shard     ledger.ShardID
	payload   []byte
	request   []byte // encoded for peers; nil until first needed
	// hint is the leader named by a peer that does not lead.
	hint transport.Address
	// uncertain is set once an attempt may have taken effect.
	uncertain bool
	peer      transport.Address
	lastErr   error
}

func (c *call) attempt(ctx context.Context) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, backoff.Permanent(err)
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	answer, err := c.tryLeader(ctx)
	if err == nil {
		return answer, nil
	}
	c.lastErr = err
	return nil, c.classify(err)
}

// tryLeader tries this node's replica if it leads, or else the known leader.
func (c *call) tryLeader(ctx context.Context) ([]byte, error) {
	if shard, ok := c.caller.directory.Local(c.shard); ok {
		if leading, _ := shard.Leading(); leading {
			c.peer = c.caller.self
			return c.caller.server.execute(ctx, c.operation, c.shard, c.payload)
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
	if suspecter, ok := c.caller.directory.(leaderSuspecter); ok && isLeaderFailure(err) {
		suspecter.Suspect(c.shard, leader)
	}
	return answer, err
}

// encode encodes the request unless that was done by an earlier attempt.
func (c *call) encode() (err error) {
	if c.request == nil {
		c.request, err = wire.Marshal(requestVersion, requestHeader{uint32(c.shard)}, c.payload)
	}
	return err
}

// isLeaderFailure reports whether the peer was unreachable or does not lead. An
// error of its handler is not a reason to look for another leader.
func isLeaderFailure(err error) bool {
	var remote *transport.RemoteError
	return err != nil && !errors.As(err, &remote) && !errors.Is(err, ledger.ErrUnknownOutcome)
}

// classify records whether the attempt may have taken effect and marks errors
// that a retry can't resolve as permanent.
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

// CallError is the error of a failed call. It unwraps to ledger.ErrUnavailable
// if no attempt can have taken effect, and to ledger.ErrUnknownOutcome otherwise.
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

// Unwrap returns the outcome, and the cause if it is a peer's own error. It
// hides the ledger's error of the last attempt, which tells nothing about
// earlier attempts.
func (e *CallError) Unwrap() []error {
	var remote *transport.RemoteError
	if errors.As(e.Cause, &remote) {
		return []error{e.Outcome, remote}
	}
	return []error{e.Outcome}
}

func (c *call) finalError(err error) error {
	if c.lastErr != nil {
		err = c.lastErr
	}
	outcome := ledger.ErrUnavailable
	if c.uncertain {
		outcome = ledger.ErrUnknownOutcome
	}
	return trace.Wrap(&CallError{Shard: c.shard, Peer: c.peer, Outcome: outcome, Cause: err})
}
