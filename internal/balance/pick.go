package balance

import (
	"math"
	"sort"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
)

// scoredEngine is an engine with its score: the share of its slots in use, with
// penalties and bonuses in the same unit.
type scoredEngine struct {
	engine catalog.Engine
	score  float64
}

// group is engines of which this node's figures are equally old.
type group struct {
	engines []scoredEngine
	// online is their online requests, and unheard how many more they have got since
	// from nodes that were not heard.
	online  int
	unheard float64
	// all is the online requests of others at all of the group's engines, full ones too.
	all int
	// age is how old what is known of them is.
	age time.Duration
	// wait is the least that a request is predicted to wait for a slot of one of the
	// engines, with the round trip to another region; endless without engines.
	wait time.Duration
}

// level is the score up to which the unheard requests and this one fill a group.
func (g group) level() float64 {
	if len(g.engines) == 0 {
		return math.Inf(1)
	}
	sortByScore(g.engines)
	level, _ := fill(g.engines, 1+g.unheard)
	return level
}

func (g group) pick(draw float64) catalog.Engine { return pick(g.engines, 1+g.unheard, draw) }

// pickGroup returns the group whose engines are filled less: those of the node's own
// zone, of which its figures are milliseconds old, or those of the region's other zones.
//
// Taking all figures for as old as those of other zones, 51 front nodes drew among all
// engines of their zone by chance: in bursts late requests had met 4 others within
// 50 ms at their engine while 56 slots were free, and 40 in 100 left their zone.
func pickGroup(near, far group) group {
	if near.level() <= far.level() {
		return near
	}
	return far
}

func sortByScore(engines []scoredEngine) {
	sort.SliceStable(engines, func(i, j int) bool { return engines[i].score < engines[j].score })
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
	sortByScore(engines)
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
