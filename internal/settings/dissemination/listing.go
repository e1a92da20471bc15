package dissemination

import (
	"time"

	"chutelock.dev/chutelock/internal/settings"
	"chutelock.dev/chutelock/internal/settings/tree"
)

// HandleListed processes the answer to a ListStore: all objects, deleted ones with
// Deleted set, and the revision of the listing.
func (m *Machine) HandleListed(now time.Time, ticket uint64, listed []Entry, revision uint64, err error) []Action {
	if ticket == m.watch.ticket && m.watch.phase == phaseWatching {
		m.verifyByListing(now, listed, revision, err)
		return m.takeActions()
	}
	if ticket != m.watch.ticket || m.watch.phase != phaseListing {
		return m.takeActions()
	}
	if err != nil {
		m.storeFailed(now, err)
		return m.takeActions()
	}
	found := versionOf(listed)
	switch {
	case m.watch.basisVersion != m.state.version:
		m.tryStore(now)
	case !m.state.known:
		next := NewState(found, listed)
		m.acceptStore(now)
		m.open(now, revision)
		m.install(now, next)
	case found.Epoch() > m.state.version.Epoch():
		m.raiseEpoch(now, found, listed)
		m.open(now, revision)
	default:
		m.applyListingAndWatch(now, found, listed, revision)
	}
	return m.takeActions()
}

// versionOf returns the version of a listing.
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

// epochOf returns the epoch of the epoch object, or 0 if it is invalid.
func epochOf(entry *Entry) uint16 {
	epoch, err := tree.EpochOf(entry.Spec)
	if err != nil {
		return 0
	}
	return epoch
}

// raiseEpoch adopts the store's whole state after an operator raised the epoch.
func (m *Machine) raiseEpoch(now time.Time, found settings.Version, listed []Entry) {
	m.emit(Notify{Notice: NoticeEpochRaised, InForce: m.state.version, Found: found})
	next := NewState(found, listed)
	m.acceptStore(now)
	m.announceDelta(now, &Delta{From: m.state.version, To: found, Exact: true, Entries: m.state.difference(next)})
}

// applyListingAndWatch applies a listing of the epoch in force and opens the
// watch, unless the listing is refused.
func (m *Machine) applyListingAndWatch(now time.Time, found settings.Version, listed []Entry, revision uint64) {
	if !m.applyListing(now, found, listed, revision) {
		return
	}
	m.open(now, revision)
}

// applyListing applies a listing that continues the history in force and
// refuses any other. It reports whether the listing was accepted.
func (m *Machine) applyListing(now time.Time, found settings.Version, listed []Entry, revision uint64) bool {
	if revision < m.state.version.Revision() {
		m.refuse(now, NoticeStoreBehind, "", settings.MakeVersion(found.Epoch(), revision))
		return false
	}
	if name, ok := m.state.precedes(NewState(found, listed)); !ok {
		notice := NoticeStoreForked
		if found < m.state.version {
			notice = NoticeStoreBehind
		}
		m.refuse(now, notice, name, found)
		return false
	}
	m.acceptStore(now)
	if found > m.state.version {
		m.announceDelta(now, m.deltaTo(found, listed))
	}
	return true
}

// deltaTo returns the delta from the state in force to a listing. A tombstone
// that the listing lacks was purged.
func (m *Machine) deltaTo(found settings.Version, listed []Entry) *Delta {
	delta := &Delta{From: m.state.version, To: found}
	names := make(map[string]struct{}, len(listed))
	for _, entry := range listed {
		names[entry.Name] = struct{}{}
		if entry.Revision > m.state.version.Revision() {
			delta.Entries = append(delta.Entries, entry)
		}
	}
	m.state.Each(func(entry Entry) {
		if _, present := names[entry.Name]; !present {
			delta.Entries = append(delta.Entries, Entry{Name: entry.Name, Revision: found.Revision(), Deleted: true})
		}
	})
	return delta
}
