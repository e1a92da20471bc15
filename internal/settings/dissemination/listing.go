package dissemination

import (
	"time"

	"chutelock.dev/chutelock/internal/settings"
	"chutelock.dev/chutelock/internal/settings/tree"
)

// This file takes listings of the store.

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
	if found > m.state.version {
		m.announceDelta(now, m.deltaTo(found, listed))
	}
	return true
}

// deltaTo is what leads to a listing. A trace of a deletion that the listing
// lacks was swept.
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
