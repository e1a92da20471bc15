package system

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/forward"
	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/poison"
	"chutelock.dev/chutelock/internal/transport"
)

// Messages about poison requests; see package poison.
const (
	kindPoisonReport transport.Kind = transport.KindPoison + iota // call to a data node
	kindPoisonSpread                                              // from a data node
	kindPartReport                                                // kindPoisonReport for parts of prompts
	kindPartSpread                                                // kindPoisonSpread for parts of prompts
)

const (
	// crashProbeTimeout bounds the check whether an engine refuses connections, which
	// takes one round trip.
	crashProbeTimeout = 100 * time.Millisecond
	// servesTimeout bounds the check whether an engine takes connections after an answer without a
	// length. It is well above the second or so for which a sound engine may be silent; until it ends,
	// a dark engine holds the end of the answer.
	servesTimeout = 3 * time.Second
	// servesPause is the pause before a silent engine is asked again.
	servesPause = 20 * time.Millisecond
	// reportTimeout bounds a report to one data node before the next one is tried.
	reportTimeout = 250 * time.Millisecond
	// maxPoisonStaleness bounds how late nodes get records from the store. Peers send
	// new ones at once, so the store only serves nodes that they did not reach. A lower
	// bound means more calls from all nodes while the store is down: a quarter more with 3 s.
	maxPoisonStaleness = 8 * time.Second
)

var errNoDataNode = errors.New("no data node is known")

// newGuard returns the node's guard. Data nodes forward and store records; front nodes
// report theirs to a data node.
func (c *core) newGuard(dataNode bool) *poison.Guard {
	options := poison.Options{EngineCrashed: c.engineCrashed, EngineServes: c.engineServes, Store: c.adapter.Poison, Now: time.Now}
	if dataNode {
		options.Spread = c.spreadPoison
	} else {
		options.Report = c.reportPoison
	}
	return poison.NewGuard(options)
}

func (c *core) registerPoisonHandlers(dataNode bool) {
	c.peers.HandleMessage(kindPoisonSpread, func(from transport.Address, payload []byte) {
		_ = c.guard.Receive(from, payload, false) // it logs decoding errors
	})
	c.peers.HandleMessage(kindPartSpread, func(from transport.Address, payload []byte) {
		_ = c.guard.ReceiveParts(from, payload, false) // it logs decoding errors
	})
	if !dataNode {
		return
	}
	c.peers.HandleCall(kindPartReport, func(_ context.Context, from transport.Address, payload []byte) ([]byte, error) {
		return nil, trace.Wrap(c.guard.ReceiveParts(from, payload, true), "report of peer %s", from)
	})
	c.peers.HandleCall(kindPoisonReport, func(_ context.Context, from transport.Address, payload []byte) ([]byte, error) {
		return nil, trace.Wrap(c.guard.Receive(from, payload, true), "report of peer %s", from)
	})
}

// engineCrashed reports whether an engine ended without leaving first. The entry of an
// engine that left may be gone, while that of a crashed one remains for some heartbeats.
func (c *core) engineCrashed(ctx context.Context, engine catalog.Engine) bool {
	snapshot := c.catalog.Snapshot()
	if newer, found := snapshot.Engine(catalog.Instance(engine.ID)); found && newer.Started.After(engine.Started) {
		return true // it has restarted
	}
	if known, found := snapshot.Engine(engine.ID); !found || known.Leaving {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	return c.pool.RefusesConnections(ctx, engine.Address, engine.ID)
}

// engineServes reports whether an engine takes connections, also one that is leaving: its process may have
// ended in the middle of an answer. A silent engine may be sound, so it is asked again for servesTimeout. If
// it can't be told, the engine doesn't serve, unless this node has no time left to ask: an engine whose
// process has ended refuses connections.
func (c *core) engineServes(ctx context.Context, engine catalog.Engine) bool {
	ctx, cancel := context.WithTimeout(ctx, servesTimeout)
	defer cancel()
	for {
		serves, known := c.checkServes(ctx, engine)
		switch {
		case known:
			return serves
		case ctx.Err() != nil:
			return errors.Is(context.Cause(ctx), forward.ErrStopping)
		}
		clock.Sleep(ctx, servesPause)
	}
}

// checkServes reports whether an engine serves; known is false if it doesn't say.
func (c *core) checkServes(ctx context.Context, engine catalog.Engine) (serves, known bool) {
	snapshot := c.catalog.Snapshot()
	if newer, found := snapshot.Engine(catalog.Instance(engine.ID)); found && newer.Started.After(engine.Started) {
		return false, true // it has restarted
	}
	err := c.pool.Connect(ctx, engine.Address, engine.ID)
	return err == nil, err == nil || errors.Is(err, syscall.ECONNREFUSED)
}

// reportPoison sends records to one data node, trying those of this node's zone first,
// then those of its region.
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
	messages := poisonMessages(records, kindPoisonReport, kindPartReport)
	failure := errNoDataNode
	for _, node := range nodes {
		err := c.reportMessages(ctx, node.Address, messages)
		if err == nil {
			return nil
		}
		failure = trace.Wrap(err, "report to data node %s", node.Name)
	}
	return failure
}

// reportMessages sends messages to a data node and returns once it has them.
func (c *core) reportMessages(ctx context.Context, to transport.Address, messages []poisonMessage) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	for _, message := range messages {
		if _, err := c.peers.Call(ctx, to, message.kind, message.payload); err != nil {
			return err
		}
	}
	return nil
}

// poisonMessage is an encoded message of records.
type poisonMessage struct {
	kind    transport.Kind
	payload []byte
}

// poisonMessages encodes records of requests and of parts of prompts in messages of the given kinds.
func poisonMessages(records []poison.Record, requestKind, partKind transport.Kind) (messages []poisonMessage) {
	var requests, parts []poison.Record
	for i := range records {
		if records[i].IsPart() {
			parts = append(parts, records[i])
		} else {
			requests = append(requests, records[i])
		}
	}
	if len(requests) > 0 {
		messages = append(messages, poisonMessage{requestKind, poison.Marshal(requests)})
	}
	if len(parts) > 0 {
		messages = append(messages, poisonMessage{partKind, poison.MarshalParts(parts)})
	}
	return messages
}

// spreadPoison sends records to the nodes that recently pulled from this one and, if
// toDataNodes is set, to all data nodes.
func (c *core) spreadPoison(records []poison.Record, toDataNodes bool) {
	messages := poisonMessages(records, kindPoisonSpread, kindPartSpread)
	self := c.self().Address
	targets := c.agent.RecentPullers()
	if toDataNodes {
		for _, node := range c.agent.Nodes() {
			targets = append(targets, node.Address)
		}
	}
	slices.Sort(targets)
	for _, target := range slices.Compact(targets) {
		for _, message := range messages {
			if target != self {
				c.peers.Send(target, message.kind, message.payload)
			}
		}
	}
}

// loadPoisonRecords passes the mirrored records to the guard.
func (c *core) loadPoisonRecords() {
	objects, _ := c.agent.Objects(c.adapter.PoisonKind)
	c.guard.LoadRecords(c.adapter.PoisonRecords(objects))
}

// registerPoisonMetrics registers the metrics of the guard.
func (c *core) registerPoisonMetrics() {
	c.registerGauges(map[string]gauge{
		"chutelock_requests_held_back":         {"Requests, by their fingerprints, that get to no engine as too many ended under them.", func() float64 { return float64(c.guard.HeldBack()) }},
		"chutelock_prompt_parts_held_back":     {"Parts of prompts that get to no engine as engines crashed under requests that share them.", func() float64 { return float64(c.guard.HeldParts()) }},
		"chutelock_requests_held_back_refused": {"How often a request that is held back, or whose prompt is, was kept from an engine here.", func() float64 { return float64(c.guard.Refused()) }},
	})
}
