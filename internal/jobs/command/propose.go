package command

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/jobs/machine"
	"chutelock.dev/chutelock/internal/jobs/remote"
	"chutelock.dev/chutelock/internal/ledger"
)

// Caller reaches the leaders of shards.
type Caller interface {
	Shards() int
	Call(ctx context.Context, operation remote.Operation, shard ledger.ShardID, payload []byte) ([]byte, error)
}

// propose commits a command and returns the state machine's answer.
func propose(ctx context.Context, caller Caller, shard ledger.ShardID, command machine.Command) (machine.Answer, error) {
	return execute(ctx, caller, remote.OperationPropose, shard, command)
}

func execute(ctx context.Context, caller Caller, operation remote.Operation, shard ledger.ShardID,
	command machine.Command) (machine.Answer, error) {
	entry, err := machine.Encode(time.Now(), command)
	if err != nil {
		return machine.Answer{}, trace.Wrap(err)
	}
	encoded, err := caller.Call(ctx, operation, shard, entry)
	if err != nil {
		return machine.Answer{}, trace.Wrap(err, "%T at shard %d", command, shard)
	}
	answer, err := machine.DecodeAnswer(encoded)
	return answer, trace.Wrap(err, "answer of shard %d", shard)
}

// Errors of commands, in addition to the ledger's.
var (
	// ErrNotFound means that the tenant has no such file or job.
	ErrNotFound = trace.NotFound("no such file or batch")
	// ErrConflict means that the idempotency key was used with other content.
	ErrConflict = trace.AlreadyExists("the Idempotency-Key was used with another body")
)

// UnexpectedAnswerError means that the state machine refused a valid step, since
// a concurrent client interfered or the input was removed.
type UnexpectedAnswerError struct {
	Step string
	Code machine.Code
}

// Error implements error.
func (e *UnexpectedAnswerError) Error() string {
	return "jobs: " + e.Step + " was refused"
}

// DeadlineError means that a deadline can't be met.
type DeadlineError struct {
	Possible time.Time // the earliest deadline that could be met
}

// Error implements error.
func (e *DeadlineError) Error() string {
	return "the deadline can't be met; it could be met by " + e.Possible.UTC().Format(time.RFC3339)
}

// checkAnswer converts the code of an answer to an error.
func checkAnswer(step string, answer machine.Answer) error {
	switch answer.Code {
	case machine.CodeOK:
		return nil
	case machine.CodeNotFound:
		return ErrNotFound
	case machine.CodeConflict:
		return ErrConflict
	case machine.CodeDeadline:
		return &DeadlineError{Possible: answer.Time}
	default:
		return trace.Wrap(&UnexpectedAnswerError{Step: step, Code: answer.Code})
	}
}
