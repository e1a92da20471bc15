package dissemination

import (
	"slices"
	"time"
)

// verify checks, after the first event of a watch, that the store holds the state
// in force: by a probe, or by a listing if the newest entry is unknown or
// changing.
func (m *Machine) verify() {
	w := &m.watch
	if w.checking {
		return
	}
	w.checking = true
	m.recordBasis()
	changing := func(entry Entry) bool { return entry.Name == w.basis.Name }
	if w.basis.Name == "" || slices.ContainsFunc(w.held, changing) {
		m.emit(ListStore{Ticket: w.ticket})
		return
	}
	m.emit(ProbeStore{Ticket: w.ticket, Name: w.basis.Name})
}

func (m *Machine) verifyByProbe(now time.Time, probe Probe, err error) {
	w := &m.watch
	w.checking = false
	switch {
	case err != nil:
		m.emit(StopWatch{})
		m.storeFailed(now, err)
	case w.basisVersion != m.state.version:
		m.verify()
	case probe.Found && probe.Newest.hash() == w.basis.hash() && probe.Epoch == w.basisVersion.Epoch():
		m.watchVerified(now)
	default:
		w.checking = true
		m.emit(ListStore{Ticket: w.ticket})
	}
}

func (m *Machine) verifyByListing(now time.Time, listed []Entry, revision uint64, err error) {
	m.watch.checking = false
	found := versionOf(listed)
	switch {
	case err != nil:
		m.emit(StopWatch{})
		m.storeFailed(now, err)
	case m.watch.basisVersion != m.state.version:
		m.verify()
	case found.Epoch() > m.state.version.Epoch():
		m.raiseEpoch(now, found, listed)
		m.watchVerified(now)
	case m.applyListing(now, found, listed, revision):
		m.watchVerified(now)
	default:
		m.emit(StopWatch{})
	}
}

// watchVerified marks the watch verified and applies the held events.
func (m *Machine) watchVerified(now time.Time) {
	held, ticket := m.watch.held, m.watch.ticket
	m.watch.verified, m.watch.held, m.watch.peerRevisions = true, nil, nil
	m.acceptStore(now)
	for _, entry := range held {
		if m.watch.ticket == ticket {
			m.applyEvent(now, entry)
		}
	}
}
