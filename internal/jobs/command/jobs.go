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

// Submission describes a job to submit.
type Submission struct {
	Tenant   string
	Key      string // the client's idempotency key, or a generated one
	File     machine.FileRecord
	Endpoint string
	Window   string
	Metadata []byte // canonical JSON object, or empty
	Deadline time.Time
	// DefaultRepeatable is false if no item of the job may be repeated.
	DefaultRepeatable bool
	Weight            float64
	MaxTries          int
	Retention         time.Duration
}

// DefaultMaxTries is the default of Submission.MaxTries, the limit of tries of
// an item on engine errors.
const DefaultMaxTries = 3

// weightUnit is the encoding of weight 1; weights are stored in thousandths.
const weightUnit = 1000

// contentDigest identifies a resubmission. It covers the file's content and the
// parameters, but not the file's name or identifier.
func (s *Submission) contentDigest() machine.Digest {
	digest := sha256.New()
	for _, part := range [][]byte{s.File.Digest[:], []byte(s.Endpoint), []byte(s.Window), s.Metadata} {
		_ = binary.Write(digest, binary.BigEndian, uint32(len(part))) // writing to a hash never fails
		_, _ = digest.Write(part)
	}
	_ = binary.Write(digest, binary.BigEndian, s.DefaultRepeatable)
	return machine.Digest(digest.Sum(nil))
}

// Submit accepts a job completely, or returns the one accepted under the same
// key. It fails with ErrConflict, a *DeadlineError or the ledger's errors. After
// ledger.ErrUnknownOutcome, resubmit with the same key.
func (j *Jobs) Submit(ctx context.Context, submission Submission) (jobID string, err error) {
	shard := jobs.ShardOfKey(submission.Tenant, submission.Key, j.caller.Shards())
	answer, err := propose(ctx, j.caller, shard, submission.beginCommand(jobs.NewJobID(shard)))
	if err != nil {
		return "", trace.Wrap(err, "begin batch")
	}
	if err := checkAnswer("begin batch", answer); err != nil {
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
	return answer.JobID, checkAnswer("seal batch", sealed)
}

func (s *Submission) beginCommand(jobID string) *machine.JobBegin {
	weight := uint32(s.Weight * weightUnit)
	if weight == 0 {
		weight = weightUnit
	}
	tries := s.MaxTries
	if tries <= 0 {
		tries = DefaultMaxTries
	}
	return &machine.JobBegin{
		JobID: jobID, Tenant: s.Tenant, Key: s.Key, Content: s.contentDigest(), FileID: s.File.FileID, FileDigest: s.File.Digest, Model: s.File.Model,
		Endpoint: s.Endpoint, Window: s.Window, Metadata: s.Metadata, Items: s.File.Lines, Deadline: s.Deadline,
		Weight: weight, MaxTries: uint8(min(tries, triesLimit)), Retention: s.Retention,
	}
}

// triesLimit is the maximum of the stored counter of tries.
const triesLimit = 255

// copyItems copies the file's lines into the job, chunk by chunk.
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
			clearRepeatable(items)
		}
		answer, err := propose(ctx, j.caller, shard, &machine.JobAppend{JobID: jobID, First: first, Items: items})
		if err != nil {
			return trace.Wrap(err, "append to batch")
		}
		if err := checkAnswer("append to batch", answer); err != nil {
			return err
		}
		if answer.Sealed {
			return nil
		}
		first += uint32(len(items))
	}
	return nil
}

func clearRepeatable(items []jobs.Item) {
	for i := range items {
		items[i].Repeatable = false
	}
}

// Cancel cancels a tenant's job; a final job is not changed. After Cancel
// succeeds, no result of the job is recorded.
func (j *Jobs) Cancel(ctx context.Context, tenant, jobID string) error {
	shard, ok := jobs.ShardOfJob(jobID, j.caller.Shards())
	if !ok {
		return ErrNotFound
	}
	answer, err := propose(ctx, j.caller, shard, &machine.Cancel{JobID: jobID, Tenant: tenant})
	if err != nil {
		return trace.Wrap(err, "cancel batch")
	}
	return checkAnswer("cancel batch", answer)
}
