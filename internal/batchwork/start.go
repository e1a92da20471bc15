package batchwork

import (
	"context"
	"errors"
	"strings"
	"time"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/transport"
	"chutelock.dev/chutelock/internal/upstream"
)

// startOpen starts open items in their order, while engines have room for batch
// work and the leader bears more runs.
func (r *Runner) startOpen(ctx context.Context, open []openItem, now time.Time) []*startedRun {
	groups, most := r.startable(open, now)
	var started []*startedRun
	for _, group := range groups {
		wishes := group.wishes[:min(len(group.wishes), most-len(started))]
		leases := r.options.Balancer.AcquireMany(wishes, group.priority)
		for i, lease := range leases {
			started = append(started, r.start(ctx, group.items[i], group.routes[i], lease))
		}
	}
	return started
}

// groupKey is what the items of a startGroup share.
type groupKey struct {
	service, regions string
	restricted       bool
}

// regions are where a tenant's items of a route may be run.
func (r *Runner) regions(route *catalog.Route, tenant string) catalog.Regions {
	if r.options.Regions == nil {
		return nil
	}
	return r.options.Regions(route, tenant)
}

// startGroup is the items of one service that may be started next, in their order;
// the same regions hold for all of them.
type startGroup struct {
	priority int
	items    []openItem
	routes   []*catalog.Route
	wishes   []balance.Wish
}

// startable picks the first open items of each service and set of regions that neither run nor rest,
// and says how many runs may be started in all.
func (r *Runner) startable(open []openItem, now time.Time) (groups []*startGroup, most int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	most = max(0, min(startsMost, r.limit.most-len(r.runs)))
	zone := r.preferredZone()
	byKey := map[groupKey]*startGroup{}
	var route *catalog.Route
	for i := range open {
		item := &open[i]
		if i == 0 || item.host != open[i-1].host || item.path != open[i-1].path {
			route = r.options.Route(item.host, item.path)
		}
		if route == nil {
			continue
		}
		service := r.options.Balancer.Service(route)
		regions := r.regions(route, item.tenant)
		like := groupKey{service, strings.Join(regions, " "), regions != nil}
		group := byKey[like]
		if (group != nil && len(group.items) >= most) || !r.idle(item, now) {
			continue
		}
		if group == nil {
			group = &startGroup{priority: route.Priority}
			byKey[like] = group
			groups = append(groups, group)
		}
		group.items = append(group.items, *item)
		group.routes = append(group.routes, route)
		group.wishes = append(group.wishes, balance.Wish{
			Service: service, Zone: zone, Class: balance.ClassBatch,
			Regions: regions, PreviousEngine: r.formers[itemKey{item.job, item.index}], PromptTokens: item.promptTokens,
		})
	}
	return groups, most
}

// preferredZone is this node's as long as it holds the streams itself: bytes
// between zones are dear. An executor is in its engine's zone. The caller holds
// the mutex.
func (r *Runner) preferredZone() string {
	if r.options.Executors != nil && r.executors.wanted(r.local()) {
		return ""
	}
	return r.options.Zone
}

// launch reads the items of new runs from a state that is surely the newest,
// all in one read, and lets the runs work.
func (r *Runner) launch(ctx context.Context, started []*startedRun) {
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
				pause = r.carryOut(next, &items[i])
			}
			next.cancel()
			next.abandon()
			next.lease.Release()
			r.finished(next, pause)
		})
	}
}

// carryOut runs an item, here or at another data node, and returns how long it
// rests before it is run again, if it is open.
func (r *Runner) carryOut(next *startedRun, read *Item) time.Duration {
	var result runResult
	if next.executor == "" {
		local := &itemRun{node: r.node, hooks: r.hooks(next), item: next.item, engine: next.engine, attempts: next.route.Attempts}
		result = local.run(next.ctx, read)
	} else {
		result = r.runAt(next, read)
		r.judge(next.engine, result)
	}
	r.observe(result)
	if result.end != nil {
		r.keepVerdict(*result.end)
	}
	if result.engine == engineFailed {
		next.lease.ReleaseFailed()
		r.forgetFormer(itemKey{next.item.job, next.item.index})
	}
	return result.pause
}

// forgetFormer lets an item go on at any engine, as the one that it was at failed it.
func (r *Runner) forgetFormer(k itemKey) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.formers, k)
}

func (r *Runner) hooks(next *startedRun) runHooks {
	return runHooks{
		reported: func(load upstream.Load) { r.options.Balancer.Reported(next.engine.ID, load) },
		begun: func() {
			next.lease.PrefillDone()
			r.begun(itemKey{next.item.job, next.item.index})
		},
		ended:  next.lease.Release,
		judged: func(result runResult) { r.judge(next.engine, result) },
	}
}

// judge tells the balancer what a run told of its engine.
func (r *Runner) judge(engine catalog.Engine, result runResult) {
	switch result.engine {
	case engineSound:
		r.options.Balancer.Succeeded(engine.ID)
	case engineFull:
		r.options.Balancer.Refused(engine.ID)
	case engineFailed:
		r.options.Balancer.Failed(engine.ID, errors.New(result.cause))
	}
}

// startedRun is a run that has its engine and is about to begin.
type startedRun struct {
	item   openItem
	route  *catalog.Route
	engine catalog.Engine
	lease  *balance.Lease
	ctx    context.Context // ends when the run is cut
	cancel context.CancelFunc

	// executor is the data node that runs the item; empty if this one does. number
	// names the run there; calling ends when nothing more is expected of it.
	executor transport.Address
	number   uint64
	calling  context.Context
	abandon  context.CancelFunc
}

// start prepares the run of an item at the engine of a lease.
func (r *Runner) start(ctx context.Context, item openItem, route *catalog.Route, lease *balance.Lease) *startedRun {
	next := &startedRun{item: item, route: route, engine: lease.Engine, lease: lease}
	next.ctx, next.cancel = context.WithCancel(ctx)
	next.calling, next.abandon = context.WithCancel(context.WithoutCancel(ctx))
	candidates := r.executorsNear(lease.Engine)
	k := itemKey{item.job, item.index}
	now := clock.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.formers[k] = lease.Engine.ID
	r.number++
	next.number = r.number
	if executor, found := r.executors.pick(candidates, r.local(), now); found {
		next.executor = executor
		r.executors.begin(executor, now)
	}
	r.runs[k] = &run{
		ctx: next.ctx, cancel: next.cancel, executor: next.executor, number: next.number, abandon: next.abandon, engine: lease.Engine, lease: lease, started: now,
	}
	return next
}

// executorsNear lists the data nodes that may run an item at an engine, if this
// one holds enough streams itself.
func (r *Runner) executorsNear(engine catalog.Engine) []transport.Address {
	r.mutex.Lock()
	wanted := r.options.Executors != nil && r.executors.wanted(r.local())
	r.mutex.Unlock()
	if !wanted {
		return nil
	}
	return r.options.Executors(engine.Zone)
}
