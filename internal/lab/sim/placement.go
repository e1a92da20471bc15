package sim

import (
	"time"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/routing"
)

// RoutingKind is a method of routing online requests.
type RoutingKind string

// Kinds of routing.
const (
	// RoutingLeastInFlight picks the engine with the fewest requests, at random
	// among equals: the gateway's own in flight plus online requests reported waiting.
	RoutingLeastInFlight RoutingKind = "least_in_flight"
	// RoutingNode uses internal/routing, as nodes do.
	RoutingNode RoutingKind = "node"
)

// placement chooses engines for a gateway's requests and observes their outcomes.
type placement interface {
	// place returns nil if no engine can accept the request.
	place(r *onlineRequest) *simEngine
	observe(r *onlineRequest, kind routing.OutcomeKind)
}

func newPlacement(g *gateway) placement {
	s := g.node.simulation
	if s.policy.RoutingIn(s.config) != RoutingNode {
		return leastInFlight{g}
	}
	return &nodeRouting{gateway: g, router: routing.NewRouter(routing.Config{
		Zone: s.zoneName(g.node.zone),
		Seed: s.random.Uint64(),
	})}
}

func (s *simulation) zoneName(zone int) string { return s.config.Deployment.Zones[zone].Name }

// leastInFlight implements RoutingLeastInFlight.
type leastInFlight struct{ gateway *gateway }

func (l leastInFlight) observe(*onlineRequest, routing.OutcomeKind) {}

func (l leastInFlight) place(*onlineRequest) *simEngine {
	g := l.gateway
	s := g.node.simulation
	var best []*simEngine
	lowest := 0
	for _, candidate := range s.engines[:s.policy.onlineEngines(len(s.engines))] {
		if g.unusable[candidate.index] {
			continue
		}
		score := g.inFlight[candidate.index] + g.reports[candidate.index].Waiting - g.reports[candidate.index].WaitingBatch
		if len(best) == 0 || score < lowest {
			best, lowest = best[:0], score
		}
		if score == lowest {
			best = append(best, candidate)
		}
	}
	if len(best) == 0 {
		return nil
	}
	return best[s.random.IntN(len(best))]
}

// nodeRouting implements RoutingNode.
type nodeRouting struct {
	gateway  *gateway
	router   *routing.Router
	snapshot *fleet.Snapshot
	version  int
}

// simModel is the name of the only model in a simulation.
const simModel = "model"

func (n *nodeRouting) place(r *onlineRequest) *simEngine {
	s := n.gateway.node.simulation
	n.refreshSnapshot()
	decision, err := n.router.Pick(s.now(), routing.Request{
		Model:      simModel,
		Prefix:     prefixHashes(r.request, s.config.Deployment.Engine.BlockTokens),
		Tried:      r.triedEngines,
		Repeatable: true,
	}, n.snapshot)
	if err != nil {
		return nil
	}
	r.routingAttempt = decision.Attempt
	for _, candidate := range s.engines {
		if candidate.name == decision.Endpoint.Name {
			return candidate
		}
	}
	return nil
}

// refreshSnapshot rebuilds the snapshot if reports or unusable have changed.
func (n *nodeRouting) refreshSnapshot() {
	g := n.gateway
	if n.snapshot != nil && n.version == g.version {
		return
	}
	s := g.node.simulation
	n.version = g.version
	n.snapshot = &fleet.Snapshot{Taken: s.now()}
	for _, listed := range s.engines[:s.policy.onlineEngines(len(s.engines))] {
		load := g.reports[listed.index]
		load.Models = []string{simModel}
		if load.At.IsZero() {
			load.At = s.now().Add(-time.Minute)
		}
		n.snapshot.Endpoints = append(n.snapshot.Endpoints, &fleet.Endpoint{
			Name: listed.name, Zone: s.zoneName(listed.zone), Leaving: g.unusable[listed.index], Load: load,
		})
	}
}

func (n *nodeRouting) observe(r *onlineRequest, kind routing.OutcomeKind) {
	if r.routingAttempt == nil {
		return
	}
	n.router.Observe(n.gateway.node.simulation.now(), routing.Outcome{
		Attempt: r.routingAttempt, Kind: kind, Fate: engine.FateUnknown, Tokens: r.receivedTokens,
	})
}
