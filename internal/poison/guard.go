package poison

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/telemetry"
	"chutelock.dev/chutelock/internal/transport"
)

// Events of requests under which engines end.
var (
	eventEnded      = telemetry.Define(2140, "engine-ended-under-request", "An engine ended while it had a request; says how many have ended while they had it.")
	eventHeld       = telemetry.Define(2141, "request-held-back", "A request has ended so many engines that it gets to no further one until the time given.")
	eventReleased   = telemetry.Define(2142, "request-released", "A request that was held back is not any more: an engine answered it, or it was dropped from the store.")
	eventNotTold    = telemetry.Define(2143, "poison-not-told", "No data node took records of requests under which engines ended; this node writes them itself and tells them again.")
	eventNotKept    = telemetry.Define(2144, "poison-not-kept", "A record of a request under which engines ended could not be written to the store or removed from it; that is tried again.")
	eventUnreadable = telemetry.Define(2145, "poison-message-unreadable", "A peer's records of requests under which engines ended could not be decoded and are passed over.")
)

const (
	// gatherTime is how long records wait for others: all that an engine had are told
	// together.
	gatherTime = 5 * time.Millisecond
	// retryPause is the first pause after peers or the store did not take records; that
	// after the store grows to retryMost, as refused calls cost, too.
	retryPause = 300 * time.Millisecond
	retryMost  = 3 * time.Second
	// reviewInterval is how often records are compared with what the store has, and
	// old ones forgotten.
	reviewInterval = 2 * time.Second
	// standInTime is how long a data node leaves a record to the one that was told first,
	// which the store may turn away. With 2 to 4 s all nodes were killed 3.4 s after the
	// third end before one of them had written it.
	standInTime = 500 * time.Millisecond
	// callTimeout bounds one call of peers or of the store.
	callTimeout = time.Second
	// secondLook is how long after a connection broke its engine is looked at again, if its
	// address took connections right after: a proxy before an engine, or a busy machine,
	// refuses some tenths of a second after the engine has ended.
	secondLook = 300 * time.Millisecond
	// doubtedMost bounds the requests that wait for a second look.
	doubtedMost = 256
)

// Store keeps records beyond the lives of nodes.
type Store interface {
	// Save merges a record into the stored one.
	Save(ctx context.Context, record Record) error
	// Remove drops a record, if it is there.
	Remove(ctx context.Context, f Fingerprint) error
}

// Options configure a Guard.
type Options struct {
	// Ended says whether an engine to which a connection broke has ended though it was
	// not about to leave. It is asked before the request goes on, and must not take long.
	Ended func(ctx context.Context, engine catalog.Engine) bool
	// Report hands records to a data node, which spreads and keeps them; nil on data
	// nodes, which do so themselves.
	Report func(ctx context.Context, records []Record) error
	// Spread sends records to the front nodes that this data node tells, and to all
	// other data nodes if wide.
	Spread func(records []Record, wide bool)
	Store  Store
	// Now is the time of day.
	Now func() time.Time
}

// Guard is a node's part in holding requests back that end engines. Its methods may be
// called concurrently; a nil Guard holds nothing back.
type Guard struct {
	options Options
	cancel  context.CancelFunc
	running context.Context
	tasks   sync.WaitGroup
	// known and holding say, without the mutex, whether there are records at all, and
	// any that may hold a request back: only then fingerprints are worth their time.
	known, holding atomic.Bool
	// doubting says the same of requests that wait for a second look.
	doubting atomic.Bool
	refused  atomic.Int64
	learnt   atomic.Bool

	mutex  sync.Mutex // guards what is below; a leaf
	table  *Table
	stored map[Fingerprint]Record // as last read from the store
	news   map[Fingerprint]bool   // to be told; whether to all data nodes
	unkept map[Fingerprint]time.Time
	told   chan struct{} // of capacity 1: there is something in news
	kept   chan struct{} // of capacity 1: there is something in unkept
	// doubted are requests whose engines are to be looked at again, and how many engines.
	doubted map[Fingerprint]int
}

// NewGuard returns a guard; nothing is told or kept before Start.
func NewGuard(options Options) *Guard {
	g := &Guard{
		options: options, table: NewTable(), stored: map[Fingerprint]Record{}, news: map[Fingerprint]bool{},
		unkept: map[Fingerprint]time.Time{}, told: make(chan struct{}, 1), kept: make(chan struct{}, 1),
		doubted: map[Fingerprint]int{},
	}
	g.running, g.cancel = context.WithCancel(context.Background())
	return g
}

// Start begins to tell peers and to keep records.
func (g *Guard) Start() {
	g.tasks.Go(g.tellLoop)
	g.tasks.Go(g.keepLoop)
}

// Close stops the guard, and waits.
func (g *Guard) Close() {
	g.mutex.Lock()
	g.cancel() // from here on there are no new second looks
	g.mutex.Unlock()
	g.tasks.Wait()
}

// Held says for how long a request gets to no engine; false if it may be sent.
func (g *Guard) Held(fingerprint func() Fingerprint) (time.Duration, bool) {
	if g == nil || !g.holding.Load() {
		return 0, false
	}
	f, now := fingerprint(), g.options.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	until, held := g.table.HeldUntil(f, now)
	if held {
		g.refused.Add(1)
	}
	return until.Sub(now), held
}

// Break is the break of the connection on which an engine had a request.
type Break struct {
	Engine  catalog.Engine
	Request string // its id
	// Answering says that events of the answer had come.
	Answering   bool
	Fingerprint func() Fingerprint
}

// Broke takes that a connection broke, and returns once it is known whether that counts
// against its request. An engine that seems to be up may be found to have ended later.
func (g *Guard) Broke(ctx context.Context, broken Break) {
	switch {
	case g == nil:
	case g.options.Ended(ctx, broken.Engine):
		g.count(broken.Fingerprint(), broken)
	default:
		g.lookAgain(broken)
	}
}

// lookAgain has an engine looked at a second time. A request that some engine answers
// meanwhile only stood by, and isn't counted.
func (g *Guard) lookAgain(broken Break) {
	f := broken.Fingerprint()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.running.Err() != nil || len(g.doubted) >= doubtedMost {
		return
	}
	g.doubted[f]++
	g.doubting.Store(true)
	g.tasks.Go(func() {
		clock.Pause(g.running, secondLook)
		if g.takeDoubt(f) && g.options.Ended(g.running, broken.Engine) {
			g.count(f, broken)
		}
	})
}

// takeDoubt ends the wait of a request for one second look, and says whether it still
// waited.
func (g *Guard) takeDoubt(f Fingerprint) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	waiting := g.doubted[f]
	if waiting > 1 {
		g.doubted[f] = waiting - 1
	} else {
		delete(g.doubted, f)
	}
	g.doubting.Store(len(g.doubted) > 0)
	return waiting > 0
}

// count counts an engine that has ended against its request.
func (g *Guard) count(f Fingerprint, broken Break) {
	now := g.options.Now()
	end := End{Engine: broken.Engine.ID, Answering: broken.Answering}
	record := Record{Fingerprint: f, Ends: []End{end}, Last: now}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.merge(record) {
		g.tell(f, true)
	}
	merged, _ := g.table.Get(f)
	eventEnded.Info("request", broken.Request, "fingerprint", f, "engine", broken.Engine.ID, "answering", broken.Answering,
		"ended", len(merged.Ends), "sound", merged.Sound)
}

// Served takes that an engine answered a request whole.
func (g *Guard) Served(fingerprint func() Fingerprint) {
	if g == nil || !g.known.Load() && !g.doubting.Load() {
		return
	}
	f := fingerprint()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.doubted, f)
	record, found := g.table.Get(f)
	if !found || record.Sound {
		return
	}
	if g.merge(Record{Fingerprint: f, Last: g.options.Now(), Sound: true}) {
		g.tell(f, true)
	}
}

// Receive takes a peer's records. wide says that they come from a front node, and so
// that the other data nodes don't have them.
func (g *Guard) Receive(from transport.Address, message []byte, wide bool) error {
	records, err := Unmarshal(message)
	if err != nil {
		eventUnreadable.Error(err, "peer", from)
		return err
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for i := range records {
		if g.merge(records[i]) && g.options.Report == nil {
			g.tell(records[i].Fingerprint, wide)
		}
	}
	return nil
}

// Learn takes all records that the store has. One that it has no more was dropped, by
// an operator or as it is over.
func (g *Guard) Learn(records []Record) {
	now := g.options.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	defer g.learnt.Store(true)
	before := g.stored
	g.stored = make(map[Fingerprint]Record, len(records))
	for i := range records {
		record := &records[i]
		g.stored[record.Fingerprint] = *record
		if now.Before(record.Last.Add(record.memory())) {
			g.merge(*record)
		}
	}
	for f := range before {
		_, still := g.stored[f]
		known, found := g.table.Get(f)
		if !still && found && !known.Sound {
			g.change(func() bool { g.table.Drop(f); return true }, f)
		}
	}
}

// Learnt says whether the guard has heard what the store has.
func (g *Guard) Learnt() bool { return g.learnt.Load() }

// merge adds a record to the table, and says whether it holds news. The caller holds
// the mutex, as those of the functions below do.
func (g *Guard) merge(record Record) bool {
	return g.change(func() bool { return g.table.Merge(record) }, record.Fingerprint)
}

// change changes what is known of a request, and logs if it is held back since or not
// any more.
func (g *Guard) change(change func() bool, f Fingerprint) bool {
	now := g.options.Now()
	_, before := g.table.HeldUntil(f, now)
	news := change()
	until, after := g.table.HeldUntil(f, now)
	g.known.Store(g.table.Len() > 0)
	g.holding.Store(g.table.Holding())
	record, _ := g.table.Get(f)
	switch {
	case after && !before:
		eventHeld.Info("fingerprint", f, "ends", record.Ends, "until", until)
	case before && !after:
		eventReleased.Info("fingerprint", f, "ends", record.Ends, "sound", record.Sound)
	}
	return news
}

// tell notes that peers are to hear of a record, and the store if it is worth it.
func (g *Guard) tell(f Fingerprint, wide bool) {
	g.news[f] = g.news[f] || wide
	signal(g.told)
	switch {
	case g.options.Report != nil: // data nodes see to the store
	case wide:
		g.keep(f, g.options.Now())
	default:
		g.keep(f, g.options.Now().Add(standInTime))
	}
}

// keep notes that the store is to have what the table has, from a time on.
func (g *Guard) keep(f Fingerprint, from time.Time) {
	if g.isKept(f) {
		return
	}
	if _, noted := g.unkept[f]; !noted {
		g.unkept[f] = from
	}
	signal(g.kept)
}

// isKept says whether the store, as last read, has what the table has of a request: a
// record that is worth keeping, or none.
func (g *Guard) isKept(f Fingerprint) bool {
	record, found := g.table.Get(f)
	stored, isStored := g.stored[f]
	if !found || !record.lasting() {
		return !isStored
	}
	return isStored && slices.Equal(record.Ends, stored.Ends)
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// HeldBack counts the requests that are held back.
func (g *Guard) HeldBack() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.table.Held(g.options.Now())
}

// Refused counts how often a request was kept from an engine.
func (g *Guard) Refused() int64 { return g.refused.Load() }
