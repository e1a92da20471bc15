package poison

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/telemetry"
	"chutelock.dev/chutelock/internal/transport"
)

// Events about requests under which engines crash. Operators' tools match their
// names and attributes, which differ from the code's terms: "ended" and "ends" are crashes,
// "sound" is Record.Served.
var (
	eventCrashed      = telemetry.Define(2140, "engine-ended-under-request", "An engine crashed while it had a request; gives the number of engines that crashed while they had it.")
	eventHeld         = telemetry.Define(2141, "request-held-back", "A request has crashed so many engines that it is sent to no engine until the given time.")
	eventReleased     = telemetry.Define(2142, "request-released", "A request is no longer held back: an engine answered it, or its record was removed from the store.")
	eventNotPublished = telemetry.Define(2143, "poison-not-told", "No data node accepted the records of requests under which engines crashed; this node writes them to the store itself and reports them again.")
	eventNotStored    = telemetry.Define(2144, "poison-not-kept", "A record of a request under which engines crashed could not be written to the store or removed from it; this is retried.")
	eventUnreadable   = telemetry.Define(2145, "poison-message-unreadable", "A peer's records of requests under which engines crashed could not be decoded and are ignored.")
)

const (
	// batchDelay is how long records wait before they are published, so that all requests
	// of a crashed engine go into one message.
	batchDelay = 5 * time.Millisecond
	// retryDelay is the delay before failed reports and store writes are retried; for the
	// store it doubles up to maxRetryDelay.
	retryDelay    = 300 * time.Millisecond
	maxRetryDelay = 3 * time.Second
	// reconcileInterval is how often records are compared with the store and expired ones
	// deleted.
	reconcileInterval = 2 * time.Second
	// takeoverDelay is how long a data node waits for the one that received the report to
	// write the record before it writes the record itself. After 2 s or more, all nodes could
	// be killed after the third crash before any had written it.
	takeoverDelay = 500 * time.Millisecond
	// callTimeout bounds one call to a peer or to the store.
	callTimeout = time.Second
	// recheckDelay is when an engine that seemed to run right after a lost connection is
	// checked again, as its address may accept connections for a while after the crash.
	recheckDelay = 300 * time.Millisecond
	// maxRechecks bounds the requests that wait for a recheck.
	maxRechecks = 256
)

// Store keeps records across restarts of nodes.
type Store interface {
	// Save merges a record into the stored one.
	Save(ctx context.Context, record Record) error
	// Remove deletes a record of a request, or of a part of prompts, if it exists.
	Remove(ctx context.Context, f Fingerprint, isPart bool) error
	// GrantTrial adds a trial at the given time to the stored record of a part, in one step, and
	// reports whether one was due.
	GrantTrial(ctx context.Context, f Fingerprint, now time.Time) (granted bool, err error)
}

// Options configure a Guard.
type Options struct {
	// EngineCrashed reports whether the engine of a lost connection has crashed, that is,
	// ended without an announced shutdown. It delays the request's retry and must return
	// quickly.
	EngineCrashed func(ctx context.Context, engine catalog.Engine) bool
	// EngineServes reports whether an engine is known to serve on; nil means that all do.
	EngineServes func(ctx context.Context, engine catalog.Engine) bool
	// Report sends records to a data node, which spreads and stores them. It is nil on data
	// nodes and only there: the guard takes its role from that.
	Report func(ctx context.Context, records []Record) error
	// Spread sends records to the front nodes that this data node serves, and if
	// toDataNodes is set to all other data nodes. It is only called on data nodes.
	Spread func(records []Record, toDataNodes bool)
	Store  Store
	// Now returns the wall-clock time.
	Now func() time.Time
}

// Guard holds back poison requests at one node and shares their records with other nodes.
// Its methods may be called concurrently; a nil Guard holds nothing back.
type Guard struct {
	options Options
	cancel  context.CancelFunc
	running context.Context
	tasks   sync.WaitGroup
	// hasRecords and hasHoldable tell without the mutex whether the table has records, and
	// ones with enough crashes for a hold; if not, no fingerprints are computed.
	hasRecords, hasHoldable atomic.Bool
	// hasRechecks tells without the mutex whether rechecks are pending.
	hasRechecks atomic.Bool
	// watchesParts tells without the mutex whether parts of prompts are held back or may be.
	watchesParts atomic.Bool
	refused      atomic.Int64
	loaded       atomic.Bool

	mutex         sync.Mutex // guards the fields below; only telemetry's locks are taken under it
	table         *Table
	stored        map[Fingerprint]Record      // as last loaded from the store
	unpublished   map[Fingerprint]bool        // to be published; the value says whether to data nodes, too
	unsynced      map[Fingerprint]pendingSync // to be synced with the store
	publishReady  chan struct{}               // of capacity 1: unpublished is not empty
	syncReady     chan struct{}               // of capacity 1: unsynced is not empty
	storeAnswered chan struct{}               // of capacity 1: to retry early
	pacer         *retryPacer                 // of syncs with the store
	cancelCall    context.CancelFunc          // of the pending call of the store; nil without one
	// rechecks counts the engines to be rechecked by request.
	rechecks map[Fingerprint]int
	// clears are the parts whose answers are news for peers, with the time of the last crash before.
	clears map[Fingerprint]time.Time
	// trialAskedAt is when this node last asked for a trial of a part.
	trialAskedAt map[Fingerprint]time.Time
	decidedAt    time.Time // when it was last decided which parts to hold back
}

// pendingSync is a record that is to be synced with the store.
type pendingSync struct {
	from time.Time // when to sync
	// standIn is set if another node is to write the record first.
	standIn bool
}

// NewGuard returns a guard; it publishes and stores nothing before Start.
func NewGuard(options Options) *Guard {
	g := &Guard{
		options: options, table: NewTable(), stored: map[Fingerprint]Record{}, unpublished: map[Fingerprint]bool{},
		unsynced: map[Fingerprint]pendingSync{}, publishReady: make(chan struct{}, 1), syncReady: make(chan struct{}, 1),
		storeAnswered: make(chan struct{}, 1), pacer: newRetryPacer(), rechecks: map[Fingerprint]int{},
		clears: map[Fingerprint]time.Time{}, trialAskedAt: map[Fingerprint]time.Time{},
	}
	g.running, g.cancel = context.WithCancel(context.Background())
	return g
}

// Start starts publishing records and syncing them with the store.
func (g *Guard) Start() {
	g.tasks.Go(g.publishLoop)
	g.tasks.Go(g.syncLoop)
}

// Close stops the guard and waits for its goroutines.
func (g *Guard) Close() {
	g.mutex.Lock()
	g.cancel() // under the mutex, so that no recheck starts from here on
	g.mutex.Unlock()
	g.tasks.Wait()
}

// Held returns after what time a held request may be tried again; false if it may be sent. A
// request that may be held back is not sent while it is unknown whether it has crashed one more
// engine: it would crash several more before the first counts against it.
func (g *Guard) Held(fingerprint func() Fingerprint) (time.Duration, bool) {
	if g == nil || !g.hasHoldable.Load() {
		return 0, false
	}
	f, now := fingerprint(), g.options.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	left, held := g.table.RetryAfter(f, now)
	if !held && g.rechecks[f] > 0 && g.table.Holdable(f) {
		left, held = recheckDelay, true
	}
	if held {
		g.refused.Add(1)
	}
	return left, held
}

// LostConnection describes the loss of a connection on which an engine had a request.
type LostConnection struct {
	Engine  catalog.Engine
	Request string // request id
	// Answering is set if events of the answer had arrived.
	Answering   bool
	Fingerprint func() Fingerprint
	// Prompt has the shared parts of the request's prompt; may be nil.
	Prompt *Prompt
}

// EngineServes reports whether an engine is known not to have crashed.
func (g *Guard) EngineServes(ctx context.Context, engine catalog.Engine) bool {
	return g == nil || g.options.EngineServes == nil || g.options.EngineServes(ctx, engine)
}

// ConnectionLost records a crash against the request of a lost connection if the engine has
// crashed. It returns after the first check; an engine that seems to run is rechecked later.
func (g *Guard) ConnectionLost(ctx context.Context, lost LostConnection) {
	switch {
	case g == nil:
	case g.options.EngineCrashed(ctx, lost.Engine):
		g.recordCrash(lost.Fingerprint(), lost)
	default:
		g.scheduleRecheck(lost)
	}
}

// scheduleRecheck checks an engine again after recheckDelay. If any engine answers the
// request by then, no crash is recorded against it.
func (g *Guard) scheduleRecheck(lost LostConnection) {
	f := lost.Fingerprint()
	lost.Prompt = lost.Prompt.clone() // the request goes on with its own
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.running.Err() != nil || len(g.rechecks) >= maxRechecks {
		return
	}
	g.rechecks[f]++
	g.hasRechecks.Store(true)
	g.tasks.Go(func() {
		clock.Sleep(g.running, recheckDelay)
		if g.finishRecheck(f) && g.options.EngineCrashed(g.running, lost.Engine) {
			g.recordCrash(f, lost)
		}
	})
}

// finishRecheck removes one pending recheck of a request and reports whether there was one.
func (g *Guard) finishRecheck(f Fingerprint) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	waiting := g.rechecks[f]
	if waiting > 1 {
		g.rechecks[f] = waiting - 1
	} else {
		delete(g.rechecks, f)
	}
	g.hasRechecks.Store(len(g.rechecks) > 0)
	return waiting > 0
}

// recordCrash records the crash of an engine against its request.
func (g *Guard) recordCrash(f Fingerprint, lost LostConnection) {
	now := g.options.Now().Truncate(time.Millisecond)
	crash := Crash{Engine: lost.Engine.ID, Answering: lost.Answering}
	record := Record{Fingerprint: f, Crashes: []Crash{crash}, Last: now}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, record := range append(lost.Prompt.crashRecords(f, lost.Engine.ID, lost.Answering, now), record) {
		if g.merge(record) {
			g.schedulePublish(record.Fingerprint, true)
		}
	}
	g.holdGuiltyParts(now)
	merged, _ := g.table.Get(f)
	eventCrashed.Info("request", lost.Request, "fingerprint", f, "engine", lost.Engine.ID, "answering", lost.Answering,
		"ended", len(merged.Crashes), "sound", merged.Served, "parts", lost.Prompt.IDs())
}

// Served records that an engine answered a request completely.
func (g *Guard) Served(fingerprint func() Fingerprint) {
	if g == nil || !g.hasRecords.Load() && !g.hasRechecks.Load() {
		return
	}
	f := fingerprint()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.rechecks, f)
	record, found := g.table.Get(f)
	if !found || record.Served {
		return
	}
	if g.merge(Record{Fingerprint: f, Last: g.options.Now(), Served: true}) {
		g.schedulePublish(f, true)
	}
}

// Receive merges a peer's records. toDataNodes says that other data nodes need them, too,
// as they come from a front node.
func (g *Guard) Receive(from transport.Address, message []byte, toDataNodes bool) error {
	records, err := Unmarshal(message)
	return g.receive(from, records, err, toDataNodes)
}

// ReceiveParts is Receive for records of parts of prompts.
func (g *Guard) ReceiveParts(from transport.Address, message []byte, toDataNodes bool) error {
	records, err := UnmarshalParts(message)
	return g.receive(from, records, err, toDataNodes)
}

// receive merges decoded records; err is the error of decoding them.
func (g *Guard) receive(from transport.Address, records []Record, err error, toDataNodes bool) error {
	if err != nil {
		eventUnreadable.Error(err, "peer", from)
		return err
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for i := range records {
		if g.merge(records[i]) && g.options.Report == nil {
			g.schedulePublish(records[i].Fingerprint, toDataNodes)
		}
		g.heardOf(&records[i])
	}
	g.holdGuiltyParts(g.options.Now())
	return nil
}

// LoadRecords merges all records of the store. Those that the store no longer has are dropped:
// an operator removed them or they expired.
func (g *Guard) LoadRecords(records []Record) {
	now := g.options.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	defer g.loaded.Store(true)
	previous := g.stored
	g.stored = make(map[Fingerprint]Record, len(records))
	for i := range records {
		record := &records[i]
		g.stored[record.Fingerprint] = *record
		if now.Before(record.Last.Add(record.retention())) {
			g.merge(*record)
		}
	}
	g.holdGuiltyParts(now)
	for f := range previous {
		_, kept := g.stored[f]
		known, found := g.table.Get(f)
		if !kept && found && !known.Served {
			g.update(func() bool { g.table.Drop(f); return true }, f)
		}
	}
}

// Loaded reports whether LoadRecords has been called.
func (g *Guard) Loaded() bool { return g.loaded.Load() }

// merge adds a record to the table and reports whether that changed it. The caller holds
// the mutex, here and in update, schedulePublish, scheduleSync and isSynced.
func (g *Guard) merge(record Record) bool {
	return g.update(func() bool { return g.table.Merge(record) }, record.Fingerprint)
}

// update applies a change to a request's record and logs if the request becomes held back
// or is released by it.
func (g *Guard) update(apply func() bool, f Fingerprint) bool {
	now := g.options.Now()
	_, before := g.table.HeldUntil(f, now)
	changed := apply()
	until, after := g.table.HeldUntil(f, now)
	g.updateFlags()
	record, _ := g.table.Get(f)
	switch {
	case after && !before && record.IsPart():
		g.logPartHeld(f)
	case before && !after && record.IsPart():
		eventPartReleased.Info("part", record.Part, "fingerprint", f, "sound", len(record.suspectCrashes()) == 0)
	case after && !before:
		eventHeld.Info("fingerprint", f, "ends", record.Crashes, "until", until)
	case before && !after:
		eventReleased.Info("fingerprint", f, "ends", record.Crashes, "sound", record.Served)
	}
	return changed
}

// schedulePublish schedules a record for publishing, and on data nodes for a sync with the store.
func (g *Guard) schedulePublish(f Fingerprint, toDataNodes bool) {
	g.unpublished[f] = g.unpublished[f] || toDataNodes
	signal(g.publishReady)
	switch {
	case g.options.Report != nil: // data nodes write to the store
	case toDataNodes:
		g.scheduleSync(f, g.options.Now())
	default:
		g.scheduleSync(f, g.options.Now().Add(takeoverDelay))
	}
}

// scheduleSync schedules a sync of the stored record with the table, not before from. A later
// time than the present one means that another node is to write the record first.
func (g *Guard) scheduleSync(f Fingerprint, from time.Time) {
	if g.isSynced(f) {
		return
	}
	standIn := from.After(g.options.Now())
	pending, scheduled := g.unsynced[f]
	if !scheduled {
		pending = pendingSync{from, standIn}
	}
	pending.standIn = pending.standIn && standIn
	g.unsynced[f] = pending
	signal(g.syncReady)
}

// StoreAnswered tells that the store answered this node or another one, and for how long it
// had answered nobody. A failed sync is tried again soon, and a pending call that may have
// been lost is ended. After an outage of the store, records that other nodes are to save wait
// for takeoverDelay, so that not all nodes write at once.
func (g *Guard) StoreAnswered(silence time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.options.Now()
	if silence >= callTimeout {
		for f, pending := range g.unsynced {
			if pending.standIn {
				g.unsynced[f] = pendingSync{now.Add(takeoverDelay), true}
			}
		}
	}
	wait, early := g.pacer.storeAnswered(silence, g.cancelCall != nil, now)
	if !early {
		return
	}
	if g.cancelCall != nil {
		time.AfterFunc(wait, g.cancelCall)
	}
	signal(g.storeAnswered)
}

// isSynced reports whether the store, as last loaded, agrees with the table: it has the
// same crashes, or no record where the table has none to store.
func (g *Guard) isSynced(f Fingerprint) bool {
	record, _ := g.table.Get(f)
	stored, isStored := g.stored[f]
	if !g.belongsInStore(f) {
		return !isStored
	}
	return isStored && record.sameCrashes(&stored)
}

// belongsInStore reports whether the store should have a request's record. A record that
// it has stays there until the request is answered or the record expires.
func (g *Guard) belongsInStore(f Fingerprint) bool {
	if g.table.Persistent(f) {
		return true
	}
	record, _ := g.table.Get(f)
	_, isStored := g.stored[f]
	return isStored && len(record.suspectCrashes()) > 0
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// HeldBack returns the number of requests that are held back.
func (g *Guard) HeldBack() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.table.CountHeld(g.options.Now())
}

// Refused returns how many attempts to send a request were held back.
func (g *Guard) Refused() int64 { return g.refused.Load() }
