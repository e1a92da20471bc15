package dissemination

import (
	"errors"
	"time"

	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/settings"
	"chutelock.dev/chutelock/internal/settings/tree"
)

// This file takes the events of a watch.

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
