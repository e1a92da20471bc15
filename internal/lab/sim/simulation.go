package sim

import (
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/lab/arrivals"
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_700_000_000, 0)

// tickInterval is the interval of a home's tick events.
const tickInterval = 5 * time.Millisecond

// harmGoal is the allowed p99 latency with batch work, relative to that without.
const harmGoal = 1.05

// seedSimulation, "sim" in ASCII, keeps random choices of the simulation independent of
// traffic.
const seedSimulation = 0x73696d

// simulation is the state of one run. It is not safe for concurrent use.
type simulation struct {
	clock
	config  Config
	policy  Policy
	random  *rand.Rand
	engines []*simEngine
	nodes   []*node
	// homes has the home of each engine: a node's batch role for it. Under FaultTwoHomes, duplicateHomes has
	// a second one, which gateways of odd-numbered nodes use; otherwise it has nil.
	homes          []*home
	duplicateHomes []*home
	pool           *itemPool
	online         *arrivals.OnlineStream
	result         *Result
	baseline       *Recording
	recording      *Recording
}

// Run runs one policy on the traffic of a seed. The recording of a PolicyNone run
// on the same traffic is required for PolicyClairvoyant only.
func Run(config Config, policy Policy, seed uint64, recording *Recording) (*Result, error) {
	s := &simulation{
		config:    config,
		policy:    policy,
		random:    rand.New(rand.NewPCG(seed, seedSimulation)),
		pool:      newItemPool(policy.ordersByDeadline()),
		online:    arrivals.NewOnline(config.Online, seed),
		result:    newResult(policy.Name, seed),
		baseline:  recording,
		recording: newRecording(config),
	}
	if policy.Kind == PolicyClairvoyant && recording == nil {
		return nil, trace.BadParameter("policy %q needs the recording of a run without batch work", policy.Name)
	}
	s.build()
	if err := s.assignHomes(); err != nil {
		return nil, trace.Wrap(err)
	}
	s.scheduleTraffic(seed)
	s.scheduleFaults()
	s.after(config.Warmup, s.result.startMeasuring)
	s.runUntil(config.Duration)
	s.collectResult()
	return s.result, nil
}

func (s *simulation) now() time.Time { return epoch.Add(s.clock.now) }

func (s *simulation) build() {
	for zone, settings := range s.config.Deployment.Zones {
		for range settings.Nodes {
			s.nodes = append(s.nodes, newNode(s, len(s.nodes), zone))
		}
		for range settings.Engines {
			s.engines = append(s.engines, newEngine(s, len(s.engines), zone))
		}
	}
	for _, node := range s.nodes {
		node.gateway = newGateway(node, len(s.engines))
	}
}

// assignHomes assigns engines round-robin to homes in their own zone.
func (s *simulation) assignHomes() error {
	s.homes = make([]*home, len(s.engines))
	s.duplicateHomes = make([]*home, len(s.engines))
	for _, engine := range s.engines {
		candidates := s.nodesInZone(engine.zone)
		home, err := s.newHome(candidates[engine.index%len(candidates)], engine)
		if err != nil {
			return err
		}
		s.homes[engine.index] = home
	}
	return nil
}

func (s *simulation) nodesInZone(zone int) []*node {
	var found []*node
	for _, node := range s.nodes {
		if node.zone == zone {
			found = append(found, node)
		}
	}
	return found
}

func (s *simulation) latency(from, to int) time.Duration {
	if from == to {
		return s.config.Deployment.Network.InZone
	}
	return s.config.Deployment.Network.BetweenZones
}

func (s *simulation) scheduleTraffic(seed uint64) {
	s.scheduleNextOnline()
	if s.policy.Kind == PolicyNone {
		return
	}
	for _, job := range arrivals.NewBatch(s.config.Batch, seed, s.config.Duration) {
		s.after(job.At, func() { s.acceptJob(job) })
	}
}

func (s *simulation) scheduleNextOnline() {
	request, ok := s.online.Next(s.config.Duration)
	if !ok {
		return
	}
	s.after(request.At-s.clock.now, func() {
		s.scheduleNextOnline()
		gateway := s.nodes[request.Number%len(s.nodes)].gateway
		s.after(s.config.Deployment.Network.Client, func() { gateway.accept(request) })
	})
}

func (s *simulation) acceptJob(job arrivals.Job) {
	s.pool.addJob(job)
	s.result.BatchItems += len(job.Items)
	for _, engine := range s.engines {
		for _, home := range s.liveHomes(engine.index) {
			home.tick()
		}
	}
}

// liveHomes returns the homes of an engine that are not dead.
func (s *simulation) liveHomes(engine int) []*home {
	var live []*home
	for _, home := range []*home{s.homes[engine], s.duplicateHomes[engine]} {
		if home != nil && !home.dead {
			live = append(live, home)
		}
	}
	return live
}

func (s *simulation) collectResult() {
	s.result.stopMeasuring()
	for _, engine := range s.engines {
		load := engine.scheduler.Load()
		s.result.EnginePreemptions += int(load.Preempted)
	}
	s.pool.countDeadlines(s.config.Duration, s.result)
	s.recording.stepBound = time.Duration(harmGoal * float64(s.result.BetweenTokens.ValueAtQuantile(99)))
	s.result.Recording = s.recording
}
