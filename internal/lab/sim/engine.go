package sim

import (
	"fmt"
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/lab/arrivals"
	"chutelock.dev/chutelock/internal/standin/engine/scheduler"
)

// receiver handles an engine's events for one stream.
type receiver interface {
	zone() int
	handleToken(index int)
	handleFinished(cached, prompt int)
	handleFailure()
	isBatch() bool
}

// simEngine runs the stand-in engine's scheduler in virtual time.
type simEngine struct {
	simulation *simulation
	name       string
	index      int
	zone       int
	scheduler  *scheduler.Scheduler
	streams    map[string]receiver
	stepping   bool
	// incarnation increases when the engine dies, which invalidates its pending
	// step timer.
	incarnation    int
	dead           bool
	leaving        bool
	reportsStopped bool
	slowdown       float64
	// suspended has the batch streams that limitBatch suspended for this step.
	suspended  []string
	batchOrder []string
}

func newEngine(s *simulation, index, zone int) *simEngine {
	created := &simEngine{
		simulation: s,
		name:       fmt.Sprintf("engine-%02d", index),
		index:      index,
		zone:       zone,
		scheduler:  scheduler.New(s.config.Deployment.Engine.schedulerConfig()),
		streams:    map[string]receiver{},
		slowdown:   1,
	}
	// Spread the reports of engines evenly over the interval.
	offset := s.config.Deployment.Reports.Every * time.Duration(index) / time.Duration(s.config.engines())
	s.after(offset, created.report)
	return created
}

// submit queues a stream. If the engine can't accept it, the receiver gets
// handleFailure after the network latency.
func (e *simEngine) submit(sequence scheduler.Sequence, to receiver) {
	if e.dead {
		e.send(to, to.handleFailure)
		return
	}
	if err := e.scheduler.Submit(e.simulation.now(), sequence); err != nil {
		e.send(to, to.handleFailure)
		return
	}
	e.streams[sequence.ID] = to
	if to.isBatch() && e.simulation.policy.Kind == PolicyClairvoyant {
		e.batchOrder = append(e.batchOrder, sequence.ID)
	}
	e.startStepping()
}

func (e *simEngine) send(to receiver, deliver func()) {
	e.simulation.after(e.simulation.latency(e.zone, to.zone()), deliver)
}

func (e *simEngine) cancel(id string) {
	delete(e.streams, id)
	_ = e.scheduler.Cancel(id) // an unknown stream has already ended
}

// suspend reports whether the stream was suspended.
func (e *simEngine) suspend(id string) bool {
	return !e.dead && e.scheduler.Suspend(id) == nil
}

func (e *simEngine) resume(id string) bool {
	emitted, known := e.scheduler.Emitted(id)
	if e.dead || !known || e.scheduler.Resume(e.simulation.now(), id, emitted) != nil {
		return false
	}
	e.startStepping()
	return true
}

func (e *simEngine) startStepping() {
	if !e.stepping && !e.dead {
		e.step()
	}
}

func (e *simEngine) step() {
	if e.simulation.policy.Kind == PolicyClairvoyant {
		e.limitBatch()
	}
	result := e.scheduler.Step(e.simulation.now())
	e.stepping = !result.Idle
	if result.Idle {
		return
	}
	tokens := slices.Clone(result.Tokens)
	finished := slices.Clone(result.Finished)
	e.simulation.result.countStep(result)
	if e.simulation.policy.Kind == PolicyNone {
		e.simulation.recording.recordWork(e.index, e.simulation.clock.now, len(tokens), result.Prefilled)
	}
	incarnation := e.incarnation
	duration := time.Duration(float64(result.Duration) * e.slowdown)
	e.simulation.after(duration, func() {
		if e.incarnation != incarnation {
			return
		}
		e.deliver(tokens, finished)
		e.step()
	})
}

func (e *simEngine) deliver(tokens []scheduler.Token, finished []scheduler.Finished) {
	for _, token := range tokens {
		if to := e.streams[token.ID]; to != nil {
			e.simulation.result.countToken(to.isBatch())
			e.send(to, func() { to.handleToken(token.Index) })
		}
	}
	for _, done := range finished {
		if to := e.streams[done.ID]; to != nil {
			delete(e.streams, done.ID)
			e.send(to, func() { to.handleFinished(done.CachedTokens, done.PromptTokens) })
		}
	}
}

// report sends the engine's load to all gateways and its homes after Reports.Lag.
func (e *simEngine) report() {
	s := e.simulation
	s.after(s.config.Deployment.Reports.Every, e.report)
	if e.dead || e.reportsStopped {
		return
	}
	load := e.load()
	s.after(s.config.Deployment.Reports.Lag, func() {
		for _, node := range s.nodes {
			node.gateway.handleReport(e.index, load)
		}
		for _, home := range s.liveHomes(e.index) {
			home.handleReport(load)
		}
	})
}

func (e *simEngine) load() engine.Load {
	load := e.scheduler.Load()
	return engine.Load{
		At:            e.simulation.now(),
		Running:       load.Running,
		Waiting:       load.Waiting,
		RunningBatch:  load.RunningBatch,
		WaitingBatch:  load.WaitingBatch,
		KVUse:         load.KVUse(),
		TokensPerStep: float64(load.StepTokens),
		StepTime:      load.StepTime,
		Draining:      e.leaving,
	}
}

// die drops all streams; their receivers get handleFailure.
func (e *simEngine) die() {
	e.dead = true
	e.stepping = false
	e.incarnation++
	lost := e.streams
	e.streams = map[string]receiver{}
	e.scheduler.Reset()
	for _, id := range sortedKeys(lost) {
		e.send(lost[id], lost[id].handleFailure)
	}
}

func (e *simEngine) restart() { e.dead = false }

// newSequence returns the scheduler's description of a request.
func newSequence(id string, priority int, request arrivals.Request, blockTokens int) scheduler.Sequence {
	return scheduler.Sequence{
		ID:           id,
		Priority:     priority,
		PromptTokens: request.PromptTokens(),
		PrefixHashes: prefixHashes(request, blockTokens),
		MaxTokens:    request.OutputTokens,
	}
}

func sortedKeys[V any](table map[string]V) []string {
	keys := make([]string, 0, len(table))
	for key := range table {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
