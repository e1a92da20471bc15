package replica

import (
	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/ledger/replication"
	"chutelock.dev/chutelock/internal/ledger/storage"
)

// maxQueuedApplyBytes limits the committed entries queued for the state machine;
// the protocol blocks above it.
const maxQueuedApplyBytes = 8 << 20

// applyQueue holds committed entries for the state machine. They are applied
// concurrently with the protocol so that heartbeats don't wait for them. After a
// crash, the log is replayed from the applied index on disk. The shard's mutex
// guards it.
type applyQueue struct {
	batches [][]replication.Entry
	bytes   int  // in batches and in the batch being applied
	active  bool // a worker is processing the queue
}

// queueApply queues committed entries and starts a worker if none is active;
// the caller holds the mutex.
func (s *Shard) queueApply(entries []replication.Entry) {
	if len(entries) == 0 {
		return
	}
	s.queue.batches = append(s.queue.batches, entries)
	s.queue.bytes += batchBytes(entries)
	if s.queue.active || s.acquireDisk() != nil {
		return
	}
	s.queue.active = true
	s.service.appliers.Submit(s.applyAll)
}

func batchBytes(entries []replication.Entry) int {
	size := 0
	for _, entry := range entries {
		size += len(entry.Data) + 1
	}
	return size
}

// awaitApplied blocks until at most maxQueuedApplyBytes are queued or the shard
// stops.
func (s *Shard) awaitApplied() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for s.queue.bytes > maxQueuedApplyBytes && !s.stopped && s.halted == nil {
		s.progressed.Wait()
	}
}

// awaitIdle blocks until nothing is being applied or compacted, so that the
// state can be replaced. It returns false if the shard stops.
func (s *Shard) awaitIdle() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for s.queue.active && !s.stopped && s.halted == nil {
		s.progressed.Wait()
	}
	return !s.stopped && s.halted == nil
}

// applyAll applies queued batches until the queue is empty.
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
		s.queue.active = false
		s.progressed.Broadcast()
		return nil, false
	}
	entries := s.queue.batches[0]
	s.queue.batches = s.queue.batches[1:]
	return entries, true
}

// finishApply completes the proposals and reads that the batch satisfies. It
// returns the index up to which the log can be compacted, or 0.
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
	return s.compactionIndex()
}

// appliedEntry is the result of applying an entry.
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
		return nil, nil // a new leader's first entry
	case entry.Data[0] == entryRoster:
		return nil, s.applyRoster(transaction, entry.Data[1:])
	default:
		answer, err := s.machine.Apply(transaction, entry.Index, entry.Data[1:])
		return append([]byte(nil), answer...), err
	}
}

// applyConfiguration installs a configuration and deletes the roster entries of
// removed replicas.
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
	s.service.triggerRepair()
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

// compactionIndex returns the index up to which the log can be compacted, or 0;
// the caller holds the mutex. It keeps what slow followers and snapshot transfers
// need, up to maxRetainFactor times RetainBytes.
func (s *Shard) compactionIndex() uint64 {
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
	if size < maxRetainFactor*retain {
		index = s.minNeededIndex(index)
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

// minNeededIndex returns the lowest index, at most index, that a follower or a
// snapshot transfer needs.
func (s *Shard) minNeededIndex(index uint64) uint64 {
	for _, follower := range s.core.Status().Followers {
		if !follower.Silent && !follower.Snapshotting {
			index = min(index, follower.Match)
		}
	}
	return min(index, s.service.snapshots.minNeededIndex(s.id))
}

// maxRetainFactor limits, in multiples of RetainBytes, the log kept for slow
// followers and snapshot transfers.
const maxRetainFactor = 16
