package dissemination

import (
	"slices"
	"time"
)

// This file makes sure that a watch is of the store that is in force.

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
