package batchwork

import (
	"sort"

	"chutelock.dev/chutelock/internal/clock"
)

// begun notes that the first event of an item's run came.
func (r *Runner) begun(k itemKey) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if run := r.runs[k]; run != nil {
		run.begun = true
	}
}

// Yield takes slots back from batch work where online work needs them.
func (r *Runner) Yield() {
	now := clock.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if now.Before(r.yieldAt) {
		return
	}
	r.yieldAt = now.Add(yieldInterval)
	crowded := r.options.Balancer.Overfull()
	if len(crowded) == 0 {
		return
	}
	byEngine := r.runsByEngine()
	for _, overfull := range crowded {
		runs := byEngine[overfull.Engine]
		sort.Slice(runs, func(i, j int) bool { return runs[i].started.Before(runs[j].started) })
		victims := yieldOrder(runs)
		victims = victims[:min(overfull.Excess, len(victims))]
		if len(victims) == 0 {
			continue
		}
		for _, run := range victims {
			run.yielding = true
			run.cancel()
			run.lease.Release()
		}
		eventYielded.Info("engine", overfull.Engine, "runs", len(runs), "cut", len(victims))
	}
}

// yieldOrder lists the runs that may be cut, those to be cut first before the
// others: begun ones, as the others would have to be run from their start
// again; among these the youngest, which have the least text to be read again.
func yieldOrder(runs []*run) []*run {
	var order []*run
	for i := len(runs) - 1; i >= 0; i-- {
		if !runs[i].yielding {
			order = append(order, runs[i])
		}
	}
	sort.SliceStable(order, func(i, j int) bool { return order[i].begun && !order[j].begun })
	return order
}

// runsByEngine lists the runs at each engine; the caller holds the mutex.
func (r *Runner) runsByEngine() map[string][]*run {
	byEngine := map[string][]*run{}
	for _, run := range r.runs {
		byEngine[run.engine.ID] = append(byEngine[run.engine.ID], run)
	}
	return byEngine
}
