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

// Shard is this node's replica of one shard.
type Shard struct {
	service *Service
	id      ledger.ShardID
	machine ledger.StateMachine

	// users counts proposers, readers, workers and transfers that use the disk.
	users sync.WaitGroup
	// rounds are the questions of a follower to its leader.
	rounds rounds

	// mutex guards what is below.
	mutex     sync.Mutex
	disk      *storage.Shard
	core      *replication.Replica
	replica   replication.ReplicaID
	scheduled bool  // a worker is at work, or will be
	stopped   bool  // no new use
	halted    error // why the replica can't go on

	soft       replication.SoftState
	term       uint64 // at which soft was reported
	queue      applyQueue
	progressed *sync.Cond          // with mutex: the queue was worked on, or the shard ended
	waiters    map[uint64]proposal // by index
	reads      map[uint64]*read    // by token
	waiting    []*read             // confirmed, until their index is applied
	nextToken  uint64
	orphanedAt time.Time // when leadership was lost with proposals unanswered
	lastRound  uint64    // newest read round seen, to tell plain heartbeats
	roster     map[replication.ReplicaID]storage.RosterEntry
	heard      map[replication.ReplicaID]transport.Address // of peers that the roster lacks
	staged     *storage.Staging                            // complete, not installed yet
	fetching   bool

	leaderlessSince time.Time
	quorumLost      bool
	repair          repairState
	published       shardObject // what the store holds, as far as this leader knows
}

var _ ledger.Shard = (*Shard)(nil)

// applyBytes bounds the entries applied at a time, since heartbeats wait
// meanwhile.
const applyBytes = 512 << 10

// heardLimit bounds the peers remembered beside the roster.
const heardLimit = 64

// proposal waits for its entry to be applied.
type proposal struct {
	term uint64
	done chan outcome // of capacity 1
}

// outcome answers a proposal or a read.
type outcome struct {
	answer []byte
	err    error
}

// read waits for its ReadState, then for the applied index.
type read struct {
	index uint64
	done  chan error // of capacity 1
}

// newShard opens the replica's disk and continues from it.
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
		service: service,
		id:      id,
		machine: service.options.NewMachine(id),
		disk:    disk,
		waiters: map[uint64]proposal{},
		reads:   map[uint64]*read{},
		heard:   map[replication.ReplicaID]transport.Address{},
	}
	s.progressed = sync.NewCond(&s.mutex)
	return s, s.startCore()
}

// startCore makes the protocol continue from the disk.
func (s *Shard) startCore() error {
	if err := s.reload(); err != nil {
		return err
	}
	s.replica = replication.NewReplicaID(s.service.self().Name, s.disk.Incarnation())
	core, err := replication.New(replication.Config{
		ID:                s.replica,
		Shard:             uint32(s.id),
		Storage:           s.disk,
		Seed:              uint64(s.replica) ^ uint64(s.id),
		ElectionTimeout:   s.service.options.ElectionTimeout,
		HeartbeatInterval: s.service.options.HeartbeatInterval,
		MaxApplyBytes:     applyBytes,
	})
	if err != nil {
		return trace.Wrap(err, "start replica %s of shard %d", s.replica, s.id)
	}
	s.core = core
	s.soft = replication.SoftState{}
	s.leaderlessSince = clock.Now()
	core.Tick(clock.Now())
	return nil
}

// reload rebuilds the machine's caches and the roster from the disk.
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

// enter registers a use of the disk; the caller holds the mutex, and calls
// users.Done afterwards.
func (s *Shard) enter() error {
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

// submit hands data to the protocol, and returns where the outcome arrives.
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

// refusal translates an error of the protocol that says that nothing was taken.
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

// notLeader points to the leader, or says that there is none.
func (s *Shard) notLeader() error {
	leader, known := s.leaderAddress()
	if !known {
		return trace.Wrap(ledger.ErrUnavailable, "shard %d has no leader now", s.id)
	}
	return trace.Wrap(&ledger.NotLeaderError{Shard: s.id, Leader: leader})
}

func (s *Shard) leaderAddress() (transport.Address, bool) {
	if s.soft.Leader == 0 || s.soft.Leader == s.replica {
		return "", false
	}
	return s.addressOf(s.soft.Leader)
}

// Read implements ledger.Shard.
func (s *Shard) Read(ctx context.Context, query func(ledger.Reader) error) error {
	confirmed, err := s.submitRead()
	if err != nil {
		return err
	}
	return s.readOnce(ctx, confirmed, query)
}

// readOnce runs a query once the read is confirmed, and ends its use.
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
	view, err := s.disk.NewView()
	if err != nil {
		return trace.Wrap(err)
	}
	defer view.Close()
	return query(view)
}

// submitRead starts a read; if it succeeds, the caller must call users.Done.
func (s *Shard) submitRead() (<-chan error, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.enter(); err != nil {
		return nil, trace.Wrap(err, "read shard %d", s.id)
	}
	s.nextToken++
	if err := s.core.ReadIndex(s.nextToken); err != nil {
		s.users.Done()
		return nil, s.refusal(err)
	}
	waiting := &read{done: make(chan error, 1)}
	s.reads[s.nextToken] = waiting
	s.proceed()
	return waiting.done, nil
}

// Leading implements ledger.Shard.
func (s *Shard) Leading() (bool, uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped || s.halted != nil {
		return false, 0
	}
	return s.soft.Role == replication.RoleLeader, s.term
}

// step takes a message from another replica.
func (s *Shard) step(message replication.Message, from transport.Address) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped || s.halted != nil || message.To != s.replica {
		return
	}
	if _, known := s.roster[message.From]; !known && len(s.heard) < heardLimit {
		s.heard[message.From] = from
	}
	switch message.Type {
	case replication.MessageSnapshot:
		if !s.prepareSnapshot(&message, from) {
			return
		}
	case replication.MessageAppend:
		if len(message.Entries) > 0 && !s.service.accepting() {
			return // a full disk confirms nothing
		}
	}
	s.stepCore(message)
}

func (s *Shard) stepCore(message replication.Message) {
	_ = s.core.Step(message) // an error says that the message had no effect
	if err := s.core.Err(); err != nil {
		s.halt(err)
		return
	}
	s.proceed()
}

// proceed sends what need not wait for the disk, or gives the shard to a
// worker; the caller holds the mutex.
func (s *Shard) proceed() {
	if s.scheduled {
		s.sendAll(s.core.Immediate())
		return
	}
	if s.core.HasReady() {
		s.schedule()
	}
}

// tick passes the time on.
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
	s.watchLeader(now)
	s.releaseOrphans(now)
	s.proceed()
}

// releaseOrphans answers proposals that were made as a leader and are not
// resolved soon after leadership was lost.
func (s *Shard) releaseOrphans(now time.Time) {
	if s.orphanedAt.IsZero() && len(s.waiters) > 0 && s.core.Status().Role != replication.RoleLeader {
		s.orphanedAt = now // not reported yet: a worker may hang in the disk
	}
	if s.orphanedAt.IsZero() || now.Sub(s.orphanedAt) < s.service.options.ElectionTimeout {
		return
	}
	s.orphanedAt = time.Time{}
	term := s.core.Status().Term
	leads := s.soft.Role == replication.RoleLeader
	for index, waiter := range s.waiters {
		if leads && waiter.term == term {
			continue
		}
		delete(s.waiters, index)
		waiter.done <- outcome{err: trace.Wrap(ledger.ErrUnknownOutcome, "shard %d changed its leader", s.id)}
	}
}

// watchLeader raises an event when the shard has no leader for long.
func (s *Shard) watchLeader(now time.Time) {
	if s.soft.Leader != 0 {
		s.leaderlessSince = now
		if s.quorumLost {
			s.quorumLost = false
			eventQuorumBack.Info("shard", s.id, "leader", s.soft.Leader)
		}
		return
	}
	member := len(s.core.Status().Configuration.Voters) > 0
	if s.quorumLost || !member || now.Sub(s.leaderlessSince) < s.service.options.NoQuorumAfter {
		return
	}
	s.quorumLost = true
	eventNoQuorum.Error(ledger.ErrUnavailable, "shard", s.id, "replica", s.replica, "members", s.describeMembers())
}

// halt ends the replica's work until the process restarts; the caller holds
// the mutex.
func (s *Shard) halt(cause error) {
	if s.halted != nil {
		return
	}
	s.halted = cause
	s.progressed.Broadcast()
	eventHalted.Error(cause, "shard", s.id, "replica", s.replica)
	s.failAll()
	s.service.replicaHalted(cause)
}

// failAll answers everyone who waits; the caller holds the mutex.
func (s *Shard) failAll() {
	for index, waiter := range s.waiters {
		delete(s.waiters, index)
		waiter.done <- outcome{err: trace.Wrap(ledger.ErrUnknownOutcome, "shard %d stopped here", s.id)}
	}
	for token, waiting := range s.reads {
		delete(s.reads, token)
		waiting.done <- trace.Wrap(ledger.ErrUnavailable, "shard %d stopped here", s.id)
	}
	for _, waiting := range s.waiting {
		waiting.done <- trace.Wrap(ledger.ErrUnavailable, "shard %d stopped here", s.id)
	}
	s.waiting = nil
}

// stop refuses new uses and waits for those that run.
func (s *Shard) stop() {
	s.mutex.Lock()
	s.stopped = true
	s.progressed.Broadcast()
	s.failAll()
	s.mutex.Unlock()
	s.service.snapshots.closeAll(s)
	s.users.Wait()
}
