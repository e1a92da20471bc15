package dissemination

import (
	"errors"
	"time"

	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/settings"
	"chutelock.dev/chutelock/internal/settings/tree"
)

// HandleWatchEvent processes one event of the watch. A bookmark has only a
// revision.
func (m *Machine) HandleWatchEvent(now time.Time, ticket uint64, bookmark bool, entry Entry) []Action {
	if ticket != m.watch.ticket || m.watch.phase != phaseWatching {
		return m.takeActions()
	}
	m.watch.deadline = now.Add(m.config.WatchSilence)
	if !m.watch.verified {
		if !bookmark {
			m.watch.held = append(m.watch.held, entry)
		}
		m.verify()
		return m.takeActions()
	}
	if bookmark {
		m.watch.cursor = max(m.watch.cursor, entry.Revision)
	} else {
		m.applyEvent(now, entry)
	}
	m.checkPeerChanges(now)
	return m.takeActions()
}

// recordPeerChanges records changes that peers delivered before the watch did.
// A new epoch is a different history: the watch must be verified again.
func (m *Machine) recordPeerChanges(from settings.Version, changes []Entry) {
	w := &m.watch
	if w.phase != phaseWatching {
		return
	}
	if from.Epoch() != m.state.version.Epoch() {
		w.verified, w.peerRevisions = false, nil
		return
	}
	for i := range changes {
		if changes[i].Revision > w.cursor {
			if w.peerRevisions == nil {
				w.peerRevisions = make(map[uint64]struct{})
			}
			w.peerRevisions[changes[i].Revision] = struct{}{}
		}
	}
}

// checkPeerChanges relists if the watch skipped a change in force, and
// otherwise confirms the state once the watch has caught up.
func (m *Machine) checkPeerChanges(now time.Time) {
	w := &m.watch
	if w.phase != phaseWatching || !w.verified {
		return
	}
	for revision := range w.peerRevisions {
		if revision <= w.cursor {
			m.relist(now)
			return
		}
	}
	if w.cursor >= m.state.version.Revision() {
		m.confirm(now)
	}
}

// relist closes a watch that conflicts with the state in force and lists the
// store.
func (m *Machine) relist(now time.Time) {
	m.emit(StopWatch{})
	m.list(now)
}

// isApplied reports whether an event that is not newer than the version in force
// was applied, including when it was replaced since.
func (m *Machine) isApplied(entry Entry) bool {
	own, present := m.state.get(entry.Name)
	if !present {
		return entry.Deleted
	}
	return own.Revision > entry.Revision || own.Revision == entry.Revision && own.Deleted == entry.Deleted &&
		(entry.Purged() || own.hash() == entry.hash())
}

// applyEvent applies the next change of the store.
func (m *Machine) applyEvent(now time.Time, entry Entry) {
	if entry.Name == tree.EpochObject && epochOf(&entry) > m.state.version.Epoch() {
		m.relist(now)
		return
	}
	if entry.Revision <= m.state.version.Revision() {
		if !m.isApplied(entry) {
			m.relist(now)
			return
		}
		delete(m.watch.peerRevisions, entry.Revision)
		m.watch.cursor = max(m.watch.cursor, entry.Revision)
		return
	}
	if len(m.watch.peerRevisions) > 0 {
		m.relist(now)
		return
	}
	if old, present := m.state.get(entry.Name); entry.Purged() && present && !old.Deleted {
		entry.Spec = []byte(tombstoneSpec) // deleted directly in the store
	}
	m.watch.cursor = entry.Revision
	to := settings.MakeVersion(m.state.version.Epoch(), entry.Revision)
	m.announceDelta(now, &Delta{From: m.state.version, To: to, Entries: []Entry{entry}})
}

// announceDelta applies a delta from the store and sends it to the first nodes
// of each zone of the region and to this node's children.
func (m *Machine) announceDelta(now time.Time, delta *Delta) {
	changes := m.state.changes(delta)
	delta.Digest = m.state.digestWith(changes)
	m.advance(now, delta, changes)
	m.forward("", delta)
	for _, root := range m.plan.roots {
		if root != m.config.Self.Address {
			m.emit(SendDelta{To: root, Delta: delta})
		}
	}
}

// HandleWatchEnded processes the end of the watch.
func (m *Machine) HandleWatchEnded(now time.Time, ticket uint64, err error) []Action {
	if ticket != m.watch.ticket || m.watch.phase != phaseWatching {
		return m.takeActions()
	}
	if errors.Is(err, platform.ErrCompacted) {
		m.list(now)
		return m.takeActions()
	}
	m.storeFailed(now, err)
	return m.takeActions()
}
