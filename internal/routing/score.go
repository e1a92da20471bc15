package routing

import (
	"math"
	"slices"
)

// loadScorer prefers endpoints with low Candidate.Pressure: this node's own
// streams and, discounted by the report's age, the waiting online requests and
// other nodes' streams far above the peers' mean. A stale or missing report counts
// as the mean, so that unknown endpoints don't draw all requests. Batch doesn't
// count: it is preempted by online, and its lagging numbers would raise the tail
// latency. Score: 1 without pressure, 0.5 where it is 1 + the mean load.
type loadScorer struct{}

func (loadScorer) Name() string { return "load" }

func (loadScorer) Score(view *View, candidates []Candidate, weight float64, scores []float64) {
	scale := 1 / (1 + view.MeanLoad)
	for i := range candidates {
		scores[i] += weight / (1 + candidates[i].Pressure*scale)
	}
}

// kvHighWatermark is the KV cache utilization above which the score falls.
const kvHighWatermark = 0.8

// kvScorer avoids endpoints whose KV cache is nearly full, which would preempt
// streams. Load.KVUse counts less with age, and not at all if the report is
// missing. Score: 1 up to the high watermark, 0 when full.
type kvScorer struct{}

func (kvScorer) Name() string { return "kv" }

func (kvScorer) Score(_ *View, candidates []Candidate, weight float64, scores []float64) {
	for i := range candidates {
		excess := max(0, min(1, (candidates[i].Endpoint.Load.KVUse-kvHighWatermark)/(1-kvHighWatermark)))
		scores[i] += weight * (1 - excess*candidates[i].Freshness)
	}
}

// adapterScorer prefers endpoints that have the adapter loaded. The age of
// Load.Adapters doesn't matter, as they seldom change; an endpoint without a
// report counts as not having it. Score: 1 or 0.
type adapterScorer struct{}

func (adapterScorer) Name() string { return "adapter" }

func (adapterScorer) Score(view *View, candidates []Candidate, weight float64, scores []float64) {
	if view.Request.Adapter == "" {
		return
	}
	for i := range candidates {
		if slices.Contains(candidates[i].Endpoint.Load.Adapters, view.Request.Adapter) {
			scores[i] += weight
		}
	}
}

// healthScorer avoids endpoints that failed recently and aren't ejected: one that
// rejects at once has no load and would otherwise draw all requests. This node's
// consecutive failures decay with age. Score: 1 without failures, 0.5 after one,
// towards 0 after more.
type healthScorer struct{}

func (healthScorer) Name() string { return "health" }

func (healthScorer) Score(view *View, candidates []Candidate, weight float64, scores []float64) {
	halfLife := float64(view.config.Outliers.FailureHalfLife)
	for i := range candidates {
		state := candidates[i].state
		if state.failures == 0 {
			scores[i] += weight
			continue
		}
		decayed := float64(state.failures) * math.Exp2(-float64(view.Now.Sub(state.lastFailure))/halfLife)
		scores[i] += weight / (1 + decayed)
	}
}

// Scores of the zoneScorer.
const (
	scoreSameZone   = 1.0
	scoreSameRegion = 0.9
)

// zoneScorer prefers near endpoints. Score: 1 in this node's zone, 0.9 in its
// region, otherwise 0.
type zoneScorer struct{}

func (zoneScorer) Name() string { return "zone" }

func (zoneScorer) Score(view *View, candidates []Candidate, weight float64, scores []float64) {
	for i := range candidates {
		switch endpoint := candidates[i].Endpoint; {
		case endpoint.Zone == view.Zone:
			scores[i] += weight * scoreSameZone
		case endpoint.Region == view.Region:
			scores[i] += weight * scoreSameRegion
		}
	}
}

// prefixScorer prefers endpoints that have the prompt's prefix cached. It uses
// this node's prefixTable and a rendezvous ranking of the endpoints that is the
// same on all nodes. An unknown prefix is scored by the ranking alone, with a
// small share. Score: the share of the prompt expected to be cached; 0 over the
// load bound.
type prefixScorer struct {
	plan     plan
	expected []float64
}

func (*prefixScorer) Name() string { return "prefix" }

func (s *prefixScorer) Score(view *View, candidates []Candidate, weight float64, scores []float64) {
	s.expected = s.expected[:0]
	keys := view.Request.Prefix
	if len(keys) > MaxPrefixKeys {
		keys = keys[:MaxPrefixKeys]
	}
	if len(keys) == 0 || view.prefixes == nil {
		return
	}
	view.prefixes.fillPlan(view.Now, keys, len(candidates), &s.plan)
	s.expected = slices.Grow(s.expected, len(candidates))[:len(candidates)]
	bound := view.config.LoadBoundFactor*view.MeanLoad + view.config.LoadBoundSlack
	s.scoreHolders(keys, candidates, bound)
	s.scoreRanked(candidates, bound)
	value := weight * view.prefixValue()
	for i := range candidates {
		scores[i] += value * s.expected[i]
	}
}

// prefixValue returns the value, from 0 to 1, of a fully cached prompt.
func (v *View) prefixValue() float64 {
	tokens := float64(v.Request.PromptTokens)
	if tokens <= 0 {
		return 1
	}
	half := float64(v.config.PrefixHalfTokens)
	return tokens * tokens / (tokens*tokens + half*half)
}

// scoreHolders rates endpoints that this node sent the prefix to.
func (s *prefixScorer) scoreHolders(keys []uint64, candidates []Candidate, bound float64) {
	holders, depths, count := s.deepestHolders()
	for i := range candidates {
		s.expected[i] = 0
		if candidates[i].Load > bound {
			continue
		}
		for k, holder := range holders[:count] {
			if holder == candidates[i].hash {
				s.expected[i] = holderDiscount * float64(depths[k]) / float64(len(keys))
				break
			}
		}
	}
}

// maxHolders is the maximum number of endpoints rated as holders of one prompt.
const maxHolders = 4

// deepestHolders returns the endpoints that hold most of the prompt and how many
// of its keys each holds.
func (s *prefixScorer) deepestHolders() (holders [maxHolders]uint64, depths [maxHolders]int, count int) {
	for depth := s.plan.known; depth > 0; depth-- {
		for _, holder := range s.plan.entries[depth-1].holders {
			if holder == 0 || slices.Contains(holders[:count], holder) {
				continue
			}
			holders[count], depths[count] = holder, depth
			if count++; count == maxHolders {
				return holders, depths, count
			}
		}
	}
	return holders, depths, count
}

// scoreRanked rates the endpoints with the highest rendezvous weights for the
// plan's anchor among those under the load bound.
func (s *prefixScorer) scoreRanked(candidates []Candidate, bound float64) {
	replicas := s.plan.replicas
	var best [maxReplicas]int
	var weights [maxReplicas]uint64
	count := 0
	for i := range candidates {
		if candidates[i].Load > bound {
			continue
		}
		weight := rendezvousWeight(s.plan.anchor, candidates[i].hash)
		position := count
		for position > 0 && weight > weights[position-1] {
			position--
		}
		if position >= replicas {
			continue
		}
		if count < replicas {
			count++
		}
		copy(weights[position+1:count], weights[position:count-1])
		copy(best[position+1:count], best[position:count-1])
		weights[position], best[position] = weight, i
	}
	for _, i := range best[:count] {
		s.expected[i] = max(s.expected[i], s.plan.share)
	}
}
