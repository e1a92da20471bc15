package dispatch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/prometheus/client_golang/prometheus"

	"chutelock.dev/chutelock/internal/admission/batch"
	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/jobs"
	"chutelock.dev/chutelock/internal/jobs/command"
	"chutelock.dev/chutelock/internal/ledger"
)

const (
	// tickInterval is the tick interval while streams run, the longest interval
	// between ticks that batch.EventTick allows.
	tickInterval = 10 * time.Millisecond
	// idleTickInterval is the tick interval while no stream runs.
	idleTickInterval = 100 * time.Millisecond
	// maxStreams bounds the streams of one node.
	maxStreams = 4096
	// maxControls bounds the concurrent lease requests, renewals and suspensions.
	maxControls = 64
	// leaseTimeout bounds one lease request.
	leaseTimeout = 5 * time.Second
	// startTimeout bounds the recording of a start.
	startTimeout = 5 * time.Second
	// suspendTimeout bounds a suspension; a stream that is not suspended in
	// time is cancelled.
	suspendTimeout = 500 * time.Millisecond
)

// Dependencies holds the collaborators of a Dispatcher.
type Dependencies struct {
	// Name is unique to this run of the node: after a restart, the leases of
	// the previous run are not continued.
	Name    string
	Work    jobs.Work
	Policy  batch.Policy
	Clients fleet.Clients
	Metrics prometheus.Registerer
}

// Dispatcher runs batch items. Its methods may be called concurrently.
type Dispatcher struct {
	name    string
	work    jobs.Work
	clients fleet.Clients
	reports *reporter
	pool    pond.Pool // runs attempts
	control pond.Pool // runs leasing, renewal and suspension, separate from attempts
	metrics *metrics
	drained chan struct{}
	once    sync.Once

	// mutex guards scheduler, endpoints, cancels and renewing; no I/O is done
	// while it is held. Lock order: before the reporter's mutex and the locks
	// of clients.
	mutex     sync.Mutex
	scheduler *scheduler
	endpoints map[string]*fleet.Endpoint
	cancels   map[string]context.CancelFunc // by stream ID; cancels its attempt
	renewing  map[ledger.ShardID]bool       // shards with a renewal in progress
	// context ends when Run ends.
	context context.Context
	stop    context.CancelFunc
}

// New returns a Dispatcher. It accepts events before Run is called.
func New(dependencies Dependencies) *Dispatcher {
	counted := newMetrics(dependencies.Metrics)
	ctx, stop := context.WithCancel(context.Background())
	return &Dispatcher{
		context: ctx, stop: stop,
		name: dependencies.Name, work: dependencies.Work, clients: dependencies.Clients,
		reports: newReporter(ctx, dependencies.Work, counted), pool: pond.NewPool(maxStreams),
		control: pond.NewPool(maxControls), metrics: counted,
		drained: make(chan struct{}), scheduler: newScheduler(dependencies.Policy),
		endpoints: map[string]*fleet.Endpoint{}, cancels: map[string]context.CancelFunc{},
		renewing: map[ledger.ShardID]bool{},
	}
}

// Run dispatches items until ctx ends. For a graceful stop, call Drain first.
func (d *Dispatcher) Run(ctx context.Context) {
	defer d.stop()
	defer context.AfterFunc(ctx, d.stop)()
	var loops sync.WaitGroup
	loops.Go(func() { d.renewLoop(ctx) })
	loops.Go(func() { d.tickLoop(ctx) })
	loops.Wait()
	d.control.StopAndWait()
	d.pool.StopAndWait()
	d.reports.wait()
}

// update applies change to the scheduler and executes the resulting actions.
func (d *Dispatcher) update(change func(now time.Time, s *scheduler)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.context.Err() != nil {
		return
	}
	now := time.Now()
	change(now, d.scheduler)
	for _, next := range d.scheduler.takeActions() {
		d.execute(next)
	}
	d.metrics.running.Set(float64(len(d.scheduler.streams)))
}

// execute starts an action. The caller holds the mutex, so it must not block.
func (d *Dispatcher) execute(next action) {
	switch next.kind {
	case actionRun:
		d.launch(next.stream)
	case actionSuspend:
		d.metrics.suspended.Inc()
		d.suspend(next.stream)
	case actionCancel:
		if cancel, ok := d.cancels[next.stream.id]; ok {
			cancel()
		}
	case actionFetch:
		ctx := d.context
		d.control.Submit(func() { d.fetch(ctx, next.model, next.count) })
	case actionReport, actionHandBack:
		d.reports.add(next.result)
	}
}

func (d *Dispatcher) launch(running *stream) {
	ctx, cancel := context.WithCancel(d.context)
	d.cancels[running.id] = cancel
	client := d.clients.Client(d.endpoints[running.engine])
	attempt := newAttempt(running)
	d.metrics.started.Inc()
	d.pool.Submit(func() {
		defer cancel()
		d.attempt(ctx, client, running, attempt)
	})
}

// attempt is a snapshot, taken under the mutex, of what one attempt needs.
type attempt struct {
	request    engine.Request
	lease      jobs.Lease
	index      uint32
	repeatable bool
}

func newAttempt(running *stream) attempt {
	item := &running.task.item
	return attempt{
		request: engine.Request{
			ID: running.id, Attempt: running.attempt, Path: item.Path, Body: item.Body, Model: running.task.model,
			Priority: engine.PriorityBatch, ResumeFrom: engine.ResumePoint(item.Body, running.task.tokens), Tenant: running.task.lease.Tenant,
		},
		lease: running.task.lease, index: item.Index, repeatable: item.Repeatable,
	}
}

var errStale = errors.New("dispatch: the attempt is over")

// attempt runs one attempt; a non-repeatable item only after its start was
// committed.
func (d *Dispatcher) attempt(ctx context.Context, client engine.Client, running *stream, planned attempt) {
	if !planned.repeatable && !d.recordStart(ctx, running, planned) {
		return
	}
	finish, err := client.Generate(ctx, planned.request, func(chunk engine.Chunk) error {
		accepted := false
		d.update(func(now time.Time, s *scheduler) {
			accepted = s.addToken(now, running, planned.request.Attempt, chunk)
		})
		if !accepted {
			return errStale
		}
		return nil
	})
	d.update(func(now time.Time, s *scheduler) {
		delete(d.cancels, running.id)
		s.attemptEnded(now, running, planned.request.Attempt, finish, err)
		s.fetch(now)
	})
}

// recordStart commits the start of a non-repeatable item and reports whether
// the item may be sent.
func (d *Dispatcher) recordStart(ctx context.Context, running *stream, planned attempt) bool {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	granted, err := d.work.Start(ctx, planned.lease, planned.index)
	if err == nil && granted && ctx.Err() == nil {
		return true
	}
	if err != nil {
		eventStartFailed.Error(err, "job", planned.lease.JobID, "item", planned.index)
	}
	d.update(func(now time.Time, s *scheduler) {
		delete(d.cancels, running.id)
		s.startRefused(now, running)
	})
	return false
}

// suspend suspends a stream at its engine; if that fails, the stream is moved.
func (d *Dispatcher) suspend(running *stream) {
	client := d.clients.Client(d.endpoints[running.engine])
	parent := d.context
	d.control.Submit(func() {
		ctx, cancel := context.WithTimeout(parent, suspendTimeout)
		defer cancel()
		if err := client.Suspend(ctx, running.id); err != nil && parent.Err() == nil {
			eventSuspendFailed.Error(err, "engine", running.engine, "stream", running.id)
			d.update(func(now time.Time, s *scheduler) { s.move(now, running.id) })
		}
	})
}

func (d *Dispatcher) fetch(ctx context.Context, model string, count int) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	leases, err := d.work.Lease(ctx, d.name, model, count)
	if err != nil && ctx.Err() == nil {
		eventLeaseFailed.Error(err, "model", model)
	}
	d.update(func(now time.Time, s *scheduler) {
		s.leased(now, model, leases)
		s.fetch(now)
	})
}

func (d *Dispatcher) renewLoop(ctx context.Context) {
	ticker := time.NewTicker(command.RenewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.renew(ctx)
		}
	}
}

// renew renews the leases of all held jobs, one request a shard, so that a
// shard without a leader does not delay the others.
func (d *Dispatcher) renew(ctx context.Context) {
	for shard, jobIDs := range d.renewalsByShard() {
		d.control.Submit(func() {
			d.renewShard(ctx, jobIDs)
			d.mutex.Lock()
			defer d.mutex.Unlock()
			delete(d.renewing, shard)
		})
	}
}

// renewalsByShard returns the jobs to renew, including those with unreported
// results, without the shards that have a renewal in progress.
func (d *Dispatcher) renewalsByShard() map[ledger.ShardID][]string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	byShard := map[ledger.ShardID][]string{}
	wanted := append(d.scheduler.heldJobs(), d.reports.jobIDs()...)
	slices.Sort(wanted)
	for _, jobID := range slices.Compact(wanted) {
		shard := shardOf(jobID)
		if !d.renewing[shard] {
			byShard[shard] = append(byShard[shard], jobID)
		}
	}
	for shard := range byShard {
		d.renewing[shard] = true
	}
	return byShard
}

// renewShard renews jobs of one shard. Their start validity counts from before
// the request was sent.
func (d *Dispatcher) renewShard(ctx context.Context, jobIDs []string) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, command.StartValidity)
	defer cancel()
	revoked, err := d.work.Renew(ctx, d.name, jobIDs)
	if err != nil {
		eventRenewFailed.Error(err)
		jobIDs = renewedJobs(jobIDs, err)
	}
	if len(revoked) > 0 {
		eventRevoked.Info("jobs", len(revoked), "first", revoked[0])
	}
	d.update(func(now time.Time, s *scheduler) {
		s.renewed(jobIDs, sent.Add(command.StartValidity))
		s.revoke(now, revoked)
	})
}

// renewedJobs returns the jobs that were renewed despite err.
func renewedJobs(jobIDs []string, err error) []string {
	var partial *jobs.RenewError
	if !errors.As(err, &partial) {
		return nil
	}
	failed := make(map[string]bool, len(partial.JobIDs))
	for _, jobID := range partial.JobIDs {
		failed[jobID] = true
	}
	var renewed []string
	for _, jobID := range jobIDs {
		if !failed[jobID] {
			renewed = append(renewed, jobID)
		}
	}
	return renewed
}

func (d *Dispatcher) tickLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			timer.Reset(d.tick())
		}
	}
}

func (d *Dispatcher) tick() (next time.Duration) {
	next = idleTickInterval
	d.update(func(now time.Time, s *scheduler) {
		s.congested = d.reports.congested()
		s.tick(now)
		s.fetch(now)
		if len(s.streams) > 0 {
			next = tickInterval
		}
		d.closeIfDrained(s)
	})
	return next
}

func (d *Dispatcher) closeIfDrained(s *scheduler) {
	if s.draining && len(s.streams) == 0 && d.reports.isEmpty() {
		d.once.Do(func() { close(d.drained) })
	}
}

// HomeEvent handles an event of an engine whose home is this node. It is a
// fleet.HomeListener and never blocks.
func (d *Dispatcher) HomeEvent(_ time.Time, event fleet.HomeEvent) {
	name := event.Endpoint.Name
	d.update(func(now time.Time, s *scheduler) {
		switch event.Kind {
		case fleet.HomeGained:
			d.endpoints[name] = event.Endpoint
			s.gained(now, name, event.Endpoint.Load.Models, event.Endpoint.Leaving)
			s.load(now, name, event.Endpoint.Load)
		case fleet.HomeLost:
			s.lost(now, name)
		case fleet.HomeEngineLeaving:
			s.setLeaving(now, name, true)
		case fleet.HomeEngineBack:
			s.setLeaving(now, name, false)
		case fleet.HomeLoad:
			d.endpoints[name] = event.Endpoint
			s.load(now, name, event.Load)
		case fleet.HomeOnlineStarted, fleet.HomeOnlineFinished:
			s.onlineRequest(now, onlineEvent(event))
		}
	})
}

func onlineEvent(event fleet.HomeEvent) batch.Event {
	kind := batch.EventOnlineStarted
	if event.Kind == fleet.HomeOnlineFinished {
		kind = batch.EventOnlineFinished
	}
	return batch.Event{
		Kind: kind, Engine: event.Endpoint.Name, Stream: event.Request, PromptTokens: event.PromptTokens,
	}
}

// Drain stops starting items, hands back the queued ones and lets the running
// ones finish until ctx ends; then it cancels the repeatable ones and hands
// them back. It returns nil once all is reported, or an error if stop ends first.
func (d *Dispatcher) Drain(ctx, stop context.Context) error {
	d.update(func(now time.Time, s *scheduler) { s.drain(now) })
	select {
	case <-d.drained:
		eventDrained.Info()
		return nil
	case <-ctx.Done():
	}
	d.update(func(now time.Time, s *scheduler) { s.cancelAll(now) })
	select {
	case <-d.drained:
		eventDrained.Info()
		return nil
	case <-stop.Done():
		return stop.Err()
	}
}
