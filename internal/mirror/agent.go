package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/telemetry"
	"chutelock.dev/chutelock/internal/transport"
)

// Events of the mirror.
var (
	eventStoreLost = telemetry.Define(6101, "store-lost", "The platform's store does not answer this node, or refuses it; peers are asked meanwhile.")
	eventStoreBack = telemetry.Define(6102, "store-back", "The platform's store answers this node again.")
	eventChanged   = telemetry.Define(6103, "mirror-changed", "A kind of the platform's objects changed here; says by which way it was learnt and the revision.")
	eventNodeSeen  = telemetry.Define(6104, "data-node-seen", "A data node was heard of for the first time, or at a new address.")
)

const (
	// WatchSlack is how much longer than its waiting time a watch may take
	// before the path to the store counts as broken.
	WatchSlack = 700 * time.Millisecond
	// listTimeout bounds a listing.
	listTimeout = 1500 * time.Millisecond
	// The pause after a failed call of the store grows between these.
	storeRetryFirst = 60 * time.Millisecond
	storeRetryMost  = 600 * time.Millisecond
	// pullWait is how long a peer holds a pull that has nothing to answer.
	pullWait = 2 * time.Second
	// pullSlack is how much longer a pull may take.
	pullSlack = 600 * time.Millisecond
	// pullRetry is the pause after a failed pull.
	pullRetry = 150 * time.Millisecond
	// pullers is the number of peers that a node waits on at a time.
	pullers = 2
	// registryInterval is the time between two looks at the data nodes that
	// are registered in the store.
	registryInterval = 4 * time.Second
	// registerRetry is the pause after a failed registration.
	registerRetry = 500 * time.Millisecond
)

// ErrHistoryLost says that the store forgot the changes since the revision.
var ErrHistoryLost = errors.New("mirror: the store has forgotten the history since that revision")

// Reader reads the platform's store.
type Reader interface {
	// List returns all objects of a kind and the store's revision.
	List(ctx context.Context, kind string) (objects []Object, at uint64, err error)
	// Changes waits up to wait for changes after a revision, and returns them
	// with the revision to continue from. It fails with ErrHistoryLost.
	Changes(ctx context.Context, kind string, after uint64, wait time.Duration) (objects []Object, at uint64, err error)
}

// Registry keeps the data nodes' addresses in the platform's store.
type Registry interface {
	Register(ctx context.Context, node Node) error
	// Registered lists the nodes; the list may be seconds old.
	Registered(ctx context.Context) ([]Node, error)
}

// Node is a data node: one that keeps ledger replicas.
type Node struct {
	Name    string
	Address transport.Address
	Zone    string
	Region  string
	// Started is when the node started, in Unix milliseconds by its own
	// clock; the latest start of a name counts.
	Started int64
}

// Options configure an Agent.
type Options struct {
	// Self is this node; it is told to others if DataNode is set.
	Self     Node
	DataNode bool
	// Kinds are mirrored.
	Kinds []string
	// WatchWait is how long a watch of the store is held.
	WatchWait time.Duration
	// Seeds are addresses of peers that may be stale or down.
	Seeds    []transport.Address
	Store    Reader
	Registry Registry
	Sender   transport.Sender
	Receiver transport.Receiver
	// Changed is told of each change of a kind; it must not block.
	Changed func(kind string)
}

// Agent runs a Table. Its methods may be called concurrently.
type Agent struct {
	options Options

	running context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	// mutex guards what is below; it is a leaf.
	mutex   sync.Mutex
	table   *Table
	nodes   map[string]Node
	seeds   []transport.Address
	peers   map[transport.Address]time.Time // who asked this node, and when
	changed chan struct{}                   // closed at each change
	heard   time.Time                       // the store's last answer
}

// peerMemory is how long a node remembers a peer that asked it.
const peerMemory = 30 * time.Second

// New returns an agent; its handlers are registered, nothing runs before Start.
func New(options Options) *Agent {
	a := &Agent{
		options: options,
		table:   NewTable(options.Kinds),
		nodes:   map[string]Node{},
		seeds:   options.Seeds,
		peers:   map[transport.Address]time.Time{},
		changed: make(chan struct{}),
	}
	a.running, a.cancel = context.WithCancel(context.Background())
	if options.DataNode {
		a.nodes[options.Self.Name] = options.Self
	}
	options.Receiver.HandleCall(kindPull, a.handlePull)
	return a
}

// Start begins to watch the store and to ask peers.
func (a *Agent) Start() {
	for _, kind := range a.options.Kinds {
		a.run(func() { a.watch(kind) })
	}
	for range pullers {
		a.run(a.pullLoop)
	}
	a.run(a.registryLoop)
	if a.options.DataNode {
		a.run(a.register)
	}
}

// Close stops the agent.
func (a *Agent) Close() {
	a.cancel()
	a.tasks.Wait()
}

func (a *Agent) run(task func()) {
	a.tasks.Add(1)
	go func() {
		defer a.tasks.Done()
		task()
	}()
}

// SetSeeds replaces the addresses of peers that may be stale or down.
func (a *Agent) SetSeeds(seeds []transport.Address) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.seeds = seeds
}

// Objects lists the objects of a kind and the revision they are complete to;
// a revision of 0 means that nothing is known yet.
func (a *Agent) Objects(kind string) ([]Object, uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.table.Objects(kind), a.table.At(kind)
}

// Nodes lists the data nodes heard of, this one included if it is one.
func (a *Agent) Nodes() []Node {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	nodes := make([]Node, 0, len(a.nodes))
	for _, node := range a.nodes {
		nodes = append(nodes, node)
	}
	return nodes
}

// watch follows one kind in the store.
func (a *Agent) watch(kind string) {
	wait := storeRetryFirst
	mustList := true
	lost := false
	for a.running.Err() == nil {
		if at := a.position(kind); at == 0 {
			mustList = true
		}
		err := a.readStore(kind, mustList)
		switch {
		case err == nil:
			a.noteHeard()
			if lost {
				eventStoreBack.Info("kind", kind, "revision", a.position(kind))
			}
			mustList, lost, wait = false, false, storeRetryFirst
			continue
		case errors.Is(err, ErrHistoryLost):
			mustList = true
			continue
		}
		if !lost && a.running.Err() == nil {
			lost = true
			eventStoreLost.Error(err, "kind", kind, "revision", a.position(kind))
		}
		a.pause(wait/2 + rand.N(wait))
		wait = min(2*wait, storeRetryMost)
	}
}

func (a *Agent) noteHeard() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.heard = time.Now()
}

// Heard is when the store last answered this node.
func (a *Agent) Heard() time.Time {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.heard
}

// readStore does one call: a listing, or a watch from where the table is.
func (a *Agent) readStore(kind string, list bool) error {
	if list {
		ctx, cancel := context.WithTimeout(a.running, listTimeout)
		defer cancel()
		objects, at, err := a.options.Store.List(ctx, kind)
		if err != nil {
			return err
		}
		a.merge("list", Delta{Kind: kind, Whole: true, At: at, Objects: objects})
		return nil
	}
	since := a.position(kind)
	ctx, cancel := context.WithTimeout(a.running, a.options.WatchWait+WatchSlack)
	defer cancel()
	objects, at, err := a.options.Store.Changes(ctx, kind, since, a.options.WatchWait)
	if err != nil {
		return err
	}
	a.merge("watch", Delta{Kind: kind, Since: since, At: max(at, since), Objects: objects})
	return nil
}

func (a *Agent) position(kind string) uint64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.table.At(kind)
}

func (a *Agent) merge(way string, delta Delta) {
	a.mutex.Lock()
	first := a.table.At(delta.Kind) == 0
	changed := a.table.Merge(delta) || (first && a.table.At(delta.Kind) > 0)
	at := a.table.At(delta.Kind)
	if changed {
		close(a.changed)
		a.changed = make(chan struct{})
	}
	a.mutex.Unlock()
	if !changed {
		return
	}
	eventChanged.Info("kind", delta.Kind, "way", way, "revision", at, "objects", len(delta.Objects))
	if a.options.Changed != nil {
		a.options.Changed(delta.Kind)
	}
}

func (a *Agent) pause(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-a.running.Done():
	case <-timer.C:
	}
}

// handlePull answers a peer, at once if it lacks something.
func (a *Agent) handlePull(ctx context.Context, from transport.Address, payload []byte) ([]byte, error) {
	request, err := unmarshalPull(payload)
	if err != nil {
		return nil, trace.Wrap(err, "pull of peer %s", from)
	}
	a.learnNodes(request.nodes)
	a.rememberPeer(from)
	timer := time.NewTimer(time.Duration(request.waitMilliseconds) * time.Millisecond)
	defer timer.Stop()
	for {
		reply, changed := a.answerTo(request)
		if len(reply.deltas) > 0 || request.waitMilliseconds == 0 {
			return reply.marshal(), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return reply.marshal(), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-a.running.Done():
			return nil, trace.ConnectionProblem(nil, "the node is stopping")
		}
	}
}

func (a *Agent) answerTo(request pull) (answer, <-chan struct{}) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var reply answer
	for _, node := range a.nodes {
		reply.nodes = append(reply.nodes, node)
	}
	for kind, at := range request.positions {
		if delta, newer := a.table.Since(kind, at); newer && (at == 0 || len(delta.Objects) > 0) {
			reply.deltas = append(reply.deltas, delta)
		}
	}
	return reply, a.changed
}

func (a *Agent) learnNodes(nodes []Node) {
	a.mutex.Lock()
	var news []Node
	for _, node := range nodes {
		known, found := a.nodes[node.Name]
		if node.Name == a.options.Self.Name || (found && known.Started >= node.Started) {
			continue
		}
		a.nodes[node.Name] = node
		if !found || known.Address != node.Address {
			news = append(news, node)
		}
	}
	a.mutex.Unlock()
	for _, node := range news {
		eventNodeSeen.Info("node", node.Name, "peer", node.Address, "zone", node.Zone)
	}
}

func (a *Agent) rememberPeer(peer transport.Address) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.peers[peer] = time.Now()
	for other, at := range a.peers {
		if time.Since(at) > peerMemory {
			delete(a.peers, other)
		}
	}
}

// pullLoop waits on one peer after the other.
func (a *Agent) pullLoop() {
	for a.running.Err() == nil {
		peer, found := a.pickPeer()
		if !found {
			a.pause(pullRetry)
			continue
		}
		if err := a.pullFrom(peer); err != nil {
			a.pause(pullRetry)
		}
	}
}

// pickPeer draws a data node, a seed or a node that asked this one.
func (a *Agent) pickPeer() (transport.Address, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var candidates []transport.Address
	for _, node := range a.nodes {
		candidates = append(candidates, node.Address)
	}
	candidates = append(candidates, a.seeds...)
	for peer := range a.peers {
		candidates = append(candidates, peer)
	}
	for range len(candidates) {
		peer := candidates[rand.IntN(len(candidates))]
		if peer != a.options.Self.Address {
			return peer, true
		}
	}
	return "", false
}

func (a *Agent) pullFrom(peer transport.Address) error {
	request, known := a.pullRequest()
	ctx, cancel := context.WithTimeout(a.running, time.Duration(request.waitMilliseconds)*time.Millisecond+pullSlack)
	defer cancel()
	encoded, err := a.options.Sender.Call(ctx, peer, kindPull, request.marshal())
	if err != nil {
		return trace.Wrap(err, "pull from peer %s", peer)
	}
	reply, err := unmarshalAnswer(encoded)
	if err != nil {
		return trace.Wrap(err, "pull from peer %s", peer)
	}
	a.learnNodes(reply.nodes)
	for _, delta := range reply.deltas {
		a.merge("peer", delta)
	}
	if !known && len(reply.deltas) == 0 {
		return trace.NotFound("peer %s knows nothing yet", peer)
	}
	return nil
}

// pullRequest says what this node has. known is false while it has nothing,
// and then the peer is not to hold the pull.
func (a *Agent) pullRequest() (request pull, known bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	request.positions = map[string]uint64{}
	known = true
	for _, kind := range a.options.Kinds {
		request.positions[kind] = a.table.At(kind)
		known = known && a.table.At(kind) > 0
	}
	if known {
		request.waitMilliseconds = uint32(pullWait / time.Millisecond)
	}
	if a.options.DataNode {
		request.nodes = append(request.nodes, a.options.Self)
	}
	return request, known
}

// registryLoop looks for data nodes in the store.
func (a *Agent) registryLoop() {
	for a.running.Err() == nil {
		ctx, cancel := context.WithTimeout(a.running, listTimeout)
		nodes, err := a.options.Registry.Registered(ctx)
		cancel()
		if err == nil {
			a.learnNodes(nodes)
		}
		if err != nil || len(a.Nodes()) == 0 {
			a.pause(registerRetry)
			continue
		}
		a.pause(registryInterval/2 + rand.N(registryInterval))
	}
}

// register enters this data node into the store, until it is in.
func (a *Agent) register() {
	for a.running.Err() == nil {
		ctx, cancel := context.WithTimeout(a.running, listTimeout)
		err := a.options.Registry.Register(ctx, a.options.Self)
		cancel()
		if err == nil {
			return
		}
		a.pause(registerRetry)
	}
}
