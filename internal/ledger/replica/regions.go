package replica

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/ledger/replication"
	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/transport"
)

// regionPrefix is the prefix of the object names of regional shards.
const regionPrefix = "region-"

func hasShardCollision(regions []string) bool {
	seen := map[ledger.ShardID]bool{}
	for _, region := range regions {
		seen[ledger.RegionShard(region)] = true
	}
	return len(seen) < len(regions)
}

func regionsByShard(regions []string) map[ledger.ShardID]string {
	byShard := make(map[ledger.ShardID]string, len(regions))
	for _, region := range regions {
		byShard[ledger.RegionShard(region)] = region
	}
	return byShard
}

// Region returns the region that a shard's replicas are restricted to. It is empty
// if there is no restriction or the settings don't list the region.
func (s *Service) Region(id ledger.ShardID) string { return s.regions[id] }

// exists reports whether id is a shard of the configured ledger.
func (s *Service) exists(id ledger.ShardID) bool {
	if id.Regional() {
		return s.regions[id] != ""
	}
	return int(id) < s.options.Shards
}

// mayHold reports whether a node in a region may hold a replica of a shard.
func (s *Service) mayHold(id ledger.ShardID, region string) bool {
	return !id.Regional() || (s.regions[id] != "" && s.regions[id] == region)
}

// RequestShards requests the shards of regions. Each is placed once its region has enough
// data nodes, and is never removed.
func (s *Service) RequestShards(regions []string) {
	s.mutex.Lock()
	before := len(s.needed)
	for _, region := range regions {
		if id := ledger.RegionShard(region); s.exists(id) {
			s.needed[id] = true
		}
	}
	more := len(s.needed) > before
	s.mutex.Unlock()
	if !more {
		return
	}
	select {
	case s.shardsNeeded <- struct{}{}:
	default:
	}
}

// Regional returns the regional shards known to this node: those requested here,
// held here, or known to have had a leader.
func (s *Service) Regional() []ledger.ShardID {
	known := map[ledger.ShardID]bool{}
	for _, id := range s.directory.regional() {
		known[id] = true
	}
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	maps.Copy(known, s.needed)
	for id := range s.shards {
		if id.Regional() {
			known[id] = true
		}
	}
	return slices.Sorted(maps.Keys(known))
}

// requiredShards returns the shards that must exist.
func (s *Service) requiredShards() []ledger.ShardID {
	var ids []ledger.ShardID
	for id := range ledger.ShardID(s.options.Shards) {
		ids = append(ids, id)
	}
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return append(ids, slices.Sorted(maps.Keys(s.needed))...)
}

// objectName returns the name of a shard's object in the platform's store.
func (s *Service) objectName(id ledger.ShardID) string {
	if id.Regional() {
		return regionPrefix + s.regions[id]
	}
	return formatShardNumber(id)
}

// parseObjectName is the inverse of objectName. It returns false for a region that
// the settings don't list.
func (s *Service) parseObjectName(name string) (ledger.ShardID, bool, error) {
	if region, found := strings.CutPrefix(name, regionPrefix); found {
		id := ledger.RegionShard(region)
		return id, s.exists(id), nil
	}
	id, err := parseShardNumber(name)
	if err != nil || !s.exists(id) {
		return 0, false, trace.BadParameter("shard directory: unexpected object %q", name)
	}
	return id, true, nil
}

// eligibleMembers returns the members that may hold a replica of a shard.
func (s *Service) eligibleMembers(id ledger.ShardID, members []membership.Member) []membership.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool { return !s.mayHold(id, m.Region) })
}

// canHoldReplicas reports whether the members can hold MinCopies replicas of a
// regional shard within the placement policy. It is true for other shards.
func (s *Service) canHoldReplicas(id ledger.ShardID, members []membership.Member) bool {
	return !id.Regional() || s.options.placementPolicy().replicaCount(sitesFor(members)) >= s.options.MinCopies
}

// misplaced reports whether membership has a node in a region that may not hold its
// replica, for example after a machine rejoined elsewhere under the same name.
func (s *Shard) misplaced(node string) bool {
	m, found := findMember(s.service.options.Members.View(), node)
	return found && s.service.Region(s.id) != "" && !s.service.mayHold(s.id, m.Region)
}

// Placement describes a shard's replicas with regard to one node, as its leader sees
// them.
type Placement struct {
	// Holds reports whether the node has a replica in any state.
	Holds bool
	// HealthyVoters is the number of healthy voters on other nodes.
	HealthyVoters int
}

// QueryPlacement asks a shard's leader whether a node holds a replica and how many other
// healthy voters there are.
func (s *Service) QueryPlacement(ctx context.Context, id ledger.ShardID, node string) (Placement, error) {
	leader, known := s.Leader(id)
	if !known {
		return Placement{}, trace.Wrap(ledger.ErrUnavailable, "no leader of shard %s is known", s.objectName(id))
	}
	encoded, err := s.options.Sender.Call(ctx, leader, kindPlaced, encode(placedRequest{Shard: id}, []byte(node)))
	if err != nil {
		return Placement{}, trace.Wrap(err, "query peer %s for the placement of shard %s", leader, s.objectName(id))
	}
	var answer placedResponse
	if _, err := decode(encoded, &answer, 0); err != nil {
		return Placement{}, trace.Wrap(err, "query peer %s for the placement of shard %s", leader, s.objectName(id))
	}
	return Placement{Holds: answer.Holds, HealthyVoters: int(answer.HealthyVoters)}, nil
}

// handlePlaced serves QueryPlacement after this replica confirmed its leadership. It fails while
// the replica set is not committed, since a later leader may have the previous one.
func (s *Service) handlePlaced(ctx context.Context, from transport.Address, payload []byte) ([]byte, error) {
	var request placedRequest
	fields, err := decode(payload, &request, 1)
	if err != nil {
		return nil, trace.Wrap(err, "decode request of peer %s", from)
	}
	shard, found := s.local(request.Shard)
	if !found {
		return nil, trace.Wrap(errNotHere)
	}
	if err := shard.Read(ctx, func(ledger.Reader) error { return nil }); err != nil {
		return nil, err
	}
	status := s.shardStatus(request.Shard)
	if status.ChangePending {
		return nil, trace.Wrap(ledger.ErrUnavailable, "a configuration change is pending")
	}
	var answer placedResponse
	for _, r := range status.Replicas {
		switch {
		case r.Node == string(fields[0]):
			answer.Holds = true
		case r.State == stateVoter:
			answer.HealthyVoters++
		}
	}
	return encode(answer), nil
}

// voters returns the number of voters if this replica leads, else 0.
func (s *Shard) voters() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped || s.halted != nil || s.softState.Role != replication.RoleLeader {
		return 0
	}
	return len(s.core.Status().Configuration.Voters)
}

// HasEnoughNodes reports whether a region has enough data nodes for its shard.
func (s *Service) HasEnoughNodes(id ledger.ShardID) bool {
	members := dataMembers(s.options.Members.View(), s.self())
	return s.exists(id) && s.canHoldReplicas(id, s.eligibleMembers(id, members))
}

// HasHadLeader reports whether this node knows of a leader, past or present, of a regional
// shard.
func (s *Service) HasHadLeader(id ledger.ShardID) bool {
	return slices.Contains(s.directory.regional(), id)
}
