package sim

import (
	"time"
)

// limitBatch sets aside batch streams for the step that starts now. It acts at
// once and for free, which no real home can, and knows exactly what the step
// holds, which no real home does: no step that online sees is longer than the
// recorded run's bound, and no step with more online streams than the policy's
// price allows runs batch at all.
func (e *emulatedEngine) limitBatch() {
	now := e.simulation.now()
	for _, id := range e.parked {
		if emitted, known := e.scheduler.Emitted(id); known {
			_ = e.scheduler.Resume(now, id, emitted) // still suspended: nobody else resumes
		}
	}
	e.parked = e.parked[:0]
	spare, slots := e.spareStep()
	for _, id := range e.batchStreams() {
		cost := e.stepCost(id)
		if cost <= spare && slots > 0 {
			spare -= cost
			slots--
			continue
		}
		if e.scheduler.Suspend(id) == nil {
			e.parked = append(e.parked, id)
		}
	}
}

// batchStreams lists the batch streams here, in order of admission.
func (e *emulatedEngine) batchStreams() []string {
	kept := e.batchOrder[:0]
	for _, id := range e.batchOrder {
		if e.streams[id] != nil {
			kept = append(kept, id)
		}
	}
	e.batchOrder = kept
	return kept
}

// stepCost is what a batch stream adds to a step.
func (e *emulatedEngine) stepCost(id string) time.Duration {
	shape := e.simulation.config.Deployment.Engine
	cost := shape.StepPerSequence
	if emitted, _ := e.scheduler.Emitted(id); emitted > 0 {
		return cost
	}
	stream, isBatch := e.streams[id].(*batchStream)
	if !isBatch {
		return cost
	}
	return cost + time.Duration(stream.item.request.OwnTokens)*shape.StepPerPrefillToken
}

// spareStep is the time and the slots that the coming step has for batch.
func (e *emulatedEngine) spareStep() (time.Duration, int) {
	shape := e.simulation.config.Deployment.Engine
	online, prefill := e.onlineLoad()
	slots := shape.MaxRunning - online
	if online == 0 {
		return maxIdleStep, slots
	}
	weight := e.simulation.policy.Price * float64(online) / float64(max(1, slots))
	if prefill > 0 && weight > 1 {
		return 0, 0
	}
	if prefill == 0 {
		slots = int(float64(slots) * min(1, max(0, 2-weight)))
	}
	work := time.Duration(online)*shape.StepPerSequence + time.Duration(min(prefill, shape.TokenBudget))*shape.StepPerPrefillToken
	return e.simulation.plan.stepBound - shape.StepBase - work, slots
}

// onlineLoad counts online streams, and the tokens that they have to prefill.
func (e *emulatedEngine) onlineLoad() (streams, prefill int) {
	for id, to := range e.streams {
		request, isOnline := to.(*onlineRequest)
		if !isOnline {
			continue
		}
		streams++
		if emitted, known := e.scheduler.Emitted(id); known && emitted == 0 {
			prefill += request.request.OwnTokens
		}
	}
	return streams, prefill
}

// maxIdleStep bounds a step that no online request sees.
const maxIdleStep = time.Second
