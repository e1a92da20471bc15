package replica

import (
	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/ledger/replication"
	"chutelock.dev/chutelock/internal/ledger/storage"
)

// queuedApplyBytes bounds the committed entries that wait to be applied; the
// protocol waits when there are more.
const queuedApplyBytes = 8 << 20

// applyQueue holds committed entries on their way to the state machine. They
// are applied beside the protocol, so that heartbeats don't wait for the state
// machine. After a crash, the log is applied again from the applied index on
// the disk. It is guarded by the shard's mutex.
type applyQueue struct {
	batches [][]replication.Entry
	bytes   int  // of batches, and of the batch being applied
	working bool // a worker has it
}

// queueApply hands committed entries to a worker; the caller holds the mutex.
func (s *Shard) queueApply(entries []replication.Entry) {
	if len(entries) == 0 {
		return
	}
	s.queue.batches = append(s.queue.batches, entries)
	s.queue.bytes += batchBytes(entries)
	if s.queue.working || s.enter() != nil {
		return
	}
	s.queue.working = true
	s.service.appliers.Submit(s.applyAll)
}

func batchBytes(entries []replication.Entry) int {
	size := 0
	for _, entry := range entries {
		size += len(entry.Data) + 1
	}
	return size
}

// awaitApplied waits until no more than queuedApplyBytes wait to be applied,
// or the shard stops.
func (s *Shard) awaitApplied() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for s.queue.bytes > queuedApplyBytes && !s.stopped && s.halted == nil {
		s.progressed.Wait()
	}
}

// awaitIdle waits until nothing is being applied or compacted, so that the
// state can be replaced. It returns false when the shard stops.
func (s *Shard) awaitIdle() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for s.queue.working && !s.stopped && s.halted == nil {
		s.progressed.Wait()
	}
	return !s.stopped && s.halted == nil
}

// applyAll applies until nothing is queued.
func (s *Shard) applyAll() {
	defer s.users.Done()
	for {
		entries, more := s.nextBatch()
		if !more {
			return
		}
		answers, err := s.apply(entries)
		if compactTo := s.finishApply(entries, answers, err); compactTo > 0 {
			s.compact(compactTo)
		}
	}
}

func (s *Shard) nextBatch() ([]replication.Entry, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.queue.batches) == 0 || s.stopped || s.halted != nil {
		s.queue.working = false
		s.progressed.Broadcast()
		return nil, false
	}
	entries := s.queue.batches[0]
	s.queue.batches = s.queue.batches[1:]
	return entries, true
}

// finishApply answers those who waited. It returns up to where the log may be
// dropped, or 0.
func (s *Shard) finishApply(entries []replication.Entry, answers []appliedEntry, err error) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.queue.bytes -= batchBytes(entries)
	s.progressed.Broadcast()
	if err != nil {
		s.halt(err)
		return 0
	}
	for _, applied := range answers {
		s.answerProposal(applied)
	}
	s.answerReads()
	return s.droppable()
}

// appliedEntry is what came of applying an entry.
type appliedEntry struct {
	index  uint64
	term   uint64
	answer []byte
}

// apply applies committed entries in one transaction.
func (s *Shard) apply(entries []replication.Entry) ([]appliedEntry, error) {
	marker, err := s.disk.Snapshot()
	if err != nil {
		return nil, err
	}
	transaction := s.disk.NewTransaction()
	defer transaction.Close()
	answers := make([]appliedEntry, 0, len(entries))
	for _, entry := range entries {
		marker.Index, marker.Term = entry.Index, entry.Term
		answer, err := s.applyOne(transaction, &marker, entry)
		if err != nil {
			return nil, trace.Wrap(err, "apply entry %d", entry.Index)
		}
		answers = append(answers, appliedEntry{index: entry.Index, term: entry.Term, answer: answer})
	}
	if err := s.disk.CommitApplied(transaction, marker, false); err != nil {
		return nil, err
	}
	s.service.metrics.applied.Add(float64(len(entries)))
	return answers, nil
}

func (s *Shard) applyOne(transaction *storage.Transaction, marker *replication.SnapshotMarker, entry replication.Entry) ([]byte, error) {
	switch {
	case entry.Type == replication.EntryConfiguration:
		configuration, err := replication.UnmarshalConfiguration(entry.Data)
		if err != nil {
			return nil, err
		}
		return nil, s.applyConfiguration(transaction, marker, configuration)
	case len(entry.Data) == 0:
		return nil, nil // opens a leader's term
	case entry.Data[0] == entryRoster:
		return nil, s.applyRoster(transaction, entry.Data[1:])
	default:
		answer, err := s.machine.Apply(transaction, entry.Index, entry.Data[1:])
		return append([]byte(nil), answer...), err
	}
}

// applyConfiguration also drops the roster entries of replicas that left.
func (s *Shard) applyConfiguration(transaction *storage.Transaction, marker *replication.SnapshotMarker, next replication.Configuration) error {
	for _, id := range marker.Configuration.Members() {
		if next.HasVoter(id) || next.HasLearner(id) {
			continue
		}
		if err := transaction.DeleteRoster(id); err != nil {
			return err
		}
		s.mutex.Lock()
		delete(s.roster, id)
		s.mutex.Unlock()
	}
	marker.Configuration = next
	s.service.repairSoon()
	return nil
}

func (s *Shard) applyRoster(transaction *storage.Transaction, encoded []byte) error {
	entry, err := storage.UnmarshalRosterEntry(encoded)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	s.roster[entry.Replica] = entry
	s.mutex.Unlock()
	return transaction.SetRoster(entry)
}

// droppable returns up to where neither slow followers nor transfers need the
// log, or 0; the caller holds the mutex. A log that is far too long is dropped
// whoever needs it.
func (s *Shard) droppable() uint64 {
	retain := s.service.options.RetainBytes
	size := s.disk.LogBytes()
	if size < 2*retain {
		return 0
	}
	marker, _ := s.disk.Snapshot()
	first, _ := s.disk.FirstIndex()
	last, _ := s.disk.LastIndex()
	surplus := uint64(float64(last-first+1) * float64(size-retain) / float64(size))
	index := min(first+surplus, marker.Index)
	if size < retainLimit*retain {
		index = s.neededFrom(index)
	}
	if index <= first {
		return 0
	}
	return index
}

func (s *Shard) compact(index uint64) {
	if err := s.disk.Compact(index); err != nil {
		s.mutex.Lock()
		s.halt(err)
		s.mutex.Unlock()
	}
}

// neededFrom returns the lowest index that a follower or transfer needs.
func (s *Shard) neededFrom(index uint64) uint64 {
	for _, follower := range s.core.Status().Followers {
		if !follower.Silent && !follower.Snapshotting {
			index = min(index, follower.Match)
		}
	}
	return min(index, s.service.snapshots.neededFrom(s.id))
}

// retainLimit is how many times RetainBytes a log may grow for those who
// still need it.
const retainLimit = 16
