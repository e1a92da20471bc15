package sim

import (
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/lab/arrivals"
)

// epoch is the wall time at which virtual time starts.
var epoch = time.Unix(1_700_000_000, 0)

// tickEvery is how often homes are told that time passes.
const tickEvery = 5 * time.Millisecond

// harmGoal is the harm that batch work may do at the 99th percentile.
const harmGoal = 1.05

// seedSimulation separates the simulation's own random choices from traffic.
const seedSimulation = 0x73696d

// simulation is the state of one run. It is single-threaded.
type simulation struct {
	clock
	config  Config
	policy  Policy
	random  *rand.Rand
	engines []*emulatedEngine
	nodes   []*node
	// homes[i] is the home that gateways of even numbers believe in for engine
	// i; rivals[i] is the one the others believe in, nil but under FaultTwoHomes.
	homes  []*home
	rivals []*home
	pool   *itemPool
	online *arrivals.OnlineStream
	result *Result
	plan   *Recording
	record *Recording
}

// Run runs one policy on the traffic of a seed. The recording of a run of
// PolicyNone on the same traffic is needed by PolicyClairvoyant only.
func Run(config Config, policy Policy, seed uint64, recording *Recording) (*Result, error) {
	s := &simulation{
		config: config,
		policy: policy,
		random: rand.New(rand.NewPCG(seed, seedSimulation)),
		pool:   newItemPool(policy.deadlineOrder()),
		online: arrivals.NewOnline(config.Online, seed),
		result: newResult(policy.Name, seed),
		plan:   recording,
		record: newRecording(config),
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
	s.finish()
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

// assignHomes gives each engine a home in its own zone, in turn.
func (s *simulation) assignHomes() error {
	s.homes = make([]*home, len(s.engines))
	s.rivals = make([]*home, len(s.engines))
	for _, engine := range s.engines {
		candidates := s.nodesOf(engine.zone)
		home, err := s.newHome(candidates[engine.index%len(candidates)], engine)
		if err != nil {
			return err
		}
		s.homes[engine.index] = home
	}
	return nil
}

func (s *simulation) nodesOf(zone int) []*node {
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
		for _, home := range s.homesOf(engine.index) {
			home.tick()
		}
	}
}

// homesOf lists the live homes of an engine: usually one.
func (s *simulation) homesOf(engine int) []*home {
	var live []*home
	for _, home := range []*home{s.homes[engine], s.rivals[engine]} {
		if home != nil && !home.dead {
			live = append(live, home)
		}
	}
	return live
}

func (s *simulation) finish() {
	s.result.stopMeasuring()
	for _, engine := range s.engines {
		load := engine.scheduler.Load()
		s.result.EnginePreemptions += int(load.Preempted)
	}
	s.pool.countDeadlines(s.config.Duration, s.result)
	s.record.stepBound = time.Duration(harmGoal * float64(s.result.BetweenTokens.ValueAtQuantile(99)))
	s.result.Recording = s.record
}
