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
	eventRunsDropped = telemetry.Define(3212, "runs-dropped", "The leader for which this node runs items takes no text of them; they are ended.")
	eventBadRun      = telemetry.Define(3213, "run-request-unreadable", "A leader's request to run an item could not be decoded; it is refused.")
)

const (
	// executorMost bounds the runs that a node takes on for leaders: each holds one
	// of the 512 workers that answer calls.
	executorMost = 200
	// executorGather is how long a step waits at an executor for others to be sent
	// to the leader with it. Results are read twice a second.
	executorGather = 100 * time.Millisecond
	// confirmTimeout bounds the question whether a run is still wanted; a leader
	// that doesn't answer has its item run elsewhere by itself.
	confirmTimeout = 500 * time.Millisecond
	// stepsTimeout bounds one call that commits steps.
	stepsTimeout = 1500 * time.Millisecond
	// aliveInterval is how often a leader hears that its runs go on.
	aliveInterval = 300 * time.Millisecond
)

// Refusals of a run.
var (
	errBusy = errors.New("this node runs enough items")
	errRuns = errors.New("this run has begun before")
	// errIgnorant has the leader set this node aside: it would hand all runs back.
	errIgnorant = errors.New("this node doesn't know yet which engines may be used")
)

// ExecutorOptions configure an Executor.
type ExecutorOptions struct {
	Pool *upstream.Pool
	// Usable says whether an engine may still get requests of a service.
	Usable func(id, service string) bool
	// EngineID finds the ID of the engine of an instance name, as known here; nil if all
	// engines have their instance names for IDs.
	EngineID func(instance string) string
	// Guard holds items back under which engines ended; nil holds none.
	Guard *poison.Guard
	// Knows says whether this node has heard which engines there are and which zones
	// are drained; nil is yes.
	Knows func() bool
	// Permitted says whether a tenant's item of a route may go to an engine, by the
	// newest configuration known here; nil if there are no regions.
	Permitted func(host, path, tenant, engine string) bool
	Sender    transport.Sender
	Receiver  transport.Receiver
}

func (o ExecutorOptions) permitted(item *openItem, engine string) bool {
	return o.Permitted == nil || item.path == "" || o.Permitted(item.host, item.path, item.tenant, engine)
}

// engineID is the ID of the engine of an instance name.
func (o ExecutorOptions) engineID(instance string) string {
	if o.EngineID == nil {
		return instance
	}
	return o.EngineID(instance)
}

// Executor runs items for leaders on other nodes: it holds the streams, and hands
// their text to the leader in few messages. It decides nothing: a run ends with
// its stream, when the leader says so, or when the leader takes no text any more.
type Executor struct {
	options ExecutorOptions
	running context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	ending  sync.WaitGroup // the runs; nothing is added once closed is set

	mutex   sync.Mutex // guards what is below; a leaf
	closed  bool
	count   int
	senders []transport.Sender // by port
	clients map[clientKey]*client
}

// clientKey names a client: a node may lead several shards.
type clientKey struct {
	leader transport.Address
	port   int // of the executor's ports
}

// client is a leader that this node runs items for.
type client struct {
	leader   transport.Address
	sender   transport.Sender
	node     *runNode
	gatherer *gatherer
	runs     map[uint64]context.CancelFunc // guarded by the executor's mutex
}

// NewExecutor registers the handlers; runs come once the receiver serves.
func NewExecutor(options ExecutorOptions) *Executor {
	e := &Executor{options: options, clients: map[clientKey]*client{}}
	e.running, e.cancel = context.WithCancel(context.Background())
	e.Also(options.Sender, options.Receiver)
	e.tasks.Go(e.tellAlive)
	return e
}

// Also runs items for the leaders of another shard, which are reached by its port.
func (e *Executor) Also(sender transport.Sender, receiver transport.Receiver) {
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

// Close ends all runs, after committing what they have, and waits for them.
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
	e.ending.Wait()
	e.cancel()
	e.tasks.Wait()
}

// Running is the number of items that run here for leaders.
func (e *Executor) Running() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.count
}

// handleRun runs an item and answers how that ended. ctx ends with the leader's
// connection.
func (e *Executor) handleRun(ctx context.Context, from clientKey, payload []byte) ([]byte, error) {
	request, err := unmarshalRun(payload, clock.Now())
	if err != nil {
		eventBadRun.Error(err, "peer", from.leader)
		return nil, trace.Wrap(err, "run of peer %s", from.leader)
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
	next := &itemRun{node: c.node, item: request.item, engine: request.engine, attempts: request.attempts}
	result := next.run(ctx, &request.read)
	return result.marshal(), nil
}

// confirm asks the leader whether it still wants a run. The request may have been
// on its way for long, as after a cut: the item may run elsewhere by now, or its
// job may have ended.
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
	if e.closed || e.count >= executorMost {
		return nil, trace.Wrap(errBusy)
	}
	if e.options.Knows != nil && !e.options.Knows() {
		return nil, trace.Wrap(errIgnorant)
	}
	c := e.client(from)
	if c.runs[run] != nil {
		return nil, trace.Wrap(errRuns)
	}
	c.runs[run] = end
	e.count++
	e.ending.Add(1)
	return c, nil
}

// client returns the leader's; the caller holds the mutex.
func (e *Executor) client(from clientKey) *client {
	c := e.clients[from]
	if c != nil {
		return c
	}
	c = &client{leader: from.leader, sender: e.senders[from.port], runs: map[uint64]context.CancelFunc{}}
	c.gatherer = newGatherer(executorGather, func(ctx context.Context, steps []step) error { return e.hand(ctx, c, steps) })
	c.node = &runNode{
		pool: e.options.Pool, usable: e.options.Usable, permitted: e.options.permitted, commit: c.commit, opened: clock.Now(), guard: e.options.Guard,
		open: func(string, uint32) bool { return true }, // the ledger drops what it doesn't want
	}
	e.clients[from] = c
	e.tasks.Go(func() { c.gatherer.run(e.running) })
	return c
}

func (e *Executor) end(c *client, run uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(c.runs, run)
	e.count--
	e.ending.Done()
}

// handleStop ends a run. One whose request comes only later isn't begun, as the
// leader doesn't confirm it.
func (e *Executor) handleStop(from clientKey, payload []byte) ([]byte, error) {
	var name fixedRunName
	if _, err := unmarshal(payload, &name, 0); err != nil {
		return nil, trace.Wrap(err, "end of a run of peer %s", from.leader)
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if end := e.client(from).runs[name.Run]; end != nil {
		end()
	}
	return nil, nil
}

// commit hands a step to the leader, and returns once it is committed.
func (c *client) commit(ctx context.Context, s step) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stepsTimeout+executorGather)
	defer cancel()
	return trace.Wrap(c.gatherer.commit(ctx, s), "commit item %d of job %s at leader %s", s.index, s.job, c.leader)
}

// fixedSteps heads steps on their way to the leader.
type fixedSteps struct{}

// hand sends steps to the leader. One that doesn't take them doesn't lead any
// more, or can't be reached: its runs are of no use.
func (e *Executor) hand(ctx context.Context, c *client, steps []step) error {
	ctx, cancel := context.WithTimeout(ctx, stepsTimeout)
	defer cancel()
	_, err := c.sender.Call(ctx, c.leader, kindSteps, marshal(fixedSteps{}, encodeSteps(steps)...))
	if err != nil {
		e.dropRuns(c, err)
	}
	return err
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

// tellAlive tells leaders that their runs go on, until the executor closes.
func (e *Executor) tellAlive() {
	ticker := time.NewTicker(aliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.running.Done():
			return
		case <-ticker.C:
		}
		for _, c := range e.busy() {
			c.sender.Send(c.leader, kindAlive, nil)
		}
	}
}

// busy are the clients for whom items run here.
func (e *Executor) busy() []*client {
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
