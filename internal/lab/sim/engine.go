package sim

import (
	"fmt"
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/lab/arrivals"
	"chutelock.dev/chutelock/internal/standin/engine/scheduler"
)

// receiver gets what an engine sends about one stream.
type receiver interface {
	receiverZone() int
	token(index int)
	finished(cached, prompt int)
	broken()
	batch() bool
}

// emulatedEngine runs the stand-in's scheduler in virtual time.
type emulatedEngine struct {
	simulation *simulation
	name       string
	index      int
	zone       int
	scheduler  *scheduler.Scheduler
	streams    map[string]receiver
	stepping   bool
	// incarnation rises when the engine dies, so that timers of the dead one
	// do nothing.
	incarnation int
	dead        bool
	leaving     bool
	reportless  bool
	slowdown    float64
	// parked are batch streams that the clairvoyant set aside for one step.
	parked     []string
	batchOrder []string
}

func newEngine(s *simulation, index, zone int) *emulatedEngine {
	created := &emulatedEngine{
		simulation: s,
		name:       fmt.Sprintf("engine-%02d", index),
		index:      index,
		zone:       zone,
		scheduler:  scheduler.New(s.config.Deployment.Engine.scheduler()),
		streams:    map[string]receiver{},
		slowdown:   1,
	}
	// Reports of different engines are not in step.
	offset := s.config.Deployment.Reports.Every * time.Duration(index) / time.Duration(s.config.engines())
	s.after(offset, created.report)
	return created
}

// submit queues a stream; the receiver is told at once, after the network's
// latency, if the engine can't take it.
func (e *emulatedEngine) submit(sequence scheduler.Sequence, to receiver) {
	if e.dead {
		e.send(to, to.broken)
		return
	}
	if err := e.scheduler.Submit(e.simulation.now(), sequence); err != nil {
		e.send(to, to.broken)
		return
	}
	e.streams[sequence.ID] = to
	if to.batch() && e.simulation.policy.Kind == PolicyClairvoyant {
		e.batchOrder = append(e.batchOrder, sequence.ID)
	}
	e.wake()
}

func (e *emulatedEngine) send(to receiver, deliver func()) {
	e.simulation.after(e.simulation.latency(e.zone, to.receiverZone()), deliver)
}

func (e *emulatedEngine) cancel(id string) {
	delete(e.streams, id)
	_ = e.scheduler.Cancel(id) // unknown: it has ended already
}

// suspend says whether the stream was there to be suspended.
func (e *emulatedEngine) suspend(id string) bool {
	return !e.dead && e.scheduler.Suspend(id) == nil
}

func (e *emulatedEngine) resume(id string) bool {
	emitted, known := e.scheduler.Emitted(id)
	if e.dead || !known || e.scheduler.Resume(e.simulation.now(), id, emitted) != nil {
		return false
	}
	e.wake()
	return true
}

func (e *emulatedEngine) wake() {
	if !e.stepping && !e.dead {
		e.step()
	}
}

func (e *emulatedEngine) step() {
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
		e.simulation.record.work(e.index, e.simulation.clock.now, len(tokens), result.Prefilled)
	}
	incarnation := e.incarnation
	duration := time.Duration(float64(result.Duration) * e.slowdown)
	e.simulation.after(duration, func() {
		if e.incarnation != incarnation {
			return
		}
		e.emit(tokens, finished)
		e.step()
	})
}

func (e *emulatedEngine) emit(tokens []scheduler.Token, finished []scheduler.Finished) {
	for _, token := range tokens {
		if to := e.streams[token.ID]; to != nil {
			e.simulation.result.countToken(to.batch())
			e.send(to, func() { to.token(token.Index) })
		}
	}
	for _, done := range finished {
		if to := e.streams[done.ID]; to != nil {
			delete(e.streams, done.ID)
			e.send(to, func() { to.finished(done.CachedTokens, done.PromptTokens) })
		}
	}
}

// report sends the engine's load to all gateways and to its homes, late.
func (e *emulatedEngine) report() {
	s := e.simulation
	s.after(s.config.Deployment.Reports.Every, e.report)
	if e.dead || e.reportless {
		return
	}
	load := e.load()
	s.after(s.config.Deployment.Reports.Lag, func() {
		for _, node := range s.nodes {
			node.gateway.reported(e.index, load)
		}
		for _, home := range s.homesOf(e.index) {
			home.reported(load)
		}
	})
}

func (e *emulatedEngine) load() engine.Load {
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

// die loses all streams; their receivers see their connections break.
func (e *emulatedEngine) die() {
	e.dead = true
	e.stepping = false
	e.incarnation++
	lost := e.streams
	e.streams = map[string]receiver{}
	e.scheduler.Reset()
	for _, id := range sortedKeys(lost) {
		e.send(lost[id], lost[id].broken)
	}
}

func (e *emulatedEngine) revive() { e.dead = false }

// sequenceOf describes a request to the scheduler.
func sequenceOf(id string, priority int, request arrivals.Request, blockTokens int) scheduler.Sequence {
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
