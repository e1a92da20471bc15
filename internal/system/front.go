package system

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/batchwork"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/config"
	"chutelock.dev/chutelock/internal/edge"
	"chutelock.dev/chutelock/internal/forward"
	"chutelock.dev/chutelock/internal/ledger/replica"
	"chutelock.dev/chutelock/internal/loadshare"
	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/transport"
)

const (
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 5 * time.Second
	// idleTimeout closes callers' connections that rest.
	idleTimeout = time.Minute
	// headerBytesMost bounds a head before the configuration's own bound.
	headerBytesMost = 64 << 10
	// leaveTime is how long a stopping node goes on taking connections: the
	// platform notices within two of its questions that it is not ready.
	leaveTime = 2500 * time.Millisecond
	// drainMargin is kept of the time for a planned stop.
	drainMargin = 700 * time.Millisecond
	// drainPoll is how often a stopping node looks for open requests.
	drainPoll = 20 * time.Millisecond
)

// front is a front node.
type front struct {
	*core
	edge      *edge.Edge
	callers   *http.Server
	readiness *http.Server
	draining  atomic.Bool
	limits    *limits
	chosen    chan struct{} // of capacity 1: an engine was chosen

	choiceMutex sync.Mutex // guards what is below; the balancer's is taken under it
	choice      *loadshare.Choice
	reported    balance.Report    // the last load report
	reportsTo   transport.Address // where it went
	nextSum     chan struct{}     // closes when a sum comes
}

func openFront(settings *config.Node, adapter *Adapter) (*front, error) {
	common, err := openCore(settings, adapter, false)
	if err != nil {
		return nil, err
	}
	f := &front{core: common, choice: loadshare.NewChoice(settings.Node.Zone), nextSum: make(chan struct{}), chosen: make(chan struct{}, 1)}
	nobody := func() map[string]bool { return nil }
	options := common.ledgerOptions(&members{self: common.self(), agent: common.agent, evacuating: nobody})
	options.Store = nil // a front places no shards; peers tell it who leads
	if f.ledger, err = replica.Open(options); err != nil {
		return nil, err
	}
	f.limits = newLimits(settings.Quota, f.peers, f.reportReceiver)
	f.edge = &edge.Edge{
		Admit: f.limits.admit, Withdraw: f.limits.withdraw,
		Dialect:              adapter.Callers,
		MemoryBudget:         edge.NewMemoryBudget(int64(settings.Memory.Limit) << 20),
		Snapshot:             f.facts.Snapshot,
		ConfigurationCurrent: func() bool { return f.configurationAge() <= settings.Platform.Apply },
		ConfigurationExpired: func() bool {
			return settings.Platform.Revoke > 0 && f.configurationAge() > settings.Platform.Revoke
		},
		Forwarder: &forward.Forwarder{
			Pool: f.pool, Balancer: f.balancer, Usable: f.facts.usable, Zone: settings.Node.Zone, Region: settings.Node.Region,
			Regions: func(request *forward.Request, route *catalog.Route) catalog.Regions {
				return f.facts.Snapshot().Configuration.CurrentRegions(route, request.Tenant, request.Regions)
			},
			Observe: newRequestMetrics(common.registry).observe,
			Refresh: f.refreshLoad, Chosen: f.reportChoice, Guard: f.guard,
		},
		Jobs: batchwork.NewCaller(batchwork.CallerOptions{
			Directory: f.ledger, Sender: f.peers, Near: f.nearReplica, Within: f.within, LiesWithin: f.liesWithin,
		}),
	}
	f.callers = &http.Server{
		Handler: f.edge, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytesMost,
	}
	mux := http.NewServeMux()
	mux.HandleFunc(adapter.ReadyPath, f.serveReady)
	f.readiness = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	f.peers.HandleDatagram(kindLoadSum, f.takeLoadSum)
	f.peers.HandleDatagram(kindQuotaSum, f.limits.takeSum)
	permits := newPermits(f.peers, f.agent.Nodes, f.facts.warm)
	f.balancer.Permit = permits.permit
	f.peers.HandleDatagram(kindPermitAnswer, permits.takeAnswer)
	f.registerGauges(permits.gauges())
	return f, nil
}

// nearReplica picks the replica of the ledger in this node's zone, or else in its
// region: bytes between them are costly, and results are read more often than they are
// written.
func (f *front) nearReplica(replicas []transport.Address) (transport.Address, bool) {
	if len(replicas) == 0 {
		return "", false
	}
	leader, _ := f.ledger.Leader(0)
	return nearest(f.agent.Nodes(), replicas, leader, f.self())
}

// nearest returns the replica in a node's own zone, or the first by name in its region;
// false if there is none. Where the leader is in the region, too, only the zone is near:
// a replica of another zone has nothing before the leader, which it asks.
func nearest(nodes []mirror.Node, replicas []transport.Address, leader transport.Address, self mirror.Node) (transport.Address, bool) {
	var inRegion *mirror.Node
	leads := false
	for i := range nodes {
		node := &nodes[i]
		if node.Region == self.Region {
			leads = leads || node.Address == leader
		}
		if !slices.Contains(replicas, node.Address) {
			continue
		}
		if node.Zone == self.Zone {
			return node.Address, true
		}
		if node.Region == self.Region && (inRegion == nil || node.Name < inRegion.Name) {
			inRegion = node
		}
	}
	if inRegion == nil || leads {
		return "", false
	}
	return inRegion.Address, true
}

// configurationAge is how long ago the configuration in force was known to be the
// newest.
func (f *front) configurationAge() time.Duration { return f.agent.Age(f.adapter.ConfigurationKind) }

// ready says whether the node wants callers.
func (f *front) ready() bool {
	return !f.draining.Load() && f.facts.Snapshot().Configuration != nil && f.facts.drainsKnown()
}

func (f *front) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !f.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Start implements Node.
func (f *front) Start() error {
	if err := f.start(); err != nil {
		return err
	}
	f.run(f.reportLoad)
	if f.settings.Listen.Readiness != "" {
		if err := serve(f.settings.Listen.Readiness, f.readiness); err != nil {
			return err
		}
	}
	return serve(f.settings.Listen.Callers, f.callers)
}

// Drain implements Node: the node is not ready at once, takes requests until
// that is known, finishes them and ends.
func (f *front) Drain(ctx context.Context) {
	eventStops.Info("node", f.settings.Node.Name, "in_flight", f.edge.InFlight())
	f.draining.Store(true)
	f.callers.SetKeepAlivesEnabled(false)
	started := clock.Now()
	deadline, bounded := ctx.Deadline()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for ctx.Err() == nil {
		<-ticker.C
		if f.edge.InFlight() == 0 && clock.Since(started) >= leaveTime {
			break
		}
		if bounded && time.Until(deadline) < drainMargin {
			break
		}
	}
	closing, cancel := context.WithTimeout(context.Background(), drainMargin/2)
	defer cancel()
	_ = f.callers.Shutdown(closing)
	_ = f.readiness.Close()
	f.close()
}
