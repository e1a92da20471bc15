package command

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/jobs"
	"chutelock.dev/chutelock/internal/jobs/input"
	"chutelock.dev/chutelock/internal/jobs/machine"
	"chutelock.dev/chutelock/internal/ledger"
)

// Files stores input files. Its methods may be called concurrently.
type Files struct {
	caller Caller
}

// NewFiles returns the file commands of a node.
func NewFiles(caller Caller) *Files { return &Files{caller: caller} }

// Upload is an input file to store.
type Upload struct {
	Tenant    string
	Name      string
	Purpose   string
	Retention time.Duration
	Limits    input.Limits
	// CheckModel returns an error if the tenant may not use the model.
	CheckModel func(model string) error
}

// Store validates and stores a file while reading it. Invalid input gives an
// *input.Error. After a failure, the stored chunks are removed.
func (f *Files) Store(ctx context.Context, upload Upload, from io.Reader) (fileID string, summary input.Summary, err error) {
	shard, fileID, err := f.begin(ctx, upload)
	if err != nil {
		return "", input.Summary{}, err
	}
	summary, err = f.storeChunks(ctx, shard, fileID, upload, from)
	if err != nil {
		f.discard(ctx, upload.Tenant, fileID)
		return "", input.Summary{}, err
	}
	return fileID, summary, nil
}

// beginAttempts is the number of random shards tried for a file.
const beginAttempts = 2

func (f *Files) begin(ctx context.Context, upload Upload) (shard ledger.ShardID, fileID string, err error) {
	for range beginAttempts {
		shard = ledger.ShardID(rand.IntN(f.caller.Shards()))
		fileID = jobs.NewFileID(shard)
		err = f.proposeStep(ctx, "begin file", shard, &machine.FileBegin{
			FileID: fileID, Tenant: upload.Tenant, Name: upload.Name, Purpose: upload.Purpose, Retention: upload.Retention,
		})
		if !errors.Is(err, ledger.ErrUnavailable) {
			return shard, fileID, err
		}
	}
	return 0, "", err
}

func (f *Files) proposeStep(ctx context.Context, step string, shard ledger.ShardID, command machine.Command) error {
	answer, err := propose(ctx, f.caller, shard, command)
	if err != nil {
		return trace.Wrap(err, step)
	}
	return checkAnswer(step, answer)
}

func (f *Files) storeChunks(ctx context.Context, shard ledger.ShardID, fileID string, upload Upload,
	from io.Reader) (input.Summary, error) {
	next := uint32(0)
	summary, err := input.Scan(from, upload.Limits, upload.CheckModel, func(chunk []byte) error {
		next++
		return f.proposeStep(ctx, "append to file", shard, &machine.FileAppend{FileID: fileID, Chunk: next - 1, Data: chunk})
	})
	if err != nil {
		return input.Summary{}, err
	}
	return summary, f.proposeStep(ctx, "seal file", shard, &machine.FileSeal{
		FileID: fileID, Chunks: next, Lines: uint32(summary.Lines), Bytes: uint64(summary.Bytes),
		Digest: summary.Digest, Model: summary.Model, Endpoint: summary.Endpoint,
	})
}

// discardTimeout bounds the cleanup after a failed upload; chunks left behind
// are removed when the state machine expires the unsealed file.
const discardTimeout = 5 * time.Second

func (f *Files) discard(ctx context.Context, tenant, fileID string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), discardTimeout)
	defer cancel()
	if err := f.Delete(ctx, tenant, fileID); err != nil {
		eventDiscardFailed.Error(err, "file", fileID)
	}
}

// Delete removes a tenant's file.
func (f *Files) Delete(ctx context.Context, tenant, fileID string) error {
	shard, ok := jobs.ShardOfFile(fileID, f.caller.Shards())
	if !ok {
		return ErrNotFound
	}
	return f.proposeStep(ctx, "delete file", shard, &machine.FileDelete{FileID: fileID, Tenant: tenant})
}
