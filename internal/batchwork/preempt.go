package batchwork

import (
	"sort"

	"chutelock.dev/chutelock/internal/clock"
)

// markBegun records the first event of an item's run.
func (r *Runner) markBegun(k itemKey) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if run := r.runs[k]; run != nil {
		r.setBegun(run)
	}
}

// setBegun records that a run has had an event; the caller holds the mutex.
func (r *Runner) setBegun(run *run) {
	if !run.begun {
		r.overload.service(run.engine.Service).start.observe(clock.Since(run.started))
	}
	run.begun = true
}

// cut cancels a run; the caller holds the mutex.
func (r *Runner) cut(run *run, cause cutCause) {
	if run.ctx.Err() == nil {
		r.options.Metrics.runCut(cause)
	}
	run.cancel()
}

// Preempt preempts batch runs at engines whose slots online work needs.
func (r *Runner) Preempt() {
	now := clock.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if now.Before(r.nextPreemption) {
		return
	}
	r.nextPreemption = now.Add(preemptionInterval)
	overfullEngines := r.options.Balancer.Overfull()
	if len(overfullEngines) == 0 {
		return
	}
	byEngine := r.runsByEngine()
	shared := r.options.Overload.active()
	for _, overfull := range overfullEngines {
		runs := byEngine[overfull.Engine]
		sort.Slice(runs, func(i, j int) bool { return runs[i].started.Before(runs[j].started) })
		victims := preemptionOrder(runs)
		if shared && len(victims) > 0 {
			victims = cutOrder(victims, r.overload.service(victims[0].engine.Service).start.mean, now)
		}
		victims = victims[:min(overfull.Excess, len(victims))]
		if len(victims) == 0 {
			continue
		}
		for _, run := range victims {
			run.preempted = true
			r.cut(run, cutOnline)
			run.lease.Release()
		}
		eventPreempted.Info("engine", overfull.Engine, "runs", len(runs), "cut", len(victims))
	}
}

// preemptionOrder lists the runs that may be preempted, in order: those with events first,
// as the others would restart from scratch; among these the youngest, which have the least
// text to process again.
func preemptionOrder(runs []*run) []*run {
	var order []*run
	for i := len(runs) - 1; i >= 0; i-- {
		if !runs[i].preempted {
			order = append(order, runs[i])
		}
	}
	sort.SliceStable(order, func(i, j int) bool { return order[i].begun && !order[j].begun })
	return order
}

// runsByEngine groups the runs by engine; the caller holds the mutex.
func (r *Runner) runsByEngine() map[string][]*run {
	byEngine := map[string][]*run{}
	for _, run := range r.runs {
		byEngine[run.engine.ID] = append(byEngine[run.engine.ID], run)
	}
	return byEngine
}
