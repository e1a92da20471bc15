package sim

import (
	"fmt"
	"time"

	"chutelock.dev/chutelock/internal/admission/batch"
	"chutelock.dev/chutelock/internal/engine"
)

// home is a node's batch role for one engine: it runs the admission policy and
// applies its actions.
type home struct {
	node    *node
	engine  *simEngine
	policy  batch.Policy
	streams map[string]*batchStream
	// cachedTokens estimates the prefix cache hits of batch items.
	cachedTokens cachedEstimate
	dead         bool
}

// batchStream is an attempt to run an item at an engine.
type batchStream struct {
	home           *home
	item           *item
	id             string
	receivedTokens int
	ended          bool
}

var _ receiver = (*batchStream)(nil)

func (s *simulation) newHome(node *node, engine *simEngine) (*home, error) {
	policy, err := s.policy.newAdmission(s.config.Deployment.Engine)
	if err != nil {
		return nil, err
	}
	created := &home{node: node, engine: engine, policy: policy, streams: map[string]*batchStream{}}
	if s.policy.Kind != PolicyNone && s.policy.allowsBatch(engine.index, s.config.engines()) {
		created.scheduleTicks()
	}
	return created, nil
}

func (h *home) latency() time.Duration {
	return h.node.simulation.latency(h.node.zone, h.engine.zone)
}

func (h *home) scheduleTicks() {
	if h.dead {
		return
	}
	h.tick()
	h.node.simulation.after(tickInterval, h.scheduleTicks)
}

func (h *home) tick() { h.step(batch.Event{Kind: batch.EventTick}) }

func (h *home) handleOnlineStarted(id string, promptTokens int) {
	h.step(batch.Event{Kind: batch.EventOnlineStarted, Stream: id, PromptTokens: promptTokens})
}

func (h *home) handleOnlineFinished(id string) {
	h.step(batch.Event{Kind: batch.EventOnlineFinished, Stream: id})
}

func (h *home) handleReport(load engine.Load) {
	h.step(batch.Event{Kind: batch.EventLoad, Load: load})
}

// step passes an event to the policy and applies the resulting actions.
func (h *home) step(event batch.Event) {
	s := h.node.simulation
	if h.dead || s.policy.Kind == PolicyNone || !s.policy.allowsBatch(h.engine.index, len(s.engines)) {
		return
	}
	event.Engine = h.engine.name
	for _, action := range h.policy.Step(s.now(), event) {
		h.apply(action)
	}
}

func (h *home) apply(action batch.Action) {
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
	item := s.pool.next()
	if item == nil {
		return false
	}
	item.attempts++
	stream := &batchStream{home: h, item: item, id: fmt.Sprintf("b%d-%d", item.request.Number, item.attempts)}
	h.streams[stream.id] = stream
	sequence := newSequence(stream.id, int(s.policy.batchPriority()), item.request, s.config.Deployment.Engine.BlockTokens)
	s.after(h.latency(), func() { h.engine.submit(sequence, stream) })
	started := batch.Event{Kind: batch.EventBatchStarted, Stream: stream.id, PromptTokens: h.cachedTokens.prefill(item.request)}
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
			s.after(h.latency(), func() { h.handleSuspended(id) })
		}
	})
}

func (h *home) handleSuspended(id string) {
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
			s.after(h.latency(), stream.handleFailure)
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
	h.endStream(stream)
	s.pool.requeue(stream.item, s.result)
}

// endStream removes a stream and notifies the policy.
func (h *home) endStream(stream *batchStream) {
	stream.ended = true
	delete(h.streams, stream.id)
	h.step(batch.Event{Kind: batch.EventBatchEnded, Stream: stream.id})
}

// release ends the home's role for the engine and cancels all streams.
func (h *home) release() {
	h.step(batch.Event{Kind: batch.EventEngineGone})
	for _, id := range sortedKeys(h.streams) {
		h.cancel(id)
	}
}

// die crashes the home. The engine cancels its streams when the connections
// break, and its items are available again when their leases expire.
func (h *home) die() {
	s := h.node.simulation
	h.dead = true
	for _, id := range sortedKeys(h.streams) {
		stream := h.streams[id]
		stream.ended = true
		s.after(h.latency(), func() { h.engine.cancel(id) })
		s.after(s.config.Deployment.LeaseExpiry, func() { s.pool.requeue(stream.item, s.result) })
	}
	h.streams = map[string]*batchStream{}
}

func (b *batchStream) zone() int { return b.home.node.zone }

func (b *batchStream) isBatch() bool { return true }

func (b *batchStream) handleToken(int) {
	if b.ended {
		return
	}
	b.receivedTokens++
	b.item.recordProgress(b.receivedTokens, b.home.node.simulation.result)
	b.home.step(batch.Event{Kind: batch.EventBatchToken, Stream: b.id})
}

func (b *batchStream) handleFinished(cached, prompt int) {
	if b.ended {
		return
	}
	s := b.home.node.simulation
	b.home.cachedTokens.observe(cached)
	s.pool.complete(b.item, s.clock.now, s.result)
	b.home.endStream(b)
}

// handleFailure requeues the item after the engine lost or rejected the stream.
func (b *batchStream) handleFailure() {
	if b.ended {
		return
	}
	s := b.home.node.simulation
	b.home.endStream(b)
	s.pool.requeue(b.item, s.result)
}
