package batchwork

import (
	"context"
	"time"

	"chutelock.dev/chutelock/internal/clock"
)

// plan starts and stops runs as leadership and open items demand. It returns how
// long it took to go through them.
func (r *Runner) plan(ctx context.Context) time.Duration {
	if !r.confirmLeading(ctx) {
		r.stopAll()
		return 0
	}
	now := clock.Now()
	open := r.order(timed(r.options.Machine.openItems(), now, time.Now()), now)
	r.stopEnded()
	r.dropSilent(now)
	r.logState(len(open), now)
	r.commitVerdicts(open, now)
	took := clock.Since(now)
	if !r.settled(now) {
		return took
	}
	started := r.startOpen(ctx, open, now)
	if len(started) > 0 {
		r.tasks.Go(func() { r.launch(ctx, started) })
	}
	if len(started) == startsMost {
		r.lookAgain()
	}
	return took
}

// timed turns the dates of items into times of the clock that runs are kept by: this
// machine may have been suspended, and its time of day set, since the jobs came.
func timed(open []openItem, now, date time.Time) []openItem {
	date = date.Round(0)
	for i := range open {
		item := &open[i]
		item.due = now.Add(item.due.Sub(date))
		item.giveUp = now.Add(item.giveUp.Sub(date))
	}
	return open
}

// lookAgain makes the next look at open items come without waiting for a change.
func (r *Runner) lookAgain() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Runner) order(open []openItem, now time.Time) []openItem {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.pace.order(open, now)
}

// observe takes the figures of a run that ended.
func (r *Runner) observe(result runResult) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if result.events > 0 || result.done {
		r.pace.observe(result.took, result.events, result.last, result.done)
	}
}

func (r *Runner) logState(open int, now time.Time) {
	r.mutex.Lock()
	running, local, paused, most := len(r.runs), r.local(), len(r.pauses), r.limit.most
	due := now.Sub(r.statedAt) >= stateInterval
	if due {
		r.statedAt = now
	}
	r.mutex.Unlock()
	if due && open > 0 {
		eventState.Info("open", open, "running", running, "local", local, "paused", paused, "most", most)
	}
}

// idle says that an item neither runs nor rests; the caller holds the mutex.
func (r *Runner) idle(item *openItem, now time.Time) bool {
	k := itemKey{item.job, item.index}
	if r.runs[k] != nil || r.stopped {
		return false
	}
	if until, paused := r.pauses[k]; paused {
		if now.Before(until) {
			return false
		}
		delete(r.pauses, k)
	}
	return true
}

func (r *Runner) stopEnded() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for k, run := range r.runs {
		if !r.options.Machine.isOpen(k.job, k.index) {
			run.cancel()
		}
	}
	for k := range r.pauses {
		if !r.options.Machine.isOpen(k.job, k.index) {
			delete(r.pauses, k)
			delete(r.formers, k)
			delete(r.verdicts, k)
		}
	}
}

// local is the number of runs whose streams are held here; the caller holds the
// mutex.
func (r *Runner) local() int {
	local := len(r.runs)
	for _, count := range r.executors.runs {
		local -= count
	}
	return local
}

func (r *Runner) finished(next *startedRun, pause time.Duration) {
	r.mutex.Lock()
	k := itemKey{next.item.job, next.item.index}
	delete(r.runs, k)
	if next.executor != "" {
		r.executors.end(next.executor)
	}
	switch {
	case !r.options.Machine.isOpen(k.job, k.index):
		delete(r.formers, k)
	case pause > 0:
		r.pauses[k] = clock.Now().Add(pause)
	}
	r.mutex.Unlock()
	r.lookAgain()
}
