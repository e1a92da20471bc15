package system

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/acceptor"
	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/batchwork"
	"chutelock.dev/chutelock/internal/callerconn"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/config"
	"chutelock.dev/chutelock/internal/edge"
	"chutelock.dev/chutelock/internal/forward"
	"chutelock.dev/chutelock/internal/ledger/replica"
	"chutelock.dev/chutelock/internal/loadshare"
	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/transport"
)

const (
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long callers' idle connections are kept open.
	idleTimeout = time.Minute
	// maxHeaderBytes bounds a request's headers before the configured limit applies.
	maxHeaderBytes = 64 << 10
	// connectionMemory is the memory of a caller's connection: its buffers and goroutine.
	connectionMemory = 24 << 10
	// crowdFactor is the share of the load, relative to an even one, from which a node is crowded.
	crowdFactor = 2
	// minCrowd is the number of online requests in flight from which on a node may be crowded.
	minCrowd = 8
)

// front is a front node, which serves callers.
type front struct {
	*core
	edge         *edge.Edge
	callers      *http.Server
	gate         *callerconn.Gate // of callers' connections
	readiness    *http.Server
	draining     atomic.Bool
	endRequests  context.CancelCauseFunc // ends the contexts of all callers' requests
	quota        *quotaEnforcer
	returnTimes  *forward.ReturnTimes
	shares       *shareGate
	engineChosen chan struct{} // of capacity 1: an engine was chosen

	pickerMutex    sync.Mutex // guards the fields below; acquired before the balancer's
	receiverPicker *loadshare.ReceiverPicker
	lastReport     balance.Report    // the last load sent
	relay          transport.Address // the data node that gets load reports
	sumReceived    chan struct{}     // closed when a sum arrives
	loadShare      float64           // of this node by the last sum, relative to an even share
}

func openFront(settings *config.Node, adapter *Adapter) (*front, error) {
	common, err := openCore(settings, adapter, false)
	if err != nil {
		return nil, err
	}
	f := &front{core: common, receiverPicker: loadshare.NewReceiverPicker(settings.Node.Zone), sumReceived: make(chan struct{}), engineChosen: make(chan struct{}, 1)}
	noNodes := func() map[string]bool { return nil }
	options := common.ledgerOptions(&members{self: common.self(), agent: common.agent, evacuating: noNodes})
	options.Store = nil // a front node places no shards; it learns leaders from peers
	if f.ledger, err = replica.Open(options); err != nil {
		return nil, err
	}
	f.quota = newQuotaEnforcer(settings.Quota, f.peers, f.currentRelay, common.overloadActive)
	requests, tenants := newRequestMetrics(common.registry), newTenantMetrics(common.registry)
	origins := newOriginClient(common)
	f.peers.HandleCall(kindOriginRelay, origins.handleRelay)
	f.registerGauges(origins.store.gauges())
	f.returnTimes = &forward.ReturnTimes{Active: common.overloadActive, Observe: requests.observeReturn}
	f.shares = newShareGate(f)
	memory := edge.NewMemoryBudget(int64(settings.Memory.Limit) << 20)
	responses := memory.Half()
	f.edge = &edge.Edge{
		Admit: f.quota.admit, Withdraw: f.quota.withdraw, Share: f.shares.decide, RetryAfter: f.shares.retryAfter,
		Dialect:              adapter.Callers,
		Refused:              tenants.Add,
		MemoryBudget:         memory,
		Snapshot:             f.catalog.Snapshot,
		ConfigurationCurrent: func() bool { return f.configurationAge() <= settings.Platform.Apply },
		ConfigurationExpired: func() bool {
			return settings.Platform.Revoke > 0 && f.configurationAge() > settings.Platform.Revoke
		},
		Forwarder: &forward.Forwarder{
			Pool: f.pool, Balancer: f.balancer, Usable: f.catalog.usable, Zone: settings.Node.Zone, Region: settings.Node.Region,
			Regions: func(request *forward.Request, route *catalog.Route) catalog.Regions {
				return f.catalog.Snapshot().Configuration.CurrentRegions(route, request.Tenant, request.Regions)
			},
			Observe: func(result forward.Result) {
				requests.observe(result)
				tenants.observe(result)
			},
			Resumed: requests.observeResumed, Origin: origins.find, Began: origins.began,
			Refresh: f.refreshLoad, Chosen: f.reportEngineChosen, Guard: f.guard, Returns: f.returnTimes,
			Memory: forward.Memory{Reserve: responses.Reserve, Release: responses.Release},
		},
		Jobs: batchwork.NewCaller(batchwork.CallerOptions{
			Directory: f.ledger, Sender: f.peers, Near: f.nearReplica, RegionPolicy: f.jobRegionPolicy, InRegion: f.inShardRegion,
		}),
	}
	f.callers = &http.Server{
		Handler: f.edge, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	f.gate = callerconn.NewGate(maxConnections(settings))
	f.gate.Crowded, f.gate.Limits = f.crowded, f.connectionLimits
	f.gate.State, f.edge.State = f.describe, f.describe
	f.edge.Stopping = f.draining.Load
	f.callers.ConnState, f.callers.ConnContext = f.gate.TrackState, f.gate.ConnContext
	requestContext, endRequests := context.WithCancelCause(context.Background())
	f.callers.BaseContext = func(net.Listener) context.Context { return requestContext }
	f.endRequests = endRequests
	mux := http.NewServeMux()
	mux.HandleFunc(adapter.ReadyPath, f.serveReady)
	f.readiness = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	f.peers.HandleDatagram(kindLoadSum, f.handleLoadSum)
	f.peers.HandleDatagram(kindQuotaSum, f.quota.handleSum)
	permits := newPermitClient(f.peers, f.agent.Nodes, f.catalog.noteWarm)
	f.balancer.Permit = permits.permit
	f.peers.HandleDatagram(kindPermitAnswer, permits.handleAnswer)
	f.registerGauges(permits.gauges())
	f.registerGauges(map[string]gauge{
		"chutelock_connections_shed_total":       {"Callers' new connections that were closed unread, as the node was crowded and short of processor time.", func() float64 { return float64(f.gate.Shed()) }},
		"chutelock_handler_panics_total":         {"Callers' requests whose handlers panicked.", func() float64 { return float64(f.edge.Panics()) }},
		"chutelock_connections_unanswered_total": {"Callers' connections that this node closed on a request that it had read and not answered.", func() float64 { return float64(f.gate.Unanswered()) }},
		"chutelock_connections_evicted_total":    {"Callers' idle connections that were closed to make room for new ones, and new ones without room.", func() float64 { return float64(f.gate.Evicted()) }},
	})
	f.registerGauges(map[string]gauge{
		"chutelock_streams_moved_total": {"Streams that moved to a faster engine as theirs stopped keeping its pace.", func() float64 {
			return float64(f.balancer.StreamsMoved.Load())
		}},
		"chutelock_streams_misnumbered_total": {"Engines' streams that were ended as an event is missing or repeated.", func() float64 {
			return float64(f.edge.Forwarder.Misnumbered.Load())
		}},
	})
	return f, nil
}

// maxConnections returns the bound on callers' connections; 0 if the settings imply none. The rest of
// the descriptors is for engines and peers.
func maxConnections(settings *config.Node) int {
	byDescriptors := settings.Listen.Descriptors * 3 / 5
	byMemory := settings.Memory.Limit << 20 / 4 / connectionMemory
	if byDescriptors == 0 || byMemory == 0 {
		return max(byDescriptors, byMemory)
	}
	return min(byDescriptors, byMemory)
}

// crowded reports whether this node has at least crowdFactor times its even share of the online requests
// in flight, as of the last sum of the load.
func (f *front) crowded() bool {
	f.pickerMutex.Lock()
	defer f.pickerMutex.Unlock()
	return f.loadShare >= crowdFactor
}

// loadShare returns a node's online requests in flight, relative to an even share of those of all front
// nodes; 0 if they are fewer than minCrowd.
func loadShare(own balance.Report, sum loadshare.Sum) float64 {
	mine, all := own.Online(), sum.Load.Online()
	if mine < minCrowd {
		return 0
	}
	return float64(mine) * float64(sum.Fronts) / float64(max(mine, all))
}

// nearReplica picks the replica of the ledger in this node's zone, or else in its
// region: results are read more often than written, and traffic between zones and
// regions is costly.
func (f *front) nearReplica(replicas []transport.Address) (transport.Address, bool) {
	if len(replicas) == 0 {
		return "", false
	}
	leader, _ := f.ledger.Leader(0)
	return nearestReplica(f.agent.Nodes(), replicas, leader, f.self())
}

// nearestReplica returns the replica in a node's own zone, or the first by name in its
// region; false if there is none. If the leader is in the region, only the zone counts:
// a replica in another zone is no nearer than the leader, which it has to ask.
func nearestReplica(nodes []mirror.Node, replicas []transport.Address, leader transport.Address, self mirror.Node) (transport.Address, bool) {
	var inRegion *mirror.Node
	leaderInRegion := false
	for i := range nodes {
		node := &nodes[i]
		if node.Region == self.Region {
			leaderInRegion = leaderInRegion || node.Address == leader
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
	if inRegion == nil || leaderInRegion {
		return "", false
	}
	return inRegion.Address, true
}

// configurationAge returns the time since the configuration in force was known to be
// the newest.
func (f *front) configurationAge() time.Duration { return f.agent.Age(f.adapter.ConfigurationKind) }

// ready reports whether the node accepts callers' requests.
func (f *front) ready() bool {
	return !f.draining.Load() && f.catalog.Snapshot().Configuration != nil && f.catalog.drainsKnown()
}

// connectionLimits returns the configured limits on callers' connections; zeros before a configuration is
// known.
func (f *front) connectionLimits() catalog.Limits {
	configuration := f.catalog.Snapshot().Configuration
	if configuration == nil {
		return catalog.Limits{}
	}
	return configuration.Limits
}

// describe returns the state of the node for log lines about connections.
func (f *front) describe() []any {
	version, age := f.catalog.inForce()
	return []any{"version", version, "version_age", age, "stopping", f.draining.Load(), "in_flight", f.edge.InFlight()}
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
	f.spawn(f.reportLoad)
	if f.settings.Listen.Readiness != "" {
		if err := serve(f.settings.Listen.Readiness, f.readiness); err != nil {
			return err
		}
	}
	listener, err := net.Listen("tcp", f.settings.Listen.Callers)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	f.gate.Listener = acceptor.New(listener)
	serveOn(f.gate, f.callers)
	return nil
}
