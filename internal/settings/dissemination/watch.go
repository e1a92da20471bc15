package dissemination

import (
	"errors"
	"slices"
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

// HandleListed takes the answer to a ListStore: all objects, deleted ones with
// Deleted set, and the revision of the listing.
func (m *Machine) HandleListed(now time.Time, ticket uint64, listed []Entry, revision uint64, err error) []Action {
	if ticket == m.watch.ticket && m.watch.phase == phaseWatching {
		m.verifyByListing(now, listed, revision, err)
		return m.take()
	}
	if ticket != m.watch.ticket || m.watch.phase != phaseListing {
		return m.take()
	}
	if err != nil {
		m.storeFailed(now, err)
		return m.take()
	}
	found := versionOf(listed)
	switch {
	case m.watch.began != m.state.version:
		m.tryStore(now)
	case !m.state.known:
		fresh := NewState(found, listed)
		m.storeRight(now)
		m.open(now, revision)
		m.install(now, fresh)
	case found.Epoch() > m.state.version.Epoch():
		m.raiseEpoch(now, found, listed)
		m.open(now, revision)
	default:
		m.takeListing(now, found, listed, revision)
	}
	return m.take()
}

// versionOf is the version of a listing.
func versionOf(listed []Entry) settings.Version {
	var epoch uint16
	var head uint64
	for i := range listed {
		head = max(head, listed[i].Revision)
		if listed[i].Name == tree.EpochObject {
			epoch = epochOf(&listed[i])
		}
	}
	return settings.MakeVersion(epoch, head)
}

// epochOf reads the epoch object; one that can't be read raises nothing.
func epochOf(entry *Entry) uint16 {
	epoch, err := tree.EpochOf(entry.Spec)
	if err != nil {
		return 0
	}
	return epoch
}

// raiseEpoch takes the store's whole state, as an operator ordered.
func (m *Machine) raiseEpoch(now time.Time, found settings.Version, listed []Entry) {
	m.do(Notify{Notice: NoticeEpochRaised, InForce: m.state.version, Found: found})
	fresh := NewState(found, listed)
	m.storeRight(now)
	m.announceDelta(now, &Delta{From: m.state.version, To: found, Exact: true, Entries: m.state.difference(fresh)})
}

// takeListing takes a listing of the epoch in force, if it holds everything
// that is in force.
func (m *Machine) takeListing(now time.Time, found settings.Version, listed []Entry, revision uint64) {
	if !m.bringListing(now, found, listed, revision) {
		return
	}
	m.open(now, revision)
}

// bringListing brings a listing in force that follows what is in force, and
// refuses another.
func (m *Machine) bringListing(now time.Time, found settings.Version, listed []Entry, revision uint64) bool {
	if revision < m.state.version.Revision() {
		m.refuse(now, NoticeStoreBehind, "", settings.MakeVersion(found.Epoch(), revision))
		return false
	}
	if name, ok := m.state.follows(NewState(found, listed)); !ok {
		notice := NoticeStoreForked
		if found < m.state.version {
			notice = NoticeStoreBehind
		}
		m.refuse(now, notice, name, found)
		return false
	}
	m.storeRight(now)
	delta := &Delta{From: m.state.version, To: found}
	for _, entry := range listed {
		if entry.Revision > m.state.version.Revision() {
			delta.Entries = append(delta.Entries, entry)
		}
	}
	if found > m.state.version {
		m.announceDelta(now, delta)
	}
	return true
}

// announceDelta brings a delta from the store in force and starts it on its
// way: to the first nodes of each zone of the region, and down the own tree.
func (m *Machine) announceDelta(now time.Time, delta *Delta) {
	changes := m.state.changes(delta)
	delta.Digest = m.state.digestWith(changes)
	m.advance(now, delta, changes)
	m.forward("", delta)
	for _, root := range m.plan.roots {
		if root != m.config.Self.Address {
			m.do(SendDelta{To: root, Delta: delta})
		}
	}
}

// HandleWatchEvent takes one event of the watch. A bookmark has only a
// revision.
func (m *Machine) HandleWatchEvent(now time.Time, ticket uint64, bookmark bool, entry Entry) []Action {
	if ticket != m.watch.ticket || m.watch.phase != phaseWatching {
		return m.take()
	}
	m.watch.deadline = now.Add(m.config.WatchSilence)
	if !m.watch.verified {
		if !bookmark {
			m.watch.held = append(m.watch.held, entry)
		}
		m.verify()
		return m.take()
	}
	if bookmark {
		m.watch.cursor = max(m.watch.cursor, entry.Revision)
	} else {
		m.takeEvent(now, entry)
	}
	m.checkAhead(now)
	return m.take()
}

// noteAhead notes changes that came in force through peers before the watch
// brought them. Another epoch is another history: the watch must be verified.
func (m *Machine) noteAhead(from settings.Version, changes []Entry) {
	w := &m.watch
	if w.phase != phaseWatching {
		return
	}
	if from.Epoch() != m.state.version.Epoch() {
		w.verified, w.ahead = false, nil
		return
	}
	for i := range changes {
		if changes[i].Revision > w.cursor {
			if w.ahead == nil {
				w.ahead = make(map[uint64]struct{})
			}
			w.ahead[changes[i].Revision] = struct{}{}
		}
	}
}

// checkAhead looks whether the watch passed a change in force without
// bringing it, and else takes the state as confirmed.
func (m *Machine) checkAhead(now time.Time) {
	w := &m.watch
	if w.phase != phaseWatching || !w.verified {
		return
	}
	for revision := range w.ahead {
		if revision <= w.cursor {
			m.doubt(now)
			return
		}
	}
	if w.cursor >= m.state.version.Revision() {
		m.confirm(now)
	}
}

// doubt lists a store whose watch does not fit what is in force.
func (m *Machine) doubt(now time.Time) {
	m.do(StopWatch{})
	m.list(now)
}

// known says whether an event of a revision that is in force already is what
// is in force, or was replaced since.
func (m *Machine) known(entry Entry) bool {
	own, present := m.state.get(entry.Name)
	if !present {
		return entry.Deleted
	}
	return own.Revision > entry.Revision || own.Revision == entry.Revision && own.Deleted == entry.Deleted &&
		(entry.Gone() || own.hash() == entry.hash())
}

// takeEvent brings the next change of the store in force.
func (m *Machine) takeEvent(now time.Time, entry Entry) {
	if entry.Name == tree.EpochObject && epochOf(&entry) > m.state.version.Epoch() {
		m.doubt(now)
		return
	}
	if entry.Revision <= m.state.version.Revision() {
		if !m.known(entry) {
			m.doubt(now)
			return
		}
		delete(m.watch.ahead, entry.Revision)
		m.watch.cursor = max(m.watch.cursor, entry.Revision)
		return
	}
	if len(m.watch.ahead) > 0 {
		m.doubt(now)
		return
	}
	if old, present := m.state.get(entry.Name); entry.Gone() && present && !old.Deleted {
		entry.Spec = []byte(traceSpec) // somebody deleted it behind our back
	}
	m.watch.cursor = entry.Revision
	to := settings.MakeVersion(m.state.version.Epoch(), entry.Revision)
	m.announceDelta(now, &Delta{From: m.state.version, To: to, Entries: []Entry{entry}})
}

// verify asks the store, now that the watch has brought something, whether it
// holds what is in force. The newest entry can tell unless it is just changing.
func (m *Machine) verify() {
	w := &m.watch
	if w.checking {
		return
	}
	w.checking = true
	m.noteBasis()
	changing := func(entry Entry) bool { return entry.Name == w.basis.Name }
	if w.basis.Name == "" || slices.ContainsFunc(w.held, changing) {
		m.do(ListStore{Ticket: w.ticket})
		return
	}
	m.do(ProbeStore{Ticket: w.ticket, Name: w.basis.Name})
}

func (m *Machine) verifyByProbe(now time.Time, probe Probe, err error) {
	w := &m.watch
	w.checking = false
	switch {
	case err != nil:
		m.do(StopWatch{})
		m.storeFailed(now, err)
	case w.began != m.state.version:
		m.verify()
	case probe.Found && probe.Newest.hash() == w.basis.hash() && probe.Epoch == w.began.Epoch():
		m.watchVerified(now)
	default:
		w.checking = true
		m.do(ListStore{Ticket: w.ticket})
	}
}

func (m *Machine) verifyByListing(now time.Time, listed []Entry, revision uint64, err error) {
	m.watch.checking = false
	found := versionOf(listed)
	switch {
	case err != nil:
		m.do(StopWatch{})
		m.storeFailed(now, err)
	case m.watch.began != m.state.version:
		m.verify()
	case found.Epoch() > m.state.version.Epoch():
		m.raiseEpoch(now, found, listed)
		m.watchVerified(now)
	case m.bringListing(now, found, listed, revision):
		m.watchVerified(now)
	default:
		m.do(StopWatch{})
	}
}

// watchVerified takes the events that were held.
func (m *Machine) watchVerified(now time.Time) {
	held, ticket := m.watch.held, m.watch.ticket
	m.watch.verified, m.watch.held, m.watch.ahead = true, nil, nil
	m.storeRight(now)
	for _, entry := range held {
		if m.watch.ticket == ticket {
			m.takeEvent(now, entry)
		}
	}
}

// HandleWatchEnded takes the end of the watch.
func (m *Machine) HandleWatchEnded(now time.Time, ticket uint64, err error) []Action {
	if ticket != m.watch.ticket || m.watch.phase != phaseWatching {
		return m.take()
	}
	if errors.Is(err, platform.ErrCompacted) {
		m.list(now)
		return m.take()
	}
	m.storeFailed(now, err)
	return m.take()
}
