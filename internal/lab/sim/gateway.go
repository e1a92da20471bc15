package sim

import (
	"fmt"
	"time"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/lab/arrivals"
	"chutelock.dev/chutelock/internal/routing"
)

// node is a chutelock node: a gateway, and the home of some engines.
type node struct {
	simulation *simulation
	index      int
	zone       int
	gateway    *gateway
}

func newNode(s *simulation, index, zone int) *node {
	return &node{simulation: s, index: index, zone: zone}
}

// gateway is the online path of a node. It routes by what it knows: its own
// requests in flight and lagging reports.
type gateway struct {
	node     *node
	inFlight []int
	reports  []engine.Load
	cached   cachedEstimate
	// unusable engines are known to be leaving or dead.
	unusable []bool
	// version counts changes of reports and unusable.
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

func (g *gateway) reported(index int, load engine.Load) {
	g.reports[index] = load
	g.version++
}

func (g *gateway) setUnusable(index int, unusable bool) {
	g.unusable[index] = unusable
	g.version++
}

// onlineRequest is an online request on its way through a gateway.
type onlineRequest struct {
	gateway  *gateway
	request  arrivals.Request
	engine   *emulatedEngine
	attempt  int
	received int // tokens handed to the client
	lastAt   time.Duration
	tried    []string
	routed   *routing.Attempt // nil but under RoutingNode
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
	home := s.believedHome(g.node, chosen.index)
	if home != nil {
		prefill := g.cached.prefill(r.request)
		s.after(s.latency(g.node.zone, home.node.zone), func() { home.onlineStarted(r.id(), prefill) })
	}
	sequence := sequenceOf(r.id(), int(engine.PriorityOnline), r.request, s.config.Deployment.Engine.BlockTokens)
	sequence.ResumeFrom = r.received
	s.after(s.latency(g.node.zone, chosen.zone), func() {
		s.record.arrival(chosen.index, r.request.Number)
		chosen.submit(sequence, r)
	})
}

func (g *gateway) route(r *onlineRequest) *emulatedEngine {
	s := g.node.simulation
	if s.plan != nil && s.policy.Kind == PolicyClairvoyant {
		if planned, ok := s.plan.engineOf[r.request.Number]; ok {
			return s.engines[planned]
		}
	}
	return g.placement.place(r)
}

// believedHome is the home to which the node announces online requests.
func (s *simulation) believedHome(from *node, engine int) *home {
	if rival := s.rivals[engine]; rival != nil && from.index%2 == 1 {
		return rival
	}
	return s.homes[engine]
}

func (r *onlineRequest) id() string {
	return fmt.Sprintf("o%d-%d", r.request.Number, r.attempt)
}

func (r *onlineRequest) receiverZone() int { return r.gateway.node.zone }

func (r *onlineRequest) batch() bool { return false }

func (r *onlineRequest) token(index int) {
	s := r.gateway.node.simulation
	if index != r.received {
		s.result.OnlineWrong++
		return
	}
	r.received++
	at := s.clock.now + s.config.Deployment.Network.Client
	if index == 0 {
		r.gateway.placement.observe(r, routing.OutcomeFirstToken)
		s.result.firstToken(r.request.At, at)
	} else {
		s.result.nextToken(r.request.At, r.lastAt, at)
	}
	r.lastAt = at
}

func (r *onlineRequest) finished(cached, prompt int) {
	s := r.gateway.node.simulation
	r.gateway.placement.observe(r, routing.OutcomeFinished)
	r.release()
	r.gateway.cached.observe(cached)
	s.result.onlineDone(r.request, s.clock.now+s.config.Deployment.Network.Client, cached, prompt)
}

// broken sends the request to another engine, from where the client is.
func (r *onlineRequest) broken() {
	r.gateway.placement.observe(r, routing.OutcomeFailed)
	r.release()
	r.tried = append(r.tried, r.engine.name)
	r.gateway.setUnusable(r.engine.index, true)
	r.gateway.node.simulation.result.OnlineRetried++
	r.gateway.send(r)
}

func (r *onlineRequest) release() {
	s := r.gateway.node.simulation
	r.gateway.inFlight[r.engine.index]--
	id := r.id()
	home := s.believedHome(r.gateway.node, r.engine.index)
	if home != nil {
		s.after(s.latency(r.gateway.node.zone, home.node.zone), func() { home.onlineFinished(id) })
	}
}
