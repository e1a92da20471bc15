package balance

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/telemetry"
	"chutelock.dev/chutelock/internal/upstream"
)

var eventEngineAside = telemetry.Define(2101, "engine-aside", "An engine failed a request and gets no others for a while.")

// recheckInterval is how often waiting requests look for room again, as requests of other
// nodes end too.
const recheckInterval = 10 * time.Millisecond

// ErrNoRoom is returned when no engine had room within the allowed wait.
var ErrNoRoom = errors.New("balance: no engine has room")

// ErrNoEngine is returned when the service has no usable engine. Requests don't wait then: an
// engine has to start, or a zone's drain has to end, first.
var ErrNoEngine = errors.New("balance: the service has no engine")

// Balancer assigns requests to engines. It is safe for concurrent use.
type Balancer struct {
	snapshot func() *catalog.Snapshot
	// Permit is called before a request is sent to a paced engine; nil disables pacing. It
	// must be set before the balancer is used.
	Permit func(ctx context.Context, request PermitRequest) Permission
	// UseSpeeds reports whether choices follow the engines' speeds; nil means they don't. It
	// must be set before the balancer is used and may call EnginesShareMachines.
	UseSpeeds func() bool
	// StreamsMoved is the number of streams that moved to a faster engine.
	StreamsMoved atomic.Int64
	// preemptions holds a token when an online request went to an engine where batch work has
	// to be preempted.
	preemptions chan struct{}

	mutex   sync.Mutex                    // guards the fields below; no other lock is taken while it is held
	table   *Table                        // the pointer doesn't change
	credits map[string]map[string]float64 // by route and service: credit of the smooth weighted round robin
	waiting []*waiter                     // ordered by priority, then arrival
}

type waiter struct {
	service  string
	priority int
	wake     chan struct{} // capacity 1
	// hasPlace is set if the request has a place already; then it holds up no others.
	hasPlace bool
}

// New returns a balancer that reads the current catalog from snapshot.
func New(snapshot func() *catalog.Snapshot) *Balancer {
	return &Balancer{snapshot: snapshot, preemptions: make(chan struct{}, 1), table: NewTable(), credits: map[string]map[string]float64{}}
}

// Service returns the next backend of a route by smooth weighted round robin.
func (b *Balancer) Service(route *catalog.Route) string {
	if len(route.Backends) == 1 {
		return route.Backends[0].Service
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	credits := b.credits[route.Name]
	if credits == nil {
		credits = map[string]float64{}
		b.credits[route.Name] = credits
	}
	total := 0.0
	best := ""
	for _, backend := range route.Backends {
		total += backend.Weight
		credits[backend.Service] += backend.Weight
	}
	for _, backend := range route.Backends {
		if best == "" || credits[backend.Service] > credits[best] {
			best = backend.Service
		}
	}
	credits[best] -= total
	return best
}

// Lease is a request's reservation at an engine. Its exported methods may be called repeatedly.
type Lease struct {
	Engine catalog.Engine

	balancer     *Balancer
	class        Class
	startedAt    time.Time
	paced        bool      // the engine was paced when it was chosen; implies balancer.Permit != nil
	permitExpiry time.Time // end of the permit's validity
	prefilledAt  time.Time // first event received; guarded by the balancer's mutex
	unreadTokens int       // prompt tokens not read yet; guarded by the balancer's mutex
	events       int       // received; set by RecordEvents, guarded by the balancer's mutex
	// slowness is the engine's when its first event arrived; guarded by the balancer's mutex.
	slowness float64
	released bool
	// awaits is set for online requests, of which isStream tells whether the answer comes in pieces.
	awaits, isStream bool
}

// Acquire reserves a place at an engine for the wish, counted until it is released. It waits
// for room up to wait; lower priority numbers are served first. Before each recheck it calls
// refresh, if not nil, to update the peers' load: with stale load, all waiting requests would
// take the same free slot.
func (b *Balancer) Acquire(ctx context.Context, wish Wish, priority int, wait time.Duration, refresh func(context.Context)) (*Lease, error) {
	lease, found := b.acquirePermitted(ctx, wish, b.best(wish), nil, priority)
	if found {
		return lease, nil
	}
	if err := b.rejection(wish, wait); err != nil {
		return nil, err
	}
	return b.waitForRoom(ctx, wish, priority, wait, refresh)
}

// rejection returns the error if waiting up to wait can't succeed: no engine may serve the
// wish, wait isn't positive, or all engines are paced for longer than wait. Otherwise it
// returns nil.
func (b *Balancer) rejection(wish Wish, wait time.Duration) error {
	if err := b.noEngineError(wish); err != nil {
		return err
	}
	err := b.noRoomError(wish)
	var paced *PaceError
	if wait <= 0 || errors.As(err, &paced) && paced.RetryAfter > wait {
		return err
	}
	return nil
}

// PrefillDone records that the engine has read the request's prompt, that is, its first event
// arrived. It may be called for each event, and implies Heard.
func (l *Lease) PrefillDone() {
	l.balancer.mutex.Lock()
	defer l.balancer.mutex.Unlock()
	if l.prefilledAt.IsZero() {
		l.prefilledAt = clock.Now()
		l.slowness = l.balancer.table.speeds.SlownessAt(l.balancer.table.speedKey(l.Engine.ID), l.prefilledAt)
	}
	l.balancer.table.Heard(l.Engine.ID, clock.Now())
	l.clearUnread()
}

func (l *Lease) clearUnread() {
	if l.unreadTokens > 0 {
		l.balancer.table.PrefillDone(l.Engine.ID, l.unreadTokens, clock.Now())
		l.unreadTokens = 0
	}
}

// Release gives up the place of a request that ended normally.
func (l *Lease) Release() {
	b := l.balancer
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if l.released {
		return
	}
	l.released = true
	l.clearUnread()
	now := clock.Now()
	l.end(now)
	if l.class == ClassOnline {
		b.table.RecordResidence(now.Sub(l.startedAt))
		if !l.prefilledAt.IsZero() {
			b.table.RecordHold(now.Sub(l.prefilledAt))
			b.table.RecordServiceHold(l.Engine, now.Sub(l.prefilledAt), l.events, now)
		}
	}
}

// ReleaseFailed gives up the place of a request that its engine failed, but only once the
// mean hold time has passed since its start. Otherwise an engine that fails requests at once
// would look idle to all nodes and attract most requests.
func (l *Lease) ReleaseFailed() {
	b := l.balancer
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if l.released {
		return
	}
	l.released = true
	l.clearUnread()
	time.AfterFunc(max(0, b.table.meanHold-clock.Since(l.startedAt)), func() {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		l.end(clock.Now())
	})
}

// end removes the lease from the counts and wakes the first waiter; the caller holds the
// balancer's mutex.
func (l *Lease) end(now time.Time) {
	b := l.balancer
	b.table.End(l.Engine.ID, l.class, now)
	l.stopAwaiting(now)
	if len(b.waiting) > 0 {
		select {
		case b.waiting[0].wake <- struct{}{}:
		default:
		}
	}
}

// chooser chooses an engine with the mutex held.
type chooser func(snapshot *catalog.Snapshot, now time.Time) (catalog.Engine, bool)

// best returns the choice of the best engine for a wish.
func (b *Balancer) best(wish Wish) chooser {
	return func(snapshot *catalog.Snapshot, now time.Time) (catalog.Engine, bool) {
		return b.table.Choose(snapshot, wish, now, rand.Float64)
	}
}

// tryAcquire reserves the engine that choose returns, unless a request of higher priority waits for the
// same service.
func (b *Balancer) tryAcquire(wish Wish, choose chooser, self *waiter, priority int) (*Lease, bool) {
	snapshot := b.snapshot()
	useSpeeds := b.usesSpeeds()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.table.useSpeeds = useSpeeds
	for _, other := range b.waiting {
		if other == self {
			break
		}
		if other.service == wish.Service && other.priority < priority && !other.hasPlace {
			return nil, false
		}
	}
	now := clock.Now()
	engine, found := choose(snapshot, now)
	if !found {
		return nil, false
	}
	lease := &Lease{Engine: engine, balancer: b, class: wish.Class, startedAt: now, unreadTokens: b.table.unreadTokens(snapshot, wish, engine)}
	lease.paced = b.Permit != nil && engine.Paced(now)
	b.table.Begin(engine.ID, wish.Class, lease.unreadTokens, now)
	lease.await(wish, now)
	if !lease.paced {
		b.signalPreemptionFor(lease, now)
	}
	return lease, true
}

// signalPreemptionFor signals if batch work has to be preempted for an online lease; the
// caller holds the mutex.
func (b *Balancer) signalPreemptionFor(lease *Lease, now time.Time) {
	if lease.class == ClassOnline && b.table.needsPreemption(lease.Engine, now) {
		b.signalPreemption()
	}
}

// Preemptions receives a value after an online request went to an engine where batch work has
// to be preempted, so that it can be preempted at once.
func (b *Balancer) Preemptions() <-chan struct{} { return b.preemptions }

func (b *Balancer) signalPreemption() {
	select {
	case b.preemptions <- struct{}{}:
	default:
	}
}

// waitForRoom waits for an engine with room. It stops early once rejection finds that the
// rest of the wait can't succeed.
func (b *Balancer) waitForRoom(ctx context.Context, wish Wish, priority int, wait time.Duration, refresh func(context.Context)) (*Lease, error) {
	self := b.enqueue(&waiter{service: wish.Service, priority: priority})
	defer b.dequeue(self)
	started, budget := clock.Now(), wish.Wait
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, ErrNoRoom
		case <-timeout.C:
			return nil, b.noRoomError(wish)
		case <-recheck.C:
		case <-self.wake:
		}
		if refresh != nil {
			refresh(ctx)
		}
		if budget > 0 {
			wish.Wait = max(1, budget-clock.Since(started))
		}
		if lease, found := b.acquirePermitted(ctx, wish, b.best(wish), self, priority); found {
			return lease, nil
		}
		// At least 1, as the timer reports the end of the wait.
		if err := b.rejection(wish, max(1, wait-clock.Since(started))); err != nil {
			return nil, err
		}
	}
}

func (b *Balancer) enqueue(self *waiter) *waiter {
	self.wake = make(chan struct{}, 1)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	at := sort.Search(len(b.waiting), func(i int) bool { return b.waiting[i].priority > self.priority })
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

// Waiting returns the number of requests that wait for an engine and have none.
func (b *Balancer) Waiting() (count int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, waiting := range b.waiting {
		if !waiting.hasPlace {
			count++
		}
	}
	return count
}

// RecordReport records the load that an engine reported.
func (b *Balancer) RecordReport(id string, load upstream.Load) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.table.RecordReport(id, load, clock.Now())
}

// RecordConnect records how long opening a connection to an engine took.
func (b *Balancer) RecordConnect(id string, took time.Duration) {
	engine, found := b.snapshot().Engine(id)
	if !found {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.table.zoneRTTs.record(engine.Zone, took, clock.Now())
}

// RecordSuccess records that an engine answered and ends its ejection.
func (b *Balancer) RecordSuccess(id string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.table.RecordSuccess(id, clock.Now())
}

// RecordFailure ejects an engine for a while.
func (b *Balancer) RecordFailure(id string, cause error) {
	b.mutex.Lock()
	pause := b.table.RecordFailure(id, clock.Now())
	b.mutex.Unlock()
	eventEngineAside.Info("engine", id, "pause", pause, "cause", cause)
}

// RecordRefusal records that an engine refused a request as it is full.
func (b *Balancer) RecordRefusal(id string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.table.RecordRefusal(id, clock.Now())
}

// OwnReport returns this node's own load report.
func (b *Balancer) OwnReport() Report {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.table.OwnReport(clock.Now())
}

// OwnByZone counts this node's requests in flight at engines of the given zones, by zone.
func (b *Balancer) OwnByZone(zones []string) map[string]Counts {
	if len(zones) == 0 {
		return nil
	}
	snapshot := b.snapshot()
	counts := map[string]Counts{}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for id, state := range b.table.engines {
		engine, found := snapshot.Engine(id)
		if !found || !slices.Contains(zones, engine.Zone) {
			continue
		}
		total := counts[engine.Zone]
		for class, count := range state.own {
			total[class] += count
		}
		counts[engine.Zone] = total
	}
	return counts
}

// OwnByRelease counts this node's requests in flight by the release of their engines.
func (b *Balancer) OwnByRelease() map[catalog.Release]Counts {
	snapshot := b.snapshot()
	counts := map[catalog.Release]Counts{}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for id, state := range b.table.engines {
		engine, found := snapshot.Engine(id)
		if !found || state.total() == 0 {
			continue
		}
		total := counts[engine.Release()]
		for class, count := range state.own {
			total[class] += count
		}
		counts[engine.Release()] = total
	}
	return counts
}

// TotalReport returns the load of all nodes, as far as known here.
func (b *Balancer) TotalReport() Report {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.table.TotalReport(clock.Now())
}

// SetPeerLoad records the load report of a peer, or the sum of all peers' reports.
func (b *Balancer) SetPeerLoad(peer string, report Report) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.table.SetPeerLoad(peer, report, clock.Now())
}

// EnginesShareMachines reports whether an engine has told how much slower than usual it is, as
// engines do that share their machines with other work. It takes no lock.
func (b *Balancer) EnginesShareMachines() bool { return b.table.enginesShareMachines.Load() }

// MeanHold returns the mean time that online requests hold a slot.
func (b *Balancer) MeanHold() time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.table.MeanHold()
}

// RemovePeer drops a peer's load report.
func (b *Balancer) RemovePeer(peer string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.table.RemovePeer(peer)
}

// AnyPreemptionNeeded reports whether batch work of any node has to be preempted at some
// engine.
func (b *Balancer) AnyPreemptionNeeded() bool {
	snapshot := b.snapshot()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.table.AnyPreemptionNeeded(snapshot, clock.Now())
}

// Overfull lists the engines where batch work of this node has to be preempted.
func (b *Balancer) Overfull() []Overfull {
	snapshot := b.snapshot()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.table.Overfull(snapshot, clock.Now())
}

// Forget drops expired state.
func (b *Balancer) Forget() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.table.Forget(clock.Now())
}
