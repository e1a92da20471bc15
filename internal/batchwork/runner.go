package batchwork

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/poison"
	"chutelock.dev/chutelock/internal/telemetry"
	"chutelock.dev/chutelock/internal/transport"
	"chutelock.dev/chutelock/internal/upstream"
)

// Events of batch work.
var (
	eventLeading     = telemetry.Define(3201, "batch-leading", "This node runs the items of batch jobs from now on.")
	eventNotLeading  = telemetry.Define(3202, "batch-not-leading", "This node stopped running items, as another one leads or may lead.")
	eventItemRetried = telemetry.Define(3203, "item-retried", "An item's run ended early; it goes on elsewhere from its last event.")
	eventItemDead    = telemetry.Define(3204, "item-dead", "An item was given up.")
	eventState       = telemetry.Define(3207, "batch-state", "How many items are open and running at this leader; once a second while any are open.")
	eventItemSent    = telemetry.Define(3208, "item-sent", "An item is sent to an engine; it goes on after the given event.")
	eventItemHeld    = telemetry.Define(3218, "item-held-back", "An item is not sent to an engine, as too many ended under it; it is looked at again, and given up when its retention is over.")
	eventYielded     = telemetry.Define(3206, "batch-yielded", "Batch work gave slots of an engine up to online work.")
	eventCommitLost  = telemetry.Define(3205, "item-commit-failed", "Text of an item could not be committed; it is run again from what was.")
)

const (
	// planInterval is how often open items are looked at without a change, and
	// planPause the least time between two looks: each goes through all of them.
	// planShare bounds the part of the time that looks take, however many are open.
	planInterval = 50 * time.Millisecond
	// followInterval is the time between two looks of a node that doesn't lead at whether
	// it does by now. A new leader waits longer than that for reports of load.
	followInterval = 200 * time.Millisecond
	planPause      = 20 * time.Millisecond
	planShare      = 0.1
	// firstCommit is when the first text of a run is committed: an item with
	// committed text goes on elsewhere and is not run from its start again.
	firstCommit = 150 * time.Millisecond
	// commitInterval is how often a running item's text is committed.
	commitInterval = 500 * time.Millisecond
	// startsMost bounds the runs that one look starts: hundreds at once hold the
	// leader's heartbeats up. With the least pause between two looks they fill a
	// thousand slots within half a second.
	startsMost = 48
	// commitTimeout bounds one commit.
	commitTimeout = 4 * time.Second
	// barrierTimeout bounds the confirmation of a new leader.
	barrierTimeout = time.Second
	// itemPatience is how long an engine may stay silent while it runs an item.
	itemPatience = 2500 * time.Millisecond
	// failurePause is the pause after an engine's own failure.
	failurePause = 150 * time.Millisecond
	// refusalPause is the pause after an engine refused or could not be reached.
	refusalPause = 20 * time.Millisecond
	// heldPause is the longest pause of an item under which engines ended: it is to be
	// given up in time, and to go on once it is held back no more.
	heldPause = time.Second
	// giveUpMargin is added to an item's retention before it is given up.
	giveUpMargin = time.Second
	// yieldInterval is the least time between two looks for slots to give up;
	// load reports come more often the more front nodes there are.
	yieldInterval = 10 * time.Millisecond
	// stateInterval is the time between two lines on the state of batch work.
	stateInterval = time.Second
	// purgeInterval and purgeBatch pace the removal of old jobs.
	purgeInterval = 10 * time.Second
	purgeBatch    = 64
)

// RunnerOptions configure a Runner.
type RunnerOptions struct {
	Shard    ledger.Shard
	Machine  *Machine
	Pool     *upstream.Pool
	Balancer *balance.Balancer
	// Route finds the present route of a job; nil if there is none.
	Route func(host, path string) *catalog.Route
	// Regions are where a tenant's items of a route may be run; nil if anywhere.
	Regions func(route *catalog.Route, tenant string) catalog.Regions
	// Usable says whether an engine may still get requests of a service.
	Usable func(id, service string) bool
	// Guard holds items back under which engines ended; nil holds none.
	Guard *poison.Guard
	// Permitted says whether a tenant's item of a route may go to an engine, by the
	// newest configuration known here; nil if there are no regions.
	Permitted func(host, path, tenant, engine string) bool
	Zone      string
	// Settle is how long a new leader starts nothing: it doesn't know yet what
	// online work the engines have.
	Settle time.Duration
	// Keep is how long a closed job stays readable after its submission.
	Keep time.Duration
	// Executors lists the data nodes that may run items at engines of a zone for
	// this one, the best first; nil if there are none. Sender reaches them.
	Executors func(zone string) []transport.Address
	Sender    transport.Sender
	Receiver  transport.Receiver
	// LocalRuns is the number of runs whose streams the leader holds itself.
	LocalRuns int
}

func (o RunnerOptions) permitted(item *openItem, engine string) bool {
	return o.Permitted == nil || o.Permitted(item.host, item.path, item.tenant, engine)
}

// Runner runs open items while this node leads the shard.
type Runner struct {
	options RunnerOptions

	node     *runNode // for the runs whose streams are held here
	tasks    sync.WaitGroup
	gatherer *gatherer

	mutex    sync.Mutex // guards what is below; a leaf
	runs     map[itemKey]*run
	pauses   map[itemKey]time.Time
	formers  map[itemKey]string // the engine that ran a part of an open item
	verdicts map[itemKey]step   // ends of items that could not be committed yet
	stopped  bool
	wake     chan struct{}
	statedAt time.Time
	yieldAt  time.Time
	pace     *pace
	limit    *runLimit
	// executors run items for this leader; number is of the last run.
	executors *executors
	number    uint64
	// term is the term in which leadership was confirmed, or 0; since is when.
	term  uint64
	since time.Time
}

type itemKey struct {
	job   string
	index uint32
}

type run struct {
	ctx    context.Context // ends when the run is cut
	cancel context.CancelFunc
	// executor holds the stream; empty if this node does. number names the run
	// there, and abandon forgets it without waiting for its last text.
	executor transport.Address
	number   uint64
	abandon  context.CancelFunc

	engine  catalog.Engine
	lease   *balance.Lease
	started time.Time
	// begun: an event came, so that the item can go on elsewhere from there.
	begun bool
	// yielding: the run was told to give its slot up.
	yielding bool
}

// NewRunner returns a runner; Run makes it work.
func NewRunner(options RunnerOptions) *Runner {
	r := &Runner{
		options: options, runs: map[itemKey]*run{}, pauses: map[itemKey]time.Time{}, formers: map[itemKey]string{}, pace: newPace(), limit: newRunLimit(),
		verdicts:  map[itemKey]step{},
		wake:      make(chan struct{}, 1),
		executors: newExecutors(options.LocalRuns), number: rand.Uint64(),
	}
	r.gatherer = newGatherer(gatherTime, r.propose)
	r.node = &runNode{
		pool: options.Pool, usable: options.Usable, permitted: options.permitted, commit: r.commit, opened: clock.Now(), open: options.Machine.isOpen,
		guard: options.Guard,
	}
	if options.Receiver != nil {
		options.Receiver.HandleCall(kindConfirm, r.confirmRun)
		options.Receiver.HandleCall(kindSteps, r.takeSteps)
		options.Receiver.HandleMessage(kindAlive, r.takeAlive)
	}
	return r
}

// Run works until ctx ends, and returns once no item is running.
func (r *Runner) Run(ctx context.Context) {
	look := time.NewTimer(planInterval)
	defer look.Stop()
	purge := time.NewTicker(purgeInterval)
	defer purge.Stop()
	gathering, stop := context.WithCancel(context.WithoutCancel(ctx))
	var gatherer sync.WaitGroup
	gatherer.Go(func() { r.gatherer.run(gathering) })
	// Runs commit what they have when they are stopped, so that the gatherer
	// ends after them.
	defer gatherer.Wait()
	defer stop()
	defer r.tasks.Wait()
	defer r.stopAll()
	for {
		changed := r.options.Machine.changes()
		rest := restAfter(r.plan(ctx))
		look.Reset(r.planAgainAfter())
		select {
		case <-ctx.Done():
			return
		case <-look.C:
		case <-changed:
		case <-r.wake:
		case <-purge.C:
			r.purge(ctx)
		}
		clock.Sleep(ctx, rest)
	}
}

// planAgainAfter is the time until the next look if nothing changes before.
func (r *Runner) planAgainAfter() time.Duration {
	if r.Leading() {
		return planInterval
	}
	return followInterval
}

// restAfter is the pause after a look at open items that took so long.
func restAfter(took time.Duration) time.Duration {
	return max(planPause, time.Duration(float64(took)*(1/planShare-1)))
}

// Stop ends all runs after committing what they have, and starts no others.
func (r *Runner) Stop() {
	r.mutex.Lock()
	r.stopped = true
	r.mutex.Unlock()
	r.stopAll()
	r.tasks.Wait()
}

func (r *Runner) stopAll() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, run := range r.runs {
		run.cancel()
	}
}

// Leading says whether this node runs items.
func (r *Runner) Leading() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.term != 0
}

// Running is the number of items that run here.
func (r *Runner) Running() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.runs)
}

func (r *Runner) purge(ctx context.Context) {
	if r.options.Keep <= 0 || !r.Leading() {
		return
	}
	now := time.Now() // dates are compared
	old := r.options.Machine.purgeable(now.Add(-r.options.Keep))
	stale := r.options.Machine.forgettable(now, r.options.Keep)
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	// What fails is tried again at the next interval.
	if len(old) > 0 {
		_, _ = r.options.Shard.Propose(ctx, encodePurge(old[:min(len(old), purgeBatch)], now))
	}
	if len(stale) > 0 {
		_, _ = r.options.Shard.Propose(ctx, encodeForget(stale[:min(len(stale), purgeBatch)], now))
	}
}

// commit proposes a step, and returns once it is applied here.
func (r *Runner) commit(ctx context.Context, s step) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), commitTimeout+gatherTime)
	defer cancel()
	return trace.Wrap(r.gatherer.commit(ctx, s), "commit item %d of job %s", s.index, s.job)
}

// propose commits steps in one entry.
func (r *Runner) propose(ctx context.Context, steps []step) error {
	return r.proposeEncoded(ctx, encodeSteps(steps))
}

func (r *Runner) proposeEncoded(ctx context.Context, steps [][]byte) error {
	started := clock.Now()
	_, err := r.options.Shard.Propose(ctx, encodeAdvanced(steps, time.Now()))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := clock.Now()
	r.limit.observe(now.Sub(started), len(r.runs), now)
	return err
}

// errNoText says that an item's run ended before anything came.
var errNoText = errors.New("no event came")
