package balance

import (
	"time"

	"chutelock.dev/chutelock/internal/upstream"
)

const (
	// reportLife is how long an engine's own figures count.
	reportLife = 250 * time.Millisecond
	// stretchLife is how long it counts what an engine told of how long work takes there: it
	// changes many times a second.
	stretchLife = 100 * time.Millisecond
	// peersSawLife is how long what peers heard from an engine counts: a little
	// longer than the time between two of their reports.
	peersSawLife = 120 * time.Millisecond
	// peerLife is how long another node's figures count.
	peerLife = time.Second
	// Engines that fail are set aside for a time that doubles with each
	// failure in a row, between these.
	asideFirst = 250 * time.Millisecond
	asideMost  = 4 * time.Second
	// fullPause is how long an engine counts as full after it refused.
	fullPause = 40 * time.Millisecond
	// yieldLife is how long after the last report of peers batch work counts as
	// certain to make way: a leader that is gone cuts nothing.
	yieldLife = 250 * time.Millisecond
	// sumAge is how old what is known of requests at engines of other zones is when a
	// sum comes, on average: half an interval passes until a node reports, and half
	// until its zone's share goes out. nearAge is the same for engines of the node's own
	// zone: their requests are told at once, and the sum is a millisecond on its way.
	sumAge  = 80 * time.Millisecond
	nearAge = 3 * time.Millisecond
	// tookStart is the assumed time that an engine takes for an online request
	// until some have ended; tookWeight is the weight of the newest in the average.
	tookStart  = 500 * time.Millisecond
	tookWeight = 0.05
	// forgetAfter is how long an engine without news is remembered.
	forgetAfter = time.Minute
)

// Class of work.
type Class uint8

// Classes.
const (
	ClassOnline Class = iota
	ClassBatch
	classes
)

// String names the class as in metrics.
func (c Class) String() string { return [...]string{"online", "batch"}[c] }

// engineState is what is known of one engine beyond the catalog.
type engineState struct {
	own      Counts // under way from this node
	pending  int    // prompt tokens of own requests without a first event
	report   upstream.Load
	reportAt time.Time
	ownAt    int // own requests when the report came
	failures int
	aside    time.Time
	full     time.Time
	touched  time.Time
}

// peerLoad is what another node has under way.
type peerLoad struct {
	at      time.Time
	running Report
}

// seenLoad is the most that an engine was seen to have lately.
type seenLoad struct {
	at    time.Time
	count int
}

// Table is not safe for concurrent use. Its cost a look-up doesn't grow with
// the number of peers: their reports are added up as they come.
type Table struct {
	engines map[string]*engineState
	peers   map[string]peerLoad
	// sum adds up the peers' reports, but for Seen; seen holds that.
	sum  Report
	seen map[EngineKey]seenLoad
	// took is how long online requests of this node are at an engine, on average, and
	// ran how long of that from their first event on.
	took, ran time.Duration
	// sawRoom is how often online requests of this node see room, on average.
	sawRoom float64
	// heardAt is when a peer reported last.
	heardAt time.Time
	// expireAt is when silent peers are looked for next.
	expireAt time.Time
	keys     map[string]EngineKey // of engines seen, to hash each once
	// distances are those of zones from this node.
	distances distances
	// windowEnd is where the last look at many engines ended.
	windowEnd int
	// index finds the engines of a snapshot by their keys.
	index engineIndex
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		engines: map[string]*engineState{}, peers: map[string]peerLoad{}, sum: Report{}, seen: map[EngineKey]seenLoad{},
		keys: map[string]EngineKey{}, distances: distances{}, took: tookStart, ran: tookStart, sawRoom: 1,
	}
}

func (t *Table) key(id string) EngineKey {
	key, known := t.keys[id]
	if !known {
		key = KeyOf(id)
		t.keys[id] = key
	}
	return key
}

func (t *Table) state(id string, now time.Time) *engineState {
	state := t.engines[id]
	if state == nil {
		state = &engineState{}
		t.engines[id] = state
	}
	state.touched = now
	return state
}

// Begin counts a request that is sent to an engine, with the prompt tokens that
// the engine has to read for it.
func (t *Table) Begin(id string, class Class, tokens int, now time.Time) {
	state := t.state(id, now)
	state.own[class]++
	state.pending += tokens
}

// Read notes that the engine has read a request's prompt.
func (t *Table) Read(id string, tokens int, now time.Time) { t.state(id, now).pending -= tokens }

// End counts its end.
func (t *Table) End(id string, class Class, now time.Time) { t.state(id, now).own[class]-- }

// Took notes how long an online request of this node was at an engine.
func (t *Table) Took(length time.Duration) {
	t.took += time.Duration(tookWeight * float64(length-t.took))
}

// Ran notes how long an online request of this node held a slot.
func (t *Table) Ran(length time.Duration) {
	t.ran += time.Duration(tookWeight * float64(length-t.ran))
}

// unheard estimates the online requests that other nodes have sent to engines since
// what is known of them here, which is so old: their rate follows from how many there
// are and how long one takes (Little's law).
func (t *Table) unheard(online int, age time.Duration) float64 {
	if t.took <= 0 {
		return 0
	}
	return float64(online) * min(age, 2*sumAge).Seconds() / t.took.Seconds()
}

// peersOnline is the online requests that other nodes have under way at an engine.
func (t *Table) peersOnline(id string) int { return t.sum[t.key(id)].Counts[ClassOnline] }

// Reported takes an engine's own figures.
func (t *Table) Reported(id string, load upstream.Load, now time.Time) {
	state := t.state(id, now)
	state.report = load
	state.reportAt = now
	state.ownAt = state.total()
}

// Succeeded notes an answer: the engine is sound.
func (t *Table) Succeeded(id string, now time.Time) {
	state := t.state(id, now)
	state.failures = 0
	state.aside = time.Time{}
}

// Failed sets an engine aside for a while and says for how long.
func (t *Table) Failed(id string, now time.Time) time.Duration {
	state := t.state(id, now)
	pause := min(asideFirst<<min(state.failures, 5), asideMost)
	state.failures++
	state.aside = now.Add(pause)
	return pause
}

// Refused notes that an engine said it is full.
func (t *Table) Refused(id string, now time.Time) { t.fullFor(id, fullPause, now) }

// PeerLoad takes what another node has under way, in place of what it said
// before.
func (t *Table) PeerLoad(peer string, running Report, now time.Time) {
	t.addUp(t.peers[peer].running, -1)
	t.addUp(running, 1)
	t.peers[peer] = peerLoad{at: now, running: running}
	t.heardAt = now
	for key, one := range running {
		if known := t.seen[key]; one.Seen >= known.count || now.Sub(known.at) > peersSawLife {
			t.seen[key] = seenLoad{at: now, count: one.Seen}
		}
	}
}

// PeerGone forgets what another node said.
func (t *Table) PeerGone(peer string) {
	t.addUp(t.peers[peer].running, -1)
	delete(t.peers, peer)
}

// addUp adds a report to the sum, or takes it out.
func (t *Table) addUp(report Report, sign int) {
	for key, one := range report {
		total := t.sum[key]
		for class := range one.Counts {
			total.Counts[class] += sign * one.Counts[class]
		}
		total.Pending += sign * one.Pending
		if total.Total() == 0 && total.Pending == 0 {
			delete(t.sum, key)
			continue
		}
		t.sum[key] = total
	}
}

// expire forgets peers that fell silent.
func (t *Table) expire(now time.Time) {
	if now.Before(t.expireAt) {
		return
	}
	t.expireAt = now.Add(peerLife / 4)
	for peer, load := range t.peers {
		if now.Sub(load.at) > peerLife {
			t.PeerGone(peer)
		}
	}
	for key, one := range t.seen {
		if now.Sub(one.at) > peerLife {
			delete(t.seen, key)
		}
	}
}

// Own returns what this node knows of engines by itself, without idle ones.
func (t *Table) Own(now time.Time) Report {
	own := Report{}
	for id, state := range t.engines {
		if load := (Load{Counts: state.own, Seen: state.seen(now), Pending: state.pending}); load.atLeast() > 0 {
			own[t.key(id)] = load
		}
	}
	return own
}

// All adds up what all nodes have under way, this one included.
func (t *Table) All(now time.Time) Report {
	t.expire(now)
	all := t.Own(now)
	all.Add(t.sum)
	for key, total := range all {
		total.Seen = max(total.Seen, t.peersSaw(key, now))
		all[key] = total
	}
	return all
}

// peersSaw is the most that peers lately heard an engine say it has.
func (t *Table) peersSaw(key EngineKey, now time.Time) int {
	if one := t.seen[key]; now.Sub(one.at) <= peersSawLife {
		return one.count
	}
	return 0
}

// Forget drops engines without work or news, and silent peers.
func (t *Table) Forget(now time.Time) {
	for id, state := range t.engines {
		if state.total() == 0 && now.Sub(state.touched) > forgetAfter {
			delete(t.engines, id)
			delete(t.keys, id)
		}
	}
	t.expire(now)
}

func (s *engineState) total() int { return s.own.Total() }

// running estimates the requests of a class that an engine has from all nodes.
func (t *Table) running(id string, class Class, now time.Time) int {
	count := t.sum[t.key(id)].Counts[class]
	if state := t.engines[id]; state != nil {
		count += state.own[class]
	}
	return count
}

// yielding is how many requests of batch work at an engine would make way for
// online work: all, as long as the peers' reports are fresh.
func (t *Table) yielding(id string, now time.Time) int {
	if now.Sub(t.heardAt) > yieldLife {
		return 0
	}
	return t.running(id, ClassBatch, now)
}

// seen is what the engine said lately that it has, with what this node has
// sent since; 0 if it said nothing lately.
func (s *engineState) seen(now time.Time) int {
	if now.Sub(s.reportAt) > reportLife {
		return 0
	}
	return s.report.Running + s.report.Waiting + max(0, s.total()-s.ownAt)
}

// stretch is how many times as long as usual work takes at an engine, if it said so lately.
func (t *Table) stretch(id string, now time.Time) float64 {
	state := t.engines[id]
	if state == nil || state.report.Stretch <= 0 || now.Sub(state.reportAt) > stretchLife {
		return 1
	}
	return state.report.Stretch
}

// load estimates all requests that an engine has: those that nodes count, or
// what it said itself if that is more, as after the loss of a node whose
// requests still run there.
func (t *Table) load(id string, now time.Time) int {
	load := t.running(id, ClassOnline, now) + t.running(id, ClassBatch, now)
	if state := t.engines[id]; state != nil {
		load = max(load, state.seen(now))
	}
	return max(load, t.peersSaw(t.key(id), now))
}

// pending estimates the prompt tokens that an engine still has to read for all
// nodes.
func (t *Table) pending(id string, now time.Time) int {
	tokens := t.sum[t.key(id)].Pending
	if state := t.engines[id]; state != nil {
		tokens += state.pending
	}
	return tokens
}

// sound says that the engine isn't set aside.
func (t *Table) sound(id string, now time.Time) bool {
	state := t.engines[id]
	return state == nil || !now.Before(state.aside)
}

func (t *Table) fullNow(id string, now time.Time) bool {
	state := t.engines[id]
	return state != nil && now.Before(state.full)
}

// MeanRun is how long online requests hold a slot, on average.
func (t *Table) MeanRun() time.Duration { return t.ran }
