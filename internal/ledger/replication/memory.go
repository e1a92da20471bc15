package replication

import "slices"

// MemoryStorage is an in-memory Storage for tests, not safe for concurrent use.
type MemoryStorage struct {
	hard    HardState
	applied SnapshotMarker
	// start is the position before the first stored entry.
	start   SnapshotMarker
	entries []Entry
}

var _ Storage = (*MemoryStorage)(nil)

// NewMemoryStorage returns a storage that starts at marker, zero for an empty disk.
func NewMemoryStorage(marker SnapshotMarker) *MemoryStorage {
	storage := &MemoryStorage{applied: marker, start: marker}
	if marker.Index > 0 {
		storage.hard = BootstrapState()
	}
	return storage
}

// HardState implements Storage.
func (s *MemoryStorage) HardState() (HardState, error) { return s.hard, nil }

// Snapshot implements Storage.
func (s *MemoryStorage) Snapshot() (SnapshotMarker, error) { return s.applied, nil }

// FirstIndex implements Storage.
func (s *MemoryStorage) FirstIndex() (uint64, error) { return s.start.Index + 1, nil }

// LastIndex implements Storage.
func (s *MemoryStorage) LastIndex() (uint64, error) {
	return s.start.Index + uint64(len(s.entries)), nil
}

// Term implements Storage.
func (s *MemoryStorage) Term(index uint64) (uint64, error) {
	switch {
	case index < s.start.Index:
		return 0, ErrCompacted
	case index == s.start.Index:
		return s.start.Term, nil
	case index > s.start.Index+uint64(len(s.entries)):
		return 0, ErrUnavailable
	}
	return s.entries[index-s.start.Index-1].Term, nil
}

// Entries implements Storage.
func (s *MemoryStorage) Entries(from, to uint64, maxBytes int) ([]Entry, error) {
	switch {
	case from <= s.start.Index:
		return nil, ErrCompacted
	case to > s.start.Index+uint64(len(s.entries))+1:
		return nil, ErrUnavailable
	}
	return limitBytes(s.entries[from-s.start.Index-1:to-s.start.Index-1], maxBytes), nil
}

// Persist stores the snapshot, entries and hard state of a Ready.
func (s *MemoryStorage) Persist(ready Ready) {
	if ready.Snapshot != nil {
		s.applied, s.start, s.entries = *ready.Snapshot, *ready.Snapshot, nil
	}
	if len(ready.Entries) > 0 {
		s.truncate(ready.Entries[0].Index)
		s.entries = append(s.entries, ready.Entries...)
	}
	if ready.HardState != nil {
		s.hard = *ready.HardState
	}
}

// truncate removes the entries from index on. It copies the rest, so that slices
// returned by Entries stay unchanged.
func (s *MemoryStorage) truncate(index uint64) {
	if kept := index - s.start.Index - 1; kept < uint64(len(s.entries)) {
		s.entries = slices.Clone(s.entries[:kept])
	}
}

// Applied records that the state machine has applied the entry. It returns an
// error only if the entry holds a configuration that cannot be decoded.
func (s *MemoryStorage) Applied(entry Entry) error {
	s.applied.Index, s.applied.Term = entry.Index, entry.Term
	if entry.Type != EntryConfiguration {
		return nil
	}
	configuration, err := UnmarshalConfiguration(entry.Data)
	s.applied.Configuration = configuration
	return err
}

// Compact removes the applied entries up to and including index.
func (s *MemoryStorage) Compact(index uint64) {
	index = min(index, s.applied.Index)
	if index <= s.start.Index {
		return
	}
	term, err := s.Term(index)
	if err != nil {
		return
	}
	s.entries = append([]Entry(nil), s.entries[index-s.start.Index:]...)
	s.start = SnapshotMarker{Index: index, Term: term}
}
