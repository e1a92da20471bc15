package remote

import (
	"context"
	"errors"
	"time"

	"chutelock.dev/chutelock/internal/jobs/machine"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/transport"
	"chutelock.dev/chutelock/internal/wire"
)

// Operation identifies an operation at a shard's leader.
type Operation uint8

// Operations.
const (
	OperationPropose Operation = iota + 1 // commit an entry
	OperationQuery                        // read
	OperationLease                        // lease waiting items, if any
	OperationOffer                        // summarize the waiting items
	OperationRenew                        // renew leases
)

func (o Operation) messageKind() transport.Kind {
	return transport.KindJobs + transport.Kind(o)
}

// Handler runs one operation at this node's replica of the shard.
type Handler func(ctx context.Context, id ledger.ShardID, shard ledger.Shard, payload []byte) ([]byte, error)

// Error codes on the wire.
const (
	codeNotLeader      = 1
	codeUnavailable    = 2
	codeUnknownOutcome = 3
)

// shardError carries one of the ledger's errors to the caller.
type shardError struct {
	code uint16
	// text is the leader's address if code is codeNotLeader.
	text string
}

// Error implements error.
func (e *shardError) Error() string { return e.text }

// RemoteCode implements transport.CodedError.
func (e *shardError) RemoteCode() uint16 { return e.code }

func encodeError(err error) error {
	var notLeader *ledger.NotLeaderError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &notLeader):
		return &shardError{codeNotLeader, string(notLeader.Leader)}
	case errors.Is(err, ledger.ErrUnavailable):
		return &shardError{codeUnavailable, err.Error()}
	case errors.Is(err, ledger.ErrUnknownOutcome):
		return &shardError{codeUnknownOutcome, err.Error()}
	default:
		return err
	}
}

// decodeError converts a peer's coded error to the ledger's error.
func decodeError(shard ledger.ShardID, err error) error {
	var remote *transport.RemoteError
	if !errors.As(err, &remote) {
		return err
	}
	switch remote.Code {
	case codeNotLeader:
		return &ledger.NotLeaderError{Shard: shard, Leader: transport.Address(remote.Message)}
	case codeUnavailable:
		return ledger.ErrUnavailable
	case codeUnknownOutcome:
		return ledger.ErrUnknownOutcome
	default:
		return err
	}
}

const requestVersion = 1

type requestHeader struct {
	Shard uint32
}

// Server runs operations on the shards of this node.
type Server struct {
	directory ledger.Directory
	handlers  map[Operation]Handler
}

// NewServer returns a server that handles OperationPropose.
func NewServer(directory ledger.Directory) *Server {
	s := &Server{directory: directory, handlers: map[Operation]Handler{}}
	s.Handle(OperationPropose, Propose)
	return s
}

// Propose proposes an entry stamped with the leader's time, so that clock skew
// of other nodes does not affect deadlines.
func Propose(ctx context.Context, _ ledger.ShardID, shard ledger.Shard, entry []byte) ([]byte, error) {
	return shard.Propose(ctx, machine.Stamp(entry, time.Now()))
}

// Handle sets the handler of an operation. Call it before Register.
func (s *Server) Handle(operation Operation, handler Handler) { s.handlers[operation] = handler }

// Register registers all operations with the transport.
func (s *Server) Register(receiver transport.Receiver) {
	for operation := range s.handlers {
		receiver.HandleCall(operation.messageKind(), func(ctx context.Context, _ transport.Address, payload []byte) ([]byte, error) {
			return s.answer(ctx, operation, payload)
		})
	}
}

func (s *Server) answer(ctx context.Context, operation Operation, payload []byte) ([]byte, error) {
	var header requestHeader
	fields, err := wire.Unmarshal(payload, requestVersion, &header, 1)
	if err != nil {
		return nil, err
	}
	answer, err := s.execute(ctx, operation, ledger.ShardID(header.Shard), fields[0])
	return answer, encodeError(err)
}

// execute runs an operation at this node's replica, which must lead.
func (s *Server) execute(ctx context.Context, operation Operation, id ledger.ShardID, payload []byte) ([]byte, error) {
	shard, ok := s.directory.Local(id)
	if !ok {
		leader, _ := s.directory.Leader(id)
		return nil, &ledger.NotLeaderError{Shard: id, Leader: leader}
	}
	if leading, _ := shard.Leading(); !leading {
		leader, _ := s.directory.Leader(id)
		return nil, &ledger.NotLeaderError{Shard: id, Leader: leader}
	}
	return s.handlers[operation](ctx, id, shard, payload)
}
