package replica

import (
	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/ledger/replication"
)

// schedule submits the shard to the worker pool unless it is already scheduled;
// the caller holds the mutex.
func (s *Shard) schedule() {
	if s.scheduled || s.acquireDisk() != nil {
		return
	}
	s.scheduled = true
	s.service.workers.Submit(s.process)
}

// process handles Readys until there are none left.
func (s *Shard) process() {
	defer s.users.Done()
	for {
		ready, more := s.takeReady()
		if !more {
			return
		}
		s.advance(ready, s.persist(ready))
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

// persist writes a Ready to disk and then sends the messages that depend on the
// write. The caller must not hold the mutex.
func (s *Shard) persist(ready replication.Ready) error {
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

// install replaces the state with the staged snapshot and saves the entries that
// follow it in the same Ready.
func (s *Shard) install(ready replication.Ready) error {
	s.state.Lock()
	defer s.state.Unlock()
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
	eventSnapshotTaken.Info("shard", s.id, "replica", s.replicaID, "index", ready.Snapshot.Index)
	return s.reload()
}

// advance advances the protocol and queues committed entries to be applied.
func (s *Shard) advance(ready replication.Ready, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil {
		s.halt(err)
		return
	}
	if ready.Snapshot != nil {
		s.failSkipped(ready.Snapshot.Index)
	}
	s.core.Advance()
	s.queueApply(ready.CommittedEntries)
	s.handleReadStates(ready.ReadStates)
	s.answerReads()
	if ready.SoftState != nil {
		s.handleSoftState(*ready.SoftState)
	}
}

func (s *Shard) answerProposal(applied appliedEntry) {
	waiter, found := s.waiters[applied.index]
	if !found {
		return
	}
	delete(s.waiters, applied.index)
	if waiter.term != applied.term {
		waiter.done <- outcome{err: s.notLeader()} // overwritten by another leader's entry
		return
	}
	waiter.done <- outcome{answer: applied.answer}
}

// failSkipped fails proposals at or below a snapshot's index with
// ErrUnknownOutcome, since the snapshot may include their entries.
func (s *Shard) failSkipped(index uint64) {
	for at, waiter := range s.waiters {
		if at <= index {
			delete(s.waiters, at)
			waiter.done <- outcome{err: trace.Wrap(ledger.ErrUnknownOutcome, "shard %d installed a snapshot", s.id)}
		}
	}
}

func (s *Shard) handleReadStates(states []replication.ReadState) {
	for _, state := range states {
		waiting, found := s.unconfirmedReads[state.Token]
		if !found {
			continue
		}
		delete(s.unconfirmedReads, state.Token)
		if state.Aborted {
			waiting.done <- s.notLeader()
			continue
		}
		waiting.index = state.Index
		s.confirmedReads = append(s.confirmedReads, waiting)
	}
}

// answerReads completes the reads whose index is applied.
func (s *Shard) answerReads() {
	if len(s.confirmedReads) == 0 {
		return
	}
	marker, _ := s.disk.Snapshot()
	kept := s.confirmedReads[:0]
	for _, waiting := range s.confirmedReads {
		if waiting.index > marker.Index {
			kept = append(kept, waiting)
			continue
		}
		waiting.done <- nil
	}
	s.confirmedReads = kept
}

func (s *Shard) handleSoftState(soft replication.SoftState) {
	before := s.softState
	s.softState = soft
	s.lastRound = 0
	status := s.core.Status()
	s.term = status.Term
	leads, led := soft.Role == replication.RoleLeader, before.Role == replication.RoleLeader
	switch {
	case leads && !led:
		eventLeading.Info("shard", s.id, "replica", s.replicaID, "term", status.Term)
		s.repair = repairState{}
		s.service.announce(s.id, status.Term)
	case led && !leads:
		eventFollowing.Info("shard", s.id, "replica", s.replicaID, "term", status.Term)
		s.leadershipLostAt = clock.Now()
	}
	if address, known := s.leaderAddress(); known {
		s.service.directory.learn(s.id, status.Term, address)
	}
}

// sendAll queues messages for the peers; the caller holds the mutex.
func (s *Shard) sendAll(messages []replication.Message) {
	for _, message := range messages {
		// Entries contain request bodies, which must not reach a node that came back
		// in another region.
		if s.id.Regional() && s.misplaced(s.roster[message.To].Node) {
			continue
		}
		address, known := s.addressOf(message.To)
		if !known {
			continue
		}
		encoded, err := message.Marshal()
		if err != nil {
			continue // too large for the wire; treated as lost
		}
		s.service.outbox.add(address, encoded, s.canDelay(message))
	}
}

// canDelay reports whether a message is a heartbeat or a heartbeat response that
// carries no new read round.
func (s *Shard) canDelay(message replication.Message) bool {
	switch message.Type {
	case replication.MessageHeartbeat, replication.MessageHeartbeatResponse:
		newRound := message.Round > s.lastRound
		s.lastRound = max(s.lastRound, message.Round)
		return !newRound
	}
	return false
}
