package dispatch

import (
	"context"
	"sync"
	"time"

	"chutelock.dev/chutelock/internal/jobs"
)

const (
	// reportDelay lets results gather before they are reported together.
	reportDelay = 10 * time.Millisecond
	// reportCount is how many results are reported together at most.
	reportCount = 512
	// maxPending is how many unreported results stop the start of new items.
	maxPending = 4096
	// reportTimeout bounds one report; results are kept until it succeeds.
	reportTimeout = 10 * time.Second
	reportRetry   = 200 * time.Millisecond
)

// reporter gathers results and reports them until they are committed.
type reporter struct {
	work    jobs.Work
	metrics *metrics
	wake    chan struct{}

	// mutex guards pending; no call is made while it is held.
	mutex   sync.Mutex
	pending []jobs.Result
}

func newReporter(work jobs.Work, counted *metrics) *reporter {
	return &reporter{work: work, metrics: counted, wake: make(chan struct{}, 1)}
}

func (r *reporter) add(result jobs.Result) {
	r.mutex.Lock()
	r.pending = append(r.pending, result)
	r.mutex.Unlock()
	select {
	case r.wake <- struct{}{}:
	default: // a wake-up is waiting already
	}
}

func (r *reporter) congested() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.pending) >= maxPending
}

func (r *reporter) empty() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.pending) == 0
}

func (r *reporter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		for !r.empty() && sleep(ctx, reportDelay) {
			r.reportSome(ctx)
		}
	}
}

// reportSome reports the oldest results; they leave pending when they are
// committed, so that none is lost on the way.
func (r *reporter) reportSome(ctx context.Context) {
	r.mutex.Lock()
	count := min(len(r.pending), reportCount)
	results := append([]jobs.Result(nil), r.pending[:count]...)
	r.mutex.Unlock()
	attempt, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := r.work.Report(attempt, results); err != nil {
		if ctx.Err() == nil {
			eventReportFailed.Error(err, "results", count)
			sleep(ctx, reportRetry)
		}
		return
	}
	r.metrics.count(results)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.pending = append(r.pending[:0:0], r.pending[count:]...)
}

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
