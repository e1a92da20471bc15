package batchwork

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/poison"
	"chutelock.dev/chutelock/internal/telemetry"
	"chutelock.dev/chutelock/internal/transport"
	"chutelock.dev/chutelock/internal/upstream"
)

var (
	eventRunsDropped = telemetry.Define(3212, "runs-dropped", "The leader for which this node runs items rejects their text or is unreachable; the runs are stopped.")
	eventBadRun      = telemetry.Define(3213, "run-request-unreadable", "A leader's request to run an item could not be decoded; it is rejected.")
)

const (
	// maxExecutorRuns bounds a node's runs for leaders: each holds one of the 512 workers
	// that answer calls.
	maxExecutorRuns = 200
	// executorGroupDelay is how long an update waits at an executor to be sent with
	// others. Results are read twice a second.
	executorGroupDelay = 100 * time.Millisecond
	// confirmTimeout bounds the check that a run is still wanted; a leader that doesn't
	// answer has its item run elsewhere.
	confirmTimeout = 500 * time.Millisecond
	// updatesTimeout bounds one call that commits updates.
	updatesTimeout = 1500 * time.Millisecond
	// heartbeatInterval is the time between heartbeats to a leader with runs here.
	heartbeatInterval = 300 * time.Millisecond
)

// Reasons to reject a run.
var (
	errExecutorFull = errors.New("this node has reached its limit of runs")
	errDuplicateRun = errors.New("this run has begun before")
	// errNotReady makes the leader back off from this node, which would reject all runs.
	errNotReady = errors.New("this node does not know yet which engines are usable")
)

// ExecutorOptions configure an Executor.
type ExecutorOptions struct {
	Pool *upstream.Pool
	// Usable reports whether an engine may get requests of a service.
	Usable func(id, service string) bool
	// EngineID returns the local ID of the engine with an instance name; nil if IDs are
	// instance names.
	EngineID func(instance string) string
	// Guard learns from items which parts of prompts are sound; nil learns nothing.
	Guard *poison.Guard
	// SharedParts returns the IDs of the parts of an item's prompt that other requests may share;
	// nil means none.
	SharedParts func(header []string) []string
	// Ready reports whether this node knows the engines and the drained zones; nil means
	// yes.
	Ready func() bool
	// Permitted reports whether the newest known configuration permits a tenant's item of
	// a route at an engine; nil if there are no regions.
	Permitted func(host, path, tenant, engine string) bool
	Sender    transport.Sender
	Receiver  transport.Receiver
	// Misnumbered is called for each run that ends because its engine's events leave one out or repeat
	// one; may be nil.
	Misnumbered func()
}

func (o ExecutorOptions) permitted(item *openItem, engine string) bool {
	return o.Permitted == nil || item.path == "" || o.Permitted(item.host, item.path, item.tenant, engine)
}

// engineID returns the local ID of the engine with an instance name.
func (o ExecutorOptions) engineID(instance string) string {
	if o.EngineID == nil {
		return instance
	}
	return o.EngineID(instance)
}

// Executor runs items for leaders on other nodes: it reads the streams and sends their text
// to the leader in groups. A run ends with its stream, on the leader's request, or when the
// leader rejects its updates.
type Executor struct {
	options  ExecutorOptions
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	runGroup sync.WaitGroup // runs; nothing is added once closed is set

	mutex   sync.Mutex // guards the fields below; no other lock is taken under it
	closed  bool
	count   int
	senders []transport.Sender // by port
	clients map[clientKey]*client
}

// clientKey identifies a client: a node may lead several shards.
type clientKey struct {
	leader transport.Address
	port   int // index into senders
}

// client is a leader that this node runs items for.
type client struct {
	leader    transport.Address
	sender    transport.Sender
	node      *runNode
	committer *groupCommitter
	runs      map[uint64]context.CancelFunc // guarded by the executor's mutex
}

// NewExecutor registers the handlers; runs arrive once the receiver serves.
func NewExecutor(options ExecutorOptions) *Executor {
	e := &Executor{options: options, clients: map[clientKey]*client{}}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.AddShard(options.Sender, options.Receiver)
	e.tasks.Go(e.sendHeartbeats)
	return e
}

// AddShard registers handlers for the leaders of another shard, reached by its port.
func (e *Executor) AddShard(sender transport.Sender, receiver transport.Receiver) {
	e.mutex.Lock()
	port := len(e.senders)
	e.senders = append(e.senders, sender)
	e.mutex.Unlock()
	receiver.HandleCall(kindRun, func(ctx context.Context, from transport.Address, payload []byte) ([]byte, error) {
		return e.handleRun(ctx, clientKey{from, port}, payload)
	})
	receiver.HandleCall(kindStop, func(_ context.Context, from transport.Address, payload []byte) ([]byte, error) {
		return e.handleStop(clientKey{from, port}, payload)
	})
}

// Close ends all runs after committing their text, and waits for them.
func (e *Executor) Close() {
	e.mutex.Lock()
	e.closed = true
	var ends []context.CancelFunc
	for _, c := range e.clients {
		for _, end := range c.runs {
			ends = append(ends, end)
		}
	}
	e.mutex.Unlock()
	for _, end := range ends {
		end()
	}
	e.runGroup.Wait()
	e.cancel()
	e.tasks.Wait()
}

// Running returns the number of items that run here for leaders.
func (e *Executor) Running() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.count
}

// handleRun runs an item and returns the encoded runResult. ctx ends with the leader's
// connection.
func (e *Executor) handleRun(ctx context.Context, from clientKey, payload []byte) ([]byte, error) {
	request, err := unmarshalRun(payload, clock.Now())
	if err != nil {
		eventBadRun.Error(err, "peer", from.leader)
		return nil, trace.Wrap(err, "decode run request of peer %s", from.leader)
	}
	ctx, end := context.WithCancel(ctx)
	defer end()
	c, err := e.begin(from, request.run, end)
	if err != nil {
		return nil, err
	}
	defer e.end(c, request.run)
	if err := e.confirm(ctx, c, request); err != nil {
		return nil, err
	}
	request.engine.ID = e.options.engineID(request.engine.ID)
	next := &itemRun{node: c.node, item: request.item, engine: request.engine, maxFailures: request.maxFailures, origin: request.origin, startsOver: request.startsOver}
	result := next.run(ctx, &request.read)
	return result.marshal(), nil
}

// confirm asks the leader whether it still wants a run. After a long delay the item may run
// elsewhere, or its job may have ended.
func (e *Executor) confirm(ctx context.Context, c *client, request *runRequest) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	question := marshal(fixedConfirm{request.run, request.item.index}, []byte(request.item.job))
	_, err := c.sender.Call(ctx, c.leader, kindConfirm, question)
	return trace.Wrap(err, "confirm the run of item %d of job %s at leader %s", request.item.index, request.item.job, c.leader)
}

func (e *Executor) begin(from clientKey, run uint64, end context.CancelFunc) (*client, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.closed || e.count >= maxExecutorRuns {
		return nil, trace.Wrap(errExecutorFull)
	}
	if e.options.Ready != nil && !e.options.Ready() {
		return nil, trace.Wrap(errNotReady)
	}
	c := e.client(from)
	if c.runs[run] != nil {
		return nil, trace.Wrap(errDuplicateRun)
	}
	c.runs[run] = end
	e.count++
	e.runGroup.Add(1)
	return c, nil
}

// client returns the client of a leader; the caller holds the mutex.
func (e *Executor) client(from clientKey) *client {
	c := e.clients[from]
	if c != nil {
		return c
	}
	c = &client{leader: from.leader, sender: e.senders[from.port], runs: map[uint64]context.CancelFunc{}}
	c.committer = newGroupCommitter(executorGroupDelay, func(ctx context.Context, updates []itemUpdate) ([]updateOutcome, error) {
		return e.sendUpdates(ctx, c, updates)
	})
	c.node = &runNode{
		pool: e.options.Pool, usable: e.options.Usable, permitted: e.options.permitted, commit: c.commit, readStart: clock.Now(), guard: e.options.Guard, partsOf: e.options.SharedParts,
		misnumbered: e.options.Misnumbered,
		open:        func(string, uint32) bool { return true }, // the leader tells when an item is closed
	}
	e.clients[from] = c
	e.tasks.Go(func() { c.committer.run(e.ctx) })
	return c
}

func (e *Executor) end(c *client, run uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(c.runs, run)
	e.count--
	e.runGroup.Done()
}

// handleStop ends a run. A run whose request arrives later doesn't start, as the leader
// doesn't confirm it.
func (e *Executor) handleStop(from clientKey, payload []byte) ([]byte, error) {
	var name fixedRunName
	if _, err := unmarshal(payload, &name, 0); err != nil {
		return nil, trace.Wrap(err, "decode stop request of peer %s", from.leader)
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if end := e.client(from).runs[name.Run]; end != nil {
		end()
	}
	return nil, nil
}

// commit sends an update to the leader and returns once it is committed. It fails with
// errSuperseded or errItemClosed if the update had no effect.
func (c *client) commit(ctx context.Context, u itemUpdate) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), updatesTimeout+executorGroupDelay)
	defer cancel()
	return trace.Wrap(c.committer.commit(ctx, u), "commit item %d of job %s at leader %s", u.index, u.job, c.leader)
}

// fixedUpdates heads updates sent to the leader.
type fixedUpdates struct{}

// sendUpdates sends updates to the leader and returns the outcome of each. If that fails, it
// drops the leader's runs: it no longer leads or is unreachable.
func (e *Executor) sendUpdates(ctx context.Context, c *client, updates []itemUpdate) ([]updateOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, updatesTimeout)
	defer cancel()
	reply, err := c.sender.Call(ctx, c.leader, kindUpdates, marshal(fixedUpdates{}, encodeUpdates(updates)...))
	if err != nil {
		e.dropRuns(c, err)
		return nil, err
	}
	outcomes, err := decodeUpdatesReply(reply, len(updates))
	return outcomes, trace.Wrap(err, "decode outcomes of updates from leader %s", c.leader)
}

func (e *Executor) dropRuns(c *client, cause error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(c.runs) > 0 {
		eventRunsDropped.Info("peer", c.leader, "runs", len(c.runs), "cause", cause)
	}
	for _, end := range c.runs {
		end()
	}
}

// sendHeartbeats sends heartbeats to leaders with runs here until the executor closes.
func (e *Executor) sendHeartbeats() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-ticker.C:
		}
		for _, c := range e.activeClients() {
			c.sender.Send(c.leader, kindHeartbeat, nil)
		}
	}
}

// activeClients lists the clients with runs here.
func (e *Executor) activeClients() []*client {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var busy []*client
	for _, c := range e.clients {
		if len(c.runs) > 0 {
			busy = append(busy, c)
		}
	}
	return busy
}
