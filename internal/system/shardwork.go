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
	// worksInterval is the time between two looks for shards that this node came to hold,
	// and for a newer configuration; a comparison each.
	worksInterval = 200 * time.Millisecond
	// astrayInterval is the time between two counts of jobs that lie where they may not.
	astrayInterval = 10 * time.Second
)

var (
	eventAstray  = telemetry.Define(3217, "jobs-astray", "Jobs of a shard lie where they may not by the newest configuration: their regions changed after they were taken. They are not moved; their items run where they may, and they go with batch.keep.")
	eventRegions = telemetry.Define(5203, "regions-needed", "Batch jobs of some route and tenant have to stay in these regions; each gets a shard of its own.")
)

// work is the batch work of one shard on this data node.
type work struct {
	shard   ledger.ShardID
	machine *batchwork.Machine
	runner  *batchwork.Runner // nil until it is opened
	astray  int
}

// works are those of all shards that this node holds or held.
type works struct {
	mutex   sync.Mutex // guards what is below; a leaf
	byShard map[ledger.ShardID]*work
}

func newWorks() *works { return &works{byShard: map[ledger.ShardID]*work{}} }

// machine returns a shard's, also for a replica that comes back.
func (w *works) machine(shard ledger.ShardID) *batchwork.Machine {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	known := w.byShard[shard]
	if known == nil {
		known = &work{shard: shard, machine: batchwork.NewMachine()}
		w.byShard[shard] = known
	}
	return known.machine
}

// all lists the works by shard, shard 0 first.
func (w *works) all() []*work {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	list := make([]*work, 0, len(w.byShard))
	for _, one := range w.byShard {
		list = append(list, one)
	}
	slices.SortFunc(list, func(a, b *work) int { return cmp.Compare(a.shard, b.shard) })
	return list
}

// runners lists those that are open.
func (w *works) runners() []*batchwork.Runner {
	var runners []*batchwork.Runner
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, one := range w.byShard {
		if one.runner != nil {
			runners = append(runners, one.runner)
		}
	}
	return runners
}

func (w *works) opened(shard ledger.ShardID, runner *batchwork.Runner) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.byShard[shard].runner = runner
}

// openWork lets this node answer for a shard, and run its items where it leads.
func (d *data) openWork(shard ledger.ShardID) *batchwork.Runner {
	machine, port, local := d.works.machine(shard), d.ports.For(shard), localShard{d.core, shard}
	runner := batchwork.NewRunner(batchwork.RunnerOptions{
		Shard: local, Machine: machine, Pool: d.pool, Balancer: d.balancer,
		Route: d.route, Regions: d.regionsAt(d.ledger.Region(shard)), Permitted: d.permitted,
		Usable: d.facts.usableForBatch, Zone: d.settings.Node.Zone, Keep: d.settings.Batch.Keep,
		Settle: settleTime, Executors: d.executors, Sender: port, Receiver: port,
		LocalRuns: d.settings.Batch.LocalRuns, Guard: d.guard,
	})
	batchwork.RegisterServer(batchwork.ServerOptions{
		Shard: local.replica, Machine: machine, Scarce: d.ledger.LowSpace, Receiver: port,
		Stays:    d.stays(d.ledger.Region(shard)),
		Replicas: func() []transport.Address { return d.ledger.Replicas(shard) },
	})
	d.works.opened(shard, runner)
	return runner
}

// followShards opens the work of shards that this node comes to hold, and asks for those
// of the regions that a new configuration needs.
func (d *data) followShards() {
	var seen *catalog.Configuration
	var needed []string
	var counted time.Time
	for d.rest(worksInterval) {
		for _, one := range d.works.all() {
			if one.runner == nil {
				runner := d.openWork(one.shard)
				d.run(func() { runner.Run(d.running) })
			}
		}
		configuration := d.facts.Snapshot().Configuration
		news := configuration != seen
		if news {
			seen, needed = configuration, configuration.BatchRegions()
		}
		if news && len(needed) > 0 {
			eventRegions.Info("regions", needed, "version", seen.Version)
			d.ledger.Need(needed)
		}
		if (len(needed) > 0 || d.anyAstray()) && (news || clock.Since(counted) >= astrayInterval) {
			counted = clock.Now()
			d.countAstray()
		}
	}
}

func (d *data) anyAstray() bool {
	return slices.ContainsFunc(d.works.all(), func(one *work) bool { return one.astray > 0 })
}

// countAstray tells of jobs that lie where they may not any more.
func (d *data) countAstray() {
	for _, one := range d.works.all() {
		region := d.ledger.Region(one.shard)
		jobs, astray := one.machine.Jobs(d.stays(region))
		labels := prometheus.Labels{"region": region}
		d.regionJobs.With(labels).Set(float64(jobs))
		d.astrayJobs.With(labels).Set(float64(astray))
		if leads, _ := (localShard{d.core, one.shard}).Leading(); leads && astray != one.astray {
			eventAstray.Info("region", region, "jobs", astray, "before", one.astray)
		}
		one.astray = astray
	}
}

// newRegionGauge registers a figure of each region's shard; region is empty for shard 0.
func newRegionGauge(registry prometheus.Registerer, name, help string) *prometheus.GaugeVec {
	vector := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, []string{"region"})
	registry.MustRegister(vector)
	return vector
}

// yield lets batch work of each shard that this node leads make way.
func (d *data) yield() {
	for _, runner := range d.works.runners() {
		if runner.Leading() {
			runner.Yield()
		}
	}
}

// regionLeaders lists the leaders of regions' shards, as far as known.
func (c *core) regionLeaders() []transport.Address {
	var leaders []transport.Address
	for _, shard := range c.ledger.Regional() {
		if leader, known := c.ledger.Leader(shard); known {
			leaders = append(leaders, leader)
		}
	}
	return leaders
}

// localShard is this node's replica of a shard as a ledger.Shard, also while there is
// none.
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
