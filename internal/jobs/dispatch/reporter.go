package dispatch

import (
	"context"
	"sync"
	"time"

	"chutelock.dev/chutelock/internal/jobs"
	"chutelock.dev/chutelock/internal/ledger"
)

const (
	// reportDelay lets results gather before they are reported together.
	reportDelay = 10 * time.Millisecond
	// reportCount is how many results are reported together at most.
	reportCount = 512
	// maxPending is how many unreported results stop the start of new items.
	// Those for a shard that fails are not counted: no more of its items are
	// leased, so that they are bounded by what was.
	maxPending = 4096
	// reportTimeout bounds one report; results are kept until it succeeds.
	reportTimeout = 10 * time.Second
	reportRetry   = 200 * time.Millisecond
)

// reporter gathers results and reports them until they are committed. Each
// shard has a lane of its own, so that one without a leader holds up no other.
type reporter struct {
	work    jobs.Work
	metrics *metrics
	context context.Context
	workers sync.WaitGroup

	// mutex guards the lanes; no call is made while it is held.
	mutex sync.Mutex
	lanes map[ledger.ShardID]*lane
}

// lane holds the results for one shard, the oldest first.
type lane struct {
	pending []jobs.Result
	active  bool // a worker reports them
	failing bool // the last report failed
}

func newReporter(ctx context.Context, work jobs.Work, counted *metrics) *reporter {
	return &reporter{context: ctx, work: work, metrics: counted, lanes: map[ledger.ShardID]*lane{}}
}

func (r *reporter) add(result jobs.Result) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	shard := shardOf(result.JobID)
	found, ok := r.lanes[shard]
	if !ok {
		found = &lane{}
		r.lanes[shard] = found
	}
	found.pending = append(found.pending, result)
	if !found.active {
		found.active = true
		r.workers.Go(func() { r.empty(found) })
	}
}

// shardOf reads the shard out of a job's identifier; identifiers that have
// none share a lane.
func shardOf(jobID string) ledger.ShardID {
	shard, _ := jobs.ShardOfJob(jobID, jobs.MaxShards)
	return shard
}

// congested says that results come faster than they can be reported.
func (r *reporter) congested() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	waiting := 0
	for _, each := range r.lanes {
		if !each.failing {
			waiting += len(each.pending)
		}
	}
	return waiting >= maxPending
}

// done says that nothing waits to be reported.
func (r *reporter) done() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, each := range r.lanes {
		if len(each.pending) > 0 {
			return false
		}
	}
	return true
}

// jobIDs lists the jobs of which results wait.
func (r *reporter) jobIDs() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var found []string
	for _, each := range r.lanes {
		for _, result := range each.pending {
			if len(found) == 0 || found[len(found)-1] != result.JobID {
				found = append(found, result.JobID)
			}
		}
	}
	return found
}

// empty reports a lane's results until none is left.
func (r *reporter) empty(from *lane) {
	wait := reportDelay
	for sleep(r.context, wait) {
		batch := r.oldest(from)
		if len(batch) == 0 {
			return
		}
		wait = reportDelay
		if err := r.report(batch); err != nil {
			eventReportFailed.Error(err, "results", len(batch))
			wait = reportRetry
		}
		r.settle(from, len(batch), wait == reportDelay)
	}
}

// oldest returns what to report next; when that is nothing, the worker must
// end.
func (r *reporter) oldest(from *lane) []jobs.Result {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(from.pending) == 0 {
		from.active = false
		return nil
	}
	count := min(len(from.pending), reportCount)
	return append([]jobs.Result(nil), from.pending[:count]...)
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

// settle removes results that were committed; others stay, so that none is
// lost on the way.
func (r *reporter) settle(from *lane, count int, committed bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	from.failing = !committed
	if committed {
		from.pending = append(from.pending[:0:0], from.pending[count:]...)
	}
}

// wait returns when all workers have ended, after the context has.
func (r *reporter) wait() { r.workers.Wait() }

// sleep waits, and says whether ctx still holds.
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
