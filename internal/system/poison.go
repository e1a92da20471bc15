package system

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/poison"
	"chutelock.dev/chutelock/internal/transport"
)

// Messages about requests under which engines end; see package poison.
const (
	kindPoisonReport transport.Kind = transport.KindPoison + iota // call to a data node
	kindPoisonSpread                                              // from a data node
)

const (
	// endedTimeout bounds the question whether an engine has ended: the address of one
	// that has refuses within a round trip, 16 ms between the farthest regions.
	endedTimeout = 100 * time.Millisecond
	// reportTimeout bounds a report to one data node before another one is told.
	reportTimeout = 250 * time.Millisecond
	// poisonFresh is the time within which the records in the store are known on every
	// node. Peers tell each other of new ones at once; what comes by the store is for
	// nodes that started since, or that no peer reached: these end two engines more at
	// most by themselves. With 3 s days of a store that is away cost 500 calls more of
	// 2,000, as all nodes look (64 nodes).
	poisonFresh = 8 * time.Second
)

var errNoDataNode = errors.New("no data node is known")

// newGuard returns the node's guard. Data nodes spread and keep records, others report
// theirs to one.
func (c *core) newGuard(dataNode bool) *poison.Guard {
	options := poison.Options{EngineCrashed: c.engineEnded, Store: c.adapter.Poison, Now: time.Now}
	if dataNode {
		options.Spread = c.spreadPoison
	} else {
		options.Report = c.reportPoison
	}
	return poison.NewGuard(options)
}

func (c *core) handlePoison(dataNode bool) {
	c.peers.HandleMessage(kindPoisonSpread, func(from transport.Address, payload []byte) {
		_ = c.guard.Receive(from, payload, false) // it logs what it can't read
	})
	if !dataNode {
		return
	}
	c.peers.HandleCall(kindPoisonReport, func(_ context.Context, from transport.Address, payload []byte) ([]byte, error) {
		return nil, trace.Wrap(c.guard.Receive(from, payload, true), "report of peer %s", from)
	})
}

// engineEnded says whether an engine has ended that was not about to leave: one that
// leaves may end with the last of its requests. Its entry may be gone by then; that of one
// that crashed is there for some heartbeats more.
func (c *core) engineEnded(ctx context.Context, engine catalog.Engine) bool {
	snapshot := c.facts.Snapshot()
	if newer, found := snapshot.Engine(catalog.Instance(engine.ID)); found && newer.Started.After(engine.Started) {
		return true // it has started anew since
	}
	if known, found := snapshot.Engine(engine.ID); !found || known.Leaving {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, endedTimeout)
	defer cancel()
	return c.pool.RefusesConnections(ctx, engine.Address, engine.ID)
}

// reportPoison hands records to a data node, those of this node's zone and region first.
func (c *core) reportPoison(ctx context.Context, records []poison.Record) error {
	nodes := c.agent.Nodes()
	self := c.settings.Node
	distance := func(node mirror.Node) int {
		switch {
		case node.Zone == self.Zone:
			return 0
		case node.Region == self.Region:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(nodes, func(x, y mirror.Node) int { return distance(x) - distance(y) })
	message := poison.Marshal(records)
	failure := errNoDataNode
	for _, node := range nodes {
		bounded, cancel := context.WithTimeout(ctx, reportTimeout)
		_, err := c.peers.Call(bounded, node.Address, kindPoisonReport, message)
		cancel()
		if err == nil {
			return nil
		}
		failure = trace.Wrap(err, "report to data node %s", node.Name)
	}
	return failure
}

// spreadPoison sends records to the nodes that ask this one for facts, and to all data
// nodes if they don't have them yet.
func (c *core) spreadPoison(records []poison.Record, wide bool) {
	message := poison.Marshal(records)
	self := c.self().Address
	targets := c.agent.RecentPullers()
	if wide {
		for _, node := range c.agent.Nodes() {
			targets = append(targets, node.Address)
		}
	}
	slices.Sort(targets)
	for _, target := range slices.Compact(targets) {
		if target != self {
			c.peers.Send(target, kindPoisonSpread, message)
		}
	}
}

// learnPoison hands what the store has to the guard.
func (c *core) learnPoison() {
	objects, _ := c.agent.Objects(c.adapter.PoisonKind)
	c.guard.LoadRecords(c.adapter.PoisonRecords(objects))
}

// registerPoison adds the figures of the guard.
func (c *core) registerPoison() {
	c.registerGauges(map[string]gauge{
		"chutelock_requests_held_back":         {"Requests, by their fingerprints, that get to no engine as too many ended under them.", func() float64 { return float64(c.guard.HeldBack()) }},
		"chutelock_requests_held_back_refused": {"How often such a request was kept from an engine here.", func() float64 { return float64(c.guard.Refused()) }},
	})
}
