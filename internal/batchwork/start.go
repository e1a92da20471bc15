package batchwork

import (
	"context"
	"time"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/ledger"
)

// startOpen starts open items in their order, while engines have room for batch
// work and the leader bears more runs.
func (r *Runner) startOpen(ctx context.Context, open []openItem, now time.Time) []*itemRun {
	full := map[string]bool{} // by service
	var started []*itemRun
	for _, item := range open {
		route := r.options.Route(item.host, item.path)
		if route == nil || !r.idle(item, now) {
			continue
		}
		service := r.options.Balancer.Service(route)
		if full[service] {
			continue
		}
		if len(started) == startsMost || !r.mayStart() {
			break
		}
		if next := r.start(ctx, item, route, service); next != nil {
			started = append(started, next)
		} else {
			full[service] = true
		}
	}
	return started
}

// mayStart says whether the leader bears one more run.
func (r *Runner) mayStart() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.runs) < r.limit.most
}

// launch reads the items of new runs from a state that is surely the newest,
// all in one read, and lets the runs work.
func (r *Runner) launch(ctx context.Context, started []*itemRun) {
	items := make([]Item, len(started))
	failures := make([]error, len(started))
	bounded, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	err := r.options.Shard.Read(bounded, func(reader ledger.Reader) error {
		for i, next := range started {
			items[i], failures[i] = readItem(reader, next.item.job, next.item.index)
		}
		return nil
	})
	for i, next := range started {
		r.tasks.Go(func() {
			pause := refusalPause
			if err == nil && failures[i] == nil && next.ctx.Err() == nil {
				pause = next.run(next.ctx, &items[i])
			}
			next.cancel()
			next.lease.Release()
			r.finished(itemKey{next.item.job, next.item.index}, pause)
		})
	}
}

// start takes an engine with room for batch work for an item; nil if there is
// none.
func (r *Runner) start(ctx context.Context, item openItem, route *catalog.Route, service string) *itemRun {
	wish := balance.Wish{Service: service, Zone: r.options.Zone, Class: balance.ClassBatch, Former: r.former(item), PromptTokens: item.promptTokens}
	lease, err := r.options.Balancer.Acquire(ctx, wish, route.Priority, 0)
	if err != nil {
		return nil
	}
	next := &itemRun{Runner: r, item: item, route: route, engine: lease.Engine, lease: lease}
	next.ctx, next.cancel = context.WithCancel(ctx)
	k := itemKey{item.job, item.index}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.formers[k] = lease.Engine.ID
	r.runs[k] = &run{cancel: next.cancel, engine: lease.Engine, lease: lease, started: time.Now()}
	return next
}

// former is the engine that ran a part of the item, if one did.
func (r *Runner) former(item openItem) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.formers[itemKey{item.job, item.index}]
}
