package replica

import (
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/ledger/replication"
	"chutelock.dev/chutelock/internal/ledger/storage"
)

// schedule gives the shard to a worker, unless one has it; the caller holds
// the mutex.
func (s *Shard) schedule() {
	if s.scheduled || s.enter() != nil {
		return
	}
	s.scheduled = true
	s.service.workers.Submit(s.process)
}

// process works until there is nothing left to do.
func (s *Shard) process() {
	defer s.users.Done()
	for {
		ready, more := s.takeReady()
		if !more {
			return
		}
		answers, err := s.perform(ready)
		if compactTo := s.finish(ready, answers, err); compactTo > 0 {
			s.compact(compactTo)
		}
	}
}

func (s *Shard) takeReady() (replication.Ready, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped || s.halted != nil || !s.core.HasReady() {
		s.scheduled = false
		return replication.Ready{}, false
	}
	ready := s.core.Ready()
	s.sendAll(ready.Immediate)
	return ready, true
}

// perform does the disk's part of a Ready. It runs without the mutex.
func (s *Shard) perform(ready replication.Ready) (answers []appliedEntry, err error) {
	if ready.Snapshot != nil {
		if err := s.install(ready); err != nil {
			return nil, trace.Wrap(err, "install a snapshot")
		}
	} else if ready.MustSync {
		if err := s.disk.Save(ready.HardState, ready.Entries, true); err != nil {
			return nil, trace.Wrap(err, "write the log")
		}
	}
	if len(ready.Messages) > 0 {
		s.mutex.Lock()
		s.sendAll(ready.Messages)
		s.mutex.Unlock()
	}
	return s.apply(ready.CommittedEntries)
}

// install replaces the state by the staged snapshot; entries that follow it
// may come with the same Ready.
func (s *Shard) install(ready replication.Ready) error {
	s.mutex.Lock()
	staged := s.staged
	s.staged = nil
	s.mutex.Unlock()
	if staged == nil || staged.Marker().Index != ready.Snapshot.Index {
		return trace.Errorf("shard %d: the snapshot at %d is not staged", s.id, ready.Snapshot.Index)
	}
	if err := s.disk.InstallSnapshot(staged, ready.HardState); err != nil {
		return err
	}
	if len(ready.Entries) > 0 {
		if err := s.disk.Save(nil, ready.Entries, true); err != nil {
			return err
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	eventSnapshotTaken.Info("shard", s.id, "replica", s.replica, "index", ready.Snapshot.Index)
	return s.reload()
}

// appliedEntry is what came of applying an entry.
type appliedEntry struct {
	index  uint64
	term   uint64
	answer []byte
}

// apply applies committed entries in one transaction.
func (s *Shard) apply(entries []replication.Entry) ([]appliedEntry, error) {
	if len(entries) == 0 {
		return nil, nil
	}
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

// finish answers those who waited, and advances the protocol. It returns up
// to where the log may be dropped, or 0.
func (s *Shard) finish(ready replication.Ready, answers []appliedEntry, err error) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil {
		s.halt(err)
		return 0
	}
	if ready.Snapshot != nil {
		s.answerSkipped(ready.Snapshot.Index)
	}
	for _, applied := range answers {
		s.answerProposal(applied)
	}
	s.core.Advance()
	s.takeReadStates(ready.ReadStates)
	s.answerReads()
	if ready.SoftState != nil {
		s.takeSoftState(*ready.SoftState)
	}
	return s.droppable()
}

func (s *Shard) answerProposal(applied appliedEntry) {
	waiter, found := s.waiters[applied.index]
	if !found {
		return
	}
	delete(s.waiters, applied.index)
	if waiter.term != applied.term {
		waiter.done <- outcome{err: s.notLeader()} // another entry took its place for good
		return
	}
	waiter.done <- outcome{answer: applied.answer}
}

// answerSkipped answers proposals whose entries a snapshot may include.
func (s *Shard) answerSkipped(index uint64) {
	for at, waiter := range s.waiters {
		if at <= index {
			delete(s.waiters, at)
			waiter.done <- outcome{err: trace.Wrap(ledger.ErrUnknownOutcome, "shard %d was replaced by a snapshot", s.id)}
		}
	}
}

func (s *Shard) takeReadStates(states []replication.ReadState) {
	for _, state := range states {
		waiting, found := s.reads[state.Token]
		if !found {
			continue
		}
		delete(s.reads, state.Token)
		if state.Aborted {
			waiting.done <- s.notLeader()
			continue
		}
		waiting.index = state.Index
		s.waiting = append(s.waiting, waiting)
	}
}

// answerReads releases the reads whose index is applied.
func (s *Shard) answerReads() {
	if len(s.waiting) == 0 {
		return
	}
	marker, _ := s.disk.Snapshot()
	kept := s.waiting[:0]
	for _, waiting := range s.waiting {
		if waiting.index > marker.Index {
			kept = append(kept, waiting)
			continue
		}
		waiting.done <- nil
	}
	s.waiting = kept
}

func (s *Shard) takeSoftState(soft replication.SoftState) {
	before := s.soft
	s.soft = soft
	s.lastRound = 0
	status := s.core.Status()
	s.term = status.Term
	leads, led := soft.Role == replication.RoleLeader, before.Role == replication.RoleLeader
	switch {
	case leads && !led:
		eventLeading.Info("shard", s.id, "replica", s.replica, "term", status.Term)
		s.repair = repairState{}
		s.service.announce(s.id, status.Term)
	case led && !leads:
		eventFollowing.Info("shard", s.id, "replica", s.replica, "term", status.Term)
		s.orphanedAt = time.Now()
	}
	if address, known := s.leaderAddress(); known {
		s.service.directory.learn(s.id, status.Term, address)
	}
}

// sendAll queues messages for the peers; the caller holds the mutex.
func (s *Shard) sendAll(messages []replication.Message) {
	for _, message := range messages {
		address, known := s.addressOf(message.To)
		if !known {
			continue
		}
		encoded, err := message.Marshal()
		if err != nil {
			continue // a message too large for the wire is as good as lost
		}
		s.service.outbox.add(address, encoded, s.mayWait(message))
	}
}

// mayWait says whether a message is a plain heartbeat or its answer, which
// carries no new read round.
func (s *Shard) mayWait(message replication.Message) bool {
	switch message.Type {
	case replication.MessageHeartbeat, replication.MessageHeartbeatResponse:
		news := message.Round > s.lastRound
		s.lastRound = max(s.lastRound, message.Round)
		return !news
	}
	return false
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
