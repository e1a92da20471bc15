package replica

import (
	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/ledger/replication"
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
		s.finish(ready, s.perform(ready))
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

// perform does the disk's part of a Ready, but for applying, and sends what
// promised it. It runs without the mutex.
func (s *Shard) perform(ready replication.Ready) error {
	if ready.Snapshot != nil {
		if !s.awaitIdle() {
			return nil
		}
		if err := s.install(ready); err != nil {
			return trace.Wrap(err, "install a snapshot")
		}
	} else if ready.MustSync {
		if err := s.disk.Save(ready.HardState, ready.Entries, true); err != nil {
			return trace.Wrap(err, "write the log")
		}
	}
	s.awaitApplied()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sendAll(ready.Messages)
	return nil
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

// finish advances the protocol, and hands committed entries on to be applied.
func (s *Shard) finish(ready replication.Ready, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil {
		s.halt(err)
		return
	}
	if ready.Snapshot != nil {
		s.answerSkipped(ready.Snapshot.Index)
	}
	s.core.Advance()
	s.queueApply(ready.CommittedEntries)
	s.takeReadStates(ready.ReadStates)
	s.answerReads()
	if ready.SoftState != nil {
		s.takeSoftState(*ready.SoftState)
	}
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
		s.orphanedAt = clock.Now()
	}
	if address, known := s.leaderAddress(); known {
		s.service.directory.learn(s.id, status.Term, address)
	}
}

// sendAll queues messages for the peers; the caller holds the mutex.
func (s *Shard) sendAll(messages []replication.Message) {
	for _, message := range messages {
		// Entries hold bodies: a node that came back in another region gets none of them
		// until its replica is replaced.
		if s.id.Regional() && s.misplaced(s.roster[message.To].Node) {
			continue
		}
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
