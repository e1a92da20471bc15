package sim

import (
	"fmt"
	"time"

	"chutelock.dev/chutelock/internal/admission/batch"
	"chutelock.dev/chutelock/internal/engine"
)

// home is the batch role of a node for one engine: it runs the policy and
// does what it says.
type home struct {
	node    *node
	engine  *emulatedEngine
	policy  batch.Policy
	streams map[string]*batchStream
	// cached estimates the prefill of batch items.
	cached cachedEstimate
	dead   bool
}

// batchStream is an item at an engine.
type batchStream struct {
	home     *home
	item     *item
	id       string
	received int
	ended    bool
}

var _ receiver = (*batchStream)(nil)

func (s *simulation) newHome(node *node, engine *emulatedEngine) (*home, error) {
	policy, err := s.policy.admission(s.config.Deployment.Engine)
	if err != nil {
		return nil, err
	}
	created := &home{node: node, engine: engine, policy: policy, streams: map[string]*batchStream{}}
	if s.policy.Kind != PolicyNone && s.policy.batchEngine(engine.index, s.config.engines()) {
		created.tickForever()
	}
	return created, nil
}

func (h *home) latency() time.Duration {
	return h.node.simulation.latency(h.node.zone, h.engine.zone)
}

func (h *home) tickForever() {
	if h.dead {
		return
	}
	h.tick()
	h.node.simulation.after(tickEvery, h.tickForever)
}

func (h *home) tick() { h.step(batch.Event{Kind: batch.EventTick}) }

func (h *home) onlineStarted(id string, promptTokens int) {
	h.step(batch.Event{Kind: batch.EventOnlineStarted, Stream: id, PromptTokens: promptTokens})
}

func (h *home) onlineFinished(id string) {
	h.step(batch.Event{Kind: batch.EventOnlineFinished, Stream: id})
}

func (h *home) reported(load engine.Load) {
	h.step(batch.Event{Kind: batch.EventLoad, Load: load})
}

// step hands an event to the policy and carries out its actions.
func (h *home) step(event batch.Event) {
	s := h.node.simulation
	if h.dead || s.policy.Kind == PolicyNone || !s.policy.batchEngine(h.engine.index, len(s.engines)) {
		return
	}
	event.Engine = h.engine.name
	for _, action := range h.policy.Step(s.now(), event) {
		h.act(action)
	}
}

func (h *home) act(action batch.Action) {
	switch action.Kind {
	case batch.ActionAdmit:
		for range action.Count {
			if !h.admit() {
				return
			}
		}
	case batch.ActionSuspend:
		h.suspend(action.Stream)
	case batch.ActionResume:
		h.resume(action.Stream)
	case batch.ActionCancel:
		h.cancel(action.Stream)
	}
}

func (h *home) admit() bool {
	s := h.node.simulation
	item := s.pool.take()
	if item == nil {
		return false
	}
	item.attempts++
	stream := &batchStream{home: h, item: item, id: fmt.Sprintf("b%d-%d", item.request.Number, item.attempts)}
	h.streams[stream.id] = stream
	sequence := sequenceOf(stream.id, int(s.policy.priority()), item.request, s.config.Deployment.Engine.BlockTokens)
	s.after(h.latency(), func() { h.engine.submit(sequence, stream) })
	started := batch.Event{Kind: batch.EventBatchStarted, Stream: stream.id, PromptTokens: h.cached.prefill(item.request)}
	if item.deadline > 0 {
		started.Deadline = epoch.Add(item.deadline)
	}
	h.step(started)
	return true
}

func (h *home) suspend(id string) {
	s := h.node.simulation
	s.result.Suspensions++
	s.after(h.latency(), func() {
		if h.engine.suspend(id) {
			s.after(h.latency(), func() { h.suspended(id) })
		}
	})
}

func (h *home) suspended(id string) {
	if h.streams[id] != nil {
		h.step(batch.Event{Kind: batch.EventBatchEnded, Stream: id, Suspended: true})
	}
}

func (h *home) resume(id string) {
	s := h.node.simulation
	stream := h.streams[id]
	if stream == nil {
		return
	}
	s.after(h.latency(), func() {
		if !h.engine.resume(id) {
			s.after(h.latency(), stream.broken)
		}
	})
	h.step(batch.Event{Kind: batch.EventBatchStarted, Stream: id})
}

func (h *home) cancel(id string) {
	s := h.node.simulation
	stream := h.streams[id]
	if stream == nil {
		return
	}
	s.result.Cancellations++
	s.after(h.latency(), func() { h.engine.cancel(id) })
	h.end(stream)
	s.pool.giveBack(stream.item, s.result)
}

// end takes a stream off the books and tells the policy.
func (h *home) end(stream *batchStream) {
	stream.ended = true
	delete(h.streams, stream.id)
	h.step(batch.Event{Kind: batch.EventBatchEnded, Stream: stream.id})
}

// gone ends the home's role for the engine, as when the engine is known to
// leave or the role moved.
func (h *home) gone() {
	h.step(batch.Event{Kind: batch.EventEngineGone})
	for _, id := range sortedKeys(h.streams) {
		h.cancel(id)
	}
}

// die stops the home; its connections break, and its items are given out
// again when their leases have expired.
func (h *home) die() {
	s := h.node.simulation
	h.dead = true
	for _, id := range sortedKeys(h.streams) {
		stream := h.streams[id]
		stream.ended = true
		s.after(h.latency(), func() { h.engine.cancel(id) })
		s.after(s.config.Deployment.LeaseExpiry, func() { s.pool.giveBack(stream.item, s.result) })
	}
	h.streams = map[string]*batchStream{}
}

func (b *batchStream) receiverZone() int { return b.home.node.zone }

func (b *batchStream) batch() bool { return true }

func (b *batchStream) token(int) {
	if b.ended {
		return
	}
	b.received++
	b.item.progressed(b.received, b.home.node.simulation.result)
	b.home.step(batch.Event{Kind: batch.EventBatchToken, Stream: b.id})
}

func (b *batchStream) finished(cached, prompt int) {
	if b.ended {
		return
	}
	s := b.home.node.simulation
	b.home.cached.observe(cached)
	s.pool.finish(b.item, s.clock.now, s.result)
	b.home.end(b)
}

// broken hands the item back: the engine lost the stream or refused it.
func (b *batchStream) broken() {
	if b.ended {
		return
	}
	s := b.home.node.simulation
	b.home.end(b)
	s.pool.giveBack(b.item, s.result)
}
