package replication

import (
	"errors"
	"fmt"
	"sort"
)

// entryOverhead is the estimated size of an entry without its data, in bytes.
const entryOverhead = 32

func (e Entry) size() int { return len(e.Data) + entryOverhead }

// log combines the log on disk with a tail in memory. The tail holds all
// entries not yet persisted and the latest persisted ones. Where both contain
// an index, the tail takes precedence: the disk may still hold entries that
// the next Ready replaces.
type log struct {
	storage Storage
	// tail holds the entries from index tailStart on.
	tail      []Entry
	tailStart uint64
	tailBytes int
	// stable is the last index whose entry on disk is the same as in this log.
	stable    uint64
	committed uint64
	applied   uint64
	// snapshot is the marker of a snapshot that the caller has yet to install.
	snapshot *SnapshotMarker
	// failure is the first fatal error; the replica stops when it is set.
	failure error
}

func newLog(storage Storage) (*log, error) {
	hard, err := storage.HardState()
	if err != nil {
		return nil, fmt.Errorf("replication: read hard state: %w", err)
	}
	marker, err := storage.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("replication: read snapshot marker: %w", err)
	}
	last, err := storage.LastIndex()
	if err != nil {
		return nil, fmt.Errorf("replication: read last index: %w", err)
	}
	if last < marker.Index || last < hard.Commit {
		return nil, fmt.Errorf("replication: last log index %d is below the applied index %d or the commit index %d",
			last, marker.Index, hard.Commit)
	}
	return &log{
		storage:   storage,
		tailStart: last + 1,
		stable:    last,
		committed: max(hard.Commit, marker.Index),
		applied:   marker.Index,
	}, nil
}

func (l *log) fail(err error) {
	if l.failure == nil {
		l.failure = err
	}
}

func (l *log) lastIndex() uint64 { return l.tailStart + uint64(len(l.tail)) - 1 }

func (l *log) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// firstIndex returns the index of the first entry that has not been compacted.
func (l *log) firstIndex() uint64 {
	if l.snapshot != nil {
		return l.snapshot.Index + 1
	}
	first, err := l.storage.FirstIndex()
	if err != nil {
		l.fail(fmt.Errorf("replication: read first index: %w", err))
	}
	return first
}

// term returns the term at index, or false if it is beyond the log or compacted.
func (l *log) term(index uint64) (uint64, bool) {
	if index == 0 {
		return 0, true
	}
	if index > l.lastIndex() {
		return 0, false
	}
	if index >= l.tailStart {
		return l.tail[index-l.tailStart].Term, true
	}
	if l.snapshot != nil {
		return l.snapshot.Term, index == l.snapshot.Index
	}
	term, err := l.storage.Term(index)
	if errors.Is(err, ErrCompacted) {
		return 0, false
	}
	if err != nil {
		l.fail(fmt.Errorf("replication: read term of %d: %w", index, err))
		return 0, false
	}
	return term, true
}

func (l *log) matches(index, term uint64) bool {
	stored, ok := l.term(index)
	return ok && stored == term
}

// upToDate reports whether a log whose last entry has this index and term is at
// least as up to date as this log, which is required to grant a vote.
func (l *log) upToDate(index, term uint64) bool {
	ownTerm := l.lastTerm()
	return term > ownTerm || (term == ownTerm && index >= l.lastIndex())
}

// entries returns the entries with from ≤ index < to, limited to maxBytes but
// at least one. It returns nil if the range is empty or from is compacted.
func (l *log) entries(from, to uint64, maxBytes int) []Entry {
	to = min(to, l.lastIndex()+1)
	if from >= to {
		return nil
	}
	if from >= l.tailStart {
		return limitBytes(l.tail[from-l.tailStart:to-l.tailStart], maxBytes)
	}
	if l.snapshot != nil {
		return nil
	}
	stored, err := l.storage.Entries(from, min(to, l.tailStart), maxBytes)
	if err != nil && !errors.Is(err, ErrCompacted) {
		l.fail(fmt.Errorf("replication: read entries from %d: %w", from, err))
	}
	if err != nil {
		return nil
	}
	return limitBytes(stored, maxBytes)
}

// limitBytes returns the longest prefix within maxBytes, but at least one entry.
// The caller must not append to it.
func limitBytes(entries []Entry, maxBytes int) []Entry {
	size := 0
	for i, entry := range entries {
		size += entry.size()
		if size > maxBytes && i > 0 {
			return entries[:i:i]
		}
	}
	return entries[:len(entries):len(entries)]
}

// append adds entries to the end of the log.
func (l *log) append(entries ...Entry) {
	for _, entry := range entries {
		l.tail = append(l.tail, entry)
		l.tailBytes += entry.size()
	}
}

// merge adds entries that follow a matching position: from the first entry
// that conflicts or is missing, they replace the rest of the log. It returns
// the index of that entry, or zero if the log already contains them all.
func (l *log) merge(entries []Entry) uint64 {
	for i, entry := range entries {
		if l.matches(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= l.committed {
			l.fail(fmt.Errorf("replication: append conflicts with committed entry %d", entry.Index))
			return 0
		}
		l.truncate(entry.Index)
		l.append(entries[i:]...)
		return entry.Index
	}
	return 0
}

// truncate removes the entries from index on.
func (l *log) truncate(index uint64) {
	if index > l.lastIndex() {
		return
	}
	l.stable = min(l.stable, index-1)
	retained := l.tail[:0:0]
	if index > l.tailStart {
		retained = append(retained, l.tail[:index-l.tailStart]...)
	} else {
		l.tailStart = index
	}
	l.tail, l.tailBytes = nil, 0
	l.append(retained...)
}

// lastWithTermAtMost returns the last index in [floor, from] whose term is at
// most limit, and its term. It relies on terms never decreasing along the log,
// and does not search compacted entries.
func (l *log) lastWithTermAtMost(from, limit, floor uint64) (uint64, uint64) {
	floor = min(from, max(floor, l.firstIndex()-1))
	above := sort.Search(int(from-floor), func(i int) bool {
		term, ok := l.term(floor + 1 + uint64(i))
		return ok && term > limit
	})
	found := floor + uint64(above)
	term, _ := l.term(found)
	return found, term
}

func (l *log) commitTo(index uint64) {
	l.committed = max(l.committed, min(index, l.lastIndex()))
}

// restore replaces the whole log with a snapshot that the caller has staged.
func (l *log) restore(marker SnapshotMarker) {
	l.snapshot = &marker
	l.tail, l.tailBytes = nil, 0
	l.tailStart = marker.Index + 1
	l.stable = marker.Index
	l.committed = marker.Index
}

// unstable returns the entries that are not persisted yet.
func (l *log) unstable() []Entry {
	if l.stable >= l.lastIndex() {
		return nil
	}
	tail := l.tail[l.stable+1-l.tailStart:]
	return tail[:len(tail):len(tail)]
}

// markStable records that the entries up to the given index and term are
// persisted, unless they have been replaced since.
func (l *log) markStable(index, term uint64) {
	if index > l.stable && index >= l.tailStart && l.matches(index, term) {
		l.stable = index
	}
}

// nextToApply returns the next committed entries to apply, within maxBytes.
func (l *log) nextToApply(maxBytes int) []Entry {
	if l.snapshot != nil || l.applied >= l.committed {
		return nil
	}
	entries := l.entries(l.applied+1, l.committed+1, maxBytes)
	if len(entries) == 0 {
		l.fail(fmt.Errorf("replication: committed entry %d was compacted before it was applied", l.applied+1))
	}
	return entries
}

// trimTail drops persisted and applied entries from memory once the tail exceeds
// maxBytes. It trims to half of maxBytes to amortize the cost of copying.
func (l *log) trimTail(maxBytes int) {
	if l.tailBytes <= maxBytes {
		return
	}
	droppable := min(l.stable, l.applied)
	drop := 0
	for drop < len(l.tail) && l.tailBytes > maxBytes/2 && l.tail[drop].Index <= droppable {
		l.tailBytes -= l.tail[drop].size()
		drop++
	}
	if drop == 0 {
		return
	}
	l.tailStart += uint64(drop)
	l.tail = append([]Entry(nil), l.tail[drop:]...)
}
