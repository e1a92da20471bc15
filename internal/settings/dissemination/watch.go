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
	phaseIdle     watchPhase = iota // not chosen
	phaseWaiting                    // for the next try
	phaseProbing                    // is the store still the one in force?
	phaseListing                    // reading the whole
	phaseWatching                   // taking events
)

// watch is this node's reading of the store.
type watch struct {
	phase  watchPhase
	ticket uint64
	// chosenSince and droppedSince are when the role came or went.
	chosenSince, droppedSince time.Time
	// deadline ends a phase that waits for something.
	deadline time.Time
	failures int
	// basis is what was in force when the probe or listing began; an answer
	// that crossed a newer version is asked for again.
	basis Entry
	began settings.Version
	// ticked is the time of the tick before, to notice a pause.
	ticked time.Time
	// verified is set once the store was seen, by an answer that is younger
	// than the watch, to hold what is in force: the store might have been put
	// back between the probe and the opening. Until then events are held.
	verified bool
	checking bool
	held     []Entry
	// ahead are the revisions above the cursor that came in force through
	// peers. The watch must bring them too, or it is of another history.
	ahead map[uint64]struct{}
	// cursor is the newest revision that the watch has shown.
	cursor uint64
	// behindSince is since when peers know more than this watch has shown.
	behindSince time.Time
	refused     bool
}

const (
	// requestTimeout bounds a probe or a listing.
	requestTimeout = 10 * time.Second
	// watchLag is how long a watch may trail what peers have in force.
	watchLag = 5 * time.Second
	// pauseLimit is the gap between ticks from which a watcher that was
	// paused gives its watch up: another node may have taken over.
	pauseLimit = time.Second
)

// traceSpec is the trace of a deletion that was made directly in the store.
const traceSpec = `{"kind":"folder","deleted":true}`

// Probe is what the store holds of the newest change and of the epoch.
type Probe struct {
	Found  bool
	Newest Entry
	Epoch  uint16
}

// tickWatch opens and closes the watch as the role comes and goes.
func (m *Machine) tickWatch(now time.Time) {
	m.noticePause(now)
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
			m.do(StopWatch{})
			m.storeFailed(now, nil)
		}
	}
}

// noticePause gives the watch up after a pause of the process.
func (m *Machine) noticePause(now time.Time) {
	w := &m.watch
	paused := !w.ticked.IsZero() && now.Sub(w.ticked) >= pauseLimit
	w.ticked = now
	if !paused {
		return
	}
	w.chosenSince = time.Time{}
	if w.phase != phaseIdle {
		m.leave()
	}
}

// leave closes the watch and gives the role up.
func (m *Machine) leave() {
	m.do(StopWatch{})
	m.enter(phaseIdle, time.Time{})
}

// trackRole notes when the role came or went, and gives it up in time.
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
		m.leave()
	}
}

// checkLag restarts a watch that trails what peers have in force.
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

// enter begins a phase, whose answers carry a new ticket.
func (m *Machine) enter(phase watchPhase, deadline time.Time) uint64 {
	m.watch.phase = phase
	m.watch.deadline = deadline
	m.watch.behindSince = time.Time{}
	m.watch.verified, m.watch.checking, m.watch.held = false, false, nil
	m.watch.ahead = nil
	m.noteBasis()
	m.watch.ticket++
	return m.watch.ticket
}

// noteBasis notes what the next answer of the store is compared with.
func (m *Machine) noteBasis() {
	m.watch.basis, m.watch.began = m.state.newest, m.state.version
}

// tryStore probes a store that it knows, and lists one that it does not.
func (m *Machine) tryStore(now time.Time) {
	if !m.state.known || m.state.newest.Name == "" {
		m.list(now)
		return
	}
	ticket := m.enter(phaseProbing, now.Add(requestTimeout))
	m.do(ProbeStore{Ticket: ticket, Name: m.state.newest.Name})
}

func (m *Machine) list(now time.Time) {
	ticket := m.enter(phaseListing, now.Add(requestTimeout))
	m.do(ListStore{Ticket: ticket})
}

func (m *Machine) open(now time.Time, after uint64) {
	ticket := m.enter(phaseWatching, now.Add(m.config.WatchSilence))
	m.watch.cursor = after
	m.watch.failures = 0
	m.do(WatchStore{Ticket: ticket, After: after})
}

// storeFailed waits before the next try, longer each time, with jitter so that
// the watchers of all regions don't come back at once.
func (m *Machine) storeFailed(now time.Time, err error) {
	if errors.Is(err, platform.ErrBudget) {
		m.do(Notify{Notice: NoticeStoreRefusing, InForce: m.state.version})
	}
	pause := min(retryFirst<<min(m.watch.failures, 6), retryLast)
	m.watch.failures++
	pause += time.Duration(m.random.Int64N(int64(pause/2) + 1))
	m.enter(phaseWaiting, now.Add(pause))
}

// refuse keeps what is in force against a store that went back or forked.
func (m *Machine) refuse(now time.Time, notice Notice, name string, found settings.Version) {
	if !m.watch.refused {
		m.do(Notify{Notice: notice, Name: name, InForce: m.state.version, Found: found})
	}
	m.watch.refused = true
	m.storeFailed(now, nil)
}

// storeRight notes that the store holds what is in force.
func (m *Machine) storeRight(now time.Time) {
	if m.watch.refused {
		m.do(Notify{Notice: NoticeStoreRight, InForce: m.state.version})
	}
	m.watch.refused = false
	m.confirm(now)
}

// HandleProbed takes the answer to a ProbeStore.
func (m *Machine) HandleProbed(now time.Time, ticket uint64, probe Probe, err error) []Action {
	if ticket == m.watch.ticket && m.watch.phase == phaseWatching {
		m.verifyByProbe(now, probe, err)
		return m.take()
	}
	if ticket != m.watch.ticket || m.watch.phase != phaseProbing {
		return m.take()
	}
	basis := m.watch.basis
	same := probe.Found && probe.Newest.hash() == basis.hash()
	switch {
	case err != nil:
		m.storeFailed(now, err)
	case m.watch.began != m.state.version:
		m.tryStore(now)
	case probe.Epoch > m.state.version.Epoch():
		m.list(now)
	case probe.Epoch < m.state.version.Epoch():
		m.refuse(now, NoticeStoreBehind, tree.EpochObject, settings.MakeVersion(probe.Epoch, 0))
	case same && !m.watch.refused:
		m.storeRight(now)
		m.open(now, m.state.version.Revision())
	case same, probe.Found && probe.Newest.Revision > basis.Revision, !probe.Found && basis.Deleted:
		m.list(now) // the trace of a deletion may have been swept
	default:
		m.refuse(now, NoticeStoreBehind, basis.Name, settings.MakeVersion(probe.Epoch, probe.Newest.Revision))
	}
	return m.take()
}
