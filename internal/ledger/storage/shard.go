package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"sync"

	"github.com/cockroachdb/pebble/v2"
	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/ledger/replication"
)

// Shard stores the log, hard state and applied state of one replica. It
// implements replication.Storage. Save may run concurrently with CommitApplied
// or Compact; no other two writing methods, nor two calls of one, may run
// concurrently. Reads may run concurrently with all of them.
type Shard struct {
	store *Store
	id    ledger.ShardID

	mutex      sync.RWMutex // a leaf lock: guards the fields below
	generation uint64
	hard       replication.HardState
	applied    applied
	compacted  position // the entry before the log's first
	last       uint64   // the log's last index
	logBytes   uint64   // estimate, since the last compaction
}

var _ replication.Storage = (*Shard)(nil)

// OpenShard loads and checks a shard's records. It fails with ErrCorrupt when
// they are damaged or inconsistent. A new shard is empty.
func (s *Store) OpenShard(id ledger.ShardID) (*Shard, error) {
	if err := s.acquire(); err != nil {
		return nil, trace.Wrap(err, "open shard %d", id)
	}
	defer s.access.RUnlock()
	shard := &Shard{store: s, id: id}
	if err := shard.load(); err != nil {
		if errors.Is(err, ErrCorrupt) {
			markCorrupt(s.options)
			s.fail(err)
		}
		return nil, trace.Wrap(err, "load shard %d", id)
	}
	return shard, nil
}

// ShardIDs returns the shards with data in the store, in ascending order.
func (s *Store) ShardIDs() ([]ledger.ShardID, error) {
	if err := s.acquire(); err != nil {
		return nil, trace.Wrap(err, "list shards")
	}
	defer s.access.RUnlock()
	iterator, err := s.db.NewIter(&pebble.IterOptions{
		LowerBound: []byte{spaceShard},
		UpperBound: []byte{spaceShard + 1},
	})
	if err != nil {
		return nil, trace.Wrap(classify(err), "list shards")
	}
	var ids []ledger.ShardID
	for valid := iterator.First(); valid; {
		id := ledger.ShardID(binary.BigEndian.Uint32(iterator.Key()[1:]))
		ids = append(ids, id)
		valid = iterator.SeekGE(prefixEnd(shardPrefix(id)))
	}
	return ids, trace.Wrap(classify(iterator.Close()), "list shards")
}

// Failure returns the reason that the shard's store can't write any more, or nil.
func (s *Shard) Failure() error { return s.store.Failure() }

// ID returns the shard's ID.
func (s *Shard) ID() ledger.ShardID { return s.id }

// Incarnation identifies this replica's persistent state: it changes with the
// folder's incarnation and each time the replica is destroyed.
func (s *Shard) Incarnation() uint64 {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.store.incarnation + s.generation
}

// Empty reports whether the replica has no hard state, log or snapshot.
func (s *Shard) Empty() bool {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.last == 0 && s.hard == (replication.HardState{})
}

func (s *Shard) load() error {
	steps := []func() error{s.loadGeneration, s.loadHardState, s.loadApplied, s.loadCompacted, s.loadLog}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	if s.last < s.hard.Commit || s.last < s.applied.marker.Index {
		return fmt.Errorf("%w: shard %d ends at %d, before its commit index %d or its applied index %d",
			ErrCorrupt, s.id, s.last, s.hard.Commit, s.applied.marker.Index)
	}
	return s.deleteStagedStates()
}

func (s *Shard) loadGeneration() error {
	record, found, err := s.store.getRecord(generationKey(s.id))
	if err != nil || !found {
		return err
	}
	generation, err := decodePosition(record)
	s.generation = generation.Index
	return err
}

func (s *Shard) loadHardState() error {
	record, found, err := s.store.getRecord(sectionKey(s.id, sectionHardState))
	if err != nil || !found {
		return err
	}
	s.hard, err = replication.UnmarshalHardState(record)
	if err != nil {
		return fmt.Errorf("%w: hard state: %w", ErrCorrupt, err)
	}
	return nil
}

func (s *Shard) loadApplied() error {
	record, found, err := s.store.getRecord(sectionKey(s.id, sectionApplied))
	if err != nil || !found {
		return err
	}
	s.applied, err = decodeApplied(record)
	return err
}

func (s *Shard) loadCompacted() error {
	record, found, err := s.store.getRecord(sectionKey(s.id, sectionCompacted))
	if err != nil || !found {
		return err
	}
	s.compacted, err = decodePosition(record)
	return err
}

// loadLog checks every entry of the log and finds its end and size.
func (s *Shard) loadLog() error {
	s.last = s.compacted.Index
	return s.scanLog(s.compacted.Index+1, ^uint64(0), func(entry replication.Entry, size int) (bool, error) {
		if entry.Index != s.last+1 {
			return false, fmt.Errorf("%w: shard %d has entry %d after %d", ErrCorrupt, s.id, entry.Index, s.last)
		}
		s.last = entry.Index
		s.logBytes += uint64(size)
		return true, nil
	})
}

// deleteStagedStates deletes staged snapshots that were never installed.
func (s *Shard) deleteStagedStates() error {
	batch := s.store.db.NewBatch()
	err := errors.Join(
		batch.DeleteRange(sectionKey(s.id, sectionState), statePrefix(s.id, s.applied.version), nil),
		batch.DeleteRange(prefixEnd(statePrefix(s.id, s.applied.version)), sectionKey(s.id, sectionState+1), nil),
	)
	if err != nil {
		return err
	}
	return s.store.committer.commit(batch, false)
}

// HardState implements replication.Storage.
func (s *Shard) HardState() (replication.HardState, error) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.hard, nil
}

// Snapshot implements replication.Storage.
func (s *Shard) Snapshot() (replication.SnapshotMarker, error) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.applied.marker, nil
}

// FirstIndex implements replication.Storage.
func (s *Shard) FirstIndex() (uint64, error) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.compacted.Index + 1, nil
}

// LastIndex implements replication.Storage.
func (s *Shard) LastIndex() (uint64, error) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.last, nil
}

// Term implements replication.Storage.
func (s *Shard) Term(index uint64) (uint64, error) {
	if index == 0 {
		return 0, nil
	}
	if err := s.checkIndex(index); err != nil {
		return s.compactedTerm(index, err)
	}
	var term uint64
	found := false
	err := s.scanLog(index, index+1, func(entry replication.Entry, _ int) (bool, error) {
		term, found = entry.Term, true
		return false, nil
	})
	if err == nil && !found {
		err = replication.ErrUnavailable // truncated concurrently
	}
	return term, err
}

// checkIndex returns an error unless the log holds the entry at the index.
func (s *Shard) checkIndex(index uint64) error {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	switch {
	case index <= s.compacted.Index:
		return replication.ErrCompacted
	case index > s.last:
		return replication.ErrUnavailable
	}
	return nil
}

func (s *Shard) compactedTerm(index uint64, err error) (uint64, error) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	if index == s.compacted.Index {
		return s.compacted.Term, nil
	}
	return 0, err
}

// Entries implements replication.Storage.
func (s *Shard) Entries(from, to uint64, maxBytes int) ([]replication.Entry, error) {
	if err := s.checkIndex(from); err != nil {
		return nil, err
	}
	var entries []replication.Entry
	total := 0
	err := s.scanLog(from, to, func(entry replication.Entry, size int) (bool, error) {
		total += size
		if total > maxBytes && len(entries) > 0 {
			return false, nil
		}
		entries = append(entries, entry)
		return true, nil
	})
	if err == nil && len(entries) == 0 {
		err = replication.ErrCompacted // compacted concurrently
	}
	return entries, err
}

// scanLog visits the entries from ≤ index < to, in order. Entries own their data.
func (s *Shard) scanLog(from, to uint64, visit func(entry replication.Entry, size int) (bool, error)) error {
	iterator, err := s.store.db.NewIter(&pebble.IterOptions{LowerBound: logKey(s.id, from), UpperBound: logKey(s.id, to)})
	if err != nil {
		return trace.Wrap(classify(err), "open the log of shard %d", s.id)
	}
	err = s.visitLog(iterator, visit)
	if closeErr := iterator.Close(); closeErr != nil && err == nil {
		err = trace.Wrap(classify(closeErr), "read the log of shard %d", s.id)
	}
	return err
}

func (s *Shard) visitLog(iterator *pebble.Iterator, visit func(replication.Entry, int) (bool, error)) error {
	for valid := iterator.First(); valid; valid = iterator.Next() {
		value, err := iterator.ValueAndErr()
		if err != nil {
			return classify(err)
		}
		record, err := verifyChecksum(iterator.Key(), value)
		if err != nil {
			return err
		}
		entry, err := replication.UnmarshalEntry(append([]byte(nil), record...))
		if err != nil {
			return fmt.Errorf("%w: entry: %w", ErrCorrupt, err)
		}
		more, err := visit(entry, len(record))
		if err != nil || !more {
			return err
		}
	}
	return classify(iterator.Error())
}

// LogBytes returns an estimate of the size of the log, in bytes.
func (s *Shard) LogBytes() uint64 {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.logBytes
}

// IncarnationAt returns the Incarnation of a shard without opening it.
func (s *Store) IncarnationAt(id ledger.ShardID) (uint64, error) {
	if err := s.acquire(); err != nil {
		return 0, trace.Wrap(err, "read the incarnation at shard %d", id)
	}
	defer s.access.RUnlock()
	shard := &Shard{store: s, id: id}
	if err := shard.loadGeneration(); err != nil {
		return 0, trace.Wrap(err, "read the incarnation at shard %d", id)
	}
	return shard.Incarnation(), nil
}
