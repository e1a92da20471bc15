package sim

import (
	"time"
)

// clairvoyantMargin is how close to an arrival a shortened step may end.
const clairvoyantMargin = 50 * time.Microsecond

// limitBatch sets aside batch streams for the step that starts now: a step
// with a prefill of an online request runs alone, a step never runs into the
// next online arrival, and its length stays below the recorded run's bound on
// the time between tokens. It acts at once and for free, which no real home
// can.
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
	online := 0
	for id, to := range e.streams {
		if to.batch() {
			continue
		}
		online++
		if emitted, known := e.scheduler.Emitted(id); known && emitted == 0 {
			return 0, 0
		}
	}
	bound := e.simulation.plan.stepBound
	if online == 0 {
		bound = maxIdleStep
	}
	if next, ok := e.nextArrival(); ok {
		bound = min(bound, next-e.simulation.clock.now-clairvoyantMargin)
	}
	return bound - shape.StepBase - time.Duration(online)*shape.StepPerSequence, shape.MaxRunning - online
}

// maxIdleStep bounds a step that no online request sees.
const maxIdleStep = time.Second

// nextArrival is the next recorded online arrival at this engine.
func (e *emulatedEngine) nextArrival() (time.Duration, bool) {
	recorded := e.simulation.plan.arrivals[e.index]
	for e.nextRecorded < len(recorded) && recorded[e.nextRecorded] <= e.simulation.clock.now {
		e.nextRecorded++
	}
	if e.nextRecorded >= len(recorded) {
		return 0, false
	}
	return recorded[e.nextRecorded], true
}
