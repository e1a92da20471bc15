package sim

import (
	"time"

	"chutelock.dev/chutelock/internal/lab/arrivals"
)

// FluidBound is an upper bound on the batch tokens that any scheduler can
// produce between the warm-up and the end beside the recorded online work. It
// takes every step as full (MaxRunning streams), harm to online as allowed,
// prefixes as cached, and work as divisible, so that only the step-time model,
// the online work itself and the arrival of items limit it:
//
//	batch tokens × (base/slots + sequence + prefill tokens each × prefill)
//	  ≤ time − online tokens × (base/slots + sequence) − online prefill × prefill
//
// for each engine and second, and no more than what has arrived.
func FluidBound(config Config, seed uint64, recording *Recording) float64 {
	bins := int(config.Duration / bin)
	first := int(config.Warmup / bin)
	offered := offeredTokens(config, seed, bins)
	bound := offered[bins-1]
	later := 0.0
	for second := bins - 1; second >= first; second-- {
		later += freeTokens(config, recording, second)
		before := 0.0
		if second > 0 {
			before = offered[second-1]
		}
		// Everything offered before this second, and all capacity from it on.
		bound = min(bound, before+later)
		if second == first {
			bound = min(bound, offered[bins-1], later)
		}
	}
	return bound
}

// freeTokens is what all engines could add in one second.
func freeTokens(config Config, recording *Recording, second int) float64 {
	shape := config.Deployment.Engine
	slotTime := shape.StepBase.Seconds()/float64(shape.MaxRunning) + shape.StepPerSequence.Seconds()
	prefill := shape.StepPerPrefillToken.Seconds()
	prompts := config.Batch.Prompts
	ownPerToken := prompts.OwnTokens.Mean() / max(1, prompts.OutputTokens.Mean())
	total := 0.0
	for _, bins := range recording.bins {
		work := bins[second]
		free := bin.Seconds() - float64(work.tokens)*slotTime - float64(work.prefilled)*prefill
		total += max(0, free) / (slotTime + ownPerToken*prefill)
	}
	return total
}

// offeredTokens is the output tokens of all items that have arrived by the
// end of each second.
func offeredTokens(config Config, seed uint64, bins int) []float64 {
	offered := make([]float64, bins)
	for _, job := range arrivals.NewBatch(config.Batch, seed, time.Duration(bins)*bin) {
		for _, item := range job.Items {
			for second := int(job.At / bin); second < bins; second++ {
				offered[second] += float64(item.OutputTokens)
			}
		}
	}
	return offered
}

// FeasibleDeadlines counts the items whose deadline ends within the run and
// that the fluid bound's capacity can finish in time, earliest deadline first.
// Like the bound it ignores harm to online, so that it errs on the strict side.
func FeasibleDeadlines(config Config, seed uint64, recording *Recording) int {
	jobs := arrivals.NewBatch(config.Batch, seed, config.Duration)
	pool := newItemPool(true)
	feasible, next := 0, 0
	for second := range int(config.Duration / bin) {
		for next < len(jobs) && jobs[next].At <= time.Duration(second)*bin {
			pool.addJob(jobs[next])
			next++
		}
		feasible += pool.serve(freeTokens(config, recording, second), time.Duration(second)*bin, config.Duration)
	}
	return feasible
}

// serve spends tokens on the items with the least slack and counts those that
// are done in time for a deadline within the run.
func (p *itemPool) serve(tokens float64, now, end time.Duration) int {
	inTime := 0
	for tokens > 0 {
		served := p.take()
		if served == nil {
			return inTime
		}
		missing := served.request.OutputTokens - served.progress
		if float64(missing) > tokens {
			served.progress += int(tokens)
			p.put(served)
			return inTime
		}
		tokens -= float64(missing)
		served.done = true
		if served.deadline > 0 && served.deadline <= end && now < served.deadline {
			inTime++
		}
	}
	return inTime
}
