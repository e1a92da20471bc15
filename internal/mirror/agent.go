package mirror

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/telemetry"
	"chutelock.dev/chutelock/internal/transport"
)

// Log events of this package.
var (
	eventStoreLost   = telemetry.Define(6101, "store-lost", "The platform's store does not answer this node or rejects its calls; the node pulls from its peers meanwhile.")
	eventStoreBack   = telemetry.Define(6102, "store-back", "The platform's store answers this node again.")
	eventChanged     = telemetry.Define(6103, "mirror-changed", "A kind of the platform's objects changed in this node's copy; has the source of the change and the revision.")
	eventPeerFailing = telemetry.Define(6105, "peer-failing", "A peer did not answer a pull; others are preferred until it is known to answer again.")
	eventNodeSeen    = telemetry.Define(6104, "data-node-seen", "This node learned of a new data node or of a new address of a known one.")
)

const (
	// listTimeout bounds a listing, and largeListTimeout that of a kind with many objects,
	// which takes 50 calls for 10,000: some 0.3 s, and 3 s at a store that is ten times slower.
	listTimeout      = 1500 * time.Millisecond
	largeListTimeout = 6 * time.Second
)

// ErrHistoryLost says that the store no longer has the changes since a revision.
var ErrHistoryLost = errors.New("mirror: the store no longer has the changes since that revision")

// Reader reads the platform's store.
type Reader interface {
	// List returns all objects of a kind and the revision they belong to. With stale set,
	// the store may return a list that is seconds old, which is cheaper.
	List(ctx context.Context, kind string, stale bool) (objects []Object, revision uint64, err error)
	// Changes waits up to wait for changes after a revision. It returns them with the
	// revision to continue from, or ErrHistoryLost.
	Changes(ctx context.Context, kind string, after uint64, wait time.Duration) (objects []Object, revision uint64, err error)
}

// Registry records the data nodes' addresses in the platform's store.
type Registry interface {
	Register(ctx context.Context, node Node) error
	// Registered lists the data nodes; the list may be seconds old.
	Registered(ctx context.Context) ([]Node, error)
}

// Node describes a data node, which stores ledger replicas.
type Node struct {
	Name    string
	Address transport.Address
	Zone    string
	Region  string
	// Started is the node's start time in Unix milliseconds by its own clock. Of two
	// entries with the same name, the one started later wins.
	Started int64
}

// Options configure an Agent.
type Options struct {
	// Self is this node. It is announced to peers if DataNode is set.
	Self     Node
	DataNode bool
	// Kinds are the kinds of objects to mirror.
	Kinds []Kind
	// Seeds are configured addresses of peers, which may be outdated or down.
	Seeds    []transport.Address
	Store    Reader
	Registry Registry
	Sender   transport.Sender
	Receiver transport.Receiver
	// Changed is called after each change of a kind, also one that is only known to be possible, as
	// objects may have come and gone; it must not block.
	Changed func(kind string)
	// StoreAnswered is called when this node hears, itself or from a peer, that the store
	// answered; silence is the time since its last known answer. It must not block and may be
	// nil.
	StoreAnswered func(silence time.Duration)
}

// Agent keeps a Table up to date from the store and from peers. Its methods may be called
// concurrently.
type Agent struct {
	options Options

	started time.Time // set by Start
	running context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	// mutex guards the fields below, up to the empty line. No other lock is taken
	// while it is held.
	mutex sync.Mutex
	table *Table
	fresh *freshness // when each kind last matched the store
	// unwatched is the longest time, by kind, between two confirmations between which objects or states may have come
	// and gone without a trace: the later one came with a snapshot, or with a change of a kind whose States count.
	unwatched map[string]time.Duration
	nodes     map[string]Node
	seeds     []transport.Address
	peers     map[transport.Address]time.Time // nodes that pulled from this one, by time of the last pull
	failing   map[transport.Address]bool      // peers whose last pull failed
	legacy    map[transport.Address]time.Time // peers of an earlier version, by time of detection
	// nodesDigest is the digest of nodes.
	nodesDigest uint64
	// lastPeerResponse is when a peer last answered; registryRead is set once the registry has.
	lastPeerResponse time.Time
	registryRead     bool
	changed          chan struct{} // closed and replaced at each change or confirmation
	// pullCtx is the context of pending pulls, which cancelPulls ends.
	pullCtx           context.Context
	cancelPulls       context.CancelCauseFunc
	lastStoreResponse time.Time
	// storeReturned is when the store was heard of again after its last outage.
	storeReturned time.Time

	snapshots    snapshotCache
	confirmers   map[string]*confirmer // by kind
	reversePulls chan peerState        // peers to pull from because they are ahead
}

// New returns an agent with its call handlers registered. Nothing runs before Start.
func New(options Options) *Agent {
	a := &Agent{
		options:      options,
		fresh:        newFreshness(),
		unwatched:    map[string]time.Duration{},
		nodes:        map[string]Node{},
		seeds:        options.Seeds,
		peers:        map[transport.Address]time.Time{},
		failing:      map[transport.Address]bool{},
		legacy:       map[transport.Address]time.Time{},
		changed:      make(chan struct{}),
		snapshots:    snapshotCache{kinds: map[string]cachedSnapshot{}},
		confirmers:   newConfirmers(options.Kinds),
		reversePulls: make(chan peerState, reversePullQueue),
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
		// An object's place decides whether nodes that keep a subset mirror it.
		a.table.SetPlaceFunc(kind.Name, kind.Place)
		if !options.DataNode {
			a.table.KeepSubset(kind.Name, options.Self.Name, options.Self.Zone)
		}
	}
	a.running, a.cancel = context.WithCancel(context.Background())
	a.pullCtx, a.cancelPulls = context.WithCancelCause(a.running)
	if options.DataNode {
		a.nodes[options.Self.Name] = options.Self
	}
	a.nodesDigest = digest(a.nodes)
	options.Receiver.HandleCall(messagePull, a.handlePull)
	options.Receiver.HandleCall(messageFetch, a.handleFetch)
	return a
}

// Start begins reading the store and pulling from peers: one loop pulls from this node's zone
// where possible, the other from any zone.
func (a *Agent) Start() {
	a.started = clock.Now()
	for _, kind := range a.options.Kinds {
		a.run(func() { a.followStore(kind) })
	}
	for _, c := range a.confirmers {
		a.run(func() { a.confirmLoop(c) })
	}
	a.run(func() { a.pullLoop(a.options.Self.Zone) })
	a.run(func() { a.pullLoop("") })
	a.run(a.reversePullLoop)
	a.run(a.registryLoop)
	if a.options.DataNode {
		a.run(a.register)
	}
}

// Close stops the agent and waits for its goroutines.
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

// SetSeeds replaces the configured addresses of peers.
func (a *Agent) SetSeeds(seeds []transport.Address) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.seeds = seeds
}

// Seeds returns the configured addresses of peers, without this node's own.
func (a *Agent) Seeds() []transport.Address {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(a.seeds), func(seed transport.Address) bool { return seed == a.options.Self.Address })
}

// Objects lists the objects of a kind and the revision up to which they are complete. Revision
// 0 means that the kind has not been synced yet.
func (a *Agent) Objects(kind string) ([]Object, uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.table.Objects(kind), a.table.Revision(kind)
}

// Since returns the changes of a kind after a revision, as Table.Since does. It returns false
// if the kind has not been synced yet or the revision is newer than this node's.
func (a *Agent) Since(kind string, revision uint64) (Delta, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.table.Since(kind, revision)
}

// Partial reports whether this node mirrors only some objects of a kind.
func (a *Agent) Partial(kind string) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.table.Partial(kind)
}

func (a *Agent) countsStates(name string) bool {
	return slices.ContainsFunc(a.options.Kinds, func(kind Kind) bool { return kind.Name == name && kind.States })
}

// TakeUnwatched returns the longest time since the last call in which objects of a kind may have come and gone
// without a trace.
func (a *Agent) TakeUnwatched(kind string) time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	longest := a.unwatched[kind]
	delete(a.unwatched, kind)
	return longest
}

// Nodes lists the known data nodes, including this one if it is one.
func (a *Agent) Nodes() []Node {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	nodes := make([]Node, 0, len(a.nodes))
	for _, node := range a.nodes {
		nodes = append(nodes, node)
	}
	return nodes
}

// StoreReturned returns when this node last heard, itself or from a peer, that the store answered
// after a silence of at least minOutage; zero if there was none.
func (a *Agent) StoreReturned() time.Time {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.storeReturned
}

// merge applies a delta that covers all objects and was up to date with the store at confirmed.
func (a *Agent) merge(source string, delta Delta, confirmed time.Time) {
	a.mergeWith(source, delta, confirmed, a.table.Merge)
}

// mergeResponse applies a delta from a peer's response to a request. The delta's shifts tell
// which subset of the kind's objects it covers; see subset.
func (a *Agent) mergeResponse(source string, delta responseDelta, request pullRequest, confirmed time.Time) {
	if delta.unfiltered {
		a.merge(source, delta.Delta, confirmed)
		return
	}
	shifts := delta.shifts
	if requested := request.kinds[delta.Kind]; requested.subset == nil {
		shifts = nil
	}
	a.mergeWith(source, delta.Delta, confirmed, func(delta Delta) bool { return a.table.mergeSubset(delta, shifts) })
}

// mergeWith applies a delta to the table and reports the change. merge is called with the mutex
// held.
func (a *Agent) mergeWith(source string, delta Delta, confirmed time.Time, merge func(delta Delta) bool) {
	a.mutex.Lock()
	before := a.table.Revision(delta.Kind)
	changed := merge(delta) || (before == 0 && a.table.Revision(delta.Kind) > 0)
	revision := a.table.Revision(delta.Kind)
	replaced := delta.IsSnapshot && revision == delta.Revision
	if before > 0 && (replaced || changed && a.countsStates(delta.Kind)) {
		a.unwatched[delta.Kind] = max(a.unwatched[delta.Kind], a.fresh.sinceConfirmed(delta.Kind, confirmed))
	}
	// Objects may also have come and gone unseen.
	mayHaveChanged := changed || a.table.Changed(delta.Kind, before) || replaced
	latest := a.fresh.latest()
	confirmedLater := revision >= delta.Revision && a.fresh.confirm(delta.Kind, confirmed)
	if confirmedLater && !latest.IsZero() && confirmed.Sub(latest) >= minOutage {
		a.storeReturned = clock.Now()
	}
	if changed || confirmedLater {
		close(a.changed)
		a.changed = make(chan struct{})
	}
	a.mutex.Unlock()
	if silence := confirmed.Sub(latest); confirmedLater && silence >= minSilence && a.options.StoreAnswered != nil {
		a.options.StoreAnswered(silence)
	}
	if changed {
		eventChanged.Info("kind", delta.Kind, "way", source, "revision", revision, "objects", len(delta.Objects),
			"age", clock.Since(confirmed))
	}
	if mayHaveChanged && a.options.Changed != nil {
		a.options.Changed(delta.Kind)
	}
}

func (a *Agent) pause(duration time.Duration) { clock.Sleep(a.running, duration) }
