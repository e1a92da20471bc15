package batchwork

import (
	"context"
	"time"

	"chutelock.dev/chutelock/internal/clock"
)

// plan starts and stops runs according to leadership and open items. It returns the time it
// took to go through the items.
func (r *Runner) plan(ctx context.Context) time.Duration {
	if !r.confirmLeading(ctx) {
		r.stopAll()
		return 0
	}
	now := clock.Now()
	open := r.orderItems(r.options.Machine.openItemsAt(now, time.Now()), now)
	r.cancelEnded()
	r.dropSilentExecutors(now)
	r.logState(len(open), now)
	r.commitPendingEnds(open, now)
	took := clock.Since(now)
	if !r.hasSettled(now) {
		return took
	}
	started := r.startOpen(ctx, open, now)
	r.observeRooms(now)
	if len(started) > 0 {
		r.tasks.Go(func() { r.launch(ctx, started) })
	}
	if len(started) == maxStartsPerPlan {
		r.wakePlanner()
	}
	return took
}

// wakePlanner triggers the next plan without waiting for a change.
func (r *Runner) wakePlanner() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Runner) orderItems(open []openItem, now time.Time) []openItem {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.options.Overload.active() {
		return r.itemEstimator.order(open, now)
	}
	services := map[routeKey]string{}
	service := func(item openItem) string {
		key := routeKey{item.host, item.path}
		name, known := services[key]
		if !known {
			name = serviceOf(r.options.Route(item.host, item.path))
			services[key] = name
		}
		return name
	}
	return r.overload.order(open, service, r.itemEstimator, r.options.Overload.weight, now)
}

// routeKey determines a job's route.
type routeKey struct{ host, path string }

// observeRun updates the estimates with a run that ended.
func (r *Runner) observeRun(next *startedRun, result runResult) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.overload.service(next.engine.Service).room.observeRun(clock.Since(next.started), result.events)
	if result.events > 0 || result.done {
		r.itemEstimator.observe(result.took, result.events, result.last, result.done)
	}
}

func (r *Runner) logState(open int, now time.Time) {
	r.mutex.Lock()
	running, local, paused, maxRuns := len(r.runs), r.localRuns(), len(r.pauses), r.runLimit.maxRuns
	late, active := r.overload.late, r.options.Overload.active()
	due := now.Sub(r.stateLoggedAt) >= stateInterval
	if due {
		r.stateLoggedAt = now
	}
	r.mutex.Unlock()
	switch {
	case !due || open == 0:
	case active:
		eventState.Info("open", open, "running", running, "local", local, "paused", paused, "most", maxRuns, "late", late)
	default:
		eventState.Info("open", open, "running", running, "local", local, "paused", paused, "most", maxRuns)
	}
}

// isIdle reports whether an item neither runs nor is paused; the caller holds the mutex.
func (r *Runner) isIdle(item *openItem, now time.Time) bool {
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

func (r *Runner) cancelEnded() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for k, run := range r.runs {
		if !r.options.Machine.isOpen(k.job, k.index) {
			r.cut(run, cutJobEnded)
		}
	}
	for k := range r.pauses {
		if !r.options.Machine.isOpen(k.job, k.index) {
			delete(r.pauses, k)
			delete(r.previousEngines, k)
			delete(r.pendingEnds, k)
		}
	}
	for k := range r.releaseWaits {
		if !r.options.Machine.isOpen(k.job, k.index) {
			delete(r.releaseWaits, k)
		}
	}
	for k := range r.losses {
		if !r.options.Machine.isOpen(k.job, k.index) {
			delete(r.losses, k)
		}
	}
}

// localRuns returns the number of runs whose streams this node reads; the caller holds the
// mutex.
func (r *Runner) localRuns() int {
	local := len(r.runs)
	for _, count := range r.executors.runs {
		local -= count
	}
	return local
}

func (r *Runner) finishRun(next *startedRun, pause time.Duration) {
	r.mutex.Lock()
	k := itemKey{next.item.job, next.item.index}
	delete(r.runs, k)
	if state, found := r.options.Machine.item(k.job, k.index); found {
		r.options.Metrics.itemEnded(state.state, next.item.due, clock.Now())
		if state.lastEvent != next.item.lastEvent || state.origin != next.item.origin {
			delete(r.releaseWaits, k) // the run made progress
		}
	}
	if next.executor != "" {
		r.executors.end(next.executor)
	}
	switch {
	case !r.options.Machine.isOpen(k.job, k.index):
		delete(r.previousEngines, k)
		delete(r.releaseWaits, k)
	case pause > 0:
		r.pauses[k] = clock.Now().Add(pause)
	}
	r.mutex.Unlock()
	r.wakePlanner()
}
