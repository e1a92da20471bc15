package node

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"chutelock.dev/chutelock/internal/config"
	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/engine/openaihttp"
	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/fleet/query"
	"chutelock.dev/chutelock/internal/fleet/registry"
	"chutelock.dev/chutelock/internal/fleet/tracker"
	"chutelock.dev/chutelock/internal/gateway"
	"chutelock.dev/chutelock/internal/jobs/service"
	"chutelock.dev/chutelock/internal/ledger/replica"
	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/membership/agent"
	"chutelock.dev/chutelock/internal/membership/swim"
	"chutelock.dev/chutelock/internal/node/operator"
	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/platform/objecthttp"
	"chutelock.dev/chutelock/internal/routing"
	"chutelock.dev/chutelock/internal/settings"
	settingsagent "chutelock.dev/chutelock/internal/settings/agent"
	"chutelock.dev/chutelock/internal/transport"
)

const (
	keyFileInterval   = time.Second
	headerTimeout     = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	readyPollInterval = 20 * time.Millisecond
)

// machineRoleNode is the role of nodes in the platform's machine list.
const machineRoleNode = "node"

// Addresses are a node's listening addresses, as in the ready file.
type Addresses struct {
	Name      string `json:"name"`
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// Node holds the components of a chutelock node.
type Node struct {
	config    *config.Node
	registry  *prometheus.Registry
	readiness *operator.Readiness
	sockets   *sockets
	callers   *callers
	operator  *http.Server

	keys      *transport.Keyring
	peers     *transport.Node
	platform  *objecthttp.Client
	settings  *settingsagent.Agent
	members   *agent.Agent
	engines   *tracker.Tracker
	ledger    *replica.Service
	batch     *batch
	gateway   *gateway.Gateway
	operators *http.ServeMux

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// Open creates a node and opens its ports; nothing runs before Start.
func Open(settings *config.Node) (*Node, error) {
	n := &Node{
		config:    settings,
		registry:  prometheus.NewRegistry(),
		readiness: &operator.Readiness{},
	}
	n.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	var err error
	if n.sockets, err = openSockets(settings); err != nil {
		return nil, err
	}
	if err := n.openPeers(); err != nil {
		return nil, err
	}
	// Each open method uses components opened before it.
	n.platform = objecthttp.New(settings.Platform.Address, objecthttp.Options{})
	n.openMembership()
	if err := n.openSettings(); err != nil {
		return nil, err
	}
	if err := n.openLedger(); err != nil {
		return nil, err
	}
	n.openEngines()
	n.openGateway()
	n.openOperators()
	return n, nil
}

func (n *Node) openPeers() error {
	keys, err := transport.OpenKeyring(n.config.Peers.KeyFile)
	if err != nil {
		return err
	}
	n.keys = keys
	n.peers, err = transport.Listen(transport.Options{
		Listen: n.config.Listen.Peers, Advertise: n.config.Listen.Advertise,
		Keys:     keys,
		Registry: n.registry,
	})
	return trace.Wrap(err, "opening the peers' port")
}

func (n *Node) self() membership.Member {
	return membership.Member{
		Name:    n.config.Node.Name,
		Address: n.peers.Address(),
		Callers: n.sockets.callers.Addr().String(),
		Zone:    n.config.Node.Zone,
		Region:  n.config.Node.Region,
		HasData: n.config.Data.Folder != "",
		// A restarted process must have a higher incarnation than before.
		Incarnation: uint64(time.Now().UnixMilli()),
	}
}

func (n *Node) openMembership() {
	var seeds []transport.Address
	for _, seed := range n.config.Peers.Seeds {
		seeds = append(seeds, transport.Address(seed))
	}
	n.members = agent.New(agent.Config{
		Protocol: swim.Config{Self: n.self(), Seeds: seeds, Seed: uint64(time.Now().UnixNano())},
		Sender:   n.peers,
		Receiver: n.peers,
	})
}

func (n *Node) openEngines() {
	n.engines = tracker.New(tracker.Config{
		Registry: registry.Config{Self: n.members.Self(), Seed: uint64(time.Now().UnixNano())},
		Members:  n.members,
		Sender:   n.peers,
		Receiver: n.peers,
		Store:    n.platform,
		Machines: n.platform,
		Dial: func(address string) engine.Client {
			return openaihttp.New(address, address, openaihttp.Options{})
		},
		OnMachines: n.updateContacts,
		Listener:   func(now time.Time, event fleet.HomeEvent) { n.batch.dispatcher.HomeEvent(now, event) },
	})
	clients := observedClients{n.engines, n.engines}
	n.batch.openDispatcher(clients, newServicePolicy(n.settings, n.engines), n.config.Node.Name+"/"+strconv.FormatInt(time.Now().UnixNano(), 36), n.registry)
	n.readiness.Add("engines", func() (bool, string) { return n.engines.Ready(), "the list of engines is not known yet" })
}

// updateContacts passes the nodes of the platform's machine list to the
// membership, so that a node whose seeds are all gone can still join.
func (n *Node) updateContacts(machines []platform.Machine) {
	var addresses []transport.Address
	for _, machine := range machines {
		if machine.Role == machineRoleNode && !machine.Leaving {
			addresses = append(addresses, transport.Address(machine.Address))
		}
	}
	n.members.SetContacts(addresses)
}

func (n *Node) openLedger() error {
	n.batch = &batch{Service: service.New()}
	options := replica.Options{
		Sender:       n.peers,
		Receiver:     n.peers,
		Members:      n.members,
		Store:        n.platform,
		Shards:       n.config.Ledger.Shards,
		Copies:       n.config.Ledger.Replicas(),
		NewMachine:   n.batch.NewMachine,
		Registry:     n.registry,
		ReplaceAfter: n.config.Ledger.ReplaceAfter,
	}
	if n.config.Data.Folder != "" {
		options.Folder = filepath.Join(n.config.Data.Folder, "ledger")
	}
	var err error
	if n.ledger, err = replica.Open(options); err != nil {
		return trace.Wrap(err, "opening the ledger")
	}
	n.batch.Connect(n.peers.Address(), n.ledger, n.peers, n.peers)
	n.registry.MustRegister(n.batch.Keeper)
	return nil
}

func (n *Node) openGateway() {
	n.gateway = gateway.New(gateway.Dependencies{
		Settings: n.settings,
		Fleet:    n.engines,
		Clients:  observedClients{n.engines, n.engines},
		Observer: n.engines,
		Registry: n.registry,
		Routing: routing.Config{
			Zone:   n.config.Node.Zone,
			Region: n.config.Node.Region,
			Seed:   uint64(time.Now().UnixNano()),
		},
	})
	n.readiness.Add("settings", func() (bool, string) { return n.settings.Current() != nil, "no settings are in force yet" })
	batchHandler := n.batch.handler(n.settings)
	mux := http.NewServeMux()
	mux.Handle("/v1/files", batchHandler)
	mux.Handle("/v1/files/", batchHandler)
	mux.Handle("/v1/batches", batchHandler)
	mux.Handle("/v1/batches/", batchHandler)
	mux.Handle("/", n.gateway)
	n.callers = newCallers(n.sockets.callers, n.sockets.callersTLS, mux, func() []any {
		if current := n.settings.Current(); current != nil {
			return []any{"version", settings.Version(current.Revision)}
		}
		return nil
	})
	n.callers.endWaiting = n.gateway.EndWaiting
	n.callers.register(n.registry)
}

func (n *Node) openOperators() {
	n.operators = operator.NewMux(n.readiness, n.registry)
	query.Register(n.operators, n.members, n.engines)
	n.operators.HandleFunc("GET "+replica.PathLedger, n.ledger.ServeStatus)
	n.serveSettings()
	n.operator = &http.Server{
		Handler:           n.operators,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Addresses returns the node's listening addresses.
func (n *Node) Addresses() Addresses {
	return Addresses{
		Name:      n.config.Node.Name,
		Callers:   n.sockets.callers.Addr().String(),
		Operators: n.sockets.operators.Addr().String(),
		Peers:     string(n.peers.Address()),
	}
}

// Start starts all components and returns at once.
func (n *Node) Start() {
	EventStarting.Info("node", n.config.Node.Name, "addresses", n.Addresses())
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.peers.Serve()
	n.goRun(func() { n.members.Run(ctx) })
	n.goRun(func() { n.settings.Run(ctx) })
	n.goRun(func() { n.engines.Run(ctx) })
	n.goRun(func() { n.keys.Follow(ctx.Done(), keyFileInterval, logKeyReload) })
	n.ledger.Start()
	n.goRun(func() { n.batch.run(ctx) })
	n.serve(n.callers.server, n.callers.listener, "callers")
	n.serve(n.operator, n.sockets.operators, "operators")
}

func (n *Node) goRun(run func()) {
	n.tasks.Add(1)
	go func() {
		defer n.tasks.Done()
		run()
	}()
}

func (n *Node) serve(server *http.Server, listener net.Listener, port string) {
	n.goRun(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			EventServeFailed.Error(err, "port", port)
		}
	})
}

func logKeyReload(changed bool, err error) {
	if err != nil {
		EventKeysInvalid.Error(err)
		return
	}
	EventKeysChanged.Info("changed", changed)
}

// WaitReady waits until all components are ready, or returns ctx's error.
func (n *Node) WaitReady(ctx context.Context) error {
	for {
		missing := n.readiness.Missing()
		if len(missing) == 0 {
			EventReady.Info("node", n.config.Node.Name)
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "not ready: %v", missing)
		case <-time.After(readyPollInterval):
		}
	}
}

// WriteReadyFile writes the addresses as JSON, atomically.
func WriteReadyFile(path string, addresses Addresses) error {
	content, err := json.Marshal(addresses)
	if err != nil {
		return trace.Wrap(err)
	}
	temporary := path + ".new"
	if err := os.WriteFile(temporary, append(content, '\n'), 0o644); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(os.Rename(temporary, path))
}
