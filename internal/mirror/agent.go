package mirror

import (
	"context"
	"errors"
	"sync"
	"time"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/telemetry"
	"chutelock.dev/chutelock/internal/transport"
)

// Events of the mirror.
var (
	eventStoreLost   = telemetry.Define(6101, "store-lost", "The platform's store does not answer this node, or refuses it; peers are asked meanwhile.")
	eventStoreBack   = telemetry.Define(6102, "store-back", "The platform's store answers this node again.")
	eventChanged     = telemetry.Define(6103, "mirror-changed", "A kind of the platform's objects changed here; says by which way it was learnt and the revision.")
	eventPeerFailing = telemetry.Define(6105, "peer-failing", "A peer did not answer a pull; others are asked before it.")
	eventNodeSeen    = telemetry.Define(6104, "data-node-seen", "A data node was heard of for the first time, or at a new address.")
)

const (
	// listTimeout bounds a listing, and largeListTimeout one of a kind of many objects,
	// which takes 50 calls for 10,000: some 0.3 s, and 3 s of a store that is ten times
	// slower.
	listTimeout      = 1500 * time.Millisecond
	largeListTimeout = 6 * time.Second
)

// ErrHistoryLost says that the store forgot the changes since the revision.
var ErrHistoryLost = errors.New("mirror: the store has forgotten the history since that revision")

// Reader reads the platform's store.
type Reader interface {
	// List returns all objects of a kind and the store's revision. The list may be seconds
	// old if it may be stale, which costs less; it is of the revision all the same.
	List(ctx context.Context, kind string, stale bool) (objects []Object, at uint64, err error)
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
	Kinds []Kind
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

	started time.Time // set by Start
	running context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	// mutex guards what is below; it is a leaf.
	mutex   sync.Mutex
	table   *Table
	fresh   *freshness
	nodes   map[string]Node
	seeds   []transport.Address
	peers   map[transport.Address]time.Time // who asked this node, and when
	failing map[transport.Address]bool      // peers whose last pull failed
	plain   map[transport.Address]time.Time // peers of an earlier version, and when that was seen
	// nodesDigest stands for nodes.
	nodesDigest uint64
	// answeredAt is when a peer answered last, and surveyed says that the registry has.
	answeredAt time.Time
	surveyed   bool
	changed    chan struct{} // closed at each change or confirmation
	// pulling is the context of pulls, and endPulls ends those that wait.
	pulling  context.Context
	endPulls context.CancelCauseFunc
	heard    time.Time // the store's last answer

	packed packedWholes
	leads  chan lead // peers to be asked back
}

// New returns an agent; its handlers are registered, nothing runs before Start.
func New(options Options) *Agent {
	a := &Agent{
		options: options,
		fresh:   newFreshness(),
		nodes:   map[string]Node{},
		seeds:   options.Seeds,
		peers:   map[transport.Address]time.Time{},
		failing: map[transport.Address]bool{},
		plain:   map[transport.Address]time.Time{},
		changed: make(chan struct{}),
		packed:  packedWholes{kinds: map[string]packedWhole{}},
		leads:   make(chan lead, askBackQueue),
	}
	names := make([]string, 0, len(options.Kinds))
	for _, kind := range options.Kinds {
		names = append(names, kind.Name)
	}
	a.table = NewTable(names)
	for _, kind := range options.Kinds {
		if kind.Place == nil {
			continue
		}
		a.table.PlaceBy(kind.Name, kind.Place)
		if !options.DataNode {
			a.table.TakePart(kind.Name, options.Self.Name, options.Self.Zone)
		}
	}
	a.running, a.cancel = context.WithCancel(context.Background())
	a.pulling, a.endPulls = context.WithCancelCause(a.running)
	if options.DataNode {
		a.nodes[options.Self.Name] = options.Self
	}
	a.nodesDigest = digest(a.nodes)
	options.Receiver.HandleCall(kindPull, a.handlePull)
	options.Receiver.HandleCall(kindFetch, a.handleFetch)
	return a
}

// Start begins to read the store and to ask peers. One peer that is asked is of
// the node's own zone where there is one, the other is of any.
func (a *Agent) Start() {
	a.started = clock.Now()
	for _, kind := range a.options.Kinds {
		a.run(func() { a.follow(kind) })
	}
	a.run(func() { a.pullLoop(a.options.Self.Zone) })
	a.run(func() { a.pullLoop("") })
	a.run(a.askBackLoop)
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

// Since returns what changed in a kind after a revision, as Table.Since does; false if
// nothing is known of the kind.
func (a *Agent) Since(kind string, revision uint64) (Delta, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.table.Since(kind, revision)
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

// merge takes a delta of all objects, that had all of the store at a time.
func (a *Agent) merge(way string, delta Delta, confirmed time.Time) {
	a.mergeWith(way, delta, confirmed, a.table.Merge)
}

// take takes what a peer answered to a request.
func (a *Agent) take(way string, delta agedDelta, request pull, confirmed time.Time) {
	if delta.all {
		a.merge(way, delta.Delta, confirmed)
		return
	}
	shifts := delta.shifts
	if asked := request.kinds[delta.Kind]; asked.part == nil {
		shifts = nil
	}
	a.mergeWith(way, delta.Delta, confirmed, func(delta Delta) bool { return a.table.mergePart(delta, shifts) })
}

// mergeWith hands a delta to the table, and tells of what it changed.
func (a *Agent) mergeWith(way string, delta Delta, confirmed time.Time, merge func(delta Delta) bool) {
	a.mutex.Lock()
	first := a.table.At(delta.Kind) == 0
	changed := merge(delta) || (first && a.table.At(delta.Kind) > 0)
	at := a.table.At(delta.Kind)
	news := at >= delta.At && a.fresh.confirm(delta.Kind, confirmed)
	if changed || news {
		close(a.changed)
		a.changed = make(chan struct{})
	}
	a.mutex.Unlock()
	if !changed {
		return
	}
	eventChanged.Info("kind", delta.Kind, "way", way, "revision", at, "objects", len(delta.Objects),
		"age", clock.Since(confirmed))
	if a.options.Changed != nil {
		a.options.Changed(delta.Kind)
	}
}

func (a *Agent) pause(duration time.Duration) { clock.Pause(a.running, duration) }
