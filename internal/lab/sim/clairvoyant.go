package sim

import (
	"time"
)

// limitBatch suspends batch streams for the coming step, so that a step with
// online streams does not exceed the recorded step bound, nor has more batch
// streams than Policy.Price allows. Suspending takes no time and costs nothing.
func (e *simEngine) limitBatch() {
	now := e.simulation.now()
	for _, id := range e.suspended {
		if emitted, known := e.scheduler.Emitted(id); known {
			_ = e.scheduler.Resume(now, id, emitted) // can't fail: only limitBatch resumes these
		}
	}
	e.suspended = e.suspended[:0]
	budget, slots := e.batchBudget()
	for _, id := range e.batchStreams() {
		cost := e.stepCost(id)
		if cost <= budget && slots > 0 {
			budget -= cost
			slots--
			continue
		}
		if e.scheduler.Suspend(id) == nil {
			e.suspended = append(e.suspended, id)
		}
	}
}

// batchStreams returns the engine's batch streams in order of submission.
func (e *simEngine) batchStreams() []string {
	kept := e.batchOrder[:0]
	for _, id := range e.batchOrder {
		if e.streams[id] != nil {
			kept = append(kept, id)
		}
	}
	e.batchOrder = kept
	return kept
}

// stepCost returns the time that a batch stream adds to a step.
func (e *simEngine) stepCost(id string) time.Duration {
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

// batchBudget returns the time and the slots for batch streams in the coming step.
func (e *simEngine) batchBudget() (time.Duration, int) {
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
	return e.simulation.baseline.stepBound - shape.StepBase - work, slots
}

// onlineLoad returns the number of online streams and the tokens they have to prefill.
func (e *simEngine) onlineLoad() (streams, prefill int) {
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

// maxIdleStep is the maximum duration of a step without online streams.
const maxIdleStep = time.Second
