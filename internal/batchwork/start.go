package batchwork

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/transport"
	"chutelock.dev/chutelock/internal/upstream"
)

// startOpen starts open items in order, within the engines' room for batch work and the
// leader's run limit.
func (r *Runner) startOpen(ctx context.Context, open []openItem, now time.Time) []*startedRun {
	groups, maxStarts := r.selectStartable(open, now)
	var started []*startedRun
	if r.options.Overload.active() {
		return r.startShared(ctx, groups, maxStarts, now)
	}
	for _, group := range groups {
		leases := r.acquire(group, min(len(group.wishes), maxStarts-len(started)), now)
		for i, lease := range leases {
			started = append(started, r.start(ctx, group.items[i], group.routes[i], lease))
		}
	}
	return started
}

// groupKey is what the items of a startGroup have in common.
type groupKey struct {
	service, regions string
	restricted       bool
	release          catalog.Release // zero if any may run the items
}

// regions returns where a tenant's items of a route may run.
func (r *Runner) regions(route *catalog.Route, tenant string) catalog.Regions {
	if r.options.Regions == nil {
		return nil
	}
	return r.options.Regions(route, tenant)
}

// startGroup holds startable items of one service, release and set of regions, in order.
type startGroup struct {
	priority int
	release  catalog.Release // zero if any may run the items
	items    []openItem
	routes   []*catalog.Route
	wishes   []balance.Wish
}

// selectStartable groups the first idle open items by service, release and regions, and returns
// how many runs may start in total. Groups of a release come first, as fewer engines may run them.
func (r *Runner) selectStartable(open []openItem, now time.Time) (groups []*startGroup, maxStarts int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	maxStarts = max(0, min(maxStartsPerPlan, r.runLimit.maxRuns-len(r.runs)))
	zone := r.preferredZone()
	byKey := map[groupKey]*startGroup{}
	serving := servingReleases{balancer: r.options.Balancer, known: map[string]bool{}}
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
		var release catalog.Release
		if item.lastEvent > 0 {
			if !r.isIdle(item, now) {
				continue
			}
			if release = r.releaseToWaitFor(item, route, regions, serving, now); release != (catalog.Release{}) {
				service = release.Service
			}
		}
		key := groupKey{service, strings.Join(regions, " "), regions != nil, release}
		group := byKey[key]
		if (group != nil && len(group.items) >= maxStarts) || !r.isIdle(item, now) {
			continue
		}
		if group == nil {
			group = &startGroup{priority: route.Priority, release: release}
			byKey[key] = group
			groups = append(groups, group)
		}
		group.items = append(group.items, *item)
		group.routes = append(group.routes, route)
		group.wishes = append(group.wishes, balance.Wish{
			Service: service, Release: release, Zone: zone, Class: balance.ClassBatch,
			Regions: regions, PreviousEngine: r.previousEngines[itemKey{item.job, item.index}], PromptTokens: item.promptTokens,
		})
	}
	slices.SortStableFunc(groups, func(a, b *startGroup) int { return a.rank() - b.rank() })
	return groups, maxStarts
}

// rank orders groups.
func (g *startGroup) rank() int {
	if g.release == (catalog.Release{}) {
		return 1
	}
	return 0
}

// preferredZone returns this node's zone while it reads the streams itself, to avoid traffic
// between zones. An executor is in its engine's zone. The caller holds the mutex.
func (r *Runner) preferredZone() string {
	if r.options.Executors != nil && r.executors.delegates(r.localRuns()) {
		return ""
	}
	return r.options.Zone
}

// launch reads the items of new runs in one linearizable read and starts the runs. Text may have
// been committed since the plan listed the items, so the runs resume after what is read.
func (r *Runner) launch(ctx context.Context, started []*startedRun) {
	items := make([]Item, len(started))
	failures := make([]error, len(started))
	bounded, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	err := r.options.Shard.Read(bounded, func(reader ledger.Reader) error {
		for i, next := range started {
			items[i], failures[i] = readItem(reader, next.item.job, next.item.index)
			if failures[i] == nil {
				failures[i] = r.refresh(&next.item)
				next.startsOver = next.item.mustStartOver(next.engine)
			}
		}
		return nil
	})
	for i, next := range started {
		r.tasks.Go(func() {
			pause := refusalPause
			if err == nil && failures[i] == nil && next.ctx.Err() == nil {
				pause = r.execute(next, &items[i])
			}
			next.cancel()
			next.abandon()
			next.lease.Release()
			r.finishRun(next, pause)
		})
	}
}

// refresh sets an item's progress to what is applied now. It fails if the item is closed.
func (r *Runner) refresh(item *openItem) error {
	if !r.options.Machine.isOpen(item.job, item.index) {
		return errItemClosed
	}
	state, _ := r.options.Machine.item(item.job, item.index)
	item.lastEvent, item.failures, item.origin = state.lastEvent, state.failures, state.origin
	return nil
}

// execute runs an item, here or at another data node, and returns the pause before it may
// run again, if it is still open.
func (r *Runner) execute(next *startedRun, read *Item) time.Duration {
	var result runResult
	if next.executor == "" {
		local := &itemRun{node: r.node, hooks: r.hooks(next), item: next.item, engine: next.engine, maxFailures: next.route.Attempts, origin: next.origin(), startsOver: next.startsOver}
		result = local.run(next.ctx, read)
	} else {
		result = r.runRemotely(next, read)
		r.reportOutcome(next.engine, result)
	}
	r.observeRun(next, result)
	if result.end != nil {
		r.addPendingEnd(*result.end)
	}
	if !result.engine.failed() {
		return result.pause
	}
	k := itemKey{next.item.job, next.item.index}
	next.lease.ReleaseFailed()
	r.forgetPreviousEngine(k)
	if result.engine == engineLost {
		return max(result.pause, r.recordLoss(k, clock.Now()))
	}
	return result.pause
}

// forgetPreviousEngine lets an item resume at any engine after its previous one failed.
func (r *Runner) forgetPreviousEngine(k itemKey) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.previousEngines, k)
}

func (r *Runner) hooks(next *startedRun) runHooks {
	return runHooks{
		reported: func(load upstream.Load) { r.options.Balancer.RecordReport(next.engine.ID, load) },
		begun: func() {
			next.lease.PrefillDone()
			r.markBegun(itemKey{next.item.job, next.item.index})
		},
		ended:   next.lease.Release,
		outcome: func(result runResult) { r.reportOutcome(next.engine, result) },
	}
}

// reportOutcome reports a run's outcome to the balancer.
func (r *Runner) reportOutcome(engine catalog.Engine, result runResult) {
	switch result.engine {
	case engineSucceeded:
		r.options.Balancer.RecordSuccess(engine.ID)
	case engineRefused:
		r.options.Balancer.RecordRefusal(engine.ID)
	case engineFailed, engineLost:
		r.options.Balancer.RecordFailure(engine.ID, errors.New(result.cause))
	}
}

// startedRun is a run with an assigned engine that is about to begin.
type startedRun struct {
	item   openItem
	route  *catalog.Route
	engine catalog.Engine
	lease  *balance.Lease
	// startsOver is set if the engine can't continue the item's text.
	startsOver bool
	ctx        context.Context // ends when the run is stopped
	cancel     context.CancelFunc
	// started is when the slot was reserved.
	started time.Time

	// executor is the data node that runs the item; empty if this one does. number
	// identifies the run there; callCtx ends when no more text is expected.
	executor transport.Address
	number   uint64
	callCtx  context.Context
	abandon  context.CancelFunc
}

// origin returns the origin of the run's text.
func (s *startedRun) origin() textOrigin {
	return newTextOrigin(s.engine.Release(), s.item.origin.restarts)
}

// start prepares the run of an item at the engine of a lease.
func (r *Runner) start(ctx context.Context, item openItem, route *catalog.Route, lease *balance.Lease) *startedRun {
	next := &startedRun{item: item, route: route, engine: lease.Engine, lease: lease}
	next.ctx, next.cancel = context.WithCancel(ctx)
	next.callCtx, next.abandon = context.WithCancel(context.WithoutCancel(ctx))
	candidates := r.executorsNear(lease.Engine)
	k := itemKey{item.job, item.index}
	now := clock.Now()
	next.started = now
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.previousEngines[k] = lease.Engine.ID
	r.lastRunNumber++
	next.number = r.lastRunNumber
	if executor, found := r.executors.pick(candidates, r.localRuns(), now); found {
		next.executor = executor
		r.executors.begin(executor, now)
	}
	r.runs[k] = &run{
		ctx: next.ctx, cancel: next.cancel, executor: next.executor, number: next.number, abandon: next.abandon, item: item, engine: lease.Engine, lease: lease, started: now,
	}
	return next
}

// executorsNear lists the data nodes that may run an item at an engine, or none if this node
// is to read the stream itself.
func (r *Runner) executorsNear(engine catalog.Engine) []transport.Address {
	r.mutex.Lock()
	delegates := r.options.Executors != nil && r.executors.delegates(r.localRuns())
	r.mutex.Unlock()
	if !delegates {
		return nil
	}
	return r.options.Executors(engine.Zone)
}
