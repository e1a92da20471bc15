package system

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chutelock.dev/chutelock/internal/batchwork"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/telemetry"
	"chutelock.dev/chutelock/internal/transport"
)

const (
	// shardCheckInterval is the time between checks for new shards and configurations.
	shardCheckInterval = 200 * time.Millisecond
	// misplacedCountInterval is the time between two counts of misplaced jobs.
	misplacedCountInterval = 10 * time.Second
)

var (
	eventJobsMisplaced = telemetry.Define(3217, "jobs-astray", "Jobs of a shard are stored where the current configuration does not allow it: their regions changed after they were accepted. They are not moved; their items run in allowed regions, and the jobs are deleted after batch.keep.")
	eventRegionsNeeded = telemetry.Define(5203, "regions-needed", "Batch jobs of some routes and tenants are restricted to these regions; each region gets its own shard.")
)

// shardWork is the batch work of one shard on this data node.
type shardWork struct {
	shard     ledger.ShardID
	machine   *batchwork.Machine
	runner    *batchwork.Runner // nil until openShardWork
	misplaced int
}

// shardWorkSet has the batch work of all shards that have or had a replica on this node.
type shardWorkSet struct {
	mutex   sync.Mutex // guards the fields below; a leaf
	byShard map[ledger.ShardID]*shardWork
}

func newShardWorkSet() *shardWorkSet { return &shardWorkSet{byShard: map[ledger.ShardID]*shardWork{}} }

// machine returns the state machine of a shard, which is created on first use and
// survives the removal of the replica.
func (w *shardWorkSet) machine(shard ledger.ShardID) *batchwork.Machine {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	work := w.byShard[shard]
	if work == nil {
		work = &shardWork{shard: shard, machine: batchwork.NewMachine()}
		w.byShard[shard] = work
	}
	return work.machine
}

// all returns the batch work of all shards, ordered by shard.
func (w *shardWorkSet) all() []*shardWork {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	list := make([]*shardWork, 0, len(w.byShard))
	for _, work := range w.byShard {
		list = append(list, work)
	}
	slices.SortFunc(list, func(a, b *shardWork) int { return cmp.Compare(a.shard, b.shard) })
	return list
}

// runners returns the runners of all shards that are open.
func (w *shardWorkSet) runners() []*batchwork.Runner {
	var runners []*batchwork.Runner
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, work := range w.byShard {
		if work.runner != nil {
			runners = append(runners, work.runner)
		}
	}
	return runners
}

func (w *shardWorkSet) setRunner(shard ledger.ShardID, runner *batchwork.Runner) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.byShard[shard].runner = runner
}

// openShardWork makes this node serve a shard, and run its items while it is the leader.
func (d *data) openShardWork(shard ledger.ShardID) *batchwork.Runner {
	machine, port, local := d.shardWork.machine(shard), d.shardPorts.For(shard), localShard{d.core, shard}
	runner := batchwork.NewRunner(batchwork.RunnerOptions{
		Shard: local, Machine: machine, Pool: d.pool, Balancer: d.balancer,
		Route: d.route, Regions: d.allowedRegions(d.ledger.Region(shard)), Permitted: d.permitted,
		Usable: d.catalog.usableForBatch, Zone: d.settings.Node.Zone, Keep: d.settings.Batch.Keep,
		Settle: settleTime, Executors: d.executors, Sender: port, Receiver: port,
		LocalRuns: d.settings.Batch.LocalRuns, Guard: d.guard, SharedParts: d.adapter.SharedParts, Misnumbered: d.countMisnumbered, Metrics: d.batchMetrics,
		Overload: batchwork.OverloadOptions{
			Active: d.overloadActive, Weight: d.batchWeight, Room: d.balancer.BatchRoom, JobLateness: d.settings.Overload.JobLateness,
			Speed: func(engine catalog.Engine) float64 { return 1 / d.balancer.DurationFactor(engine) },
		},
	})
	batchwork.RegisterServer(batchwork.ServerOptions{
		Shard: local.replica, Machine: machine, LowSpace: d.ledger.LowSpace, Receiver: port,
		Permitted: d.mayStore(d.ledger.Region(shard)),
		TenantKnown: func(tenant string) bool {
			return d.catalog.Snapshot().Configuration.Tenant(tenant) != nil
		},
		Replicas:  func() []transport.Address { return d.ledger.Replicas(shard) },
		Refuse:    runner.Refuse,
		QueueRoom: runner.QueueRoom,
	})
	d.shardWork.setRunner(shard, runner)
	return runner
}

// manageShards opens the batch work of new shards on this node, and requests the shards
// of regions that a new configuration needs.
func (d *data) manageShards() {
	var lastConfiguration *catalog.Configuration
	var needed []string
	var lastCount time.Time
	for d.sleep(shardCheckInterval) {
		for _, work := range d.shardWork.all() {
			if work.runner == nil {
				runner := d.openShardWork(work.shard)
				d.spawn(func() { runner.Run(d.ctx) })
			}
		}
		configuration := d.catalog.Snapshot().Configuration
		changed := configuration != lastConfiguration
		if changed {
			lastConfiguration, needed = configuration, configuration.BatchRegions()
		}
		if changed && len(needed) > 0 {
			eventRegionsNeeded.Info("regions", needed, "version", lastConfiguration.Version)
			d.ledger.RequestShards(needed)
		}
		if (len(needed) > 0 || d.anyMisplaced()) && (changed || clock.Since(lastCount) >= misplacedCountInterval) {
			lastCount = clock.Now()
			d.countMisplaced()
		}
	}
}

func (d *data) anyMisplaced() bool {
	return slices.ContainsFunc(d.shardWork.all(), func(work *shardWork) bool { return work.misplaced > 0 })
}

// countMisplaced counts and logs jobs that may no longer be stored in their shard's region.
func (d *data) countMisplaced() {
	for _, work := range d.shardWork.all() {
		region := d.ledger.Region(work.shard)
		jobs, misplaced := work.machine.Jobs(d.mayStore(region))
		labels := prometheus.Labels{"region": region}
		d.regionJobs.With(labels).Set(float64(jobs))
		d.misplacedJobs.With(labels).Set(float64(misplaced))
		if leads, _ := (localShard{d.core, work.shard}).Leading(); leads && misplaced != work.misplaced {
			eventJobsMisplaced.Info("region", region, "jobs", misplaced, "before", work.misplaced)
		}
		work.misplaced = misplaced
	}
}

// newRegionGauge registers a gauge by the region of a shard, which is empty for shard 0.
func newRegionGauge(registry prometheus.Registerer, name, help string) *prometheus.GaugeVec {
	vector := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, []string{"region"})
	registry.MustRegister(vector)
	return vector
}

// yield makes the runner of each shard led by this node yield to online requests.
func (d *data) yield() {
	for _, runner := range d.shardWork.runners() {
		if runner.Leading() {
			runner.Preempt()
		}
	}
}

// regionLeaders returns the known leaders of regions' shards.
func (c *core) regionLeaders() []transport.Address {
	var leaders []transport.Address
	for _, shard := range c.ledger.Regional() {
		if leader, known := c.ledger.Leader(shard); known {
			leaders = append(leaders, leader)
		}
	}
	return leaders
}

// localShard is this node's replica of a shard as a ledger.Shard. Without a replica,
// calls fail with ledger.ErrUnavailable.
type localShard struct {
	*core
	shard ledger.ShardID
}

func (s localShard) replica() (ledger.Shard, bool) { return s.ledger.Local(s.shard) }

// Propose implements ledger.Shard.
func (s localShard) Propose(ctx context.Context, entry []byte) ([]byte, error) {
	if shard, found := s.replica(); found {
		return shard.Propose(ctx, entry)
	}
	return nil, ledger.ErrUnavailable
}

// Read implements ledger.Shard.
func (s localShard) Read(ctx context.Context, query func(ledger.Reader) error) error {
	if shard, found := s.replica(); found {
		return shard.Read(ctx, query)
	}
	return ledger.ErrUnavailable
}

// FollowerRead implements ledger.Shard.
func (s localShard) FollowerRead(ctx context.Context, query func(ledger.Reader) error) error {
	if shard, found := s.replica(); found {
		return shard.FollowerRead(ctx, query)
	}
	return ledger.ErrUnavailable
}

// Leading implements ledger.Shard.
func (s localShard) Leading() (bool, uint64) {
	if shard, found := s.replica(); found {
		return shard.Leading()
	}
	return false, 0
}
