package balance

import (
	"sync/atomic"
	"time"

	"chutelock.dev/chutelock/internal/enginespeed"
	"chutelock.dev/chutelock/internal/upstream"
)

const (
	// engineReportTTL is how long an engine's own load report is used.
	engineReportTTL = 250 * time.Millisecond
	// slowdownTTL is how long an engine's reported slowdown is used; it changes many times a
	// second.
	slowdownTTL = 100 * time.Millisecond
	// relayedLoadTTL is how long engine loads relayed by peers are used: a little longer than
	// the interval of peer reports.
	relayedLoadTTL = 120 * time.Millisecond
	// peerTTL is how long a peer's report is used.
	peerTTL = time.Second
	// An engine that fails is ejected for minEjection, doubled with each consecutive failure
	// up to maxEjection.
	minEjection = 250 * time.Millisecond
	maxEjection = 4 * time.Second
	// refusalPause is how long an engine counts as full after it refused a request.
	refusalPause = 40 * time.Millisecond
	// preemptTTL is how long after the last peer report batch work counts as preemptible: a
	// lost leader preempts nothing.
	preemptTTL = 250 * time.Millisecond
	// farAge is the mean age of load of other zones when a sum arrives: half an interval
	// until a node reports and half until its zone's sum is sent. nearAge is the same for the
	// own zone, where requests are reported at once.
	farAge  = 80 * time.Millisecond
	nearAge = 3 * time.Millisecond
	// initialMean is the assumed mean residence and hold time until online requests have
	// ended; meanWeight is the weight of the newest request in the moving averages.
	initialMean = 500 * time.Millisecond
	meanWeight  = 0.05
	// idleEngineTTL is how long an unused engine's state is kept.
	idleEngineTTL = time.Minute
)

// Class is a class of work.
type Class uint8

// Classes of work.
const (
	ClassOnline Class = iota
	ClassBatch
	numClasses
)

// String returns the class's name as used in metrics.
func (c Class) String() string { return [...]string{"online", "batch"}[c] }

// engineState is the load and health of one engine.
type engineState struct {
	own          Counts // in flight from this node
	pending      int    // prompt tokens of own requests without a first event
	report       upstream.Load
	reportAt     time.Time
	ownAtReport  int // own requests when the report arrived
	failures     int
	ejectedUntil time.Time
	fullUntil    time.Time
	lastUsed     time.Time
	// answers are this node's online requests at the engine, and streams those whose answers come in
	// pieces.
	answers, streams awaited
}

// peerLoad is a peer's last report.
type peerLoad struct {
	receivedAt time.Time
	report     Report
}

// relayedLoad is the maximum load that peers recently heard from an engine.
type relayedLoad struct {
	receivedAt time.Time
	requests   int
}

// Table holds the known load and health of engines. It is not safe for concurrent use. The
// cost of a lookup doesn't depend on the number of peers, as reports are summed on arrival.
type Table struct {
	engines map[string]*engineState
	peers   map[string]peerLoad
	// peerSum is the sum of the peers' reports except EngineReported, which is kept in
	// engineReported.
	peerSum        Report
	engineReported map[EngineKey]relayedLoad
	// meanResidence is the mean time that this node's online requests spend at an engine, and
	// meanHold that from their first event on.
	meanResidence, meanHold time.Duration
	// foundRoomFraction is the fraction of this node's online requests that find room, as a
	// moving average.
	foundRoomFraction float64
	// lastPeerReport is the time of the last peer report.
	lastPeerReport time.Time
	// nextExpiry is when expired peers are dropped next.
	nextExpiry time.Time
	keys       map[string]EngineKey // by engine ID, to hash each once
	// zoneRTTs are the round-trip times from this node.
	zoneRTTs rttTracker
	// nextWindowStart is the index of the engine at which chooseMany's next window starts.
	nextWindowStart int
	// index maps keys to engines of the newest snapshot.
	index engineIndex
	// enginesShareMachines is set once an engine has reported its slowdown, here or to a peer.
	// It is read without the lock that guards the table.
	enginesShareMachines atomic.Bool
	// speeds are the estimates of all engines' speeds, and useSpeeds whether choices follow
	// them.
	speeds    *enginespeed.Estimates
	useSpeeds bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		engines: map[string]*engineState{}, peers: map[string]peerLoad{}, peerSum: Report{}, engineReported: map[EngineKey]relayedLoad{},
		keys: map[string]EngineKey{}, zoneRTTs: rttTracker{}, meanResidence: initialMean, meanHold: initialMean, foundRoomFraction: 1,
		speeds: enginespeed.New(),
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
	state.lastUsed = now
	return state
}

// Begin counts a request sent to an engine, and the prompt tokens to be read for it.
func (t *Table) Begin(id string, class Class, tokens int, now time.Time) {
	state := t.state(id, now)
	state.own[class]++
	state.pending += tokens
}

// PrefillDone records that the engine has read a request's prompt.
func (t *Table) PrefillDone(id string, tokens int, now time.Time) { t.state(id, now).pending -= tokens }

// End uncounts a request that ended.
func (t *Table) End(id string, class Class, now time.Time) { t.state(id, now).own[class]-- }

// RecordResidence updates the mean residence time with that of an online request of this node.
func (t *Table) RecordResidence(length time.Duration) {
	t.meanResidence += time.Duration(meanWeight * float64(length-t.meanResidence))
}

// RecordHold updates the mean hold time with that of an online request of this node.
func (t *Table) RecordHold(length time.Duration) {
	t.meanHold += time.Duration(meanWeight * float64(length-t.meanHold))
}

// unreported estimates, by Little's law, the online requests that peers sent since load
// information of the given age, from their number in flight and the mean residence time.
func (t *Table) unreported(online int, age time.Duration) float64 {
	if t.meanResidence <= 0 {
		return 0
	}
	return float64(online) * min(age, 2*farAge).Seconds() / t.meanResidence.Seconds()
}

// peersOnline returns the number of peers' online requests at an engine.
func (t *Table) peersOnline(id string) int { return t.peerSum[t.key(id)].Counts[ClassOnline] }

// RecordReport records the load that an engine reported.
func (t *Table) RecordReport(id string, load upstream.Load, now time.Time) {
	state := t.state(id, now)
	state.report = load
	state.reportAt = now
	state.ownAtReport = state.total()
	t.Heard(id, now)
	if load.ReportsSlowdown {
		t.enginesShareMachines.Store(true)
		t.speeds.Slowness(t.speedKey(id), id, load.Slowdown, now, now, enginespeed.Source{})
	}
}

// RecordSuccess records an answer and ends the engine's ejection.
func (t *Table) RecordSuccess(id string, now time.Time) {
	state := t.state(id, now)
	state.failures = 0
	state.ejectedUntil = time.Time{}
	t.Heard(id, now)
}

// RecordFailure ejects an engine and returns for how long.
func (t *Table) RecordFailure(id string, now time.Time) time.Duration {
	state := t.state(id, now)
	pause := min(minEjection<<min(state.failures, 5), maxEjection)
	state.failures++
	state.ejectedUntil = now.Add(pause)
	return pause
}

// RecordRefusal records that an engine refused a request as it is full.
func (t *Table) RecordRefusal(id string, now time.Time) { t.markFull(id, refusalPause, now) }

// SetPeerLoad replaces a peer's load report.
func (t *Table) SetPeerLoad(peer string, report Report, now time.Time) {
	t.addToPeerSum(t.peers[peer].report, -1)
	t.addToPeerSum(report, 1)
	t.peers[peer] = peerLoad{receivedAt: now, report: report}
	t.lastPeerReport = now
	for key, load := range report {
		if known := t.engineReported[key]; load.EngineReported >= known.requests || now.Sub(known.receivedAt) > relayedLoadTTL {
			t.engineReported[key] = relayedLoad{receivedAt: now, requests: load.EngineReported}
		}
	}
}

// RemovePeer drops a peer's load report.
func (t *Table) RemovePeer(peer string) {
	t.addToPeerSum(t.peers[peer].report, -1)
	delete(t.peers, peer)
}

// addToPeerSum adds a report to the sum, or subtracts it if sign is -1.
func (t *Table) addToPeerSum(report Report, sign int) {
	for key, load := range report {
		total := t.peerSum[key]
		for class := range load.Counts {
			total.Counts[class] += sign * load.Counts[class]
		}
		total.Pending += sign * load.Pending
		if total.Total() == 0 && total.Pending == 0 {
			delete(t.peerSum, key)
			continue
		}
		t.peerSum[key] = total
	}
}

// expire drops peers without a recent report.
func (t *Table) expire(now time.Time) {
	if now.Before(t.nextExpiry) {
		return
	}
	t.nextExpiry = now.Add(peerTTL / 4)
	for peer, load := range t.peers {
		if now.Sub(load.receivedAt) > peerTTL {
			t.RemovePeer(peer)
		}
	}
	for key, relayed := range t.engineReported {
		if now.Sub(relayed.receivedAt) > peerTTL {
			delete(t.engineReported, key)
		}
	}
}

// OwnReport returns this node's load report, without idle engines.
func (t *Table) OwnReport(now time.Time) Report {
	own := Report{}
	for id, state := range t.engines {
		if load := (Load{Counts: state.own, EngineReported: state.reportedLoad(now), Pending: state.pending}); load.minLoad() > 0 {
			own[t.key(id)] = load
		}
	}
	return own
}

// TotalReport returns the sum of all nodes' reports, this node's included.
func (t *Table) TotalReport(now time.Time) Report {
	t.expire(now)
	all := t.OwnReport(now)
	all.Add(t.peerSum)
	for key, total := range all {
		total.EngineReported = max(total.EngineReported, t.relayedEngineLoad(key, now))
		all[key] = total
	}
	return all
}

// relayedEngineLoad returns the maximum load that peers recently heard from an engine.
func (t *Table) relayedEngineLoad(key EngineKey, now time.Time) int {
	if relayed := t.engineReported[key]; now.Sub(relayed.receivedAt) <= relayedLoadTTL {
		return relayed.requests
	}
	return 0
}

// Forget drops unused engines and expired peers.
func (t *Table) Forget(now time.Time) {
	for id, state := range t.engines {
		if state.total() == 0 && now.Sub(state.lastUsed) > idleEngineTTL {
			delete(t.engines, id)
			delete(t.keys, id)
		}
	}
	t.speeds.Forget(now)
	t.expire(now)
}

func (s *engineState) total() int { return s.own.Total() }

// running estimates the requests of a class at an engine from all nodes.
func (t *Table) running(id string, class Class, now time.Time) int {
	count := t.peerSum[t.key(id)].Counts[class]
	if state := t.engines[id]; state != nil {
		count += state.own[class]
	}
	return count
}

// preemptible returns the number of batch requests at an engine that can be preempted: all of
// them while peer reports are fresh, else none.
func (t *Table) preemptible(id string, now time.Time) int {
	if now.Sub(t.lastPeerReport) > preemptTTL {
		return 0
	}
	return t.running(id, ClassBatch, now)
}

// reportedLoad returns the load that the engine reported plus this node's requests sent
// since; 0 without a recent report.
func (s *engineState) reportedLoad(now time.Time) int {
	if now.Sub(s.reportAt) > engineReportTTL {
		return 0
	}
	return s.report.Running + s.report.Waiting + max(0, s.total()-s.ownAtReport)
}

// slowdown returns how many times longer than usual work takes at an engine; 1 without a
// recent report.
func (t *Table) slowdown(id string, now time.Time) float64 {
	state := t.engines[id]
	if state == nil || state.report.Slowdown <= 0 || now.Sub(state.reportAt) > slowdownTTL {
		return 1
	}
	return state.report.Slowdown
}

// load estimates all requests at an engine: the sum over nodes, or the engine's own report if
// that is higher, for instance after the loss of a node whose requests still run.
func (t *Table) load(id string, now time.Time) int {
	load := t.running(id, ClassOnline, now) + t.running(id, ClassBatch, now)
	if state := t.engines[id]; state != nil {
		load = max(load, state.reportedLoad(now))
	}
	return max(load, t.relayedEngineLoad(t.key(id), now))
}

// pending estimates the prompt tokens that an engine has not yet read for all nodes.
func (t *Table) pending(id string, now time.Time) int {
	tokens := t.peerSum[t.key(id)].Pending
	if state := t.engines[id]; state != nil {
		tokens += state.pending
	}
	return tokens
}

// healthy reports whether the engine is neither ejected nor dark.
func (t *Table) healthy(id string, now time.Time) bool {
	state := t.engines[id]
	return state == nil || !now.Before(state.ejectedUntil) && !state.dark(now)
}

func (t *Table) isFull(id string, now time.Time) bool {
	state := t.engines[id]
	return state != nil && now.Before(state.fullUntil)
}

// MeanHold returns the mean time that online requests hold a slot.
func (t *Table) MeanHold() time.Duration { return t.meanHold }
