package system

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/forward"
	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/origin"
	"chutelock.dev/chutelock/internal/transport"
)

const (
	worldLeave = 2 * time.Second
	// worldLife is how long callers wait, over all of their requests for a stream. It is longer than
	// timeouts allow for.
	worldLife = 3 * time.Second * 4
)

// originWorld is a store of engines and nodes that know of them more or less late. It implements
// transport.Sender for all nodes.
type originWorld struct {
	revision uint64
	engines  map[string]time.Time // listed, by name as "v1.0"; the time when they have gone, or zero
	changes  []mirror.Object
	streams  map[string]*worldStream
	nodes    map[transport.Address]*worldNode
	loses    bool // datagrams
	served   int
	refused  int
}

// worldStream is a stream that a caller may continue until some time.
type worldStream struct {
	release catalog.Release
	until   time.Time
}

// worldNode is a front node or a data node with its own copy of the list of engines.
type worldNode struct {
	world     *originWorld
	address   transport.Address
	isFront   bool
	noStore   bool // the node doesn't reach the store
	noPeers   bool // nor other nodes
	table     *engineTable
	tracker   *catalogTracker
	confirmed time.Time
	client    *originClient
	server    *originServer
}

func newOriginWorld() *originWorld {
	w := &originWorld{engines: map[string]time.Time{}, streams: map[string]*worldStream{}, nodes: map[transport.Address]*worldNode{}, revision: 1}
	w.write("v1.0", false)
	for i := range 3 {
		w.start(transport.Address(fmt.Sprint("d", i)), false)
	}
	for i := range 3 {
		w.start(transport.Address(fmt.Sprint("f", i)), true)
	}
	return w
}

func (w *originWorld) write(name string, gone bool) {
	w.revision++
	w.changes = append(w.changes, mirror.Object{Name: name, Revision: w.revision, Gone: gone})
	w.engines[name] = time.Time{}
	if gone {
		w.engines[name] = clock.Now().Add(worldLeave)
	}
}

// listed returns the names of the engines in the store.
func (w *originWorld) listed() (names []string) {
	for _, name := range slices.Sorted(maps.Keys(w.engines)) {
		if w.engines[name].IsZero() {
			names = append(names, name)
		}
	}
	return names
}

// runs reports whether an engine has not gone yet.
func (w *originWorld) runs(name string) bool {
	gone := w.engines[name]
	return gone.IsZero() || clock.Now().Before(gone)
}

// start starts a node anew, which forgets all but its address.
func (w *originWorld) start(address transport.Address, isFront bool) {
	n := &worldNode{world: w, address: address, isFront: isFront, table: newEngineTable()}
	n.tracker = newReleaseTracker(n.table)
	prover := &releaseProver{
		history: n.tracker.history, kinds: []string{"engines"}, leave: worldLeave, partial: func() bool { return false },
		confirm: func(context.Context, string) error { return n.sync() }, isBehind: n.tracker.isBehind,
	}
	if isFront {
		n.client = &originClient{
			store: newOriginStore(), peers: worldSender{n}, nodes: w.dataNodes, region: "r",
			fronts: func() []transport.Address {
				return slices.DeleteFunc([]transport.Address{"f0", "f1", "f2"}, func(a transport.Address) bool { return a == address })
			},
			history: func(host, prefix string, life time.Duration) origin.Answer {
				return n.tracker.history.ofRoute(host, prefix, worldLeave, life)
			},
			proveRoute: prover.proveRoute, maxListAge: worldLeave, listAge: func() time.Duration { return clock.Since(n.confirmed) },
			found: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "found"}, []string{"source"}),
		}
		n.client.lives.observe(streamRoute.Name, worldLife) // by other callers
	} else {
		n.server = &originServer{store: newOriginStore(), proveRoute: prover.proveRoute, proveService: prover.proveService}
	}
	w.nodes[address] = n
	_ = n.sync() // else it learns of the engines later
	n.tracker.refresh()
}

func (w *originWorld) dataNodes() (nodes []mirror.Node) {
	for i := range 3 {
		name := fmt.Sprint("d", i)
		nodes = append(nodes, mirror.Node{Name: name, Address: transport.Address(name), Region: "r", Zone: fmt.Sprint("z", i)})
	}
	return nodes
}

// sync brings a node's list up to date with the store.
func (n *worldNode) sync() error {
	if n.noStore {
		return errDown
	}
	after := n.table.Revision("engines")
	delta := mirror.Delta{Kind: "engines", Since: after, Revision: n.world.revision, IsSnapshot: after == 0}
	if delta.IsSnapshot {
		for _, name := range n.world.listed() {
			delta.Objects = append(delta.Objects, mirror.Object{Name: name, Revision: n.world.revision})
		}
	} else {
		latest := map[string]mirror.Object{} // as the store tells of changes
		for _, object := range n.world.changes {
			if object.Revision > after {
				latest[object.Name] = object
			}
		}
		delta.Objects = slices.Collect(maps.Values(latest))
	}
	n.table.Merge(delta)
	n.confirmed = clock.Now()
	n.tracker.changed("engines")
	n.tracker.refresh()
	return nil
}

// engine returns an engine that the node would use: any that it knows and that runs, of a release if one is
// given.
func (n *worldNode) engine(release catalog.Release, pick func(count int) int) (catalog.Engine, bool) {
	engines := slices.DeleteFunc(slices.Clone(n.tracker.Snapshot().Engines()), func(e catalog.Engine) bool {
		return !n.world.runs(e.ID) || release != (catalog.Release{}) && e.Release() != release
	})
	if len(engines) == 0 {
		return catalog.Engine{}, false
	}
	return engines[pick(len(engines))], true
}

// worldSender sends for a node.
type worldSender struct{ from *worldNode }

func (s worldSender) reached(to transport.Address) *worldNode {
	peer := s.from.world.nodes[to]
	if peer == nil || peer.noPeers || s.from.noPeers && !peer.isFront {
		return nil
	}
	return peer
}

func (s worldSender) Call(ctx context.Context, to transport.Address, kind transport.Kind, payload []byte) ([]byte, error) {
	peer := s.reached(to)
	if peer == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if kind == kindOriginRelay {
		return peer.client.handleRelay(ctx, s.from.address, payload)
	}
	return peer.server.handleQuery(ctx, s.from.address, payload)
}

func (worldSender) Send(transport.Address, transport.Kind, []byte) {}

func (s worldSender) Datagram(to transport.Address, _ transport.Kind, payload []byte) error {
	if peer := s.reached(to); peer != nil && !s.from.world.loses {
		peer.server.handleRecord(s.from.address, payload)
	}
	return nil
}

// begin begins a stream at a front node.
func (w *originWorld) begin(front *worldNode, id string, pick func(count int) int) {
	engine, found := front.engine(catalog.Release{}, pick)
	if !found {
		return
	}
	now := clock.Now()
	front.client.began(&forward.Request{ID: id, Tenant: "tenant", Arrived: now, Deadline: now.Add(worldLife)}, streamRoute, engine.Release())
	w.streams[id] = &worldStream{release: engine.Release(), until: now.Add(worldLife)}
}

// resume continues a stream at a front node, by its name or without.
func (w *originWorld) resume(t *rapid.T, front *worldNode, id string, named bool, pick func(count int) int) {
	stream := w.streams[id]
	if stream == nil || !clock.Now().Before(stream.until) {
		return
	}
	request := &forward.Request{ID: fmt.Sprint(id, "+", w.served), Tenant: "tenant", LastEvent: 1, Arrived: clock.Now(), Deadline: stream.until}
	if named {
		request.Resumes = id
	}
	release, found := front.client.find(context.Background(), request, streamRoute)
	if !found {
		w.refused++
		return
	}
	w.served++
	if release != stream.release {
		t.Fatalf("%s continues at %v, begun at %v", id, release, stream.release)
	}
	if _, found := front.engine(release, pick); found {
		front.client.began(request, streamRoute, release)
	}
}

// Streams begin and are continued at any front node, while engines of several releases join and leave, nodes are
// cut off from the store and from each other, learn of changes late, and start anew, and datagrams are
// lost. A continued stream always gets the release that began it.
func TestContinuedStreamsGetTheirReleaseWhileNodesAreOutOfStep(t *testing.T) {
	// Single rules that are off show after some hundred sequences.
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == checks.DefValue {
		defer func() { _ = checks.Value.Set(checks.DefValue) }()
		_ = checks.Value.Set("1500")
	}
	synctest.Test(t, func(t *testing.T) {
		served, refused := 0, 0
		// The interface hides the deadline, which a bubble doesn't allow to ask for.
		rapid.Check(struct{ rapid.TB }{t}, func(t *rapid.T) {
			w := newOriginWorld()
			node := func(t *rapid.T, kinds string) *worldNode {
				kind := rapid.SampledFrom(strings.Split(kinds, "")).Draw(t, "kind")
				return w.nodes[transport.Address(kind+fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "node")))]
			}
			pick := func(t *rapid.T) func(count int) int {
				return func(count int) int { return rapid.IntRange(0, count-1).Draw(t, "engine") }
			}
			id := func(t *rapid.T) string { return fmt.Sprint("r", rapid.IntRange(0, 5).Draw(t, "stream")) }
			joined := 0
			t.Repeat(map[string]func(*rapid.T){
				"join": func(t *rapid.T) {
					joined++
					w.write(fmt.Sprintf("v%d.%d", rapid.IntRange(1, 3).Draw(t, "version"), joined), false)
				},
				"leave": func(t *rapid.T) {
					if listed := w.listed(); len(listed) > 0 {
						w.write(rapid.SampledFrom(listed).Draw(t, "leaves"), true)
					}
				},
				"sync":    func(t *rapid.T) { _ = node(t, "df").sync() },
				"syncAll": func(*rapid.T) { w.syncAll() },
				"pass": func(t *rapid.T) {
					time.Sleep(time.Duration(rapid.SampledFrom([]int{50, 500, 1500, 4000, 9000}).Draw(t, "milliseconds")) * time.Millisecond)
				},
				"cutStore": func(t *rapid.T) { n := node(t, "df"); n.noStore = !n.noStore },
				"cutPeers": func(t *rapid.T) { n := node(t, "df"); n.noPeers = !n.noPeers },
				"heal": func(*rapid.T) {
					for _, n := range w.nodes {
						n.noStore, n.noPeers = false, false
					}
				},
				"restart": func(t *rapid.T) { n := node(t, "df"); w.start(n.address, n.isFront) },
				"lose":    func(*rapid.T) { w.loses = !w.loses },
				"begin": func(t *rapid.T) {
					name := fmt.Sprint(id(t))
					if stream := w.streams[name]; stream == nil || clock.Now().After(stream.until.Add(2*time.Minute)) {
						w.begin(node(t, "f"), name, pick(t))
					}
				},
				"continue":        func(t *rapid.T) { w.resume(t, node(t, "f"), id(t), true, pick(t)) },
				"continueUnnamed": func(t *rapid.T) { w.resume(t, node(t, "f"), id(t), false, pick(t)) },
			})
			served, refused = served+w.served, refused+w.refused
		})
		if served == 0 || refused == 0 {
			t.Errorf("%d continued streams were served, %d refused", served, refused)
		}
	})
}

func (w *originWorld) syncAll() {
	for _, address := range slices.Sorted(maps.Keys(w.nodes)) {
		_ = w.nodes[address].sync()
	}
}
