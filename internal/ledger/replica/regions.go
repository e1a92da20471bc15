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

// regionPrefix begins the names of the objects of regions' shards.
const regionPrefix = "region-"

func hasDoubles(regions []string) bool {
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

// Region returns the region in which all replicas of a shard lie; empty if they may
// lie anywhere, or if the settings don't tell of the region.
func (s *Service) Region(id ledger.ShardID) string { return s.regions[id] }

// exists says whether there may be such a shard.
func (s *Service) exists(id ledger.ShardID) bool {
	if id.Regional() {
		return s.regions[id] != ""
	}
	return int(id) < s.options.Shards
}

// mayHold says whether a node of a region may hold a replica of a shard.
func (s *Service) mayHold(id ledger.ShardID, region string) bool {
	return !id.Regional() || (s.regions[id] != "" && s.regions[id] == region)
}

// Need asks for the shards of regions. They are placed once there are enough data nodes
// in the region, and stay when nobody needs them any more.
func (s *Service) Need(regions []string) {
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
	case s.need <- struct{}{}:
	default:
	}
}

// Regional lists the shards of regions that this node knows of: those that are needed,
// that it holds, or of which it has heard.
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

// wanted lists the shards that are to exist.
func (s *Service) wanted() []ledger.ShardID {
	var ids []ledger.ShardID
	for id := range ledger.ShardID(s.options.Shards) {
		ids = append(ids, id)
	}
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return append(ids, slices.Sorted(maps.Keys(s.needed))...)
}

// objectName names a shard's object in the platform's store.
func (s *Service) objectName(id ledger.ShardID) string {
	if id.Regional() {
		return regionPrefix + s.regions[id]
	}
	return numberName(id)
}

// shardOf undoes objectName; false for a region of which the settings don't tell.
func (s *Service) shardOf(name string) (ledger.ShardID, bool, error) {
	if region, found := strings.CutPrefix(name, regionPrefix); found {
		id := ledger.RegionShard(region)
		return id, s.exists(id), nil
	}
	id, err := numberOf(name)
	if err != nil || !s.exists(id) {
		return 0, false, trace.BadParameter("shard directory: unexpected object %q", name)
	}
	return id, true, nil
}

// within keeps the members that may hold a replica of a shard.
func (s *Service) within(id ledger.ShardID, members []membership.Member) []membership.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool { return !s.mayHold(id, m.Region) })
}

// enough says whether data nodes suffice for a shard: a region's gets as many replicas as
// the losses of disks take, also where no zone may hold most of them, or none.
func (s *Service) enough(id ledger.ShardID, members []membership.Member) bool {
	return !id.Regional() || s.options.aim().replicas(sitesFor(members)) >= s.options.LeastCopies
}

// misplaced says whether a node, as membership sees it, is in another region than its
// replica has to be: a machine that came back elsewhere under its name.
func (s *Shard) misplaced(node string) bool {
	m, found := findMember(s.service.options.Members.View(), node)
	return found && s.service.Region(s.id) != "" && !s.service.mayHold(s.id, m.Region)
}

// Placed is where a shard lies, as its leader sees it.
type Placed struct {
	// Holds says that a node has a replica, of whatever kind.
	Holds bool
	// Sound is the number of voters that are there, that node's left out.
	Sound int
}

// AskPlaced asks the leader of a shard about a node.
func (s *Service) AskPlaced(ctx context.Context, id ledger.ShardID, node string) (Placed, error) {
	leader, known := s.Leader(id)
	if !known {
		return Placed{}, trace.Wrap(ledger.ErrUnavailable, "no leader of shard %s is known", s.objectName(id))
	}
	encoded, err := s.options.Sender.Call(ctx, leader, kindPlaced, encode(placedRequest{Shard: id}, []byte(node)))
	if err != nil {
		return Placed{}, trace.Wrap(err, "ask peer %s where shard %s lies", leader, s.objectName(id))
	}
	var answer placedAnswer
	if _, err := decode(encoded, &answer, 0); err != nil {
		return Placed{}, trace.Wrap(err, "ask peer %s where shard %s lies", leader, s.objectName(id))
	}
	return Placed{Holds: answer.Holds, Sound: int(answer.Sound)}, nil
}

// handlePlaced answers AskPlaced, after this replica confirmed that it leads.
func (s *Service) handlePlaced(ctx context.Context, from transport.Address, payload []byte) ([]byte, error) {
	var request placedRequest
	fields, err := decode(payload, &request, 1)
	if err != nil {
		return nil, trace.Wrap(err, "question of peer %s", from)
	}
	shard, found := s.local(request.Shard)
	if !found {
		return nil, trace.Wrap(errNotHere)
	}
	if err := shard.Read(ctx, func(ledger.Reader) error { return nil }); err != nil {
		return nil, err
	}
	var answer placedAnswer
	for _, one := range s.shardStatus(request.Shard).Replicas {
		switch {
		case one.Node == string(fields[0]):
			answer.Holds = true
		case one.State == stateVoter:
			answer.Sound++
		}
	}
	return encode(answer), nil
}

// voters counts the voters of a shard that this replica leads; 0 elsewhere.
func (s *Shard) voters() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped || s.halted != nil || s.soft.Role != replication.RoleLeader {
		return 0
	}
	return len(s.core.Status().Configuration.Voters)
}

// Enough says whether there are data nodes enough for a region's shard.
func (s *Service) Enough(id ledger.ShardID) bool {
	members := dataMembers(s.options.Members.View(), s.self())
	return s.exists(id) && s.enough(id, s.within(id, members))
}

// Led says whether a shard has had a leader, as far as known here.
func (s *Service) Led(id ledger.ShardID) bool { return slices.Contains(s.directory.regional(), id) }
