package replica

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/ledger/storage"
	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/transport"
)

// workerCount bounds the shards that are worked on at a time. Most workers
// wait for a shared sync.
const workerCount = 64

// Service is a node's end of the ledger. On a node without a folder it only
// finds leaders. It implements ledger.Directory.
type Service struct {
	options   Options
	directory *directory
	outbox    *outbox
	snapshots *snapshots
	workers   pond.Pool // of the protocol
	appliers  pond.Pool // of the state machines
	metrics   *metrics

	running context.Context // ends with Close
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	suspect chan struct{} // asks for an early look at the directory
	failed  chan error    // of capacity 1: a replica was halted
	changed chan struct{} // a replica set changed: the next step may be due

	regions map[ledger.ShardID]string // of the shards that regions may get
	need    chan struct{}             // of capacity 1: more of them are needed

	// mutex guards what is below.
	mutex    sync.RWMutex
	store    *storage.Store // nil without a folder
	shards   map[ledger.ShardID]*Shard
	needed   map[ledger.ShardID]bool // shards of regions
	draining bool
}

var _ ledger.Directory = (*Service)(nil)

// Open opens the disk, starts the replicas that it holds, and registers the
// handlers; Start lets them run.
func Open(options Options) (*Service, error) {
	options = options.withDefaults()
	if err := options.validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	s := &Service{
		options:   options,
		directory: newDirectory(options.Shards, slices.Collect(maps.Keys(regionsByShard(options.Regions)))...),
		regions:   regionsByShard(options.Regions),
		need:      make(chan struct{}, 1),
		needed:    map[ledger.ShardID]bool{},
		outbox:    newOutbox(options.Sender),
		snapshots: newSnapshots(options.SnapshotBytesPerSecond),
		workers:   pond.NewPool(workerCount),
		appliers:  pond.NewPool(workerCount),
		metrics:   newMetrics(options.Registry),
		suspect:   make(chan struct{}, 1),
		failed:    make(chan error, 1),
		changed:   make(chan struct{}, 1),
		shards:    map[ledger.ShardID]*Shard{},
	}
	s.running, s.cancel = context.WithCancel(context.Background())
	if options.Folder != "" {
		if err := s.openDisk(); err != nil {
			s.cancel()
			return nil, err
		}
	}
	s.registerHandlers()
	return s, nil
}

// openDisk opens the store, or a new one in place of a corrupt one, and the
// replicas in it.
func (s *Service) openDisk() error {
	err := s.tryOpenDisk()
	if !errors.Is(err, storage.ErrCorrupt) {
		return err
	}
	s.mutex.Lock()
	s.shards = map[ledger.ShardID]*Shard{}
	if s.store != nil {
		_ = s.store.Close()
		s.store = nil
	}
	s.mutex.Unlock()
	if err := storage.Discard(s.diskOptions(), err); err != nil {
		return trace.Wrap(err)
	}
	return s.tryOpenDisk()
}

func (s *Service) diskOptions() storage.Options {
	return storage.Options{
		Folder: s.options.Folder, FS: s.options.FS, Reserve: s.options.Reserve, LowSpaceThreshold: s.options.LowSpaceThreshold, DiskBytes: s.options.DiskBytes,
	}
}

func (s *Service) tryOpenDisk() error {
	store, err := storage.Open(s.diskOptions())
	if err != nil {
		return trace.Wrap(err)
	}
	s.mutex.Lock()
	s.store = store
	s.mutex.Unlock()
	ids, err := store.ShardIDs()
	if err != nil {
		return trace.Wrap(err)
	}
	for _, id := range ids {
		if !s.mayHold(id, s.self().Region) {
			// Left as it is: it may be the settings that are wrong.
			eventMisplaced.Info("shard", id, "region", s.Region(id), "node_region", s.self().Region)
			continue
		}
		if _, err := s.hold(id, nil); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// hold returns this node's replica of the shard. If there is none, it starts
// one from what prepare, if not nil, leaves on its disk.
func (s *Service) hold(id ledger.ShardID, prepare func(*storage.Shard) error) (*Shard, error) {
	if shard, found := s.local(id); found {
		return shard, nil
	}
	if region := s.self().Region; !s.mayHold(id, region) {
		return nil, trace.BadParameter("shard %d of region %q may not lie on a node of region %q", id, s.Region(id), region)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if shard, found := s.shards[id]; found {
		return shard, nil
	}
	shard, err := newShard(s, id, prepare)
	if err != nil {
		return nil, err
	}
	s.shards[id] = shard
	return shard, nil
}

// Start runs the replicas and keeps the directory fresh.
func (s *Service) Start() {
	s.outbox.start()
	s.run(s.runDirectory)
	if s.options.Folder == "" {
		return
	}
	s.run(s.runTicks)
	s.run(s.runBootstrap)
	s.run(s.runRepair)
	s.run(s.runPublish)
	s.run(s.watchDisk)
}

func (s *Service) run(task func()) {
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		task()
	}()
}

// Close stops the replicas without handing anything over; call Drain before.
func (s *Service) Close() error {
	s.cancel()
	s.tasks.Wait()
	err := s.closeDisk()
	s.workers.StopAndWait()
	s.appliers.StopAndWait()
	s.outbox.close()
	return err
}

func (s *Service) closeDisk() error {
	for _, shard := range s.allShards() {
		shard.stop()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.shards = map[ledger.ShardID]*Shard{}
	if s.store == nil {
		return nil
	}
	err := s.store.Close()
	s.store = nil
	return trace.Wrap(err)
}

// Shards implements ledger.Directory.
func (s *Service) Shards() int { return s.options.Shards }

// Leader implements ledger.Directory. A miss makes the service look for the
// leader; ask again a moment later.
func (s *Service) Leader(shard ledger.ShardID) (transport.Address, bool) {
	leader, known := s.directory.leader(shard)
	if !known {
		s.lookSoon()
	}
	return leader, known
}

// Local implements ledger.Directory.
func (s *Service) Local(id ledger.ShardID) (ledger.Shard, bool) {
	shard, found := s.local(id)
	if !found {
		return nil, false
	}
	return shard, true
}

// Suspect says that the shard's leader could not be reached or did not lead:
// it is forgotten until another node confirms it or names another.
func (s *Service) Suspect(shard ledger.ShardID, leader transport.Address) {
	s.directory.suspect(shard, leader)
	s.lookSoon()
}

func (s *Service) lookSoon() {
	select {
	case s.suspect <- struct{}{}:
	default:
	}
}

func (s *Service) local(id ledger.ShardID) (*Shard, bool) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	shard, found := s.shards[id]
	return shard, found
}

func (s *Service) allShards() []*Shard {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	shards := make([]*Shard, 0, len(s.shards))
	for _, shard := range s.shards {
		shards = append(shards, shard)
	}
	return shards
}

func (s *Service) self() membership.Member {
	self := s.options.Members.Self()
	self.HasData = s.options.Folder != ""
	return self
}

func (s *Service) disk() *storage.Store {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.store
}

// accepting says whether new entries may be written to this node's disk.
func (s *Service) accepting() bool {
	store := s.disk()
	return store != nil && !store.Full() && store.Failure() == nil
}

// LowSpace reports whether the free space of this node's disk is too low to start new work.
func (s *Service) LowSpace() bool {
	store := s.disk()
	return store != nil && store.LowSpace()
}

// idleFactor is how many times less often a node looks after its replicas that has none: in
// a large fleet most data nodes keep none.
const idleFactor = 5

// interval is a time between two looks at this node's replicas, longer while there are none.
func (s *Service) interval(usual time.Duration) time.Duration {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	if len(s.shards) == 0 {
		return idleFactor * usual
	}
	return usual
}

func (s *Service) runTicks() {
	for s.pause(s.interval(s.options.TickInterval)) {
		s.tickAll()
	}
}

func (s *Service) tickAll() {
	leading, noQuorum, exposed := 0, 0, 0
	shards := s.allShards()
	for _, shard := range shards {
		shard.tick(clock.Now())
		shard.mutex.Lock()
		if shard.soft.Leader == shard.replica {
			leading++
			if shard.repair.exposed {
				exposed++
			}
		}
		if shard.quorumLost {
			noQuorum++
		}
		shard.mutex.Unlock()
	}
	s.snapshots.expire(clock.Now(), sessionIdle, nil)
	s.metrics.leading.Set(float64(leading))
	s.metrics.noQuorum.Set(float64(noQuorum))
	s.metrics.zoneExposed.Set(float64(exposed))
	s.metrics.replicas.Set(float64(len(shards)))
}

// replicaHalted is told of a replica that can't go on.
func (s *Service) replicaHalted(cause error) {
	select {
	case s.failed <- cause:
	default:
	}
}

// watchDisk discards a folder that turns out to be corrupt, resigns from
// leading while the disk is full, and stops the replicas of a failed one.
func (s *Service) watchDisk() {
	ticker := time.NewTicker(s.options.RepairInterval)
	defer ticker.Stop()
	for {
		ticker.Reset(s.interval(s.options.RepairInterval))
		store := s.disk()
		if store == nil {
			return
		}
		select {
		case <-s.running.Done():
			return
		case cause := <-s.failed:
			if errors.Is(cause, storage.ErrCorrupt) {
				s.restartEmpty(cause)
			}
		case <-store.Failed():
			if !errors.Is(store.Failure(), storage.ErrCorrupt) {
				s.haltAll(store.Failure())
				return
			}
			s.restartEmpty(store.Failure())
		case <-ticker.C:
			s.metrics.diskBytes.Set(float64(store.DiskBytes()))
			if store.Full() || s.isDraining() || s.evacuating() {
				s.resignAll() // also if it was elected again
			}
		}
	}
}

// restartEmpty gives up a corrupt folder and continues with a new one, whose
// replicas have other identities.
func (s *Service) restartEmpty(cause error) {
	eventRejoining.Error(cause, "folder", s.options.Folder)
	_ = s.closeDisk()
	if err := storage.Discard(s.diskOptions(), cause); err != nil {
		eventHalted.Error(err, "folder", s.options.Folder)
		return
	}
	if err := s.tryOpenDisk(); err != nil {
		eventHalted.Error(err, "folder", s.options.Folder)
	}
}

func (s *Service) haltAll(cause error) {
	for _, shard := range s.allShards() {
		shard.mutex.Lock()
		shard.halt(cause)
		shard.mutex.Unlock()
	}
}

func (s *Service) isDraining() bool {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.draining
}

// evacuating says that this node's replicas are being moved off it.
func (s *Service) evacuating() bool {
	return s.options.ReplaceLeaving && s.self().State >= membership.StateLeaving
}

// resignAll hands the leadership of all shards over where that is possible.
func (s *Service) resignAll() int {
	leading := 0
	for _, shard := range s.allShards() {
		if shard.resign() {
			leading++
		}
	}
	return leading
}

// drainInterval is the time between two tries to hand leadership over.
const drainInterval = 20 * time.Millisecond

// Drain hands over the leadership of all shards, and returns once this node
// leads none or ctx ends. Its replicas go on following until Close.
func (s *Service) Drain(ctx context.Context) error {
	s.mutex.Lock()
	s.draining = true
	s.mutex.Unlock()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for s.resignAll() > 0 {
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "hand over leadership")
		case <-ticker.C:
		}
	}
	eventDrained.Info("node", s.self().Name)
	return nil
}
