package replica

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/ledger/replication"
	"chutelock.dev/chutelock/internal/ledger/storage"
	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/transport"
)

const (
	// bootstrapInterval is the store polling interval while shards are missing;
	// it backs off to maxBootstrapInterval while passes fail.
	bootstrapInterval    = 200 * time.Millisecond
	maxBootstrapInterval = 10 * time.Second
	// bootstrapWatchInterval is the polling interval of nodes other than the one
	// that places shards.
	bootstrapWatchInterval = time.Second
	storeTimeout           = 5 * time.Second
)

// shardObject is the spec of a shards object in the platform's store.
type shardObject struct {
	// Region restricts the replicas to a region; empty means any region.
	Region string `json:"region,omitempty"`
	// Initial is the first replica set; it is immutable.
	Initial []replicaRecord `json:"initial"`
	// Current is the replica set last published by a leader, for operators.
	Current []replicaRecord `json:"current,omitempty"`
	Leader  string          `json:"leader,omitempty"`
	Term    uint64          `json:"term,omitempty"`
}

type replicaRecord struct {
	Replica replication.ReplicaID `json:"replica"`
	Node    string                `json:"node"`
	Zone    string                `json:"zone"`
	Address transport.Address     `json:"address"`
	Learner bool                  `json:"learner,omitempty"`
}

// bootstrapper places shards once the number of data nodes is stable.
type bootstrapper struct {
	service *Service
	count   int
	since   time.Time
	// shortRegions lists the shards of regions with too few data nodes;
	// onlyShortMissing is set when all other shards exist.
	shortRegions     []ledger.ShardID
	onlyShortMissing bool
}

// runBootstrap places missing shards and starts the initial replicas assigned to
// this node. Once all shards exist, it blocks until more are requested.
func (s *Service) runBootstrap() {
	if s.options.Store == nil {
		return
	}
	b := &bootstrapper{service: s, since: clock.Now()}
	wait := bootstrapInterval
	for {
		complete, err := b.step(clock.Now())
		if complete {
			select {
			case <-s.running.Done():
				return
			case <-s.shardsNeeded:
			}
			b.since, wait = clock.Now(), bootstrapInterval
			continue
		}
		if err != nil {
			eventDirectoryFailed.Error(err, "step", "bootstrap")
			wait = min(2*wait, maxBootstrapInterval)
		} else {
			wait = b.interval()
		}
		if !s.sleep(wait/2 + rand.N(wait)) {
			return
		}
	}
}

// interval returns the polling interval, which is short on the node that places
// shards.
func (b *bootstrapper) interval() time.Duration {
	self := b.service.self()
	if dataMembers(b.service.options.Members.View(), self)[0].Name == self.Name {
		return bootstrapInterval
	}
	return bootstrapWatchInterval
}

// step runs one bootstrap pass and reports whether all shards exist in the store.
func (b *bootstrapper) step(now time.Time) (bool, error) {
	if b.waitingForNodes() {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(b.service.running, storeTimeout)
	defer cancel()
	objects, _, err := b.service.options.Store.List(ctx, platform.KindShard)
	if err != nil {
		return false, trace.Wrap(err, "list the shard directory")
	}
	placed := map[string]bool{}
	for _, object := range objects {
		placed[object.Name] = true
		if err := b.service.startInitial(object); err != nil {
			return false, err
		}
	}
	var missing []ledger.ShardID
	for _, id := range b.service.requiredShards() {
		if !placed[b.service.objectName(id)] {
			missing = append(missing, id)
		}
	}
	if len(missing) == 0 {
		return true, nil
	}
	if missing = b.filterPlaceable(missing); len(missing) == 0 || !b.mayPlace(now) {
		return false, nil
	}
	return false, b.service.placeMissing(ctx, missing)
}

// filterPlaceable removes the shards of regions with too few data nodes and logs
// them when the list changes.
func (b *bootstrapper) filterPlaceable(missing []ledger.ShardID) []ledger.ShardID {
	members := dataMembers(b.service.options.Members.View(), b.service.self())
	var short, rest []ledger.ShardID
	for _, id := range missing {
		if b.service.canHoldReplicas(id, b.service.eligibleMembers(id, members)) {
			rest = append(rest, id)
		} else {
			short = append(short, id)
		}
	}
	if !slices.Equal(short, b.shortRegions) {
		for _, id := range short {
			eventRegionShort.Info("shard", id, "region", b.service.Region(id),
				"nodes", len(b.service.eligibleMembers(id, members)), "least", b.service.options.MinCopies)
		}
	}
	b.shortRegions, b.onlyShortMissing = short, len(rest) == 0
	return rest
}

// waitingForNodes reports whether the only missing shards are those of regions
// that still have too few data nodes.
func (b *bootstrapper) waitingForNodes() bool {
	if len(b.shortRegions) == 0 || !b.onlyShortMissing {
		return false
	}
	select {
	case <-b.service.shardsNeeded:
		return false
	default:
	}
	members := dataMembers(b.service.options.Members.View(), b.service.self())
	return !slices.ContainsFunc(b.shortRegions, func(id ledger.ShardID) bool {
		return b.service.canHoldReplicas(id, b.service.eligibleMembers(id, members))
	})
}

// mayPlace reports whether this node may place shards now. The first data node
// by name places once there are enough nodes or their number has been stable for
// BootstrapWait; others wait twice as long in case it fails.
func (b *bootstrapper) mayPlace(now time.Time) bool {
	self := b.service.self()
	members := dataMembers(b.service.options.Members.View(), self)
	if len(members) != b.count {
		b.count = len(members)
		b.since = now
	}
	wait := b.service.options.BootstrapWait
	enough := len(members) >= b.service.options.Copies
	if members[0].Name != self.Name {
		return now.Sub(b.since) >= 2*wait
	}
	return enough || now.Sub(b.since) >= wait
}

func formatShardNumber(id ledger.ShardID) string { return strconv.FormatUint(uint64(id), 10) }

func parseShardNumber(name string) (ledger.ShardID, error) {
	number, err := strconv.ParseUint(name, 10, 31)
	return ledger.ShardID(number), err
}

// startInitial bootstraps this node's replica if the shard's initial set lists
// its current replica ID and it isn't running yet.
func (s *Service) startInitial(object platform.Object) error {
	id, known, err := s.parseObjectName(object.Name)
	if err != nil || !known {
		return err
	}
	var spec shardObject
	if err := json.Unmarshal(object.Spec, &spec); err != nil {
		return trace.Wrap(err, "shard directory: object %q", object.Name)
	}
	store := s.disk()
	if store == nil {
		return nil
	}
	incarnation, err := store.IncarnationAt(id)
	if err != nil {
		return trace.Wrap(err)
	}
	own := replication.NewReplicaID(s.self().Name, incarnation)
	if !slices.ContainsFunc(spec.Initial, func(r replicaRecord) bool { return r.Replica == own }) {
		return nil
	}
	if _, running := s.local(id); running || !s.mayHold(id, s.self().Region) {
		return nil
	}
	return s.bootstrapShard(id, spec.Initial)
}

func (s *Service) bootstrapShard(id ledger.ShardID, initial []replicaRecord) error {
	var voters []replication.ReplicaID
	var roster []storage.RosterEntry
	for _, record := range initial {
		voters = append(voters, record.Replica)
		roster = append(roster, storage.RosterEntry{
			Replica: record.Replica, Node: record.Node, Zone: record.Zone, Address: record.Address,
		})
	}
	shard, err := s.openReplica(id, func(disk *storage.Shard) error {
		err := disk.Bootstrap(replication.BootstrapMarker(voters...), replication.BootstrapState(), roster)
		if errors.Is(err, storage.ErrNotEmpty) {
			return nil
		}
		return err
	})
	if err != nil {
		return trace.Wrap(err)
	}
	eventBootstrapped.Info("shard", id, "replica", shard.replicaID, "replicas", len(voters))
	return nil
}

// placeMissing creates the store objects of missing shards. A conflict means that
// another node created the object first; the next list resolves unknown outcomes.
func (s *Service) placeMissing(ctx context.Context, missing []ledger.ShardID) error {
	members := dataMembers(s.options.Members.View(), s.self())
	var placement [][]site // of the shards without a region, once needed
	for _, id := range missing {
		var chosen []site
		var err error
		if id.Regional() {
			chosen, err = s.placeRegional(id, members)
		} else {
			if placement == nil {
				placement, err = s.placeGlobal(id, members)
			}
			if err == nil {
				chosen = placement[id]
			}
		}
		if err == nil {
			err = s.placeOne(ctx, id, chosen)
		}
		if err != nil {
			return trace.Wrap(err, "place shard %d", id)
		}
	}
	return nil
}

func (s *Service) placeRegional(id ledger.ShardID, members []membership.Member) ([]site, error) {
	present, err := s.presentMembers(id, s.eligibleMembers(id, members))
	if err != nil {
		return nil, err
	}
	return placeShards(1, sitesFor(present), s.options.placementPolicy())[0], nil
}

// placeGlobal places all shards without a region; id is one of them.
func (s *Service) placeGlobal(id ledger.ShardID, members []membership.Member) ([][]site, error) {
	present, err := s.presentMembers(id, members)
	if err != nil {
		return nil, err
	}
	return placeShards(s.options.Shards, sitesFor(present), s.options.placementPolicy()), nil
}

// presentMembers returns the members that answer, enough of them for as many replicas as all could
// hold. Members may be listed long after their machines are gone.
func (s *Service) presentMembers(id ledger.ShardID, members []membership.Member) ([]membership.Member, error) {
	policy := s.options.placementPolicy()
	wanted := policy.replicaCount(sitesFor(members))
	left := slices.Clone(members)
	s.responses.order(left, clock.Now())
	var present []membership.Member
	for len(left) > 0 && (len(present) == 0 || policy.replicaCount(sitesFor(present)) < wanted) {
		count := min(maxJoinCandidates, len(left))
		present = append(present, s.answering(id, left[:count])...)
		left = left[count:]
	}
	if found := policy.replicaCount(sitesFor(present)); found < wanted || wanted == 0 {
		return nil, trace.ConnectionProblem(nil, "nodes for %d of %d replicas answer", found, wanted)
	}
	// Sorted as members are, so that placements agree.
	slices.SortFunc(present, func(a, b membership.Member) int { return strings.Compare(a.Name, b.Name) })
	return present, nil
}

// answering asks members at the same time and returns those that answer.
func (s *Service) answering(id ledger.ShardID, members []membership.Member) []membership.Member {
	answered := make([]bool, len(members))
	var calls sync.WaitGroup
	self := s.self().Name
	for i, m := range members {
		if m.Name == self {
			answered[i] = true
			continue
		}
		calls.Go(func() {
			_, err := s.callDescribe(m, id)
			answered[i] = err == nil
		})
	}
	calls.Wait()
	var present []membership.Member
	for i, m := range members {
		if answered[i] {
			present = append(present, m)
		}
	}
	return present
}

func sitesFor(members []membership.Member) []site {
	var sites []site
	for _, m := range members {
		sites = append(sites, site{node: m.Name, zone: m.Zone})
	}
	return sites
}

func (s *Service) placeOne(ctx context.Context, id ledger.ShardID, sites []site) error {
	spec := shardObject{Region: s.Region(id)}
	for _, chosen := range sites {
		record, err := s.recordForSite(id, chosen)
		if err != nil {
			return trace.Wrap(err, "request the replica ID of peer %s", chosen.node)
		}
		spec.Initial = append(spec.Initial, record)
	}
	encoded, err := json.Marshal(spec)
	if err != nil {
		return trace.Wrap(err)
	}
	object := platform.Object{Kind: platform.KindShard, Name: s.objectName(id), Spec: encoded}
	_, err = s.options.Store.Put(ctx, object)
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	if err == nil {
		eventPlaced.Info("shard", id, "replicas", len(spec.Initial))
	}
	return trace.Wrap(err)
}

func (s *Service) recordForSite(id ledger.ShardID, chosen site) (replicaRecord, error) {
	m, found := findMember(s.options.Members.View(), chosen.node)
	if self := s.self(); chosen.node == self.Name {
		m, found = self, true
	}
	if !found {
		return replicaRecord{}, trace.NotFound("node %s is not a member", chosen.node)
	}
	answer, err := s.callDescribe(m, id)
	if err != nil {
		return replicaRecord{}, err
	}
	return replicaRecord{Replica: answer.Replica, Node: m.Name, Zone: m.Zone, Address: m.Address}, nil
}
