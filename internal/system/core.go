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
	eventStarted       = telemetry.Define(1011, "started", "A node on a platform of objects started.")
	eventListenerEnded = telemetry.Define(1016, "listener-ended", "A server stopped taking connections though the node goes on; it has to be restarted.")
	eventStopped       = telemetry.Define(1012, "stopped", "A node on a platform of objects ended its planned stop.")
	eventReloaded      = telemetry.Define(1014, "settings-reloaded", "The settings file was read again; says what was applied and whether the rest needs a restart.")
	eventStops         = telemetry.Define(1013, "stopping", "A planned stop began; the node is not ready from now on.")
)

const (
	// evacuationFresh is the time within which data nodes know that one of them
	// is to be emptied.
	evacuationFresh = 8 * time.Second
	// The ledger's times; a lost replica is replaced as soon as another node
	// can take its place.
	replaceAfter   = 1500 * time.Millisecond
	repairInterval = 150 * time.Millisecond
	bootstrapWait  = 3 * time.Second
	directoryTime  = 700 * time.Millisecond
	// shards is the number of the ledger's shards; those of regions come beside it.
	shards = 1
	// pruneInterval is the time between two looks at resting connections.
	pruneInterval = time.Second
)

// publicKey authenticates peers where no key is configured; see config.Peers.
var publicKey = []byte("chutelock peers without a secret")

// core is what all nodes have.
type core struct {
	settings *config.Node
	adapter  *Adapter
	registry *prometheus.Registry
	peers    *transport.Node
	agent    *mirror.Agent
	facts    *facts
	pool     *upstream.Pool
	balancer *balance.Balancer
	guard    *poison.Guard
	ledger   *replica.Service
	// ports part the messages about the shards of batch work.
	ports *batchwork.Ports

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
	c.ports = batchwork.NewPorts(c.peers, c.peers)
	c.facts = newFacts(adapter, settings)
	c.agent = mirror.New(c.mirrorOptions(dataNode))
	c.facts.agent = c.agent
	c.guard = c.newGuard(dataNode)
	c.facts.learnt = c.guard.Loaded
	c.handlePoison(dataNode)
	c.pool = upstream.NewPool(adapter.Engines)
	c.balancer = balance.New(c.facts.Snapshot)
	c.pool.Connected = c.balancer.Connected
	c.registerGauges(c.commonGauges())
	c.registerPoison()
	if settings.Platform.Drain > 0 {
		c.registry.MustRegister(drainMetrics{c})
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
			{Name: c.adapter.ConfigurationKind, MaxStaleness: c.settings.Platform.Apply},
			{Name: c.adapter.EnginesKind, MaxStaleness: c.settings.Platform.Leave, Place: c.adapter.EnginePlace},
			{Name: c.adapter.PoisonKind, MaxStaleness: poisonFresh},
		},
		Store: c.adapter.Store, Registry: c.adapter.Registry, Sender: c.peers, Receiver: c.peers,
		Changed: c.mirrorChanged,
	}
	if c.settings.Platform.Drain > 0 {
		options.Kinds = append(options.Kinds, mirror.Kind{Name: c.adapter.ZoneDrainsKind, MaxStaleness: c.settings.Platform.Drain})
	}
	if dataNode {
		options.Kinds = append(options.Kinds, mirror.Kind{Name: c.adapter.EvacuationsKind, MaxStaleness: evacuationFresh})
	}
	options.Seeds = addresses(c.settings.Peers.Seeds)
	return options
}

// mirrorChanged takes that objects of a kind changed; it doesn't block.
func (c *core) mirrorChanged(kind string) {
	if kind == c.adapter.PoisonKind {
		waited := !c.guard.Loaded()
		c.learnPoison()
		if !waited {
			return
		}
		kind = "" // the configuration may have waited for it
	}
	c.facts.changed(kind)
}

func addresses(listed []string) []transport.Address {
	result := make([]transport.Address, 0, len(listed))
	for _, address := range listed {
		result = append(result, transport.Address(address))
	}
	return result
}

// Reload implements Node: seeds are applied, everything else needs a restart.
func (c *core) Reload(settings *config.Node) {
	c.agent.SetSeeds(addresses(settings.Peers.Seeds))
	rest := *settings
	rest.Peers.Seeds = c.settings.Peers.Seeds
	eventReloaded.Info("node", c.settings.Node.Name, "seeds", settings.Peers.Seeds,
		"restart_needed", !reflect.DeepEqual(&rest, c.settings))
}

func (c *core) ledgerOptions(view *members) replica.Options {
	disk := newDiskBudget(uint64(c.settings.Data.Size) << 20)
	return replica.Options{
		Sender: c.peers, Receiver: c.peers, Members: view, Store: c.adapter.Ledger, Registry: c.registry,
		Shards: shards, Copies: c.settings.Ledger.Replicas(), ZoneLosses: c.settings.Ledger.ZoneLosses,
		Regions: c.regionNames(), LeastCopies: 2*c.settings.Ledger.Losses + 1, ReplaceAfter: replaceAfter, BootstrapWait: bootstrapWait,
		RepairInterval: repairInterval, DirectoryInterval: directoryTime, ReplaceLeaving: true,
		DiskBytes: disk.size, RetainBytes: disk.retain, Reserve: disk.reserve, LowSpaceThreshold: disk.scarce,
	}
}

func (c *core) start() error {
	c.peers.Serve()
	c.run(func() { c.facts.follow(c.stop) })
	c.run(c.prune)
	if c.settings.Platform.Drain > 0 {
		c.run(c.tellDrains)
	}
	c.guard.Start()
	c.agent.Start()
	c.ledger.Start()
	eventStarted.Info("node", c.settings.Node.Name, "zone", c.settings.Node.Zone, "peers", c.settings.Listen.Peers,
		"data", c.settings.Data.Folder != "")
	return c.serveMetrics()
}

func (c *core) run(task func()) {
	c.tasks.Add(1)
	go func() {
		defer c.tasks.Done()
		task()
	}()
}

// rest waits; false if the node stops meanwhile.
func (c *core) rest(pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-c.stop:
		return false
	case <-timer.C:
		return true
	}
}

// prune closes connections to engines that rested too long or are gone.
func (c *core) prune() {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
			snapshot := c.facts.Snapshot()
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

// route finds the present route of a batch job.
func (c *core) route(host, path string) *catalog.Route {
	route := c.facts.Snapshot().Configuration.Match(host, path)
	if route == nil || route.Kind != catalog.KindBatch {
		return nil
	}
	return route
}

// serve answers on an address until the server is shut down.
func serve(address string, server *http.Server) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			eventListenerEnded.Error(err, "address", address)
		}
	}()
	return nil
}

// EventSettingsRefused is logged by the program that reads the settings file.
var EventSettingsRefused = telemetry.Define(1015, "settings-refused", "The settings file was read again and is wrong; what was in force stays.")

// Node is an assembled node.
type Node interface {
	// Start opens the node's ports and lets it work.
	Start() error
	// Reload applies a settings file that was read again.
	Reload(settings *config.Node)
	// Drain is the planned stop; it ends with ctx at the latest.
	Drain(ctx context.Context)
}

// Open assembles the node that the settings describe.
func Open(settings *config.Node, adapter *Adapter) (Node, error) {
	if settings.Data.Folder != "" {
		return openData(settings, adapter)
	}
	return openFront(settings, adapter)
}
