package command

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/jobs"
	"chutelock.dev/chutelock/internal/jobs/input"
	"chutelock.dev/chutelock/internal/jobs/machine"
	"chutelock.dev/chutelock/internal/ledger"
)

// Source reads input files.
type Source interface {
	File(ctx context.Context, tenant, fileID string) (machine.FileRecord, error)
	Chunk(ctx context.Context, fileID string, chunk uint32) ([]byte, error)
}

// Jobs submits and cancels jobs. Its methods may be called concurrently.
type Jobs struct {
	caller Caller
	source Source
}

// NewJobs returns the job commands of a node, which read files from source.
func NewJobs(caller Caller, source Source) *Jobs { return &Jobs{caller: caller, source: source} }

// Submission asks for a job.
type Submission struct {
	Tenant   string
	Key      string // the caller's idempotency key, or a fresh one
	File     machine.FileRecord
	Endpoint string
	Window   string
	Metadata []byte // canonical JSON object, or empty
	Deadline time.Time
	// DefaultRepeatable is false when the whole job is not repeatable.
	DefaultRepeatable bool
	Weight            float64
	MaxTries          int
	Retention         time.Duration
}

// DefaultMaxTries is how often an engine's own error is tried again.
const DefaultMaxTries = 3

// weightUnit is weight 1 in thousandths.
const weightUnit = 1000

// content is the digest by which a resend is recognised: of the file's
// content and the parameters, not of the file's name or identifier.
func (s *Submission) content() machine.Digest {
	digest := sha256.New()
	for _, part := range [][]byte{s.File.Digest[:], []byte(s.Endpoint), []byte(s.Window), s.Metadata} {
		_ = binary.Write(digest, binary.BigEndian, uint32(len(part))) // a hash never fails
		_, _ = digest.Write(part)
	}
	_ = binary.Write(digest, binary.BigEndian, s.DefaultRepeatable)
	return machine.Digest(digest.Sum(nil))
}

// Submit accepts a job whole, or finds the one that the key names already. It
// fails with ErrConflict, a *DeadlineError, or the ledger's errors: after
// ledger.ErrUnknownOutcome the caller sends the same key again.
func (j *Jobs) Submit(ctx context.Context, submission Submission) (jobID string, err error) {
	shard := jobs.ShardOfKey(submission.Tenant, submission.Key, j.caller.Shards())
	answer, err := propose(ctx, j.caller, shard, submission.begin(jobs.NewJobID(shard)))
	if err != nil {
		return "", trace.Wrap(err, "begin batch")
	}
	if err := expect("begin batch", answer); err != nil {
		return "", err
	}
	if answer.Sealed {
		return answer.JobID, nil
	}
	if err := j.copyItems(ctx, shard, answer.JobID, &submission); err != nil {
		return "", err
	}
	seal := &machine.JobSeal{JobID: answer.JobID, Items: submission.File.Lines}
	sealed, err := propose(ctx, j.caller, shard, seal)
	if err != nil {
		return "", trace.Wrap(err, "seal batch")
	}
	return answer.JobID, expect("seal batch", sealed)
}

func (s *Submission) begin(jobID string) *machine.JobBegin {
	weight := uint32(s.Weight * weightUnit)
	if weight == 0 {
		weight = weightUnit
	}
	tries := s.MaxTries
	if tries <= 0 {
		tries = DefaultMaxTries
	}
	return &machine.JobBegin{
		JobID: jobID, Tenant: s.Tenant, Key: s.Key, Content: s.content(), FileID: s.File.FileID, FileDigest: s.File.Digest, Model: s.File.Model,
		Endpoint: s.Endpoint, Window: s.Window, Metadata: s.Metadata, Items: s.File.Lines, Deadline: s.Deadline,
		Weight: weight, MaxTries: uint8(min(tries, maxMaxTries)), Retention: s.Retention,
	}
}

// maxMaxTries is what the stored counter of tries holds.
const maxMaxTries = 255

// copyItems streams the file's lines into the job, a chunk at a time.
func (j *Jobs) copyItems(ctx context.Context, shard ledger.ShardID, jobID string, submission *Submission) error {
	first := uint32(0)
	for chunk := range submission.File.Chunks {
		lines, err := j.source.Chunk(ctx, submission.File.FileID, chunk)
		if err != nil {
			return trace.Wrap(err, "read chunk %d of the input file", chunk)
		}
		items, err := input.ParseChunk(lines)
		if err != nil {
			return trace.Wrap(err, "chunk %d of the input file", chunk)
		}
		if !submission.DefaultRepeatable {
			forbidRepetition(items)
		}
		answer, err := propose(ctx, j.caller, shard, &machine.JobAppend{JobID: jobID, First: first, Items: items})
		if err != nil {
			return trace.Wrap(err, "append to batch")
		}
		if err := expect("append to batch", answer); err != nil {
			return err
		}
		if answer.Sealed {
			return nil
		}
		first += uint32(len(items))
	}
	return nil
}

func forbidRepetition(items []jobs.Item) {
	for i := range items {
		items[i].Repeatable = false
	}
}

// Cancel cancels a tenant's job; a job that is final stays as it is. When
// Cancel has returned, no result of the job is recorded any more.
func (j *Jobs) Cancel(ctx context.Context, tenant, jobID string) error {
	shard, ok := jobs.ShardOfJob(jobID, j.caller.Shards())
	if !ok {
		return ErrNotFound
	}
	answer, err := propose(ctx, j.caller, shard, &machine.Cancel{JobID: jobID, Tenant: tenant})
	if err != nil {
		return trace.Wrap(err, "cancel batch")
	}
	return expect("cancel batch", answer)
}
