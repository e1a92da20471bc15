// Package tracker drives the registry of engines: it polls engines, sends and
// receives messages, reads the store when elected, and publishes the snapshot
// that routing reads.
package tracker

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/fleet/announce"
	"chutelock.dev/chutelock/internal/fleet/registry"
	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/transport"
)

// Message kinds of the fleet.
const (
	KindDatagram = transport.KindFleet + 1
	KindAnnounce = transport.KindFleet + 2
	KindPull     = transport.KindFleet + 3
)

const (
	tickInterval     = 50 * time.Millisecond
	snapshotInterval = 100 * time.Millisecond
	announceInterval = 100 * time.Millisecond
	pollTimeout      = 600 * time.Millisecond
	pullTimeout      = 2 * time.Second
	workers          = 16
	workQueue        = 256
	// staleSnapshot is the age of the last tick at which the snapshot is no
	// longer served, because the process was paused.
	staleSnapshot = 3 * time.Second
	// idleClient is how long an unused client is kept for an engine that is
	// not in the snapshot.
	idleClient    = 10 * time.Minute
	pruneInterval = time.Minute
)

// Config configures a tracker.
type Config struct {
	Registry registry.Config
	Members  membership.Source
	Sender   transport.Sender
	Receiver transport.Receiver
	// Store and Machines are used only while this node is elected to read
	// them; if nil, it never reads them.
	Store    platform.Store
	Machines platform.Machines
	// Dial returns a client of the engine at "ip:port".
	Dial func(address string) engine.Client
	// Listener receives the events of this node's engines; may be nil.
	Listener fleet.HomeListener
	// OnMachines receives the machine list when it was read; may be nil.
	OnMachines func([]platform.Machine)
}

// Tracker implements fleet.Source, fleet.Clients, fleet.OnlineObserver and
// fleet.FailureObserver. Other than Run, its exported methods are safe for
// concurrent use.
type Tracker struct {
	config   Config
	work     pond.Pool
	snapshot atomic.Pointer[fleet.Snapshot]
	empty    *fleet.Snapshot
	lastTick atomic.Int64 // Unix nanoseconds

	// delivery serializes the home events. It is acquired before mutex and
	// held while the listener runs.
	delivery sync.Mutex
	// mutex guards registry, events and nextSnapshot; nothing is sent while it
	// is held. view, nextAnnounce and nextPrune belong to the goroutine of
	// Run.
	mutex        sync.Mutex
	registry     *registry.Registry
	view         *membership.View
	events       []fleet.HomeEvent
	nextSnapshot time.Time
	nextAnnounce time.Time
	nextPrune    time.Time

	// announceMutex guards queue; no other lock is acquired while it is held.
	// Callers of OnlineStarted and OnlineFinished may hold theirs.
	announceMutex sync.Mutex
	queue         *announce.Queue

	// clientMutex guards clients; the tracker acquires no other lock while it is
	// held. Callers of Client may hold theirs.
	clientMutex sync.Mutex
	clients     map[string]*sharedClient

	reader reader
}

type sharedClient struct {
	client engine.Client
	used   time.Time
}

var (
	_ fleet.Source          = (*Tracker)(nil)
	_ fleet.Clients         = (*Tracker)(nil)
	_ fleet.OnlineObserver  = (*Tracker)(nil)
	_ fleet.FailureObserver = (*Tracker)(nil)
)

// New returns a tracker and registers its message handlers; Run starts it.
func New(config Config) *Tracker {
	now := time.Now()
	config.Registry.Self = config.Members.Self()
	if config.Registry.Seed == 0 {
		config.Registry.Seed = uint64(now.UnixNano())
	}
	tracker := &Tracker{
		config:   config,
		work:     pond.NewPool(workers, pond.WithQueueSize(workQueue), pond.WithNonBlocking(true)),
		empty:    &fleet.Snapshot{},
		registry: registry.New(config.Registry, now),
		queue:    announce.NewQueue(),
		clients:  map[string]*sharedClient{},
	}
	tracker.reader.tracker = tracker
	tracker.snapshot.Store(tracker.empty)
	config.Receiver.HandleDatagram(KindDatagram, tracker.handleDatagram)
	config.Receiver.HandleDatagram(KindAnnounce, tracker.handleAnnounce)
	config.Receiver.HandleCall(KindPull, tracker.handlePull)
	return tracker
}

// Run drives the tracker until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer t.work.StopAndWait()
	defer t.reader.stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.tick(ctx, time.Now())
		}
	}
}

func (t *Tracker) tick(ctx context.Context, now time.Time) {
	if view := t.config.Members.View(); view != t.view {
		t.view = view
		t.step(ctx, func(now time.Time) registry.Output { return t.registry.SetView(now, view) })
		t.announceMutex.Lock()
		t.queue.SetPeers(now, len(view.LiveInZone(t.config.Registry.Self.Zone))-1)
		t.announceMutex.Unlock()
	}
	t.step(ctx, func(now time.Time) registry.Output { return t.registry.Tick(now) })
	t.lastTick.Store(now.UnixNano())
	t.reader.elect(ctx, now, t.view)
	if !now.Before(t.nextAnnounce) {
		t.nextAnnounce = now.Add(announceInterval)
		t.announceMutex.Lock()
		datagrams := t.queue.Tick(now)
		t.announceMutex.Unlock()
		t.sendAnnouncements(datagrams)
	}
	if !now.Before(t.nextPrune) {
		t.nextPrune = now.Add(pruneInterval)
		t.pruneClients(now)
	}
}

// step calls the registry under the mutex and executes its output.
func (t *Tracker) step(ctx context.Context, run func(now time.Time) registry.Output) {
	now := time.Now()
	t.mutex.Lock()
	output := run(now)
	t.events = append(t.events, output.HomeEvents...)
	if len(output.Decisions) > 0 || !now.Before(t.nextSnapshot) {
		t.nextSnapshot = now.Add(snapshotInterval)
		if snapshot := t.registry.Snapshot(now); snapshot != nil {
			t.snapshot.Store(snapshot)
		}
	}
	t.mutex.Unlock()

	t.deliver(now)
	for _, decision := range output.Decisions {
		decisionEvents[decision.Kind].Info("engine", decision.Engine, "zone", decision.Zone,
			"sources", decision.Sources.Names(), "peer", decision.Peer, "revision", decision.Revision)
	}
	for _, datagram := range output.Datagrams {
		// Datagrams may be lost anyway; the registry repeats important ones.
		_ = t.config.Sender.Datagram(datagram.To, KindDatagram, datagram.Payload)
	}
	for _, pull := range output.Pulls {
		t.work.Submit(func() { t.pull(ctx, pull) })
	}
	for _, poll := range output.Polls {
		t.startPoll(ctx, poll)
	}
}

// deliver passes the home events to the listener in order.
func (t *Tracker) deliver(now time.Time) {
	if t.config.Listener == nil {
		return
	}
	t.delivery.Lock()
	defer t.delivery.Unlock()
	t.mutex.Lock()
	events := t.events
	t.events = nil
	t.mutex.Unlock()
	for _, event := range events {
		t.config.Listener(now, event)
	}
}

func (t *Tracker) startPoll(ctx context.Context, poll registry.Poll) {
	_, accepted := t.work.TrySubmit(func() { t.poll(ctx, poll.Endpoint) })
	if !accepted {
		t.finishPoll(ctx, poll.Endpoint, engine.Load{}, trace.LimitExceeded("the queue of polls is full"))
	}
}

func (t *Tracker) poll(ctx context.Context, endpoint *fleet.Endpoint) {
	limited, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := t.Client(endpoint).Load(limited)
	if ctx.Err() != nil {
		return
	}
	t.finishPoll(ctx, endpoint, load, err)
}

func (t *Tracker) finishPoll(ctx context.Context, endpoint *fleet.Endpoint, load engine.Load, err error) {
	t.step(ctx, func(now time.Time) registry.Output { return t.registry.HandleLoad(now, endpoint.Name, load, err) })
}

func (t *Tracker) pull(ctx context.Context, pull registry.Pull) {
	limited, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	answer, err := t.config.Sender.Call(limited, pull.To, KindPull, pull.Payload)
	if err != nil {
		return // the registry retries
	}
	t.step(ctx, func(now time.Time) registry.Output {
		output, failure := t.registry.HandlePullAnswer(now, pull.To, answer)
		err = failure
		return output
	})
	t.reject(pull.To, err)
}

func (t *Tracker) handleDatagram(from transport.Address, payload []byte) {
	var err error
	t.step(context.Background(), func(now time.Time) registry.Output {
		output, failure := t.registry.HandleDatagram(now, from, payload)
		err = failure
		return output
	})
	t.reject(from, err)
}

func (t *Tracker) handleAnnounce(from transport.Address, payload []byte) {
	records, err := announce.Decode(payload)
	if err != nil {
		t.reject(from, err)
		return
	}
	t.applyAnnouncements(records)
}

func (t *Tracker) applyAnnouncements(records []announce.Record) {
	t.step(context.Background(), func(now time.Time) registry.Output {
		return t.registry.HandleAnnouncements(now, records)
	})
}

func (t *Tracker) handlePull(_ context.Context, from transport.Address, payload []byte) ([]byte, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	answer, err := t.registry.HandlePull(time.Now(), payload)
	return answer, trace.Wrap(err, "fleet pull by %s", from)
}

func (t *Tracker) reject(from transport.Address, err error) {
	if err != nil {
		eventBadMessage.Error(err, "peer", string(from))
	}
}

// Snapshot returns the newest snapshot. It is empty while the node's view is
// incomplete, and right after a pause.
func (t *Tracker) Snapshot() *fleet.Snapshot {
	if last := t.lastTick.Load(); last != 0 && time.Now().UnixNano()-last > int64(staleSnapshot) {
		return t.empty
	}
	return t.snapshot.Load()
}

// Ready reports whether the node's view of the engines is complete.
func (t *Tracker) Ready() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.registry.Ready()
}

// Inspect runs a query on the registry under the mutex; the query must not
// retain the registry.
func (t *Tracker) Inspect(query func(now time.Time, registry *registry.Registry)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	query(time.Now(), t.registry)
}

// Reading reports whether this node reads the store for its region.
func (t *Tracker) Reading() bool { return t.reader.running.Load() }

// Client returns the client of an endpoint, shared by all callers.
func (t *Tracker) Client(endpoint *fleet.Endpoint) engine.Client {
	t.clientMutex.Lock()
	defer t.clientMutex.Unlock()
	shared, known := t.clients[endpoint.Address]
	if !known {
		shared = &sharedClient{client: t.config.Dial(endpoint.Address)}
		t.clients[endpoint.Address] = shared
	}
	shared.used = time.Now()
	return shared.client
}

// pruneClients drops idle clients of engines that are not in the snapshot.
func (t *Tracker) pruneClients(now time.Time) {
	listed := map[string]bool{}
	for _, endpoint := range t.snapshot.Load().Endpoints {
		listed[endpoint.Address] = true
	}
	t.clientMutex.Lock()
	defer t.clientMutex.Unlock()
	for address, shared := range t.clients {
		if !listed[address] && now.Sub(shared.used) > idleClient {
			delete(t.clients, address)
		}
	}
}

// OnlineStarted announces an online request to the engine's home.
func (t *Tracker) OnlineStarted(endpoint *fleet.Endpoint, requestID string, promptTokens int) {
	record := announcement(endpoint, requestID)
	record.PromptTokens = uint32(max(promptTokens, 0))
	record.Started = true
	home, local := t.homeOf(endpoint)
	if local {
		t.applyAnnouncements([]announce.Record{record})
		return
	}
	if home == "" {
		return
	}
	t.announceMutex.Lock()
	datagrams := t.queue.Started(time.Now(), home, record)
	t.announceMutex.Unlock()
	t.sendAnnouncements(datagrams)
}

// OnlineFinished queues the end of a request for the engine's home.
func (t *Tracker) OnlineFinished(endpoint *fleet.Endpoint, requestID string) {
	record := announcement(endpoint, requestID)
	home, local := t.homeOf(endpoint)
	if local {
		t.applyAnnouncements([]announce.Record{record})
		return
	}
	if home == "" {
		return
	}
	t.announceMutex.Lock()
	defer t.announceMutex.Unlock()
	t.queue.Finished(home, record)
}

func announcement(endpoint *fleet.Endpoint, requestID string) announce.Record {
	return announce.Record{Engine: registry.EngineID(endpoint.Name), Request: announce.RequestID(requestID)}
}

func (t *Tracker) homeOf(endpoint *fleet.Endpoint) (home transport.Address, local bool) {
	if endpoint.Home == t.config.Registry.Self.Name {
		return "", true
	}
	member, _ := t.config.Members.View().Member(endpoint.Home)
	return member.Address, false
}

func (t *Tracker) sendAnnouncements(datagrams []announce.Datagram) {
	for _, datagram := range datagrams {
		_ = t.config.Sender.Datagram(datagram.Home, KindAnnounce, datagram.Payload)
	}
}

// EngineFailed asks the engine's home to poll it at once.
func (t *Tracker) EngineFailed(endpoint *fleet.Endpoint) {
	t.step(context.Background(), func(now time.Time) registry.Output {
		return t.registry.EngineFailed(now, endpoint.Name)
	})
}
