package replica

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
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
	// bootstrapInterval is the time between two looks at the store while
	// shards are missing; it grows up to bootstrapSlow while the store fails
	// or nothing changes.
	bootstrapInterval = 200 * time.Millisecond
	bootstrapSlow     = 10 * time.Second
	// bootstrapWatch is the interval of the nodes that leave the placing to
	// another.
	bootstrapWatch = time.Second
	storeTimeout   = 5 * time.Second
)

// shardObject is the spec of a shards object in the platform's store.
type shardObject struct {
	// Region is where all replicas lie; empty if they may lie anywhere.
	Region string `json:"region,omitempty"`
	// Initial is the first replica set; it is never changed.
	Initial []replicaRecord `json:"initial"`
	// Current is the replica set as a leader wrote it last, for operators.
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

// bootstrapper watches for the number of data nodes to stand still.
type bootstrapper struct {
	service *Service
	count   int
	since   time.Time
	// short are shards of regions with too few data nodes, and onlyShort says that all
	// others exist.
	short     []ledger.ShardID
	onlyShort bool
}

// runBootstrap places the shards that don't exist yet, and starts the replicas
// that are placed here. It rests once all shards exist, until more are needed.
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
			case <-s.need:
			}
			b.since, wait = clock.Now(), bootstrapInterval
			continue
		}
		if err != nil {
			eventDirectoryFailed.Error(err, "step", "bootstrap")
			wait = min(2*wait, bootstrapSlow)
		} else {
			wait = b.interval()
		}
		if !s.pause(wait/2 + rand.N(wait)) {
			return
		}
	}
}

// interval is the time to the next look: short at the node that places.
func (b *bootstrapper) interval() time.Duration {
	self := b.service.self()
	if dataMembers(b.service.options.Members.View(), self)[0].Name == self.Name {
		return bootstrapInterval
	}
	return bootstrapWatch
}

// step returns true once all shards exist in the store.
func (b *bootstrapper) step(now time.Time) (bool, error) {
	if b.waitsForNodes() {
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
	for _, id := range b.service.wanted() {
		if !placed[b.service.objectName(id)] {
			missing = append(missing, id)
		}
	}
	if len(missing) == 0 {
		return true, nil
	}
	if missing = b.placeable(missing); len(missing) == 0 || !b.mayPlace(now) {
		return false, nil
	}
	return false, b.service.placeMissing(ctx, missing)
}

// placeable leaves out the shards of regions with too few data nodes, and tells of them
// once.
func (b *bootstrapper) placeable(missing []ledger.ShardID) []ledger.ShardID {
	members := dataMembers(b.service.options.Members.View(), b.service.self())
	var short, rest []ledger.ShardID
	for _, id := range missing {
		if b.service.enough(id, b.service.within(id, members)) {
			rest = append(rest, id)
		} else {
			short = append(short, id)
		}
	}
	if !slices.Equal(short, b.short) {
		for _, id := range short {
			eventRegionShort.Info("shard", id, "region", b.service.Region(id),
				"nodes", len(b.service.within(id, members)), "least", b.service.options.LeastCopies)
		}
	}
	b.short, b.onlyShort = short, len(rest) == 0
	return rest
}

// waitsForNodes says that all that is missing are shards of regions that have too few data
// nodes still.
func (b *bootstrapper) waitsForNodes() bool {
	if len(b.short) == 0 || !b.onlyShort {
		return false
	}
	select {
	case <-b.service.need:
		return false
	default:
	}
	members := dataMembers(b.service.options.Members.View(), b.service.self())
	return !slices.ContainsFunc(b.short, func(id ledger.ShardID) bool {
		return b.service.enough(id, b.service.within(id, members))
	})
}

// mayPlace says whether enough data nodes are known, or no more are coming,
// and whether it is this node's turn: the first by name, others much later.
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

func numberName(id ledger.ShardID) string { return strconv.FormatUint(uint64(id), 10) }

func numberOf(name string) (ledger.ShardID, error) {
	number, err := strconv.ParseUint(name, 10, 31)
	return ledger.ShardID(number), err
}

// startInitial bootstraps this node's replica if it is one of the shard's
// first, with the very identity that its disk gives it, and has never run.
func (s *Service) startInitial(object platform.Object) error {
	id, known, err := s.shardOf(object.Name)
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
	shard, err := s.hold(id, func(disk *storage.Shard) error {
		err := disk.Bootstrap(replication.BootstrapMarker(voters...), replication.BootstrapState(), roster)
		if errors.Is(err, storage.ErrNotEmpty) {
			return nil
		}
		return err
	})
	if err != nil {
		return trace.Wrap(err)
	}
	eventBootstrapped.Info("shard", id, "replica", shard.replica, "replicas", len(voters))
	return nil
}

// placeMissing creates the objects of shards that don't exist. A conflict
// means that another node was faster; an unknown outcome shows at the next list.
func (s *Service) placeMissing(ctx context.Context, missing []ledger.ShardID) error {
	members := dataMembers(s.options.Members.View(), s.self())
	placement := placeShards(s.options.Shards, sitesFor(members), s.options.aim())
	for _, id := range missing {
		var chosen []site
		if id.Regional() {
			chosen = placeShards(1, sitesFor(s.within(id, members)), s.options.aim())[0]
		} else {
			chosen = placement[id]
		}
		if err := s.placeOne(ctx, id, chosen); err != nil {
			return trace.Wrap(err, "place shard %d", id)
		}
	}
	return nil
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
		record, err := s.describeSite(id, chosen)
		if err != nil {
			return trace.Wrap(err, "ask peer %s for its identity", chosen.node)
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

func (s *Service) describeSite(id ledger.ShardID, chosen site) (replicaRecord, error) {
	m, found := findMember(s.options.Members.View(), chosen.node)
	if self := s.self(); chosen.node == self.Name {
		m, found = self, true
	}
	if !found {
		return replicaRecord{}, trace.NotFound("%s is no member any more", chosen.node)
	}
	answer, err := s.callDescribe(m, id)
	if err != nil {
		return replicaRecord{}, err
	}
	return replicaRecord{Replica: answer.Replica, Node: m.Name, Zone: m.Zone, Address: m.Address}, nil
}
