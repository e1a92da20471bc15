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

// Log events of batch work.
var (
	eventLeading       = telemetry.Define(3201, "batch-leading", "This node leads and runs the items of batch jobs.")
	eventNotLeading    = telemetry.Define(3202, "batch-not-leading", "This node stopped running items, as it no longer leads or is not certain to.")
	eventItemRetried   = telemetry.Define(3203, "item-retried", "An item's run ended early; the item resumes elsewhere after its last event.")
	eventItemDead      = telemetry.Define(3204, "item-dead", "An item was given up.")
	eventState         = telemetry.Define(3207, "batch-state", "Number of open and running items at this leader; logged once a second while any are open.")
	eventItemSent      = telemetry.Define(3208, "item-sent", "An item is sent to an engine and starts after the given event.")
	eventItemPaced     = telemetry.Define(3221, "item-paced", "Engines lost the connection under an item again and again; it runs again after the given pause.")
	eventPreempted     = telemetry.Define(3206, "batch-yielded", "Batch runs at an engine were preempted to free slots for online work.")
	eventCommitLost    = telemetry.Define(3205, "item-commit-failed", "Text of an item could not be committed; the item resumes after its committed text.")
	eventMisnumbered   = telemetry.Define(3222, "item-misnumbered", "An engine's stream has an event without a number, or one that doesn't follow the item's text: events are missing or repeated. The run ends, and the item resumes after its last event.")
	eventUpdateDropped = telemetry.Define(3220, "item-update-dropped", "An update of an item had no effect, as the leader has given up the run that sent it or the item's committed text ends at another event; the run ends.")
)

const (
	// planInterval is the time between plans without a change, minPlanPause the least
	// pause between two, as each goes through all open items. maxPlanShare bounds the
	// share of time spent planning.
	planInterval = 50 * time.Millisecond
	// followInterval is the time between a follower's checks for leadership. It is below
	// the settle time of a new leader.
	followInterval = 200 * time.Millisecond
	minPlanPause   = 20 * time.Millisecond
	maxPlanShare   = 0.1
	// firstCommitDelay is the time to a run's first commit: an item with committed text resumes
	// elsewhere instead of starting again.
	firstCommitDelay = 150 * time.Millisecond
	// commitInterval is the time between commits of a running item's text.
	commitInterval = 500 * time.Millisecond
	// maxStartsPerPlan bounds the runs that one plan starts, as hundreds at once delay the
	// leader's heartbeats.
	maxStartsPerPlan = 48
	// commitTimeout bounds one commit.
	commitTimeout = 4 * time.Second
	// barrierTimeout bounds the confirmation of a new leader.
	barrierTimeout = time.Second
	// engineSilenceTimeout is how long an engine may be silent while it runs an item: a sound one for
	// 1.8 s beside the time that it takes to connect and to an event, of which the first is the slowest.
	engineSilenceTimeout = 3500 * time.Millisecond
	// failurePause is the pause after an engine's internal error or a failed commit.
	failurePause = 150 * time.Millisecond
	// refusalPause is the pause after an engine refused an item or was unreachable.
	refusalPause = 20 * time.Millisecond
	// giveUpMargin is added to an item's retention before it is given up.
	giveUpMargin = time.Second
	// preemptionInterval is the least time between two checks for preemption; load reports
	// arrive more often with more front nodes.
	preemptionInterval = 10 * time.Millisecond
	// stateInterval is the time between two log lines on the state of batch work.
	stateInterval = time.Second
	// Closed jobs are deleted at purgeInterval, at most purgeBatch per entry.
	purgeInterval = 10 * time.Second
	purgeBatch    = 64
)

// RunnerOptions configure a Runner.
type RunnerOptions struct {
	Shard    ledger.Shard
	Machine  *Machine
	Pool     *upstream.Pool
	Balancer *balance.Balancer
	// Route returns the current route of a job; nil if there is none.
	Route func(host, path string) *catalog.Route
	// Regions returns where a tenant's items of a route may run; nil permits all regions.
	Regions func(route *catalog.Route, tenant string) catalog.Regions
	// Usable reports whether an engine may get requests of a service.
	Usable func(id, service string) bool
	// Guard learns from items which parts of prompts are sound; nil learns nothing.
	Guard *poison.Guard
	// SharedParts returns the IDs of the parts of an item's prompt that other requests may share;
	// nil means none.
	SharedParts func(header []string) []string
	// Permitted reports whether the newest known configuration permits a tenant's item of
	// a route at an engine; nil if there are no regions.
	Permitted func(host, path, tenant, engine string) bool
	Zone      string
	// Settle is how long a new leader starts no runs, until it knows the engines' online
	// load.
	Settle time.Duration
	// Keep is how long a closed job stays readable after its submission.
	Keep time.Duration
	// Executors lists the data nodes that may run items at engines of a zone, best first;
	// nil if there are none. Sender reaches them.
	Executors func(zone string) []transport.Address
	Sender    transport.Sender
	Receiver  transport.Receiver
	// LocalRuns is the number of runs whose streams the leader reads itself.
	LocalRuns int
	// Overload configures the decisions under overload.
	Overload OverloadOptions
	// Misnumbered is as in ExecutorOptions, for the runs whose streams the leader reads.
	Misnumbered func()
	// Metrics counts refused jobs, cut runs and ended items; nil counts none.
	Metrics *Metrics
}

func (o RunnerOptions) permitted(item *openItem, engine string) bool {
	return o.Permitted == nil || o.Permitted(item.host, item.path, item.tenant, engine)
}

// Runner runs open items while this node leads the shard.
type Runner struct {
	options RunnerOptions

	node      *runNode // for runs whose streams this node reads
	tasks     sync.WaitGroup
	committer *groupCommitter

	// mutex guards the fields below. The mutexes of options.Balancer and
	// options.Machine are taken while it is held.
	mutex           sync.Mutex
	runs            map[itemKey]*run
	pauses          map[itemKey]time.Time
	previousEngines map[itemKey]string     // last engine of each open item
	releaseWaits    map[itemKey]time.Time  // since when items wait for progress at the release of their text
	losses          map[itemKey]lossSeries // of items whose engines lost the connection
	pendingEnds     map[itemKey]itemUpdate // item ends whose commit failed
	stopped         bool
	wake            chan struct{}
	stateLoggedAt   time.Time
	nextPreemption  time.Time
	itemEstimator   *itemEstimator
	overload        *overload
	runLimit        *runLimit
	// executors run items for this leader. lastRunNumber starts at a random value, so that
	// runs of an earlier process at this address are not mistaken for this one's.
	executors     *executors
	lastRunNumber uint64
	// term is the term of confirmed leadership, or 0; since is when it was confirmed or
	// lost.
	term  uint64
	since time.Time
}

type itemKey struct {
	job   string
	index uint32
}

type run struct {
	ctx    context.Context // ends when the run is stopped
	cancel context.CancelFunc
	// executor reads the stream; empty if this node does. number identifies the run there;
	// abandon drops it without waiting for its last text.
	executor transport.Address
	number   uint64
	abandon  context.CancelFunc

	item    openItem
	engine  catalog.Engine
	lease   *balance.Lease
	started time.Time
	// begun: an event was received, so the item can resume elsewhere.
	begun bool
	// preempted: the run was told to release its slot.
	preempted bool
	// superseded: the ledger has other text than the run, which may not commit any more.
	superseded bool
}

// NewRunner returns a runner; call Run to start it.
func NewRunner(options RunnerOptions) *Runner {
	r := &Runner{
		options: options, runs: map[itemKey]*run{}, pauses: map[itemKey]time.Time{}, previousEngines: map[itemKey]string{}, releaseWaits: map[itemKey]time.Time{}, losses: map[itemKey]lossSeries{}, itemEstimator: newItemEstimator(), runLimit: newRunLimit(),
		overload:    newOverload(),
		pendingEnds: map[itemKey]itemUpdate{},
		wake:        make(chan struct{}, 1),
		executors:   newExecutors(options.LocalRuns), lastRunNumber: rand.Uint64(),
	}
	r.committer = newGroupCommitter(groupDelay, r.propose)
	r.node = &runNode{
		pool: options.Pool, usable: options.Usable, permitted: options.permitted, commit: r.commit, readStart: clock.Now(), open: options.Machine.isOpen,
		guard: options.Guard, partsOf: options.SharedParts, misnumbered: options.Misnumbered,
	}
	if options.Receiver != nil {
		options.Receiver.HandleCall(kindConfirm, r.handleConfirm)
		options.Receiver.HandleCall(kindUpdates, r.handleUpdates)
		options.Receiver.HandleMessage(kindHeartbeat, r.handleHeartbeat)
	}
	return r
}

// Run starts runs of open items until ctx ends, and returns once no item is running.
func (r *Runner) Run(ctx context.Context) {
	planTimer := time.NewTimer(planInterval)
	defer planTimer.Stop()
	purge := time.NewTicker(purgeInterval)
	defer purge.Stop()
	commitCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var committing sync.WaitGroup
	committing.Go(func() { r.committer.run(commitCtx) })
	// Stopped runs commit their text, so the committer must end after them.
	defer committing.Wait()
	defer stop()
	defer r.tasks.Wait()
	defer r.stopAll()
	for {
		changed := r.options.Machine.changes()
		pause := pauseAfterPlan(r.plan(ctx))
		planTimer.Reset(r.planDelay())
		select {
		case <-ctx.Done():
			return
		case <-planTimer.C:
		case <-changed:
		case <-r.wake:
		case <-purge.C:
			r.purge(ctx)
		}
		clock.Sleep(ctx, pause)
	}
}

// planDelay returns the time until the next plan without a change.
func (r *Runner) planDelay() time.Duration {
	if r.Leading() {
		return planInterval
	}
	return followInterval
}

// pauseAfterPlan returns the pause after a plan that took so long.
func pauseAfterPlan(took time.Duration) time.Duration {
	return max(minPlanPause, time.Duration(float64(took)*(1/maxPlanShare-1)))
}

// Stop ends all runs after committing their text, and starts no others.
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
		r.cut(run, cutNotLeading)
	}
}

// Leading reports whether this node runs items as a confirmed leader.
func (r *Runner) Leading() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.term != 0
}

// Running returns the number of this leader's runs.
func (r *Runner) Running() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.runs)
}

// purge deletes closed jobs submitted longer than Keep ago, and expired claims and fences.
func (r *Runner) purge(ctx context.Context) {
	if r.options.Keep <= 0 || !r.Leading() {
		return
	}
	now := time.Now() // compared with wall-clock times
	closedJobs := r.options.Machine.purgeable(r.options.Keep, now)
	staleRecords := r.options.Machine.forgettable(now, r.options.Keep)
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	// Failed proposals are retried at the next interval.
	if len(closedJobs) > 0 {
		_, _ = r.options.Shard.Propose(ctx, encodePurge(closedJobs[:min(len(closedJobs), purgeBatch)], now))
	}
	if len(staleRecords) > 0 {
		_, _ = r.options.Shard.Propose(ctx, encodeForget(staleRecords[:min(len(staleRecords), purgeBatch)], now))
	}
}

// commit commits an update and returns once it is applied here. It fails with errSuperseded or
// errItemClosed if the update had no effect.
func (r *Runner) commit(ctx context.Context, u itemUpdate) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), commitTimeout+groupDelay)
	defer cancel()
	return trace.Wrap(r.committer.commit(ctx, u), "commit item %d of job %s", u.index, u.job)
}

// propose commits updates in one entry and returns the outcome of each.
func (r *Runner) propose(ctx context.Context, updates []itemUpdate) ([]updateOutcome, error) {
	return r.proposeEncoded(ctx, "", encodeUpdates(updates))
}

// proposeEncoded commits updates that a node sent, empty for this one.
func (r *Runner) proposeEncoded(ctx context.Context, from transport.Address, updates [][]byte) ([]updateOutcome, error) {
	started := clock.Now()
	answer, err := r.options.Shard.Propose(ctx, encodeAdvanceFields(updates, time.Now()))
	r.observeCommit(started)
	if err != nil {
		return nil, err
	}
	content, err := decodeAnswer(answer)
	if err != nil {
		return nil, err
	}
	outcomes, err := decodeOutcomes(content, len(updates))
	r.reportDropped(from, updates, outcomes)
	return outcomes, err
}

func (r *Runner) observeCommit(started time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := clock.Now()
	r.runLimit.observe(now.Sub(started), len(r.runs), now)
}

// errNoText means that an item's stream ended before any event.
var errNoText = errors.New("the stream ended without an event")
