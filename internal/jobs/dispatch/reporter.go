package dispatch

import (
	"context"
	"sync"
	"time"

	"chutelock.dev/chutelock/internal/jobs"
	"chutelock.dev/chutelock/internal/ledger"
)

const (
	// reportDelay is the wait for more results before a batch is reported.
	reportDelay = 10 * time.Millisecond
	// maxReportBatch bounds the results in one report.
	maxReportBatch = 512
	// maxPending is the number of unreported results at which no more items are
	// started. Results of failing shards don't count: no more of their items are
	// leased, which bounds them.
	maxPending = 4096
	// reportTimeout bounds one report; results are kept until it succeeds.
	reportTimeout    = 10 * time.Second
	reportRetryDelay = 200 * time.Millisecond
)

// reporter batches results and retries reports until they are committed. Each
// shard has its own queue, so that one without a leader delays no other.
type reporter struct {
	work    jobs.Work
	metrics *metrics
	context context.Context
	workers sync.WaitGroup

	// mutex guards the queues; no I/O is done while it is held.
	mutex  sync.Mutex
	queues map[ledger.ShardID]*shardQueue
}

// shardQueue holds the unreported results of one shard, oldest first.
type shardQueue struct {
	pending []jobs.Result
	active  bool // a worker is reporting them
	failing bool // the last report failed
}

func newReporter(ctx context.Context, work jobs.Work, counted *metrics) *reporter {
	return &reporter{context: ctx, work: work, metrics: counted, queues: map[ledger.ShardID]*shardQueue{}}
}

func (r *reporter) add(result jobs.Result) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	shard := shardOf(result.JobID)
	queue, ok := r.queues[shard]
	if !ok {
		queue = &shardQueue{}
		r.queues[shard] = queue
	}
	queue.pending = append(queue.pending, result)
	if !queue.active {
		queue.active = true
		r.workers.Go(func() { r.reportAll(queue) })
	}
}

// shardOf returns the shard encoded in a job's identifier; identifiers without
// one share a queue.
func shardOf(jobID string) ledger.ShardID {
	shard, _ := jobs.ShardOfJob(jobID, jobs.MaxShards)
	return shard
}

// congested reports whether too many results wait to be reported.
func (r *reporter) congested() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	waiting := 0
	for _, each := range r.queues {
		if !each.failing {
			waiting += len(each.pending)
		}
	}
	return waiting >= maxPending
}

// isEmpty reports whether all results were reported.
func (r *reporter) isEmpty() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, each := range r.queues {
		if len(each.pending) > 0 {
			return false
		}
	}
	return true
}

// jobIDs returns the jobs with unreported results; it may repeat some.
func (r *reporter) jobIDs() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var found []string
	for _, each := range r.queues {
		for _, result := range each.pending {
			if len(found) == 0 || found[len(found)-1] != result.JobID {
				found = append(found, result.JobID)
			}
		}
	}
	return found
}

// reportAll reports a queue's results until none is left.
func (r *reporter) reportAll(queue *shardQueue) {
	wait := reportDelay
	for sleep(r.context, wait) {
		batch := r.nextBatch(queue)
		if len(batch) == 0 {
			return
		}
		wait = reportDelay
		if err := r.report(batch); err != nil {
			eventReportFailed.Error(err, "results", len(batch))
			wait = reportRetryDelay
		}
		r.finishBatch(queue, len(batch), wait == reportDelay)
	}
}

// nextBatch returns the results to report next. If there are none, it marks the
// queue inactive and the worker must end.
func (r *reporter) nextBatch(queue *shardQueue) []jobs.Result {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(queue.pending) == 0 {
		queue.active = false
		return nil
	}
	count := min(len(queue.pending), maxReportBatch)
	return append([]jobs.Result(nil), queue.pending[:count]...)
}

func (r *reporter) report(batch []jobs.Result) error {
	ctx, cancel := context.WithTimeout(r.context, reportTimeout)
	defer cancel()
	if err := r.work.Report(ctx, batch); err != nil {
		return err
	}
	r.metrics.count(batch)
	return nil
}

// finishBatch removes a committed batch from the queue; a failed one stays for
// the next report.
func (r *reporter) finishBatch(queue *shardQueue, count int, committed bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	queue.failing = !committed
	if committed {
		queue.pending = append(queue.pending[:0:0], queue.pending[count:]...)
	}
}

// wait waits for all workers to end; the context must have ended.
func (r *reporter) wait() { r.workers.Wait() }

// sleep waits and reports whether the wait passed before ctx ended.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
