package storage

import (
	"errors"
	"fmt"

	"github.com/cockroachdb/pebble/v2"
	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/ledger/replication"
)

// ErrNotEmpty means that a shard can't be bootstrapped since it has data.
var ErrNotEmpty = errors.New("storage: the shard has data already")

// putRecord adds a record with its checksum to the batch.
func putRecord(batch *pebble.Batch, key, record []byte) error {
	return batch.Set(key, addChecksum(key, record), nil)
}

func (s *Store) getRecord(key []byte) (record []byte, found bool, err error) {
	return getRecordFrom(s.db, key)
}

func getRecordFrom(reader pebble.Reader, key []byte) (record []byte, found bool, err error) {
	value, closer, err := reader.Get(key)
	if errors.Is(err, pebble.ErrNotFound) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, classify(err)
	}
	defer closer.Close()
	record, err = verifyChecksum(key, value)
	return append([]byte(nil), record...), err == nil, err
}

// Bootstrap initializes an empty replica of a new shard with the roster of all
// its first replicas. The write is synced.
func (s *Shard) Bootstrap(marker replication.SnapshotMarker, hard replication.HardState, roster []RosterEntry) error {
	if !s.Empty() {
		return trace.Wrap(ErrNotEmpty, "bootstrap shard %d", s.id)
	}
	batch := s.store.db.NewBatch()
	prefix := statePrefix(s.id, s.applied.version)
	for _, entry := range roster {
		if err := batch.Set(rosterKey(prefix, entry.Replica), entry.Marshal(), nil); err != nil {
			return trace.Wrap(err)
		}
	}
	next := applied{marker: marker, version: s.applied.version}
	if err := s.putBaseState(batch, next, hard); err != nil {
		return trace.Wrap(err, "bootstrap shard %d", s.id)
	}
	if err := s.store.committer.commit(batch, true); err != nil {
		return trace.Wrap(err, "bootstrap shard %d", s.id)
	}
	s.setBaseState(next, hard)
	return nil
}

// putBaseState adds an applied state and hard state with an empty log.
func (s *Shard) putBaseState(batch *pebble.Batch, next applied, hard replication.HardState) error {
	record, err := next.encode()
	if err != nil {
		return err
	}
	compacted, err := position{Index: next.marker.Index, Term: next.marker.Term}.encode()
	if err != nil {
		return err
	}
	return errors.Join(
		putRecord(batch, sectionKey(s.id, sectionApplied), record),
		putRecord(batch, sectionKey(s.id, sectionCompacted), compacted),
		putRecord(batch, sectionKey(s.id, sectionHardState), hard.Marshal()),
		batch.DeleteRange(logKey(s.id, 0), sectionKey(s.id, sectionLog+1), nil),
	)
}

func (s *Shard) setBaseState(next applied, hard replication.HardState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.applied = next
	s.hard = hard
	s.compacted = position{Index: next.marker.Index, Term: next.marker.Term}
	s.last = next.marker.Index
	s.logBytes = 0
}

// Save writes the hard state, if not nil, and the entries, which replace the log
// from the first entry's index on. With sync, they are durable when it returns.
func (s *Shard) Save(hard *replication.HardState, entries []replication.Entry, sync bool) error {
	batch := s.store.db.NewBatch()
	size, err := s.putEntries(batch, entries)
	if err != nil {
		return trace.Wrap(err, "save shard %d", s.id)
	}
	if hard != nil {
		if err := putRecord(batch, sectionKey(s.id, sectionHardState), hard.Marshal()); err != nil {
			return trace.Wrap(err, "save shard %d", s.id)
		}
	}
	if err := s.store.committer.commit(batch, sync); err != nil {
		return trace.Wrap(err, "save shard %d", s.id)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if hard != nil {
		s.hard = *hard
	}
	if len(entries) > 0 {
		s.last = entries[len(entries)-1].Index
		s.logBytes += size
	}
	return nil
}

func (s *Shard) putEntries(batch *pebble.Batch, entries []replication.Entry) (size uint64, err error) {
	if len(entries) == 0 {
		return 0, nil
	}
	first, last := entries[0].Index, entries[len(entries)-1].Index
	s.mutex.RLock()
	compacted, lastIndex := s.compacted.Index, s.last
	s.mutex.RUnlock()
	if first <= compacted || first > lastIndex+1 {
		return 0, fmt.Errorf("storage: entries from %d don't follow the log (%d, %d]", first, compacted, lastIndex)
	}
	if last < lastIndex {
		if err := batch.DeleteRange(logKey(s.id, last+1), logKey(s.id, lastIndex+1), nil); err != nil {
			return 0, err
		}
	}
	for _, entry := range entries {
		record := entry.Marshal()
		if err := putRecord(batch, logKey(s.id, entry.Index), record); err != nil {
			return 0, err
		}
		size += uint64(len(record))
	}
	return size, nil
}

// NewTransaction returns a transaction for the writes of applied entries.
func (s *Shard) NewTransaction() *Transaction {
	batch := s.store.db.NewIndexedBatch()
	prefix := statePrefix(s.id, s.stateVersion())
	return &Transaction{
		keySpace:      keySpace{reader: batch, prefix: append(prefix, partMachine)},
		batch:         batch,
		versionPrefix: prefix,
	}
}

// CommitApplied commits the transaction and the marker atomically. Without sync,
// a crash may lose them, but only as a whole and with all later commits. It
// closes the transaction.
func (s *Shard) CommitApplied(transaction *Transaction, marker replication.SnapshotMarker, sync bool) error {
	defer transaction.Close()
	next := applied{marker: marker, version: s.stateVersion()}
	record, err := next.encode()
	if err != nil {
		return trace.Wrap(err)
	}
	if err := putRecord(transaction.batch, sectionKey(s.id, sectionApplied), record); err != nil {
		return trace.Wrap(err, "apply to shard %d", s.id)
	}
	batch := transaction.batch
	transaction.batch = nil
	if err := s.store.committer.commit(batch, sync); err != nil {
		return trace.Wrap(err, "apply to shard %d", s.id)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.applied = next
	return nil
}

// NewView opens a consistent view of the applied state and its marker.
func (s *Shard) NewView() (*View, error) {
	snapshot := s.store.db.NewSnapshot()
	view := &View{snapshot: snapshot}
	record, found, err := getRecordFrom(snapshot, sectionKey(s.id, sectionApplied))
	if err == nil && found {
		view.applied, err = decodeApplied(record)
	}
	if err != nil {
		_ = snapshot.Close()
		return nil, trace.Wrap(err, "view shard %d", s.id)
	}
	view.versionPrefix = statePrefix(s.id, view.applied.version)
	view.keySpace = keySpace{reader: snapshot, prefix: append(statePrefix(s.id, view.applied.version), partMachine)}
	return view, nil
}

func (s *Shard) stateVersion() uint32 {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.applied.version
}

// Compact removes applied entries up to and including index from the log. The
// write is not synced: if a crash loses it, the entries are still there.
func (s *Shard) Compact(index uint64) error {
	marker, _ := s.Snapshot()
	index = min(index, marker.Index)
	if s.checkIndex(index) != nil {
		return nil
	}
	term, err := s.Term(index)
	if err != nil {
		return trace.Wrap(err, "compact shard %d", s.id)
	}
	next := position{Index: index, Term: term}
	record, err := next.encode()
	if err != nil {
		return trace.Wrap(err)
	}
	batch := s.store.db.NewBatch()
	err = errors.Join(
		batch.DeleteRange(logKey(s.id, 0), logKey(s.id, index+1), nil),
		putRecord(batch, sectionKey(s.id, sectionCompacted), record),
	)
	if err != nil {
		return trace.Wrap(err, "compact shard %d", s.id)
	}
	if err := s.store.committer.commit(batch, false); err != nil {
		return trace.Wrap(err, "compact shard %d", s.id)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	total := s.last - s.compacted.Index
	s.logBytes -= s.logBytes / total * (index - s.compacted.Index)
	s.compacted = next
	return nil
}

// Destroy durably deletes the replica's data and changes its incarnation.
func (s *Shard) Destroy() error {
	s.mutex.RLock()
	generation := s.generation + 1
	s.mutex.RUnlock()
	record, err := position{Index: generation}.encode()
	if err != nil {
		return trace.Wrap(err)
	}
	batch := s.store.db.NewBatch()
	err = errors.Join(
		batch.DeleteRange(shardPrefix(s.id), prefixEnd(shardPrefix(s.id)), nil),
		putRecord(batch, generationKey(s.id), record),
	)
	if err != nil {
		return trace.Wrap(err, "destroy shard %d", s.id)
	}
	if err := s.store.committer.commit(batch, true); err != nil {
		return trace.Wrap(err, "destroy shard %d", s.id)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.generation = generation
	s.hard, s.applied, s.compacted, s.last, s.logBytes = replication.HardState{}, applied{}, position{}, 0, 0
	return nil
}
