package system

import (
	"cmp"
	"context"
	"path/filepath"
	"slices"
	"sync"

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

// data is a data node.
type data struct {
	*core
	works  *works
	runner *batchwork.Runner // of shard 0
	// executor runs items for a leader on another node.
	executor *batchwork.Executor
	answers  paces  // of load reports
	sum      cached // of them

	quotas *quotaExchange

	regionJobs, astrayJobs *prometheus.GaugeVec

	exchangeMutex sync.Mutex // guards exchange; a leaf
	exchange      *loadshare.Exchange
	shareDue      chan struct{} // of capacity 1: there is news of load

	cancel  context.CancelFunc
	running context.Context
}

func openData(settings *config.Node, adapter *Adapter) (*data, error) {
	common, err := openCore(settings, adapter, true)
	if err != nil {
		return nil, err
	}
	d := &data{
		core: common, works: newWorks(),
		exchange: loadshare.NewExchange(common.self()), shareDue: make(chan struct{}, 1),
	}
	d.running, d.cancel = context.WithCancel(context.Background())
	options := common.ledgerOptions(&members{self: common.self(), agent: common.agent, evacuating: d.evacuating})
	options.Folder = filepath.Join(settings.Data.Folder, "ledger")
	options.NewMachine = func(id ledger.ShardID) ledger.StateMachine { return d.works.machine(id) }
	if d.ledger, err = replica.Open(options); err != nil {
		return nil, err
	}
	d.executor = batchwork.NewExecutor(batchwork.ExecutorOptions{
		Pool: d.pool, Usable: d.facts.usableForBatch, EngineID: d.facts.engineID, Knows: d.facts.enginesKnown, Permitted: d.permitted, Sender: d.peers, Receiver: d.peers,
		Guard: d.guard,
	})
	for _, region := range d.regionNames() {
		port := d.ports.For(ledger.RegionShard(region))
		d.executor.Also(port, port)
	}
	d.runner = d.openWork(0)
	d.registerGauges(map[string]gauge{
		"chutelock_batch_items_open":     {"Items that are not final, at a replica.", func() float64 { return float64(d.openItems()) }},
		"chutelock_batch_items_running":  {"Items that run for this node as the leader.", func() float64 { return float64(d.runningItems()) }},
		"chutelock_batch_items_executed": {"Items that this node runs for another one that leads.", func() float64 { return float64(d.executor.Running()) }},
	})
	d.regionJobs = newRegionGauge(d.registry, "chutelock_batch_region_jobs", "Jobs at this node's replica of a region's shard, while any route or tenant is restricted; no region: of shard 0.")
	d.astrayJobs = newRegionGauge(d.registry, "chutelock_batch_jobs_astray", "Those of them that lie where they may not by the newest configuration.")
	d.peers.HandleDatagram(kindLoadReport, d.takeLoadReport)
	d.peers.HandleDatagram(kindLoadAsk, d.takeLoadAsk)
	d.peers.HandleDatagram(kindLoadShare, d.takeLoadShare)
	d.quotas = newQuotaExchange(settings, d.peers, d.facts.Snapshot)
	d.registerGauges(map[string]gauge{
		"chutelock_limits_zones_unheard": {"Zones that leave counts of limits unanswered: room is kept for their part.", d.quotas.silentZoneCount},
	})
	d.peers.HandleDatagram(kindQuotaReport, d.quotas.takeReport)
	d.peers.HandleDatagram(kindQuotaShare, d.quotas.takeShare)
	granting := newGranting(settings, d.peers, d.agent.Nodes, d.facts.Snapshot)
	d.peers.HandleDatagram(kindPermitAsk, granting.takeAsk)
	d.registerGauges(granting.gauges())
	return d, nil
}

// executors lists the data nodes that may run items at engines of a zone for this
// one: those of the zone, in an order that all leaders share, so that their
// connections to engines stay.
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

// executorRank is not that of the zone's load relay: each has its own work.
func executorRank(zone string, node mirror.Node) uint64 {
	return membership.RendezvousScore("executor of "+zone, node.Name)
}

// Start implements Node.
func (d *data) Start() error {
	if err := d.start(); err != nil {
		return err
	}
	d.run(func() { d.runner.Run(d.running) })
	d.run(func() { d.reportEvacuations(d.running) })
	if len(d.settings.Zones) > 0 {
		d.run(d.followShards)
	}
	d.run(d.shareLoad)
	return nil
}

// Drain implements Node: what runs is committed, then leadership moves.
func (d *data) Drain(ctx context.Context) {
	eventStops.Info("node", d.settings.Node.Name)
	d.executor.Close()
	for _, runner := range d.works.runners() {
		runner.Stop()
	}
	_ = d.ledger.Drain(ctx)
	d.cancel()
	d.close()
}

func (d *data) openItems() (open int) {
	for _, one := range d.works.all() {
		open += one.machine.Open()
	}
	return open
}

func (d *data) runningItems() (running int) {
	for _, runner := range d.works.runners() {
		running += runner.Running()
	}
	return running
}
