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

// workerCount limits the shards processed concurrently. Most workers wait for a
// shared sync.
const workerCount = 64

// Service runs a node's replicas and locates the leaders of all shards. On a node
// without a folder it only locates leaders. It implements ledger.Directory.
type Service struct {
	options   Options
	directory *directory
	outbox    *outbox
	snapshots *snapshots
	workers   pond.Pool // run the protocol
	appliers  pond.Pool // apply committed entries
	metrics   *metrics

	running          context.Context // canceled by Close
	cancel           context.CancelFunc
	tasks            sync.WaitGroup
	refreshDirectory chan struct{} // capacity 1; requests an early directory fetch
	failed           chan error    // capacity 1; the cause of a halted replica
	repairTrigger    chan struct{} // capacity 1; a replica set changed

	responses    *responses                // to descriptions of replicas
	fetches      *responses                // to directory fetches, which time out sooner
	regions      map[ledger.ShardID]string // of all regional shards that may exist
	shardsNeeded chan struct{}             // capacity 1; more regional shards were requested

	// mutex guards the fields below.
	mutex sync.RWMutex
	store *storage.Store // nil without a folder, or while it can't be opened
	// openFailure is why the store could not be opened; see watchDisk.
	openFailure error
	shards      map[ledger.ShardID]*Shard
	needed      map[ledger.ShardID]bool // requested regional shards
	draining    bool
}

var _ ledger.Directory = (*Service)(nil)

// Open opens the disk, loads the replicas on it and registers the transport
// handlers. Call Start to run them.
func Open(options Options) (*Service, error) {
	options = options.withDefaults()
	if err := options.validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	s := &Service{
		options:          options,
		directory:        newDirectory(options.Shards, slices.Collect(maps.Keys(regionsByShard(options.Regions)))...),
		responses:        newResponses(),
		fetches:          newResponses(),
		regions:          regionsByShard(options.Regions),
		shardsNeeded:     make(chan struct{}, 1),
		needed:           map[ledger.ShardID]bool{},
		outbox:           newOutbox(options.Sender),
		snapshots:        newSnapshots(options.SnapshotBytesPerSecond),
		workers:          pond.NewPool(workerCount),
		appliers:         pond.NewPool(workerCount),
		metrics:          newMetrics(options.Registry),
		refreshDirectory: make(chan struct{}, 1),
		failed:           make(chan error, 1),
		repairTrigger:    make(chan struct{}, 1),
		shards:           map[ledger.ShardID]*Shard{},
	}
	s.running, s.cancel = context.WithCancel(context.Background())
	if options.Folder != "" {
		err := s.openDisk()
		if err != nil && !errors.Is(err, storage.ErrFailed) {
			s.cancel()
			return nil, err
		}
		s.openFailure = err
	}
	s.registerHandlers()
	return s, nil
}

// openDisk opens the store and its replicas. It discards a corrupt store and opens a
// new one.
func (s *Service) openDisk() error {
	err := s.tryOpenDisk()
	if !errors.Is(err, storage.ErrCorrupt) {
		return err
	}
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
	options := s.diskOptions()
	options.Canceled = s.running.Done()
	store, err := storage.Open(options)
	if err != nil {
		return trace.Wrap(err)
	}
	s.mutex.Lock()
	s.store = store
	s.mutex.Unlock()
	if err := s.openReplicas(store); err != nil {
		return errors.Join(err, s.closeDisk())
	}
	return nil
}

// openReplicas opens the replicas that the store holds.
func (s *Service) openReplicas(store *storage.Store) error {
	ids, err := store.ShardIDs()
	if err != nil {
		return trace.Wrap(err)
	}
	for _, id := range ids {
		if !s.mayHold(id, s.self().Region) {
			// Kept on disk, since the settings may be wrong.
			eventMisplaced.Info("shard", id, "region", s.Region(id), "node_region", s.self().Region)
			continue
		}
		if _, err := s.openReplica(id, nil); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// openReplica returns this node's replica of the shard. If there is none, it opens
// one after calling prepare, if not nil, on its disk.
func (s *Service) openReplica(id ledger.ShardID, prepare func(*storage.Shard) error) (*Shard, error) {
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
	if s.store == nil {
		return nil, trace.Wrap(ledger.ErrUnavailable, "open shard %d: the disk is closed", id)
	}
	shard, err := newShard(s, id, prepare)
	if err != nil {
		return nil, err
	}
	s.shards[id] = shard
	return shard, nil
}

// Start starts the replicas and the background tasks.
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

// Close stops the replicas without transferring leadership; call Drain first.
func (s *Service) Close() error {
	s.cancel()
	s.tasks.Wait()
	err := s.closeDisk()
	s.workers.StopAndWait()
	s.appliers.StopAndWait()
	s.outbox.close()
	return err
}

// closeDisk stops the replicas and closes the store. It doesn't wait for a disk that hangs.
func (s *Service) closeDisk() error {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for _, shard := range s.allShards() {
			shard.stop()
		}
	}()
	select {
	case <-stopped:
	case <-time.After(stopTimeout):
		if store := s.disk(); store != nil {
			store.Abandon()
		}
		<-stopped
	}
	s.mutex.Lock()
	store := s.store
	s.shards = map[ledger.ShardID]*Shard{}
	s.store = nil
	s.mutex.Unlock()
	if store == nil {
		return nil
	}
	return trace.Wrap(store.Close())
}

// Shards implements ledger.Directory.
func (s *Service) Shards() int { return s.options.Shards }

// Leader implements ledger.Directory. A miss triggers a directory fetch; the caller
// may retry shortly afterwards.
func (s *Service) Leader(shard ledger.ShardID) (transport.Address, bool) {
	leader, known := s.directory.leader(shard)
	if !known {
		s.requestRefresh()
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

// Suspect reports that the shard's leader was unreachable or not leading. The hint is
// cleared until another node confirms it or reports a new leader.
func (s *Service) Suspect(shard ledger.ShardID, leader transport.Address) {
	s.directory.suspect(shard, leader)
	s.requestRefresh()
}

func (s *Service) requestRefresh() {
	select {
	case s.refreshDirectory <- struct{}{}:
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

// accepting reports whether new entries may be written to this node's disk.
func (s *Service) accepting() bool {
	store := s.disk()
	return store != nil && !store.Full() && store.Failure() == nil
}

// LowSpace reports whether free disk space is so low that no new work should start.
func (s *Service) LowSpace() bool {
	store := s.disk()
	return store != nil && store.LowSpace()
}

// idleFactor lengthens the intervals of background tasks on nodes without replicas,
// which are most data nodes of a large fleet.
const idleFactor = 5

// interval returns the interval of a background task, multiplied by idleFactor while
// this node holds no replicas.
func (s *Service) interval(base time.Duration) time.Duration {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	if len(s.shards) == 0 {
		return idleFactor * base
	}
	return base
}

func (s *Service) runTicks() {
	for s.sleep(s.interval(s.options.TickInterval)) {
		s.tickAll()
	}
}

func (s *Service) tickAll() {
	leading, noQuorum, exposed, halted := 0, 0, 0, 0
	shards := s.allShards()
	for _, shard := range shards {
		shard.tick(clock.Now())
		shard.mutex.Lock()
		if shard.halted != nil {
			halted++
		}
		if shard.softState.Leader == shard.replicaID {
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
	s.snapshots.expire(clock.Now(), sessionIdleTimeout, nil)
	s.metrics.leading.Set(float64(leading))
	s.metrics.noQuorum.Set(float64(noQuorum))
	s.metrics.zoneExposed.Set(float64(exposed))
	s.metrics.halted.Set(float64(halted))
	s.metrics.replicas.Set(float64(len(shards)))
}

// replicaHalted tells watchDisk why a replica halted.
func (s *Service) replicaHalted(cause error) {
	select {
	case s.failed <- cause:
	default:
	}
}

func (s *Service) isDraining() bool {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.draining
}

// evacuating reports whether this node's replicas are being moved to other nodes.
func (s *Service) evacuating() bool {
	return s.options.ReplaceLeaving && s.self().State >= membership.StateLeaving
}

// resignAll calls resign on all shards and returns the number still led here that
// have other voters.
func (s *Service) resignAll() int {
	leading := 0
	for _, shard := range s.allShards() {
		if shard.resign() {
			leading++
		}
	}
	return leading
}

// drainInterval is the time between attempts to transfer leadership.
const drainInterval = 20 * time.Millisecond

// Drain transfers the leadership of all shards. It returns once this node leads none
// that has other voters, or ctx is done. Replicas keep following until Close.
func (s *Service) Drain(ctx context.Context) error {
	s.mutex.Lock()
	s.draining = true
	s.mutex.Unlock()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for s.resignAll() > 0 {
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "transfer leadership")
		case <-ticker.C:
		}
	}
	eventDrained.Info("node", s.self().Name)
	return nil
}
