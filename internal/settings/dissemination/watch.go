package dissemination

import (
	"errors"
	"time"

	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/settings"
	"chutelock.dev/chutelock/internal/settings/tree"
)

type watchPhase uint8

const (
	phaseIdle     watchPhase = iota // not selected
	phaseWaiting                    // until the next retry
	phaseProbing                    // checking that the store holds the state in force
	phaseListing                    // listing all objects
	phaseWatching                   // processing events
)

// watch is the state of this node's watch on the store.
type watch struct {
	phase  watchPhase
	ticket uint64
	// chosenSince and droppedSince are when the watcher role was gained or lost.
	chosenSince, droppedSince time.Time
	// deadline ends the current phase.
	deadline time.Time
	failures int
	// basis and basisVersion are what was in force when the probe or listing
	// began; an answer that arrives after a newer version is requested again.
	basis        Entry
	basisVersion settings.Version
	// lastTick is the time of the previous tick, to detect a pause.
	lastTick time.Time
	// verified is set once an answer newer than the watch shows that the store
	// holds the state in force: the store may have been restored between the
	// probe and the opening. Until then events are held.
	verified bool
	checking bool
	held     []Entry
	// peerRevisions are the revisions above the cursor that peers delivered
	// first. The watch must deliver them too, or its history differs.
	peerRevisions map[uint64]struct{}
	// cursor is the newest revision that the watch has delivered.
	cursor uint64
	// behindSince is when the watch fell behind the version in force.
	behindSince time.Time
	refused     bool
}

const (
	// requestTimeout bounds a probe or a listing.
	requestTimeout = 10 * time.Second
	// watchLag is how long a watch may stay behind the version in force.
	watchLag = 5 * time.Second
	// pauseLimit is the gap between ticks after which a watcher closes its
	// watch: another node may have taken over.
	pauseLimit = time.Second
)

// tombstoneSpec is the tombstone of a deletion made directly in the store.
const tombstoneSpec = `{"kind":"folder","deleted":true}`

// Probe is the store's entry for the newest change, and its epoch.
type Probe struct {
	Found  bool
	Newest Entry
	Epoch  uint16
}

// tickWatch opens and closes the watch as the watcher role is gained and lost.
func (m *Machine) tickWatch(now time.Time) {
	m.detectPause(now)
	m.trackRole(now)
	w := &m.watch
	switch w.phase {
	case phaseIdle:
		ready := m.published || m.startup.finished
		if m.plan.watcher && ready && now.Sub(w.chosenSince) >= m.config.WatchDelay {
			m.tryStore(now)
		}
	case phaseWaiting:
		if !now.Before(w.deadline) {
			m.tryStore(now)
		}
	case phaseProbing, phaseListing:
		if !now.Before(w.deadline) {
			m.storeFailed(now, nil)
		}
	case phaseWatching:
		m.checkLag(now)
		if !now.Before(w.deadline) {
			m.emit(StopWatch{})
			m.storeFailed(now, nil)
		}
	}
}

// detectPause closes the watch after a pause of the process.
func (m *Machine) detectPause(now time.Time) {
	w := &m.watch
	paused := !w.lastTick.IsZero() && now.Sub(w.lastTick) >= pauseLimit
	w.lastTick = now
	if !paused {
		return
	}
	w.chosenSince = time.Time{}
	if w.phase != phaseIdle {
		m.stopWatching()
	}
}

// stopWatching closes the watch and returns to idle.
func (m *Machine) stopWatching() {
	m.emit(StopWatch{})
	m.enter(phaseIdle, time.Time{})
}

// trackRole records when the role was gained or lost, and closes the watch
// StopDelay after its loss.
func (m *Machine) trackRole(now time.Time) {
	w := &m.watch
	if m.plan.watcher {
		w.droppedSince = time.Time{}
		if w.chosenSince.IsZero() {
			w.chosenSince = now
		}
		return
	}
	w.chosenSince = time.Time{}
	if w.droppedSince.IsZero() {
		w.droppedSince = now
	}
	if w.phase != phaseIdle && now.Sub(w.droppedSince) >= m.config.StopDelay {
		m.stopWatching()
	}
}

// checkLag restarts a watch that stays behind the version in force.
func (m *Machine) checkLag(now time.Time) {
	w := &m.watch
	if w.cursor >= m.state.version.Revision() {
		w.behindSince = time.Time{}
		return
	}
	if w.behindSince.IsZero() {
		w.behindSince = now
	}
	if now.Sub(w.behindSince) >= watchLag {
		w.deadline = now
	}
}

// enter begins a phase and returns its new ticket, which answers must carry.
func (m *Machine) enter(phase watchPhase, deadline time.Time) uint64 {
	m.watch.phase = phase
	m.watch.deadline = deadline
	m.watch.behindSince = time.Time{}
	m.watch.verified, m.watch.checking, m.watch.held = false, false, nil
	m.watch.peerRevisions = nil
	m.recordBasis()
	m.watch.ticket++
	return m.watch.ticket
}

// recordBasis records what the next answer of the store is compared with.
func (m *Machine) recordBasis() {
	m.watch.basis, m.watch.basisVersion = m.state.newest, m.state.version
}

// tryStore probes the store if the newest change is known, and otherwise lists it.
func (m *Machine) tryStore(now time.Time) {
	if !m.state.known || m.state.newest.Name == "" {
		m.list(now)
		return
	}
	ticket := m.enter(phaseProbing, now.Add(requestTimeout))
	m.emit(ProbeStore{Ticket: ticket, Name: m.state.newest.Name})
}

func (m *Machine) list(now time.Time) {
	ticket := m.enter(phaseListing, now.Add(requestTimeout))
	m.emit(ListStore{Ticket: ticket})
}

func (m *Machine) open(now time.Time, after uint64) {
	ticket := m.enter(phaseWatching, now.Add(m.config.WatchSilence))
	m.watch.cursor = after
	m.watch.failures = 0
	m.emit(WatchStore{Ticket: ticket, After: after})
}

// storeFailed schedules a retry with exponential backoff, and jitter so that
// the watchers of all regions don't retry at once.
func (m *Machine) storeFailed(now time.Time, err error) {
	if errors.Is(err, platform.ErrBudget) {
		m.emit(Notify{Notice: NoticeStoreRefusing, InForce: m.state.version})
	}
	pause := min(retryMin<<min(m.watch.failures, 6), retryMax)
	m.watch.failures++
	pause += time.Duration(m.random.Int64N(int64(pause/2) + 1))
	m.enter(phaseWaiting, now.Add(pause))
}

// refuse keeps the state in force after the store was rolled back or forked.
func (m *Machine) refuse(now time.Time, notice Notice, name string, found settings.Version) {
	if !m.watch.refused {
		m.emit(Notify{Notice: notice, Name: name, InForce: m.state.version, Found: found})
	}
	m.watch.refused = true
	m.storeFailed(now, nil)
}

// acceptStore records that the store holds what is in force.
func (m *Machine) acceptStore(now time.Time) {
	if m.watch.refused {
		m.emit(Notify{Notice: NoticeStoreRecovered, InForce: m.state.version})
	}
	m.watch.refused = false
	m.confirm(now)
}

// HandleProbed processes the answer to a ProbeStore.
func (m *Machine) HandleProbed(now time.Time, ticket uint64, probe Probe, err error) []Action {
	if ticket == m.watch.ticket && m.watch.phase == phaseWatching {
		m.verifyByProbe(now, probe, err)
		return m.takeActions()
	}
	if ticket != m.watch.ticket || m.watch.phase != phaseProbing {
		return m.takeActions()
	}
	basis := m.watch.basis
	same := probe.Found && probe.Newest.hash() == basis.hash()
	switch {
	case err != nil:
		m.storeFailed(now, err)
	case m.watch.basisVersion != m.state.version:
		m.tryStore(now)
	case probe.Epoch > m.state.version.Epoch():
		m.list(now)
	case probe.Epoch < m.state.version.Epoch():
		m.refuse(now, NoticeStoreBehind, tree.EpochObject, settings.MakeVersion(probe.Epoch, 0))
	case same && !m.watch.refused:
		m.acceptStore(now)
		m.open(now, m.state.version.Revision())
	case same, probe.Found && probe.Newest.Revision > basis.Revision, !probe.Found && basis.Deleted:
		m.list(now) // the tombstone may have been purged
	default:
		m.refuse(now, NoticeStoreBehind, basis.Name, settings.MakeVersion(probe.Epoch, probe.Newest.Revision))
	}
	return m.takeActions()
}
