package system

import (
	"cmp"
	"context"
	"path/filepath"
	"slices"
	"sync"

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
	machine *batchwork.Machine
	runner  *batchwork.Runner
	// executor runs items for a leader on another node.
	executor *batchwork.Executor
	answers  paces  // of load reports
	sum      cached // of them

	quotas *quotaExchange

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
		core: common, machine: batchwork.NewMachine(),
		exchange: loadshare.NewExchange(common.self()), shareDue: make(chan struct{}, 1),
	}
	d.running, d.cancel = context.WithCancel(context.Background())
	options := common.ledgerOptions(&members{self: common.self(), agent: common.agent, evacuating: d.evacuating})
	options.Folder = filepath.Join(settings.Data.Folder, "ledger")
	options.NewMachine = func(ledger.ShardID) ledger.StateMachine { return d.machine }
	if d.ledger, err = replica.Open(options); err != nil {
		return nil, err
	}
	d.executor = batchwork.NewExecutor(batchwork.ExecutorOptions{
		Pool: d.pool, Usable: d.facts.usable, Sender: d.peers, Receiver: d.peers,
	})
	d.runner = batchwork.NewRunner(batchwork.RunnerOptions{
		Shard: localShard{d.core}, Machine: d.machine, Pool: d.pool, Balancer: d.balancer,
		Route: d.route, Regions: d.regions, Usable: d.facts.usable, Zone: settings.Node.Zone, Keep: settings.Batch.Keep,
		Settle: settleTime, Executors: d.executors, Sender: d.peers, Receiver: d.peers,
		LocalRuns: settings.Batch.LocalRuns,
	})
	d.registerGauges(map[string]gauge{
		"chutelock_batch_items_open":     {"Items that are not final, at a replica.", func() float64 { return float64(d.machine.Open()) }},
		"chutelock_batch_items_running":  {"Items that run for this node as the leader.", func() float64 { return float64(d.runner.Running()) }},
		"chutelock_batch_items_executed": {"Items that this node runs for another one that leads.", func() float64 { return float64(d.executor.Running()) }},
	})
	d.peers.HandleDatagram(kindLoadReport, d.takeLoadReport)
	d.peers.HandleDatagram(kindLoadAsk, d.takeLoadAsk)
	d.peers.HandleDatagram(kindLoadShare, d.takeLoadShare)
	d.quotas = newQuotaExchange(settings, d.peers, d.facts.Snapshot)
	d.peers.HandleDatagram(kindQuotaReport, d.quotas.takeReport)
	d.peers.HandleDatagram(kindQuotaShare, d.quotas.takeShare)
	batchwork.RegisterServer(batchwork.ServerOptions{
		Shard: d.localShard, Machine: d.machine, Scarce: d.ledger.Scarce, Receiver: d.peers,
		Replicas: func() []transport.Address { return d.ledger.Replicas(0) },
	})
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

// localShard is this node's replica as a ledger.Shard, also while there is none.
type localShard struct{ *core }

// Propose implements ledger.Shard.
func (s localShard) Propose(ctx context.Context, entry []byte) ([]byte, error) {
	if shard, found := s.localShard(); found {
		return shard.Propose(ctx, entry)
	}
	return nil, ledger.ErrUnavailable
}

// Read implements ledger.Shard.
func (s localShard) Read(ctx context.Context, query func(ledger.Reader) error) error {
	if shard, found := s.localShard(); found {
		return shard.Read(ctx, query)
	}
	return ledger.ErrUnavailable
}

// FollowerRead implements ledger.Shard.
func (s localShard) FollowerRead(ctx context.Context, query func(ledger.Reader) error) error {
	if shard, found := s.localShard(); found {
		return shard.FollowerRead(ctx, query)
	}
	return ledger.ErrUnavailable
}

// Leading implements ledger.Shard.
func (s localShard) Leading() (bool, uint64) {
	if shard, found := s.localShard(); found {
		return shard.Leading()
	}
	return false, 0
}

// Start implements Node.
func (d *data) Start() error {
	if err := d.start(); err != nil {
		return err
	}
	d.run(func() { d.runner.Run(d.running) })
	d.run(func() { d.reportEvacuations(d.running) })
	d.run(d.shareLoad)
	return nil
}

// Drain implements Node: what runs is committed, then leadership moves.
func (d *data) Drain(ctx context.Context) {
	eventStops.Info("node", d.settings.Node.Name)
	d.executor.Close()
	d.runner.Stop()
	_ = d.ledger.Drain(ctx)
	d.cancel()
	d.close()
}
