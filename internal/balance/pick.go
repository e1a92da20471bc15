package balance

import (
	"sort"

	"chutelock.dev/chutelock/internal/catalog"
)

// scoredEngine is an engine with its score: the share of its slots in use, with
// penalties and bonuses in the same unit.
type scoredEngine struct {
	engine catalog.Engine
	score  float64
}

// pick chooses an engine for one of so many requests that nodes send by the
// same figures before they hear of each other's. If all of these went to the
// engine of the least score, it would be full and the others idle. So the
// requests are thought to fill the engines up to one common score, and each
// engine is chosen with the probability of being the place of one of them.
// With one request, only engines within one request of the least are chosen.
//
// draw is uniform in [0, 1); engines must not be empty and is sorted by score.
func pick(engines []scoredEngine, requests, draw float64) catalog.Engine {
	sort.SliceStable(engines, func(i, j int) bool { return engines[i].score < engines[j].score })
	level, filled := fill(engines, requests)
	rest := draw * requests
	for _, one := range engines[:filled] {
		rest -= (level - one.score) * float64(max(one.engine.Slots, 1))
		if rest < 0 {
			return one.engine
		}
	}
	return engines[filled-1].engine // rounding
}

// fill returns the score up to which so many requests fill the engines, and how
// many engines lie below it; engines are sorted by score.
func fill(engines []scoredEngine, requests float64) (level float64, filled int) {
	slots, weighted := 0.0, 0.0
	for i, one := range engines {
		count := float64(max(one.engine.Slots, 1))
		slots += count
		weighted += one.score * count
		level = (requests + weighted) / slots
		if i+1 == len(engines) || level <= engines[i+1].score {
			return level, i + 1
		}
	}
	return level, len(engines)
}
