package replication

import (
	"errors"
	"fmt"
	"sort"
)

// entryOverhead is what an entry costs beside its data, in bytes.
const entryOverhead = 32

func (e Entry) size() int { return len(e.Data) + entryOverhead }

// log is the replica's view of its log: what is on disk, followed by a tail
// in memory. The tail holds everything that is not persisted yet, and the
// newest entries that are. Where both hold an index, the tail is right: the
// disk may still hold entries that the next Ready replaces.
type log struct {
	storage Storage
	// tail holds the entries from tailStart on.
	tail      []Entry
	tailStart uint64
	tailBytes int
	// stable is the last index that is persisted as the tail has it.
	stable    uint64
	committed uint64
	applied   uint64
	// snapshot awaits its installation by the shell.
	snapshot *SnapshotMarker
	// failure is the first error of the storage; the replica stops for it.
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
		return nil, fmt.Errorf("replication: the log ends at %d, before the applied index %d or the commit index %d",
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

// firstIndex is the first entry that can be read.
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

// term returns false when the log does not hold the index, or no longer.
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
	held, ok := l.term(index)
	return ok && held == term
}

// upToDate says whether a log that ends at index and term holds at least
// every entry that this one might know to be committed.
func (l *log) upToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || (term == own && index >= l.lastIndex())
}

// entries returns from ≤ index < to within maxBytes, at least one; nil when
// the log no longer holds from.
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

// limitBytes returns a prefix, which the caller must not append to.
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

// append adds entries after the last one.
func (l *log) append(entries ...Entry) {
	for _, entry := range entries {
		l.tail = append(l.tail, entry)
		l.tailBytes += entry.size()
	}
}

// merge takes entries that follow a matching position, keeps those that it
// has, and replaces everything from the first difference on. It returns the
// index of the first entry that is new, zero when none is.
func (l *log) merge(entries []Entry) uint64 {
	for i, entry := range entries {
		if l.matches(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= l.committed {
			l.fail(fmt.Errorf("replication: a committed entry %d would be replaced", entry.Index))
			return 0
		}
		l.truncate(entry.Index)
		l.append(entries[i:]...)
		return entry.Index
	}
	return 0
}

// truncate drops the entries from index on.
func (l *log) truncate(index uint64) {
	if index > l.lastIndex() {
		return
	}
	l.stable = min(l.stable, index-1)
	kept := l.tail[:0:0]
	if index > l.tailStart {
		kept = append(kept, l.tail[:index-l.tailStart]...)
	} else {
		l.tailStart = index
	}
	l.tail, l.tailBytes = nil, 0
	l.append(kept...)
}

// lastNotAbove finds the last index from floor to from whose term is at most
// limit, and that term. Terms never fall along the log. Below floor nothing
// is looked up, nor what the log no longer holds.
func (l *log) lastNotAbove(from, limit, floor uint64) (uint64, uint64) {
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

// restore replaces the whole log by a snapshot that the shell has staged.
func (l *log) restore(marker SnapshotMarker) {
	l.snapshot = &marker
	l.tail, l.tailBytes = nil, 0
	l.tailStart = marker.Index + 1
	l.stable = marker.Index
	l.committed = marker.Index
}

// unstable returns the entries that are to be persisted.
func (l *log) unstable() []Entry {
	if l.stable >= l.lastIndex() {
		return nil
	}
	tail := l.tail[l.stable+1-l.tailStart:]
	return tail[:len(tail):len(tail)]
}

// stabilized notes that the disk holds the entry at index and term and all
// before it, unless they were replaced since.
func (l *log) stabilized(index, term uint64) {
	if index > l.stable && index >= l.tailStart && l.matches(index, term) {
		l.stable = index
	}
}

// nextToApply returns committed entries that were not handed out yet.
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

// shrink drops persisted and applied entries from memory: to half of maxBytes
// once they exceed it, so that the cost of copying is spread.
func (l *log) shrink(maxBytes int) {
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
