package replica

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/ledger/replication"
	"chutelock.dev/chutelock/internal/ledger/storage"
	"chutelock.dev/chutelock/internal/transport"
)

// Shard is this node's replica of a shard.
type Shard struct {
	service *Service
	id      ledger.ShardID
	machine ledger.StateMachine

	// users counts proposers, readers, workers and transfers that use the disk.
	users sync.WaitGroup
	// readIndexes batches a follower's read index requests to its leader.
	readIndexes readIndexBatcher
	// state is held for writing while a snapshot replaces the store and then the state
	// machine's caches, and for reading by queries, which need both of one position. It is
	// taken before mutex.
	state sync.RWMutex

	// mutex guards the fields below, but not disk, which is set only by newShard.
	mutex     sync.Mutex
	disk      *storage.Shard
	core      *replication.Replica // the protocol state
	replicaID replication.ReplicaID
	scheduled bool  // submitted to the worker pool
	stopped   bool  // refuses new uses
	halted    error // the cause, if the replica halted

	softState        replication.SoftState
	term             uint64 // term of softState
	queue            applyQueue
	progressed       *sync.Cond          // uses mutex; the queue advanced, or the shard stopped
	waiters          map[uint64]proposal // by index
	unconfirmedReads map[uint64]*read    // by token
	confirmedReads   []*read             // waiting for their index to be applied
	nextToken        uint64
	leadershipLostAt time.Time // when leadership was lost; zero after failStaleProposals
	lastRound        uint64    // newest read round seen; see canDelay
	roster           map[replication.ReplicaID]storage.RosterEntry
	learnedAddresses map[replication.ReplicaID]transport.Address // of peers not in the roster
	staged           *storage.Staging                            // complete snapshot, not yet installed
	fetching         bool

	leaderlessSince time.Time
	quorumLost      bool
	repair          repairState
	published       shardObject // last published replica set
}

var _ ledger.Shard = (*Shard)(nil)

// maxApplyBytes limits the committed entries of one Ready, which are applied in one
// transaction.
const maxApplyBytes = 512 << 10

// maxLearnedAddresses limits the addresses kept for peers not in the roster.
const maxLearnedAddresses = 64

// proposal is a proposer waiting for its entry to be applied.
type proposal struct {
	term uint64
	done chan outcome // capacity 1
}

// outcome is the result of a proposal.
type outcome struct {
	answer []byte
	err    error
}

// read is a reader that waits for its ReadState and then for its index to be applied.
type read struct {
	index uint64
	done  chan error // capacity 1
}

// newShard opens the replica's disk, calls prepare on it if not nil, and restores
// the replica from it.
func newShard(service *Service, id ledger.ShardID, prepare func(*storage.Shard) error) (*Shard, error) {
	disk, err := service.store.OpenShard(id)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if prepare != nil {
		if err := prepare(disk); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	s := &Shard{
		service:          service,
		id:               id,
		machine:          service.options.NewMachine(id),
		disk:             disk,
		waiters:          map[uint64]proposal{},
		unconfirmedReads: map[uint64]*read{},
		learnedAddresses: map[replication.ReplicaID]transport.Address{},
	}
	s.progressed = sync.NewCond(&s.mutex)
	return s, s.startCore()
}

// startCore starts the protocol from the state on disk.
func (s *Shard) startCore() error {
	if err := s.reload(); err != nil {
		return err
	}
	s.replicaID = replication.NewReplicaID(s.service.self().Name, s.disk.Incarnation())
	core, err := replication.New(replication.Config{
		ID:                s.replicaID,
		Shard:             uint32(s.id),
		Storage:           s.disk,
		Seed:              uint64(s.replicaID) ^ uint64(s.id),
		ElectionTimeout:   s.service.options.ElectionTimeout,
		HeartbeatInterval: s.service.options.HeartbeatInterval,
		MaxApplyBytes:     maxApplyBytes,
	})
	if err != nil {
		return trace.Wrap(err, "start replica %s of shard %d", s.replicaID, s.id)
	}
	s.core = core
	s.softState = replication.SoftState{}
	s.leaderlessSince = clock.Now()
	core.Tick(clock.Now())
	return nil
}

// reload rebuilds the state machine's caches and the roster from disk.
func (s *Shard) reload() error {
	view, err := s.disk.NewView()
	if err != nil {
		return trace.Wrap(err)
	}
	defer view.Close()
	roster, err := view.Roster()
	if err != nil {
		return trace.Wrap(err, "reload shard %d", s.id)
	}
	s.roster = make(map[replication.ReplicaID]storage.RosterEntry, len(roster))
	for _, entry := range roster {
		s.roster[entry.Replica] = entry
	}
	return trace.Wrap(s.machine.Reload(view), "reload the state machine of shard %d", s.id)
}

// acquireDisk registers a use of the disk; the caller holds the mutex and must call
// users.Done when finished.
func (s *Shard) acquireDisk() error {
	if s.stopped || s.halted != nil {
		return ledger.ErrUnavailable
	}
	s.users.Add(1)
	return nil
}

// Propose implements ledger.Shard.
func (s *Shard) Propose(ctx context.Context, entry []byte) ([]byte, error) {
	if ctx.Err() != nil {
		return nil, trace.Wrap(ledger.ErrUnavailable, "propose to shard %d after the deadline", s.id)
	}
	data := make([]byte, 1, 1+len(entry))
	data[0] = entryUser
	return s.propose(ctx, append(data, entry...))
}

func (s *Shard) propose(ctx context.Context, data []byte) ([]byte, error) {
	done, err := s.submit(data)
	if err != nil {
		return nil, err
	}
	select {
	case result := <-done:
		return result.answer, result.err
	case <-ctx.Done():
		return nil, trace.Wrap(ledger.ErrUnknownOutcome, "propose to shard %d: %v", s.id, ctx.Err())
	}
}

// submit proposes data and returns the channel that receives the outcome.
func (s *Shard) submit(data []byte) (<-chan outcome, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped || s.halted != nil || !s.service.accepting() {
		return nil, trace.Wrap(ledger.ErrUnavailable, "propose to shard %d", s.id)
	}
	index, term, err := s.core.Propose(data)
	if err != nil {
		return nil, s.refusal(err)
	}
	waiter := proposal{term: term, done: make(chan outcome, 1)}
	s.waiters[index] = waiter
	s.schedule()
	return waiter.done, nil
}

// refusal converts a protocol error of a rejected proposal to a ledger error; the
// caller holds the mutex.
func (s *Shard) refusal(err error) error {
	switch {
	case errors.Is(err, replication.ErrNotLeader):
		return s.notLeader()
	case errors.Is(err, replication.ErrEntryTooLarge):
		return trace.BadParameter("an entry for shard %d exceeds %d bytes", s.id, replication.MaxEntryBytes)
	default:
		return trace.Wrap(ledger.ErrUnavailable, "shard %d: %v", s.id, err)
	}
}

// notLeader returns a NotLeaderError with the leader's address, or ErrUnavailable if
// no leader is known; the caller holds the mutex.
func (s *Shard) notLeader() error {
	leader, known := s.leaderAddress()
	if !known {
		return trace.Wrap(ledger.ErrUnavailable, "shard %d has no leader now", s.id)
	}
	return trace.Wrap(&ledger.NotLeaderError{Shard: s.id, Leader: leader})
}

func (s *Shard) leaderAddress() (transport.Address, bool) {
	if s.softState.Leader == 0 || s.softState.Leader == s.replicaID {
		return "", false
	}
	return s.addressOf(s.softState.Leader)
}

// Read implements ledger.Shard.
func (s *Shard) Read(ctx context.Context, query func(ledger.Reader) error) error {
	confirmed, err := s.submitRead()
	if err != nil {
		return err
	}
	return s.readOnce(ctx, confirmed, query)
}

// readOnce runs a query once the read is confirmed, and releases the use of the disk.
func (s *Shard) readOnce(ctx context.Context, confirmed <-chan error, query func(ledger.Reader) error) error {
	defer s.users.Done()
	select {
	case err := <-confirmed:
		if err != nil {
			return err
		}
	case <-ctx.Done():
		return trace.Wrap(ledger.ErrUnavailable, "read shard %d: %v", s.id, ctx.Err())
	}
	if !s.state.TryRLock() { // the write of a snapshot may take long; the leader can answer
		return trace.Wrap(ledger.ErrUnavailable, "shard %d is installing a snapshot", s.id)
	}
	defer s.state.RUnlock()
	view, err := s.disk.NewView()
	if err != nil {
		return trace.Wrap(err)
	}
	defer view.Close()
	return query(view)
}

// submitRead starts a linearizable read; if it succeeds, the caller must call
// users.Done.
func (s *Shard) submitRead() (<-chan error, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.acquireDisk(); err != nil {
		return nil, trace.Wrap(err, "read shard %d", s.id)
	}
	s.nextToken++
	if err := s.core.ReadIndex(s.nextToken); err != nil {
		s.users.Done()
		return nil, s.refusal(err)
	}
	waiting := &read{done: make(chan error, 1)}
	s.unconfirmedReads[s.nextToken] = waiting
	s.sendOrSchedule()
	return waiting.done, nil
}

// Leading implements ledger.Shard.
func (s *Shard) Leading() (bool, uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped || s.halted != nil {
		return false, 0
	}
	return s.softState.Role == replication.RoleLeader, s.term
}

// step handles a message from another replica.
func (s *Shard) step(message replication.Message, from transport.Address) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped || s.halted != nil || message.To != s.replicaID {
		return
	}
	if _, known := s.roster[message.From]; !known && len(s.learnedAddresses) < maxLearnedAddresses {
		s.learnedAddresses[message.From] = from
	}
	switch message.Type {
	case replication.MessageSnapshot:
		if !s.prepareSnapshot(&message, from) {
			return
		}
	case replication.MessageAppend:
		if len(message.Entries) > 0 && !s.service.accepting() {
			return // never acknowledge what can't be written
		}
	}
	s.stepCore(message)
}

// stepCore passes a message to the protocol; the caller holds the mutex.
func (s *Shard) stepCore(message replication.Message) {
	_ = s.core.Step(message) // on error the message was ignored
	if err := s.core.Err(); err != nil {
		s.halt(err)
		return
	}
	s.sendOrSchedule()
}

// sendOrSchedule sends the messages that don't depend on the disk if a worker has
// the shard, or else schedules it; the caller holds the mutex.
func (s *Shard) sendOrSchedule() {
	if s.scheduled {
		s.sendAll(s.core.Immediate())
		return
	}
	if s.core.HasReady() {
		s.schedule()
	}
}

// tick advances the protocol's clock and checks timeouts.
func (s *Shard) tick(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped || s.halted != nil {
		return
	}
	s.core.Tick(now)
	if err := s.core.Err(); err != nil {
		s.halt(err)
		return
	}
	s.detectQuorumLoss(now)
	s.failStaleProposals(now)
	s.sendOrSchedule()
}

// failStaleProposals fails with ErrUnknownOutcome the proposals of a former leader
// that are still unresolved an election timeout after it lost leadership; the caller
// holds the mutex.
func (s *Shard) failStaleProposals(now time.Time) {
	if s.leadershipLostAt.IsZero() && len(s.waiters) > 0 && s.core.Status().Role != replication.RoleLeader {
		s.leadershipLostAt = now // SoftState may be delayed by a hanging disk write
	}
	if s.leadershipLostAt.IsZero() || now.Sub(s.leadershipLostAt) < s.service.options.ElectionTimeout {
		return
	}
	s.leadershipLostAt = time.Time{}
	term := s.core.Status().Term
	leads := s.softState.Role == replication.RoleLeader
	for index, waiter := range s.waiters {
		if leads && waiter.term == term {
			continue
		}
		delete(s.waiters, index)
		waiter.done <- outcome{err: trace.Wrap(ledger.ErrUnknownOutcome, "shard %d changed its leader", s.id)}
	}
}

// detectQuorumLoss logs when the shard has had no leader for NoQuorumAfter, and when
// it has one again.
func (s *Shard) detectQuorumLoss(now time.Time) {
	if s.softState.Leader != 0 {
		s.leaderlessSince = now
		if s.quorumLost {
			s.quorumLost = false
			eventQuorumBack.Info("shard", s.id, "leader", s.softState.Leader)
		}
		return
	}
	member := len(s.core.Status().Configuration.Voters) > 0
	if s.quorumLost || !member || now.Sub(s.leaderlessSince) < s.service.options.NoQuorumAfter {
		return
	}
	s.quorumLost = true
	eventNoQuorum.Error(ledger.ErrUnavailable, "shard", s.id, "replica", s.replicaID, "members", s.describeMembers())
}

// halt stops the replica until Service.watchDisk restarts it; the caller holds the mutex.
// Service.replicaHalted, called under it, takes no lock and does not block.
func (s *Shard) halt(cause error) {
	if s.halted != nil {
		return
	}
	s.halted = cause
	s.progressed.Broadcast()
	eventHalted.Error(cause, "shard", s.id, "replica", s.replicaID)
	s.failAll()
	s.service.replicaHalted(cause)
}

// failAll fails all waiting proposals and reads; the caller holds the mutex.
func (s *Shard) failAll() {
	for index, waiter := range s.waiters {
		delete(s.waiters, index)
		waiter.done <- outcome{err: trace.Wrap(ledger.ErrUnknownOutcome, "replica of shard %d stopped", s.id)}
	}
	for token, waiting := range s.unconfirmedReads {
		delete(s.unconfirmedReads, token)
		waiting.done <- trace.Wrap(ledger.ErrUnavailable, "replica of shard %d stopped", s.id)
	}
	for _, waiting := range s.confirmedReads {
		waiting.done <- trace.Wrap(ledger.ErrUnavailable, "replica of shard %d stopped", s.id)
	}
	s.confirmedReads = nil
}

// stop refuses new uses of the disk and waits for the current ones.
func (s *Shard) stop() {
	s.mutex.Lock()
	s.stopped = true
	s.progressed.Broadcast()
	s.failAll()
	s.mutex.Unlock()
	s.service.snapshots.closeAll(s)
	s.users.Wait()
}
