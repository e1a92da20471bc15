package query

import (
	"context"
	"sort"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"chutelock.dev/chutelock/internal/jobs"
	"chutelock.dev/chutelock/internal/jobs/machine"
	"chutelock.dev/chutelock/internal/jobs/remote"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/wire"
)

// ErrNotFound means that the tenant has no such file or job.
var ErrNotFound = trace.NotFound("no such file or batch")

// Caller reaches the leaders of shards.
type Caller interface {
	Shards() int
	Call(ctx context.Context, operation remote.Operation, shard ledger.ShardID, payload []byte) ([]byte, error)
}

// Queries reads files, jobs and results from any node. Its methods may be called
// concurrently.
type Queries struct {
	caller Caller
}

// New returns Queries that reach the shards through caller.
func New(caller Caller) *Queries { return &Queries{caller: caller} }

// send sends a request to one shard. It returns ErrNotFound if nothing matches.
func (q *Queries) send(ctx context.Context, shard ledger.ShardID, req request) (responseHeader, [][]byte, error) {
	payload, err := req.encode()
	if err != nil {
		return responseHeader{}, nil, trace.Wrap(err)
	}
	answer, err := q.caller.Call(ctx, remote.OperationQuery, shard, payload)
	if err != nil {
		return responseHeader{}, nil, trace.Wrap(err, "query shard %d", shard)
	}
	var fixed responseHeader
	fields, err := wire.Unmarshal(answer, version, &fixed, -1)
	if err != nil {
		return responseHeader{}, nil, trace.Wrap(err, "answer of shard %d", shard)
	}
	if !fixed.Found {
		return responseHeader{}, nil, ErrNotFound
	}
	return fixed, fields, nil
}

// File reads the record of a tenant's sealed input file.
func (q *Queries) File(ctx context.Context, tenant, fileID string) (machine.FileRecord, error) {
	shard, ok := jobs.ShardOfFile(fileID, q.caller.Shards())
	if !ok {
		return machine.FileRecord{}, ErrNotFound
	}
	req := request{requestHeader: requestHeader{Kind: kindFile}, identifier: fileID, tenant: tenant}
	_, fields, err := q.send(ctx, shard, req)
	if err != nil {
		return machine.FileRecord{}, err
	}
	if len(fields) != 1 {
		return machine.FileRecord{}, trace.Wrap(wire.ErrLength)
	}
	return machine.DecodeFile(fields[0])
}

// Chunk reads a chunk of a file that was returned by File; the tenant is not
// checked.
func (q *Queries) Chunk(ctx context.Context, fileID string, chunk uint32) ([]byte, error) {
	shard, ok := jobs.ShardOfFile(fileID, q.caller.Shards())
	if !ok {
		return nil, ErrNotFound
	}
	req := request{requestHeader: requestHeader{Kind: kindChunk, Number: chunk}, identifier: fileID}
	_, fields, err := q.send(ctx, shard, req)
	if err != nil {
		return nil, err
	}
	if len(fields) != 1 {
		return nil, trace.Wrap(wire.ErrLength)
	}
	return fields[0], nil
}

// Job reads a tenant's accepted job.
func (q *Queries) Job(ctx context.Context, tenant, jobID string) (Job, error) {
	shard, ok := jobs.ShardOfJob(jobID, q.caller.Shards())
	if !ok {
		return Job{}, ErrNotFound
	}
	return q.fetchJob(ctx, shard, request{requestHeader: requestHeader{Kind: kindJob}, identifier: jobID, tenant: tenant})
}

// JobByKey reads a tenant's accepted job by its idempotency key.
func (q *Queries) JobByKey(ctx context.Context, tenant, idempotencyKey string) (Job, error) {
	shard := jobs.ShardOfKey(tenant, idempotencyKey, q.caller.Shards())
	return q.fetchJob(ctx, shard, request{
		requestHeader: requestHeader{Kind: kindJobByKey}, identifier: idempotencyKey, tenant: tenant,
	})
}

func (q *Queries) fetchJob(ctx context.Context, shard ledger.ShardID, req request) (Job, error) {
	_, fields, err := q.send(ctx, shard, req)
	if err != nil {
		return Job{}, err
	}
	found, err := decodeJobs(fields)
	if err != nil || len(found) != 1 {
		return Job{}, trace.Wrap(wire.ErrLength)
	}
	return found[0], nil
}

func decodeJobs(fields [][]byte) ([]Job, error) {
	decoded := make([]Job, 0, len(fields)/2)
	for ; len(fields) >= 2; fields = fields[2:] {
		record, err := machine.DecodeJob(fields[0])
		if err != nil {
			return nil, trace.Wrap(err)
		}
		counters, err := machine.DecodeCounters(fields[1])
		if err != nil {
			return nil, trace.Wrap(err)
		}
		decoded = append(decoded, Job{record, counters})
	}
	return decoded, nil
}

// Jobs lists a tenant's accepted jobs of all shards, newest first. If after is
// not empty, the list starts after that job.
func (q *Queries) Jobs(ctx context.Context, tenant, after string, limit int) ([]Job, error) {
	limit = max(1, min(limit, maxPageJobs))
	var cursor Job
	if after != "" {
		var err error
		if cursor, err = q.Job(ctx, tenant, after); err != nil {
			return nil, err
		}
	}
	pages := make([][]Job, q.caller.Shards())
	group, ctx := errgroup.WithContext(ctx)
	for shard := range pages {
		group.Go(func() (err error) {
			pages[shard], err = q.shardJobs(ctx, ledger.ShardID(shard), tenant, cursor, limit)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return mergeNewest(pages, limit), nil
}

func mergeNewest(pages [][]Job, limit int) []Job {
	var merged []Job
	for _, page := range pages {
		merged = append(merged, page...)
	}
	sort.Slice(merged, func(a, b int) bool {
		if !merged[a].Created.Equal(merged[b].Created) {
			return merged[a].Created.After(merged[b].Created)
		}
		return merged[a].JobID < merged[b].JobID
	})
	return merged[:min(limit, len(merged))]
}

// shardJobs lists one shard's jobs of the tenant that follow cursor.
func (q *Queries) shardJobs(ctx context.Context, shard ledger.ShardID, tenant string, cursor Job, limit int) ([]Job, error) {
	req := request{requestHeader: requestHeader{Kind: kindJobs, Limit: uint32(limit)}, tenant: tenant}
	if cursor.JobID != "" {
		req.identifier = cursor.JobID
		req.After = cursor.Created.UnixMilli()
	}
	_, fields, err := q.send(ctx, shard, req)
	if err != nil {
		return nil, err
	}
	return decodeJobs(fields)
}

// Results visits the results of a tenant's job in item order: the successful
// ones or, if errors is set, the others. For a job that is not final, it visits
// the results recorded so far.
func (q *Queries) Results(ctx context.Context, tenant, jobID string, errors bool,
	visit func(machine.ResultRecord) error) error {
	shard, ok := jobs.ShardOfJob(jobID, q.caller.Shards())
	if !ok {
		return ErrNotFound
	}
	req := request{requestHeader: requestHeader{Kind: kindResults, Errors: errors}, identifier: jobID, tenant: tenant}
	for {
		page, fields, err := q.send(ctx, shard, req)
		if err != nil {
			return err
		}
		for _, field := range fields {
			result, err := decodeResult(field)
			if err != nil {
				return trace.Wrap(err)
			}
			if err := visit(result); err != nil {
				return err
			}
		}
		if !page.More {
			return nil
		}
		req.Number = page.Next
	}
}
