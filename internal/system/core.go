package system

import (
	"context"
	"errors"
	"net"
	"net/http"
	"reflect"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"

	"chutelock.dev/chutelock/internal/acceptor"
	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/batchwork"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/config"
	"chutelock.dev/chutelock/internal/ledger/replica"
	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/poison"
	"chutelock.dev/chutelock/internal/telemetry"
	"chutelock.dev/chutelock/internal/transport"
	"chutelock.dev/chutelock/internal/upstream"
)

var (
	eventStarted        = telemetry.Define(1011, "started", "A node started.")
	eventListenerFailed = telemetry.Define(1016, "listener-ended", "A server stopped accepting connections while the node keeps running, though failed attempts are repeated; the node has to be restarted.")
	eventStopped        = telemetry.Define(1012, "stopped", "A node completed its planned shutdown.")
	eventReloaded       = telemetry.Define(1014, "settings-reloaded", "The settings file was reloaded; gives what was applied and whether a restart is needed for the rest.")
	eventStopping       = telemetry.Define(1013, "stopping", "A planned shutdown began; the node reports that it is not ready.")
)

const (
	// maxEvacuationStaleness bounds how late data nodes learn of an evacuation.
	maxEvacuationStaleness = 8 * time.Second
	// Intervals and timeouts of the ledger. A lost replica is replaced after
	// replaceAfter if another node is available.
	replaceAfter      = 1500 * time.Millisecond
	repairInterval    = 150 * time.Millisecond
	bootstrapWait     = 3 * time.Second
	directoryInterval = 700 * time.Millisecond
	// globalShards is the number of the ledger's shards without those of regions.
	globalShards = 1
	// pruneInterval is the time between two checks for idle connections.
	pruneInterval = time.Second
)

// publicKey is the peers' key if none is configured; see config.Peers.
var publicKey = []byte("chutelock peers without a secret")

// core is the part that front nodes and data nodes share.
type core struct {
	settings *config.Node
	adapter  *Adapter
	registry *prometheus.Registry
	peers    *transport.Node
	agent    *mirror.Agent
	catalog  *catalogTracker
	pool     *upstream.Pool
	balancer *balance.Balancer
	speeds   *speedExchange
	guard    *poison.Guard
	ledger   *replica.Service // set by openData and openFront
	// shardPorts shares peers between the shards of batch work.
	shardPorts *batchwork.Ports

	metrics *http.Server // nil without an address
	stop    chan struct{}
	tasks   sync.WaitGroup
}

func openCore(settings *config.Node, adapter *Adapter, dataNode bool) (*core, error) {
	c := &core{settings: settings, adapter: adapter, registry: prometheus.NewRegistry(), stop: make(chan struct{})}
	keys, err := keyring(settings.Peers.KeyFile)
	if err != nil {
		return nil, err
	}
	c.peers, err = transport.Listen(transport.Options{
		Listen: settings.Listen.Peers, Advertise: settings.Listen.Advertise, Keys: keys, Registry: c.registry,
	})
	if err != nil {
		return nil, trace.Wrap(err, "listen for peers")
	}
	c.shardPorts = batchwork.NewPorts(c.peers, c.peers)
	c.catalog = newCatalogTracker(adapter, settings)
	c.agent = mirror.New(c.mirrorOptions(dataNode))
	c.catalog.agent = c.agent
	c.guard = c.newGuard(dataNode)
	c.catalog.poisonLoaded = c.guard.Loaded
	c.registerPoisonHandlers(dataNode)
	c.pool = upstream.NewPool(adapter.Engines)
	c.balancer = balance.New(c.catalog.Snapshot)
	c.balancer.UseSpeeds = c.overloadActive
	c.pool.Connected = c.balancer.RecordConnect
	c.speeds = newSpeedExchange(c.balancer, c.peers)
	c.peers.HandleDatagram(kindEngineSpeeds, c.speeds.handle)
	c.registerGauges(c.commonGauges())
	c.registerPoisonMetrics()
	c.registry.MustRegister(releaseCollector{c})
	if settings.Platform.Drain > 0 {
		c.registry.MustRegister(drainCollector{c})
	}
	return c, nil
}

func keyring(path string) (*transport.Keyring, error) {
	if path == "" {
		return transport.NewKeyring(publicKey)
	}
	return transport.OpenKeyring(path)
}

func (c *core) self() mirror.Node {
	return mirror.Node{
		Name: c.settings.Node.Name, Address: transport.Address(c.settings.Listen.PeerAddress()),
		Zone: c.settings.Node.Zone, Region: c.settings.Node.Region, Started: time.Now().UnixMilli(),
	}
}

func (c *core) mirrorOptions(dataNode bool) mirror.Options {
	options := mirror.Options{
		Self: c.self(), DataNode: dataNode,
		Kinds: []mirror.Kind{
			{Name: c.adapter.ConfigurationKind, MaxStaleness: c.settings.Platform.Apply, States: true},
			{Name: c.adapter.EnginesKind, MaxStaleness: c.settings.Platform.Leave, Place: c.adapter.EnginePlace},
			{Name: c.adapter.PoisonKind, MaxStaleness: maxPoisonStaleness},
		},
		Store: c.adapter.Store, Registry: c.adapter.Registry, Sender: c.peers, Receiver: c.peers,
		Changed: c.mirrorChanged,
		// c.guard is not set yet, but is before the agent starts.
		StoreAnswered: func(silence time.Duration) { c.guard.StoreAnswered(silence) },
	}
	if c.settings.Platform.Drain > 0 {
		options.Kinds = append(options.Kinds, mirror.Kind{Name: c.adapter.ZoneDrainsKind, MaxStaleness: c.settings.Platform.Drain})
	}
	if dataNode {
		options.Kinds = append(options.Kinds, mirror.Kind{Name: c.adapter.EvacuationsKind, MaxStaleness: maxEvacuationStaleness})
	}
	options.Seeds = toAddresses(c.settings.Peers.Seeds)
	return options
}

// mirrorChanged passes a change of a kind to the guard or the catalog; it does not block.
func (c *core) mirrorChanged(kind string) {
	if kind == c.adapter.PoisonKind {
		wasLoading := !c.guard.Loaded()
		c.loadPoisonRecords()
		if !wasLoading {
			return
		}
		kind = "" // no kind: the configuration may have been waiting for the records
	}
	c.catalog.changed(kind)
}

func toAddresses(values []string) []transport.Address {
	result := make([]transport.Address, 0, len(values))
	for _, address := range values {
		result = append(result, transport.Address(address))
	}
	return result
}

// Reload implements Node. Only seeds are applied; other changes need a restart.
func (c *core) Reload(settings *config.Node) {
	c.agent.SetSeeds(toAddresses(settings.Peers.Seeds))
	unapplied := *settings
	unapplied.Peers.Seeds = c.settings.Peers.Seeds
	eventReloaded.Info("node", c.settings.Node.Name, "seeds", settings.Peers.Seeds,
		"restart_needed", !reflect.DeepEqual(&unapplied, c.settings))
}

func (c *core) ledgerOptions(view *members) replica.Options {
	disk := newDiskBudget(uint64(c.settings.Data.Size) << 20)
	return replica.Options{
		Sender: c.peers, Receiver: c.peers, Members: view, Store: c.adapter.Ledger, Registry: c.registry,
		Shards: globalShards, Copies: c.settings.Ledger.Replicas(), ZoneLosses: c.settings.Ledger.ZoneLosses,
		Regions: c.regionNames(), MinCopies: 2*c.settings.Ledger.Losses + 1, ReplaceAfter: replaceAfter, BootstrapWait: bootstrapWait,
		RepairInterval: repairInterval, DirectoryInterval: directoryInterval, ReplaceLeaving: true,
		DiskBytes: disk.size, RetainBytes: disk.retain, Reserve: disk.reserve, LowSpaceThreshold: disk.lowSpaceThreshold,
	}
}

func (c *core) start() error {
	c.peers.Serve()
	c.spawn(func() { c.catalog.followChanges(c.stop) })
	c.spawn(c.prune)
	if c.settings.Platform.Drain > 0 {
		c.spawn(c.logDrainProgress)
	}
	c.guard.Start()
	c.agent.Start()
	c.ledger.Start()
	eventStarted.Info("node", c.settings.Node.Name, "zone", c.settings.Node.Zone, "peers", c.settings.Listen.Peers,
		"data", c.settings.Data.Folder != "")
	return c.serveMetrics()
}

func (c *core) spawn(task func()) {
	c.tasks.Add(1)
	go func() {
		defer c.tasks.Done()
		task()
	}()
}

// sleep pauses and reports whether the node is still running.
func (c *core) sleep(pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-c.stop:
		return false
	case <-timer.C:
		return true
	}
}

// prune closes connections that have been idle too long or whose engine left.
func (c *core) prune() {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
			snapshot := c.catalog.Snapshot()
			c.pool.Prune(clock.Now(), func(_, instance string) bool {
				engine, found := snapshot.Engine(instance)
				return found && !engine.Leaving
			})
			c.balancer.Forget()
		}
	}
}

func (c *core) close() {
	close(c.stop)
	c.agent.Close()
	c.guard.Close()
	_ = c.ledger.Close()
	c.tasks.Wait()
	c.peers.Close()
	if c.metrics != nil {
		_ = c.metrics.Close()
	}
	eventStopped.Info("node", c.settings.Node.Name)
}

// route returns the current route of a batch job; nil if there is none.
func (c *core) route(host, path string) *catalog.Route {
	route := c.catalog.Snapshot().Configuration.Match(host, path)
	if route == nil || route.Kind != catalog.KindBatch {
		return nil
	}
	return route
}

// serve listens on an address and serves it in the background.
func serve(address string, server *http.Server) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	serveOn(acceptor.New(listener), server)
	return nil
}

// serveOn serves a listener until the server is closed.
func serveOn(listener net.Listener, server *http.Server) {
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			eventListenerFailed.Error(err, "address", listener.Addr())
		}
	}()
}

// EventSettingsRefused is logged by the program that reads the settings file.
var EventSettingsRefused = telemetry.Define(1015, "settings-refused", "The reloaded settings file is invalid; the settings in force are kept.")

// Node is a front node or a data node.
type Node interface {
	// Start opens the node's ports and starts its tasks.
	Start() error
	// Reload applies a reloaded settings file.
	Reload(settings *config.Node)
	// Drain shuts the node down gracefully, at the latest when ctx ends.
	Drain(ctx context.Context)
}

// Open returns the node that the settings describe: a data node if they have a
// data folder, else a front node.
func Open(settings *config.Node, adapter *Adapter) (Node, error) {
	if settings.Data.Folder != "" {
		return openData(settings, adapter)
	}
	return openFront(settings, adapter)
}
