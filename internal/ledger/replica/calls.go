package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/ledger/replication"
	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/transport"
)

// callTimeout limits describe, leave and member calls.
const callTimeout = 2 * time.Second

// directoryTimeout limits a directory fetch; the next fetch may use another
// peer.
const directoryTimeout = 400 * time.Millisecond

var errNotHere = errors.New("replica: this node holds no such replica")

func (s *Service) registerHandlers() {
	receiver := s.options.Receiver
	receiver.HandleMessage(kindFrame, s.handleFrame)
	receiver.HandleMessage(kindAnnounce, s.handleAnnounce)
	receiver.HandleCall(kindDirectory, s.handleDirectory)
	receiver.HandleCall(kindDescribe, s.handleDescribe)
	receiver.HandleCall(kindJoin, s.handleJoin)
	receiver.HandleCall(kindLeave, s.handleLeave)
	receiver.HandleCall(kindMember, s.handleMember)
	receiver.HandleCall(kindCommitted, s.handleCommitted)
	receiver.HandleCall(kindPlaced, s.handlePlaced)
	receiver.HandleCall(kindSnapshotOpen, s.handleSnapshotOpen)
	receiver.HandleCall(kindSnapshotChunk, s.handleSnapshotChunk)
}

func (s *Service) handleFrame(from transport.Address, payload []byte) {
	messages, err := decodeFrame(payload)
	if err != nil {
		return
	}
	for _, message := range messages {
		shard, found := s.local(ledger.ShardID(message.Shard))
		if !found {
			shard, found = s.openIfAddressed(message)
		}
		if found {
			shard.step(message, from)
		}
	}
}

// openIfAddressed starts the replica that a leader's message addresses, if its ID
// matches the disk's incarnation. Such a replica has never run, so it lost no state.
func (s *Service) openIfAddressed(message replication.Message) (*Shard, bool) {
	store := s.disk()
	if store == nil || !s.exists(ledger.ShardID(message.Shard)) || !s.accepting() {
		return nil, false
	}
	switch message.Type {
	case replication.MessageAppend, replication.MessageHeartbeat, replication.MessageSnapshot:
	default:
		return nil, false
	}
	id := ledger.ShardID(message.Shard)
	incarnation, err := store.IncarnationAt(id)
	if err != nil || replication.NewReplicaID(s.self().Name, incarnation) != message.To {
		return nil, false
	}
	shard, err := s.openReplica(id, nil)
	return shard, err == nil
}

// announce sends this node's leadership of a shard to all data nodes.
func (s *Service) announce(shard ledger.ShardID, term uint64) {
	self := s.self()
	s.directory.learn(shard, term, self.Address)
	record := encodeLeader(shard, leaderHint{term: term, leader: self.Address})
	for _, member := range dataMembers(s.options.Members.View(), self) {
		if member.Name != self.Name {
			s.options.Sender.Send(member.Address, kindAnnounce, record)
		}
	}
}

func (s *Service) handleAnnounce(_ transport.Address, payload []byte) {
	_ = s.directory.learnEncoded(payload)
}

func (s *Service) handleDirectory(_ context.Context, _ transport.Address, payload []byte) ([]byte, error) {
	var request directoryRequest
	if _, err := decode(payload, &request, 0); err != nil {
		return nil, err
	}
	if request.Digest == s.directory.digest() {
		return nil, nil
	}
	return s.directory.encodeAll(), nil
}

// runDirectory fetches the leaders from a data node periodically and after a
// lookup miss. While none answers, it asks twice as many nodes each time.
func (s *Service) runDirectory() {
	ticker := time.NewTicker(s.options.DirectoryInterval)
	defer ticker.Stop()
	count := 1
	for {
		if s.fetchDirectory(count) {
			count = 1
		} else {
			count = min(2*count, maxDirectoryFetches)
		}
		select {
		case <-s.running.Done():
			return
		case <-ticker.C:
		case <-s.refreshDirectory:
			if !s.sleep(minDirectoryInterval) {
				return
			}
		}
	}
}

// minDirectoryInterval is the minimum time between directory fetches.
const minDirectoryInterval = 50 * time.Millisecond

func (s *Service) sleep(duration time.Duration) bool {
	select {
	case <-s.running.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// fetchDirectory asks count data nodes at a time for the leaders and reports whether one
// answered, or there is none.
func (s *Service) fetchDirectory(count int) bool {
	peers := s.pickDirectoryPeers(count)
	ctx, cancel := context.WithTimeout(s.running, directoryTimeout)
	defer cancel()
	request := encode(directoryRequest{Digest: s.directory.digest()})
	answers := make(chan error, len(peers))
	for _, peer := range peers {
		s.run(func() { answers <- s.fetchDirectoryFrom(ctx, peer, request) })
	}
	for range peers {
		if <-answers == nil {
			return true
		}
	}
	return len(peers) == 0
}

func (s *Service) fetchDirectoryFrom(ctx context.Context, peer membership.Member, request []byte) error {
	answer, err := s.options.Sender.Call(ctx, peer.Address, kindDirectory, request)
	if !errors.Is(err, context.Canceled) { // another peer has answered
		s.recordResponse(s.fetches, peer, err)
	}
	if err != nil {
		return err
	}
	if len(answer) > 0 {
		return s.directory.learnAll(answer)
	}
	return nil
}

// pickDirectoryPeers picks data nodes from a small fixed set, usually in this
// node's zone or else its region. Some fetches use a set drawn from all data
// nodes, and a few use any data node. Nodes that do not answer are passed over while others do.
func (s *Service) pickDirectoryPeers(count int) []membership.Member {
	self := s.self()
	var all, silent, inRegion, inZone []membership.Member
	now := clock.Now()
	members := dataMembers(s.options.Members.View(), self)
	s.responses.retain(members)
	s.fetches.retain(members)
	for _, member := range members {
		switch {
		case member.Name == self.Name:
			continue
		case s.fetches.isSilent(member, now):
			silent = append(silent, member)
			continue
		}
		all = append(all, member)
		if member.Region == self.Region {
			inRegion = append(inRegion, member)
		}
		if member.Region == self.Region && member.Zone == self.Zone {
			inZone = append(inZone, member)
		}
	}
	if len(all) == 0 {
		all = silent
	}
	if len(all) == 0 {
		return nil
	}
	if rand.IntN(anyNodeFetchRatio) == 0 {
		return drawMembers(all, count)
	}
	near := inZone
	if len(near) == 0 {
		near = inRegion
	}
	if len(near) < count || rand.IntN(remoteFetchRatio) == 0 {
		near = all
	}
	// Spreads nodes over different peers.
	return drawMembers(membership.Elect(self.Name, near, max(maxDirectoryPeers, count)), count)
}

// drawMembers draws up to count members at random.
func drawMembers(members []membership.Member, count int) []membership.Member {
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(count, len(members))]
}

const (
	// One in remoteFetchRatio fetches may leave the node's zone and region, and
	// one in anyNodeFetchRatio uses any data node.
	remoteFetchRatio  = 4
	anyNodeFetchRatio = 16
	// maxDirectoryPeers limits the data nodes of a group that a node fetches from,
	// to limit the connections per node in a large fleet.
	maxDirectoryPeers = 3
	// maxDirectoryFetches limits the data nodes that are asked at the same time while none
	// answers.
	maxDirectoryFetches = 16
)

func (s *Service) handleDescribe(_ context.Context, _ transport.Address, payload []byte) ([]byte, error) {
	var request describeRequest
	if _, err := decode(payload, &request, 0); err != nil {
		return nil, err
	}
	return s.describe(request.Shard)
}

func (s *Service) describe(id ledger.ShardID) ([]byte, error) {
	store := s.disk()
	if store == nil {
		return nil, trace.Wrap(errNotHere)
	}
	answer := describeResponse{Replicas: uint32(len(s.allShards()))}
	shard, holds := s.local(id)
	if holds {
		shard.mutex.Lock()
		answer.Replica = shard.replicaID
		answer.Holds = true
		shard.mutex.Unlock()
		return encode(answer), nil
	}
	incarnation, err := store.IncarnationAt(id)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	answer.Replica = replication.NewReplicaID(s.self().Name, incarnation)
	return encode(answer), nil
}

func (s *Service) handleJoin(_ context.Context, from transport.Address, payload []byte) ([]byte, error) {
	var request joinRequest
	if _, err := decode(payload, &request, 0); err != nil {
		return nil, err
	}
	if !s.exists(request.Shard) {
		return nil, trace.BadParameter("shard %d does not exist", request.Shard)
	}
	if !s.accepting() {
		return nil, trace.Wrap(ledger.ErrUnavailable, "the disk is full or has failed")
	}
	if _, found := s.local(request.Shard); !found {
		shard, err := s.openReplica(request.Shard, nil)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		eventJoined.Info("shard", request.Shard, "replica", shard.replicaID, "peer", from)
	}
	return s.describe(request.Shard)
}

// handleLeave destroys this node's replica after a leader removed it.
func (s *Service) handleLeave(_ context.Context, from transport.Address, payload []byte) ([]byte, error) {
	var request memberRequest
	if _, err := decode(payload, &request, 0); err != nil {
		return nil, err
	}
	shard, found := s.local(request.Shard)
	if !found {
		return nil, nil
	}
	return nil, s.destroy(shard, request.Replica, from)
}

func (s *Service) destroy(shard *Shard, replica replication.ReplicaID, from transport.Address) error {
	shard.mutex.Lock()
	matches := shard.replicaID == replica && !shard.stopped && shard.halted == nil
	shard.mutex.Unlock()
	if !matches {
		return nil
	}
	shard.stop()
	if err := shard.disk.Destroy(); err != nil {
		return trace.Wrap(err)
	}
	s.mutex.Lock()
	if s.shards[shard.id] == shard {
		delete(s.shards, shard.id)
	}
	s.mutex.Unlock()
	eventDestroyed.Info("shard", shard.id, "replica", replica, "peer", from)
	return nil
}

// handleMember reports to a replica whether it is a member; only a confirmed
// leader answers.
func (s *Service) handleMember(ctx context.Context, _ transport.Address, payload []byte) ([]byte, error) {
	var request memberRequest
	if _, err := decode(payload, &request, 0); err != nil {
		return nil, err
	}
	shard, found := s.local(request.Shard)
	if !found {
		return nil, trace.Wrap(errNotHere)
	}
	err := shard.Read(ctx, func(ledger.Reader) error { return nil })
	if err != nil {
		return nil, err // only a confirmed leader may deny membership
	}
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	status := shard.core.Status()
	if status.ConfigurationPending {
		return nil, trace.Wrap(ledger.ErrUnavailable, "a configuration change is pending")
	}
	member := status.Configuration.HasVoter(request.Replica) || status.Configuration.HasLearner(request.Replica)
	return encode(memberResponse{Member: member}), nil
}

func (s *Service) handleSnapshotOpen(_ context.Context, _ transport.Address, payload []byte) ([]byte, error) {
	var request snapshotOpenRequest
	if _, err := decode(payload, &request, 0); err != nil {
		return nil, err
	}
	shard, found := s.local(request.Shard)
	if !found {
		return nil, trace.Wrap(errNotHere)
	}
	session, marker, err := s.snapshots.open(shard, clock.Now())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return encode(snapshotOpenResponse{Session: session}, marker.Marshal()), nil
}

func (s *Service) handleSnapshotChunk(ctx context.Context, _ transport.Address, payload []byte) ([]byte, error) {
	var request snapshotChunkRequest
	fields, err := decode(payload, &request, 1)
	if err != nil {
		return nil, err
	}
	return s.snapshots.chunk(ctx, request.Session, fields[0])
}
