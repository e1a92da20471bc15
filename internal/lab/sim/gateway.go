package sim

import (
	"fmt"
	"time"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/lab/arrivals"
	"chutelock.dev/chutelock/internal/routing"
)

// node is a server with a gateway; it may also be the home of engines.
type node struct {
	simulation *simulation
	index      int
	zone       int
	gateway    *gateway
}

func newNode(s *simulation, index, zone int) *node {
	return &node{simulation: s, index: index, zone: zone}
}

// gateway is a node's online role. It routes by its own requests in flight and
// delayed load reports.
type gateway struct {
	node         *node
	inFlight     []int
	reports      []engine.Load
	cachedTokens cachedEstimate
	// unusable marks engines known to be leaving or dead.
	unusable []bool
	// version counts changes to reports and unusable.
	version   int
	placement placement
}

func newGateway(node *node, engines int) *gateway {
	created := &gateway{
		node:     node,
		inFlight: make([]int, engines),
		reports:  make([]engine.Load, engines),
		unusable: make([]bool, engines),
	}
	created.placement = newPlacement(created)
	return created
}

func (g *gateway) handleReport(index int, load engine.Load) {
	g.reports[index] = load
	g.version++
}

func (g *gateway) setUnusable(index int, unusable bool) {
	g.unusable[index] = unusable
	g.version++
}

// onlineRequest is an online request handled by a gateway.
type onlineRequest struct {
	gateway        *gateway
	request        arrivals.Request
	engine         *simEngine
	attempt        int
	receivedTokens int // tokens delivered to the client
	lastTokenAt    time.Duration
	triedEngines   []string
	routingAttempt *routing.Attempt // only set for RoutingNode
}

var _ receiver = (*onlineRequest)(nil)

func (g *gateway) accept(request arrivals.Request) {
	g.send(&onlineRequest{gateway: g, request: request})
}

func (g *gateway) send(r *onlineRequest) {
	s := g.node.simulation
	chosen := g.route(r)
	if chosen == nil {
		s.result.OnlineFailed++
		return
	}
	r.engine = chosen
	r.attempt++
	g.inFlight[chosen.index]++
	home := s.homeKnownTo(g.node, chosen.index)
	if home != nil {
		prefill := g.cachedTokens.prefill(r.request)
		s.after(s.latency(g.node.zone, home.node.zone), func() { home.handleOnlineStarted(r.id(), prefill) })
	}
	sequence := newSequence(r.id(), int(engine.PriorityOnline), r.request, s.config.Deployment.Engine.BlockTokens)
	sequence.ResumeFrom = r.receivedTokens
	s.after(s.latency(g.node.zone, chosen.zone), func() {
		s.recording.recordEngine(chosen.index, r.request.Number)
		chosen.submit(sequence, r)
	})
}

func (g *gateway) route(r *onlineRequest) *simEngine {
	s := g.node.simulation
	if s.baseline != nil && s.policy.Kind == PolicyClairvoyant {
		if planned, ok := s.baseline.engineOf[r.request.Number]; ok {
			return s.engines[planned]
		}
	}
	return g.placement.place(r)
}

// homeKnownTo returns the home that a gateway notifies of online requests.
func (s *simulation) homeKnownTo(gatewayNode *node, engine int) *home {
	if duplicate := s.duplicateHomes[engine]; duplicate != nil && gatewayNode.index%2 == 1 {
		return duplicate
	}
	return s.homes[engine]
}

func (r *onlineRequest) id() string {
	return fmt.Sprintf("o%d-%d", r.request.Number, r.attempt)
}

func (r *onlineRequest) zone() int { return r.gateway.node.zone }

func (r *onlineRequest) isBatch() bool { return false }

func (r *onlineRequest) handleToken(index int) {
	s := r.gateway.node.simulation
	if index != r.receivedTokens {
		s.result.OnlineOutOfOrder++
		return
	}
	r.receivedTokens++
	at := s.clock.now + s.config.Deployment.Network.Client
	if index == 0 {
		r.gateway.placement.observe(r, routing.OutcomeFirstToken)
		s.result.recordFirstToken(r.request.At, at)
	} else {
		s.result.recordNextToken(r.request.At, r.lastTokenAt, at)
	}
	r.lastTokenAt = at
}

func (r *onlineRequest) handleFinished(cached, prompt int) {
	s := r.gateway.node.simulation
	r.gateway.placement.observe(r, routing.OutcomeFinished)
	r.release()
	r.gateway.cachedTokens.observe(cached)
	s.result.recordOnlineDone(r.request, s.clock.now+s.config.Deployment.Network.Client, cached, prompt)
}

// handleFailure retries the request at another engine, resuming after the tokens
// already delivered.
func (r *onlineRequest) handleFailure() {
	r.gateway.placement.observe(r, routing.OutcomeFailed)
	r.release()
	r.triedEngines = append(r.triedEngines, r.engine.name)
	r.gateway.setUnusable(r.engine.index, true)
	r.gateway.node.simulation.result.OnlineRetried++
	r.gateway.send(r)
}

func (r *onlineRequest) release() {
	s := r.gateway.node.simulation
	r.gateway.inFlight[r.engine.index]--
	id := r.id()
	home := s.homeKnownTo(r.gateway.node, r.engine.index)
	if home != nil {
		s.after(s.latency(r.gateway.node.zone, home.node.zone), func() { home.handleOnlineFinished(id) })
	}
}
