package system

import (
	"cmp"
	"context"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"chutelock.dev/chutelock/internal/batchwork"
	"chutelock.dev/chutelock/internal/config"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/ledger/replica"
	"chutelock.dev/chutelock/internal/loadshare"
	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/transport"
)

// data is a data node, which has replicas of the ledger and runs batch items.
type data struct {
	*core
	shardWork *shardWorkSet
	runner    *batchwork.Runner // of shard 0
	// executor runs items for the leader of a shard on another node.
	executor        *batchwork.Executor
	responseLimiter peerRateLimiter // of responses to load reports
	encodedSum      encodedCache    // of the responses

	quotas     *quotaExchange
	quotaFiles quotaFileSet
	probes     speedProbes

	batchMetrics *batchwork.Metrics
	misnumbered  atomic.Int64 // runs of items that ended because of the number of an event

	regionJobs, misplacedJobs *prometheus.GaugeVec

	exchangeMutex sync.Mutex // guards exchange; a leaf
	exchange      *loadshare.Exchange
	shareDue      chan struct{} // of capacity 1: the load has changed

	cancel context.CancelFunc
	ctx    context.Context
}

func openData(settings *config.Node, adapter *Adapter) (*data, error) {
	common, err := openCore(settings, adapter, true)
	if err != nil {
		return nil, err
	}
	d := &data{
		core: common, shardWork: newShardWorkSet(),
		exchange: loadshare.NewExchange(common.self()), shareDue: make(chan struct{}, 1),
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.batchMetrics = batchwork.NewMetrics(d.registry)
	options := common.ledgerOptions(&members{self: common.self(), agent: common.agent, evacuating: d.evacuating})
	options.Folder = filepath.Join(settings.Data.Folder, "ledger")
	options.NewMachine = func(id ledger.ShardID) ledger.StateMachine { return d.shardWork.machine(id) }
	if d.ledger, err = replica.Open(options); err != nil {
		return nil, err
	}
	d.executor = batchwork.NewExecutor(batchwork.ExecutorOptions{
		Pool: d.pool, Usable: d.catalog.usableForBatch, EngineID: d.catalog.engineID, Ready: d.catalog.enginesKnown, Permitted: d.permitted, Sender: d.peers, Receiver: d.peers,
		Guard: d.guard, SharedParts: adapter.SharedParts, Misnumbered: d.countMisnumbered,
	})
	for _, region := range d.regionNames() {
		port := d.shardPorts.For(ledger.RegionShard(region))
		d.executor.AddShard(port, port)
	}
	d.runner = d.openShardWork(0)
	d.registerGauges(map[string]gauge{
		"chutelock_batch_items_open":     {"Items that are not final, at a replica.", func() float64 { return float64(d.openItems()) }},
		"chutelock_batch_items_running":  {"Items that run for this node as the leader.", func() float64 { return float64(d.runningItems()) }},
		"chutelock_batch_items_late":     {"Open items that are expected to be late, by this node as the leader under overload.", func() float64 { return float64(d.lateItems()) }},
		"chutelock_batch_items_executed": {"Items that this node runs for another one that leads.", func() float64 { return float64(d.executor.Running()) }},
		"chutelock_batch_runs_misnumbered_total": {"Runs of items whose engines' events left one out or repeated one.", func() float64 {
			return float64(d.misnumbered.Load())
		}},
	})
	d.regionJobs = newRegionGauge(d.registry, "chutelock_batch_region_jobs", "Jobs at this node's replica of a region's shard, while any route or tenant is restricted; no region: of shard 0.")
	d.misplacedJobs = newRegionGauge(d.registry, "chutelock_batch_jobs_astray", "Those of them that lie where they may not by the newest configuration.")
	d.peers.HandleDatagram(kindLoadReport, d.handleLoadReport)
	d.peers.HandleDatagram(kindLoadQuery, d.handleLoadQuery)
	d.peers.HandleDatagram(kindLoadShare, d.handleLoadShare)
	d.quotas = newQuotaExchange(settings, d.peers, d.catalog.Snapshot)
	d.quotas.overloadActive = d.overloadActive
	d.quotaFiles.folder = settings.Data.Folder
	if saved, found := d.quotaFiles.load(); found {
		d.quotas.restore(saved)
	}
	d.registerGauges(map[string]gauge{
		"chutelock_limits_zones_unheard": {"Zones that leave counts of limits unanswered: room is kept for their part.", d.quotas.silentZoneCount},
	})
	d.peers.HandleDatagram(kindQuotaReport, d.quotas.handleReport)
	d.peers.HandleDatagram(kindQuotaShare, d.quotas.handleShare)
	d.peers.HandleDatagram(kindQuotaMemory, d.quotas.handleMemory)
	prover := newReleaseProver(common)
	origins := &originServer{store: newOriginStore(), proveRoute: prover.proveRoute, proveService: prover.proveService}
	d.peers.HandleDatagram(kindOriginRecord, origins.handleRecord)
	d.peers.HandleCall(kindOriginQueryV1, origins.handleQueryV1)
	d.peers.HandleCall(kindOriginQuery, origins.handleQuery)
	d.registerGauges(origins.store.gauges())
	permits := newPermitServer(settings, d.peers, d.agent.Nodes, d.catalog.Snapshot)
	d.peers.HandleDatagram(kindPermitAsk, permits.handleAsk)
	d.registerGauges(permits.gauges())
	d.registerGauges(map[string]gauge{
		"chutelock_speed_probes_total":        {"Health requests sent to engines whose slowness was not known.", func() float64 { return float64(d.probes.sent.Load()) }},
		"chutelock_speed_probes_failed_total": {"Those of them without an answer that tells it.", func() float64 { return float64(d.probes.failed.Load()) }},
	})
	return d, nil
}

func (d *data) countMisnumbered() { d.misnumbered.Add(1) }

// executors lists the data nodes that may run items at engines of a zone for this
// node: those of the zone, in the same order for all leaders, so that connections
// to engines are reused.
func (d *data) executors(zone string) []transport.Address {
	evacuating := d.evacuating()
	nodes := slices.DeleteFunc(d.agent.Nodes(), func(n mirror.Node) bool {
		return n.Zone != zone || n.Name == d.settings.Node.Name || evacuating[n.Name]
	})
	slices.SortFunc(nodes, func(a, b mirror.Node) int {
		return cmp.Compare(executorRank(zone, b), executorRank(zone, a))
	})
	addresses := make([]transport.Address, 0, len(nodes))
	for _, node := range nodes {
		addresses = append(addresses, node.Address)
	}
	return addresses
}

// executorRank differs from the rank of load relays, to spread the two tasks.
func executorRank(zone string, node mirror.Node) uint64 {
	return membership.RendezvousScore("executor of "+zone, node.Name)
}

// Start implements Node.
func (d *data) Start() error {
	if err := d.start(); err != nil {
		return err
	}
	d.spawn(func() { d.runner.Run(d.ctx) })
	d.spawn(func() { d.reportEvacuations(d.ctx) })
	if len(d.settings.Zones) > 0 {
		d.spawn(d.manageShards)
	}
	d.spawn(d.shareLoad)
	d.spawn(d.saveLimits)
	if d.settings.Overload.SpeedProbes > 0 && d.settings.Overload.Mode != config.OverloadOff {
		d.spawn(d.probeSpeeds)
	}
	return nil
}

// Drain implements Node. Running items are committed, then leadership is transferred.
func (d *data) Drain(ctx context.Context) {
	eventStopping.Info("node", d.settings.Node.Name)
	d.executor.Close()
	for _, runner := range d.shardWork.runners() {
		runner.Stop()
	}
	_ = d.ledger.Drain(ctx)
	d.cancel()
	d.close()
}

func (d *data) openItems() (open int) {
	for _, work := range d.shardWork.all() {
		open += work.machine.Open()
	}
	return open
}

func (d *data) runningItems() (running int) {
	for _, runner := range d.shardWork.runners() {
		running += runner.Running()
	}
	return running
}

func (d *data) lateItems() (late int) {
	for _, runner := range d.shardWork.runners() {
		late += runner.Late()
	}
	return late
}

// batchWeight returns a tenant's weight when slots for batch work are short; 0 if it has none.
func (d *data) batchWeight(tenant string) float64 {
	return tenantWeight(d.catalog.Snapshot().Configuration.Tenant(tenant), d.settings.Overload.Weights)
}
