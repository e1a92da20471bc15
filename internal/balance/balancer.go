package balance

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/telemetry"
	"chutelock.dev/chutelock/internal/upstream"
)

var eventEngineAside = telemetry.Define(2101, "engine-aside", "An engine failed a request and gets no others for a while.")

// recheckInterval is how often waiting requests look again, as engines free up
// by other nodes' requests too.
const recheckInterval = 10 * time.Millisecond

// ErrNoRoom says that no engine had room within the allowed wait.
var ErrNoRoom = errors.New("balance: no engine has room")

// ErrNoEngine says that the service has no engine that may be used. Nobody waits for
// one: what is to serve it has to start, or to come back from a drained zone.
var ErrNoEngine = errors.New("balance: the service has no engine")

// Balancer may be used concurrently.
type Balancer struct {
	snapshot func() *catalog.Snapshot
	// Permit is asked before a request goes to an engine that is paced; nil if none is.
	// It is set before the balancer is used.
	Permit func(ctx context.Context, wanted Wanted) Permission
	// pressed holds a token once an online request went to an engine where batch
	// work has to make way.
	pressed chan struct{}

	mutex   sync.Mutex // guards what is below; a leaf
	table   *Table
	turns   map[string]map[string]float64 // route, service: credit of the smooth round robin
	waiting []*waiter                     // by priority, then arrival
}

type waiter struct {
	service  string
	priority int
	wake     chan struct{} // buffered by one
}

// New returns a balancer that reads the newest snapshot from the function.
func New(snapshot func() *catalog.Snapshot) *Balancer {
	return &Balancer{snapshot: snapshot, pressed: make(chan struct{}, 1), table: NewTable(), turns: map[string]map[string]float64{}}
}

// Service picks the backend of a route whose turn it is, so that each gets its
// share of the requests.
func (b *Balancer) Service(route *catalog.Route) string {
	if len(route.Backends) == 1 {
		return route.Backends[0].Service
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	turns := b.turns[route.Name]
	if turns == nil {
		turns = map[string]float64{}
		b.turns[route.Name] = turns
	}
	total := 0.0
	best := ""
	for _, backend := range route.Backends {
		total += backend.Weight
		turns[backend.Service] += backend.Weight
	}
	for _, backend := range route.Backends {
		if best == "" || turns[backend.Service] > turns[best] {
			best = backend.Service
		}
	}
	turns[best] -= total
	return best
}

// Lease is a request's place at an engine. Its methods may be called again
// without harm.
type Lease struct {
	Engine catalog.Engine

	balancer *Balancer
	class    Class
	begun    time.Time
	paced    bool      // it needs a permit
	permit   time.Time // until when the request may be sent to a paced engine
	readAt   time.Time // guarded by the balancer's mutex
	tokens   int       // not read yet; guarded by the balancer's mutex
	released bool
}

// Acquire returns a place at an engine for the wish; it counts there until it
// is released. It waits for room up to wait, the lowest priority number first. While
// it does, refresh, which may be nil, brings what other nodes have up to date before
// each look: by old figures all that wait take the same slot that got free.
func (b *Balancer) Acquire(ctx context.Context, wish Wish, priority int, wait time.Duration, refresh func(context.Context)) (*Lease, error) {
	lease, found := b.take(ctx, wish, nil, priority)
	if found {
		return lease, nil
	}
	if err := b.hopeless(wish, wait); err != nil {
		return nil, err
	}
	return b.await(ctx, wish, priority, wait, refresh)
}

// hopeless is why a wish gets no engine within a wait: there is none for it, none has room
// and it doesn't wait, or the pace of all of them allows nothing more for longer than that.
func (b *Balancer) hopeless(wish Wish, wait time.Duration) error {
	if err := b.noEngine(wish); err != nil {
		return err
	}
	err := b.noRoom(wish)
	var paced *PaceError
	if wait <= 0 || errors.As(err, &paced) && paced.After > wait {
		return err
	}
	return nil
}

// Read notes that the engine has read the request's prompt: its first event
// came.
func (l *Lease) Read() {
	l.balancer.mutex.Lock()
	defer l.balancer.mutex.Unlock()
	if l.readAt.IsZero() {
		l.readAt = clock.Now()
	}
	l.read()
}

func (l *Lease) read() {
	if l.tokens > 0 {
		l.balancer.table.Read(l.Engine.ID, l.tokens, clock.Now())
		l.tokens = 0
	}
}

// Release gives the place up.
func (l *Lease) Release() {
	b := l.balancer
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if l.released {
		return
	}
	l.released = true
	l.read()
	now := clock.Now()
	l.end(now)
	if l.class == ClassOnline {
		b.table.Took(now.Sub(l.begun))
		if !l.readAt.IsZero() {
			b.table.Ran(now.Sub(l.readAt))
		}
	}
}

// ReleaseFailed gives the place up of a request that its engine failed, but only when
// one that goes well would have ended: an engine that fails all requests at once would
// look idle to all nodes, and draw most requests. Of 72 engines 8 that did so for 7 s
// failed a tenth of a day's requests of 54 s, where their part is 0.015.
func (l *Lease) ReleaseFailed() {
	b := l.balancer
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if l.released {
		return
	}
	l.released = true
	l.read()
	time.AfterFunc(max(0, b.table.ran-clock.Since(l.begun)), func() {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		l.end(clock.Now())
	})
}

// end takes the place out of the counts; the caller holds the balancer's mutex.
func (l *Lease) end(now time.Time) {
	b := l.balancer
	b.table.End(l.Engine.ID, l.class, now)
	if len(b.waiting) > 0 {
		select {
		case b.waiting[0].wake <- struct{}{}:
		default:
		}
	}
}

// try takes an engine unless somebody more urgent is waiting for one of the service.
func (b *Balancer) try(wish Wish, self *waiter, priority int) (*Lease, bool) {
	snapshot := b.snapshot()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, other := range b.waiting {
		if other == self {
			break
		}
		if other.service == wish.Service && other.priority < priority {
			return nil, false
		}
	}
	now := clock.Now()
	engine, found := b.table.Choose(snapshot, wish, now, rand.Float64)
	if !found {
		return nil, false
	}
	lease := &Lease{Engine: engine, balancer: b, class: wish.Class, begun: now, tokens: b.table.unread(snapshot, wish, engine)}
	lease.paced = b.Permit != nil && engine.Paced(now)
	b.table.Begin(engine.ID, wish.Class, lease.tokens, now)
	if !lease.paced {
		b.pressFor(lease, now)
	}
	return lease, true
}

// pressFor lets batch work make way for a request that goes to its engine; the caller
// holds the mutex.
func (b *Balancer) pressFor(lease *Lease, now time.Time) {
	if lease.class == ClassOnline && b.table.pressed(lease.Engine, now) {
		b.press()
	}
}

// Pressed is ready once an online request went to an engine where batch work has
// to make way: who runs that has to hear of it at once.
func (b *Balancer) Pressed() <-chan struct{} { return b.pressed }

func (b *Balancer) press() {
	select {
	case b.pressed <- struct{}{}:
	default:
	}
}

// await waits for room, but not once all engines that the wish may go to are gone,
// drained, or cold and out by their pace for longer than is left of the wait.
func (b *Balancer) await(ctx context.Context, wish Wish, priority int, wait time.Duration, refresh func(context.Context)) (*Lease, error) {
	self := b.enqueue(wish.Service, priority)
	defer b.dequeue(self)
	started, budget := clock.Now(), wish.Wait
	limit := time.NewTimer(wait)
	defer limit.Stop()
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, ErrNoRoom
		case <-limit.C:
			return nil, b.noRoom(wish)
		case <-recheck.C:
		case <-self.wake:
		}
		if refresh != nil {
			refresh(ctx)
		}
		if budget > 0 {
			wish.Wait = max(1, budget-clock.Since(started))
		}
		if lease, found := b.take(ctx, wish, self, priority); found {
			return lease, nil
		}
		// Never 0, as the limit tells when the wait is over.
		if err := b.hopeless(wish, max(1, wait-clock.Since(started))); err != nil {
			return nil, err
		}
	}
}

func (b *Balancer) enqueue(service string, priority int) *waiter {
	self := &waiter{service: service, priority: priority, wake: make(chan struct{}, 1)}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	at := sort.Search(len(b.waiting), func(i int) bool { return b.waiting[i].priority > priority })
	b.waiting = append(b.waiting, nil)
	copy(b.waiting[at+1:], b.waiting[at:])
	b.waiting[at] = self
	return self
}

func (b *Balancer) dequeue(self *waiter) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for i, other := range b.waiting {
		if other == self {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return
		}
	}
}

// Waiting is the number of requests that wait for an engine.
func (b *Balancer) Waiting() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.waiting)
}

// Reported takes an engine's own figures.
func (b *Balancer) Reported(id string, load upstream.Load) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.table.Reported(id, load, clock.Now())
}

// Connected notes how long it took to open a connection to an engine.
func (b *Balancer) Connected(id string, took time.Duration) {
	engine, found := b.snapshot().Engine(id)
	if !found {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.table.distances.note(engine.Zone, took, clock.Now())
}

// Succeeded notes that an engine answered.
func (b *Balancer) Succeeded(id string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.table.Succeeded(id, clock.Now())
}

// Failed sets an engine aside for a while.
func (b *Balancer) Failed(id string, cause error) {
	b.mutex.Lock()
	pause := b.table.Failed(id, clock.Now())
	b.mutex.Unlock()
	eventEngineAside.Info("engine", id, "pause", pause, "cause", cause)
}

// Refused notes that an engine said it is full.
func (b *Balancer) Refused(id string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.table.Refused(id, clock.Now())
}

// Own returns what this node has under way.
func (b *Balancer) Own() Report {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.table.Own(clock.Now())
}

// OwnIn counts what this node has under way at engines of the zones, by zone.
func (b *Balancer) OwnIn(zones []string) map[string]Counts {
	if len(zones) == 0 {
		return nil
	}
	snapshot := b.snapshot()
	underWay := map[string]Counts{}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for id, state := range b.table.engines {
		engine, found := snapshot.Engine(id)
		if !found || !slices.Contains(zones, engine.Zone) {
			continue
		}
		total := underWay[engine.Zone]
		for class, count := range state.own {
			total[class] += count
		}
		underWay[engine.Zone] = total
	}
	return underWay
}

// All returns what all nodes have under way, as far as known here.
func (b *Balancer) All() Report {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.table.All(clock.Now())
}

// PeerLoad takes what another node, or all others together, have under way.
func (b *Balancer) PeerLoad(peer string, running Report) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.table.PeerLoad(peer, running, clock.Now())
}

// Ran is how long online requests hold a slot, on average.
func (b *Balancer) Ran() time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.table.MeanRun()
}

// PeerGone forgets what another node said.
func (b *Balancer) PeerGone(peer string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.table.PeerGone(peer)
}

// AnyPressed says that batch work of any node has to make way at some engine.
func (b *Balancer) AnyPressed() bool {
	snapshot := b.snapshot()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.table.AnyPressed(snapshot, clock.Now())
}

// Overfull lists the engines where batch work of this node has to make way.
func (b *Balancer) Overfull() []Overfull {
	snapshot := b.snapshot()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.table.Overfull(snapshot, clock.Now())
}

// Forget drops what is out of date.
func (b *Balancer) Forget() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.table.Forget(clock.Now())
}
