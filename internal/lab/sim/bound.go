package sim

import (
	"time"

	"chutelock.dev/chutelock/internal/lab/arrivals"
)

// FluidBound returns an upper bound on the batch tokens that any scheduler can
// produce after the warm-up in addition to the recorded online work. It assumes
// full steps (MaxRunning streams), cached prefixes and divisible work, and
// ignores harm to online requests. For each engine and second:
//
//	batch tokens × (base/slots + sequence + prefill tokens each × prefill)
//	  ≤ time − online tokens × (base/slots + sequence) − online prefill × prefill
//
// Tokens are limited to those of items that have arrived.
func FluidBound(config Config, seed uint64, recording *Recording) float64 {
	bins := int(config.Duration / binWidth)
	first := int(config.Warmup / binWidth)
	offered := offeredTokens(config, seed, bins)
	bound := offered[bins-1]
	capacity := 0.0
	for second := bins - 1; second >= first; second-- {
		capacity += freeTokens(config, recording, second)
		offeredBefore := 0.0
		if second > 0 {
			offeredBefore = offered[second-1]
		}
		// All tokens offered before this second, plus all capacity from then on.
		bound = min(bound, offeredBefore+capacity)
		if second == first {
			bound = min(bound, offered[bins-1], capacity)
		}
	}
	return bound
}

// freeTokens returns the batch tokens that all engines could produce in a second.
func freeTokens(config Config, recording *Recording, second int) float64 {
	shape := config.Deployment.Engine
	slotTime := shape.StepBase.Seconds()/float64(shape.MaxRunning) + shape.StepPerSequence.Seconds()
	prefill := shape.StepPerPrefillToken.Seconds()
	prompts := config.Batch.Prompts
	ownPerToken := prompts.OwnTokens.Mean() / max(1, prompts.OutputTokens.Mean())
	total := 0.0
	for _, bins := range recording.bins {
		online := bins[second]
		free := binWidth.Seconds() - float64(online.outputTokens)*slotTime - float64(online.prefilledTokens)*prefill
		total += max(0, free) / (slotTime + ownPerToken*prefill)
	}
	return total
}

// offeredTokens returns, for each second, the output tokens of all items that
// have arrived by its end.
func offeredTokens(config Config, seed uint64, bins int) []float64 {
	offered := make([]float64, bins)
	for _, job := range arrivals.NewBatch(config.Batch, seed, time.Duration(bins)*binWidth) {
		for _, item := range job.Items {
			for second := int(job.At / binWidth); second < bins; second++ {
				offered[second] += float64(item.OutputTokens)
			}
		}
	}
	return offered
}

// FeasibleDeadlines returns how many items with a deadline within the run can
// meet it with the capacity of FluidBound, earliest deadline first. Like the
// bound it ignores harm to online requests, so it may count too many.
func FeasibleDeadlines(config Config, seed uint64, recording *Recording) int {
	jobs := arrivals.NewBatch(config.Batch, seed, config.Duration)
	pool := newItemPool(true)
	feasible, next := 0, 0
	for second := range int(config.Duration / binWidth) {
		for next < len(jobs) && jobs[next].At <= time.Duration(second)*binWidth {
			pool.addJob(jobs[next])
			next++
		}
		feasible += pool.spendTokens(freeTokens(config, recording, second), time.Duration(second)*binWidth, config.Duration)
	}
	return feasible
}

// spendTokens runs items with a budget of tokens, earliest deadline first, and
// returns how many of them meet a deadline within the run.
func (p *itemPool) spendTokens(tokens float64, now, end time.Duration) int {
	inTime := 0
	for tokens > 0 {
		served := p.next()
		if served == nil {
			return inTime
		}
		missing := served.request.OutputTokens - served.retainedTokens
		if float64(missing) > tokens {
			served.retainedTokens += int(tokens)
			p.enqueue(served)
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
