package balance

import (
	"math"
	"sort"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
)

// scoredEngine is an engine with its score; see Table.score.
type scoredEngine struct {
	engine catalog.Engine
	score  float64
}

// group holds engines whose load information has the same age.
type group struct {
	engines []scoredEngine
	// online is the number of peers' online requests at the engines, and unreported an
	// estimate of those sent since.
	online     int
	unreported float64
	// allOnline is the number of peers' online requests at all engines of the group, full
	// ones included.
	allOnline int
	// age is the age of the load information.
	age time.Duration
	// minWait is the minimum predicted wait for a slot, plus the round trip to another
	// region; infiniteWait without engines.
	minWait time.Duration
}

// level returns the score up to which this request and the unreported ones fill the group.
func (g group) level() float64 {
	if len(g.engines) == 0 {
		return math.Inf(1)
	}
	sortByScore(g.engines)
	level, _ := fillLevel(g.engines, 1+g.unreported)
	return level
}

func (g group) pick(draw float64) catalog.Engine { return pick(g.engines, 1+g.unreported, draw) }

// pickGroup returns the group with the lower fill level: the node's own zone, whose load is
// known to milliseconds, or the other zones of the region. Separate groups keep the older
// load of other zones from spreading requests that could stay in the zone: taken as equally
// old, 40 in 100 requests left their zone in bursts while it had free slots.
func pickGroup(near, far group) group {
	if near.level() <= far.level() {
		return near
	}
	return far
}

func sortByScore(engines []scoredEngine) {
	sort.SliceStable(engines, func(i, j int) bool { return engines[i].score < engines[j].score })
}

// pick chooses an engine for one of several requests that nodes send by the same load
// information. If all of them went to the engine of the lowest score, it would be overloaded.
// Therefore the requests are assumed to fill the engines up to a common score, and each
// engine is chosen with probability proportional to its part of them. With one request, only
// engines within one request of the lowest score are chosen.
//
// draw is uniform in [0, 1); engines must not be empty and gets sorted by score.
func pick(engines []scoredEngine, requests, draw float64) catalog.Engine {
	sortByScore(engines)
	level, filled := fillLevel(engines, requests)
	remaining := draw * requests
	for _, scored := range engines[:filled] {
		remaining -= (level - scored.score) * float64(max(scored.engine.Slots, 1))
		if remaining < 0 {
			return scored.engine
		}
	}
	return engines[filled-1].engine // only by rounding
}

// fillLevel returns the score up to which the requests fill the engines, and the number of
// engines below it; engines must be sorted by score.
func fillLevel(engines []scoredEngine, requests float64) (level float64, filled int) {
	slots, weightedScores := 0.0, 0.0
	for i, scored := range engines {
		count := float64(max(scored.engine.Slots, 1))
		slots += count
		weightedScores += scored.score * count
		level = (requests + weightedScores) / slots
		if i+1 == len(engines) || level <= engines[i+1].score {
			return level, i + 1
		}
	}
	return level, len(engines)
}
