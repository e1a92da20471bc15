package balance

import (
	"math"
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
)

// Minimum probability of a first token on time for a request with such a bound to be sent to
// an engine. While slots are free, a refused request loses a good chance for nothing and is
// late when it is retried. Once online requests fill all slots, a late request takes a slot
// from one that would be on time, so the minimum rises. On a nearly full fleet 0.95 at all times
// served some 5% fewer requests in time than 0.85; at two to five times the engines' capacity
// 0.85 left 0.81 to 0.86 of the served requests in time, and 0.98 left 0.93 to 0.96.
const (
	minOnTime           = 0.85
	minOnTimeOverloaded = 0.98
	// overloadStart is the ratio of online requests, queued ones included, to slots above
	// which the minimum rises from minOnTime; it reaches minOnTimeOverloaded at overloadFull.
	overloadStart = 1.0
	overloadFull  = 1.05
)

const (
	// foundRoomWeight is the weight of the newest request in foundRoomFraction. A front node
	// gets some 20 requests a second in a burst.
	foundRoomWeight = 0.05
	// farCompetition is the fraction of other zones' unreported requests that count as
	// competing for places there: most requests look in their own zone first. Higher fractions
	// serve as many requests, but fewer of a zone without engines.
	farCompetition = 0.3
	// minFoundRoomFraction is the lower bound of foundRoomFraction in estimates, as under
	// overload few requests find room: one in five at five times the engines' capacity.
	minFoundRoomFraction = 0.1
)

// prediction estimates, for one choice, the load of engines when the request arrives there.
type prediction struct {
	table *Table
	now   time.Time
	wish  Wish
	// farWeight is the weight of unreported requests at engines of other zones: 1 if the zone
	// has at least the average number of slots, 0 if it has no engine, as its requests would
	// otherwise find no room while all engines are full. It is 1 at engines of another
	// region.
	farWeight float64
	// requiredOnTime is the minimum probability of being on time.
	requiredOnTime float64
}

func (t *Table) predict(candidates []catalog.Engine, wish Wish, now time.Time) prediction {
	p := prediction{table: t, now: now, wish: wish, farWeight: 1, requiredOnTime: t.requiredOnTime(candidates, now)}
	if !slices.ContainsFunc(candidates, wish.outsideRegion) {
		p.farWeight = farWeight(candidates, wish.Zone)
	}
	return p
}

// requiredOnTime returns the minimum probability of being on time for a request to be sent to
// one of the candidates, by their utilization.
func (t *Table) requiredOnTime(candidates []catalog.Engine, now time.Time) float64 {
	online, slots := 0, 0
	for _, engine := range candidates {
		online += t.running(engine.ID, ClassOnline, now)
		slots += engine.Slots
	}
	utilization := float64(online) / float64(max(slots, 1))
	ramp := min(1, max(0, (utilization-overloadStart)/(overloadFull-overloadStart)))
	return minOnTime + ramp*(minOnTimeOverloaded-minOnTime)
}

// farWeight returns the zone's slots relative to the average of zones with engines, at most
// 1.
func farWeight(candidates []catalog.Engine, zone string) float64 {
	var zones []string
	near, all := 0, 0
	for _, engine := range candidates {
		if !slices.Contains(zones, engine.Zone) {
			zones = append(zones, engine.Zone)
		}
		all += engine.Slots
		if engine.Zone == zone {
			near += engine.Slots
		}
	}
	return min(1, float64(near*len(zones))/float64(max(all, 1)))
}

// hasRoom reports whether an engine has room for an online request; batch work counts as
// preempted.
func (p prediction) hasRoom(engine catalog.Engine) bool { return p.capacity(engine, 1) > 0 }

// capacity returns how many more requests an engine has room for, at most limit.
func (p prediction) capacity(engine catalog.Engine, limit int) int {
	if p.table.isFull(engine.ID, p.now) {
		return 0
	}
	excess := p.table.load(engine.ID, p.now) - p.table.preemptible(engine.ID, p.now) - engine.Slots + p.margin(engine)
	count := 0
	for count < limit && p.allowsExcess(engine, excess+count) {
		count++
	}
	return count
}

// allowsExcess reports whether an engine with that many requests beyond its slots may take
// one more.
func (p prediction) allowsExcess(engine catalog.Engine, excess int) bool {
	if excess < 0 || p.wish.Wait <= 0 {
		return excess < maxQueued
	}
	return float64(excess) < maxQueuedShare*float64(engine.Slots) && p.table.slotProbability(excess, engine.Slots, p.allowedWait(engine)) >= p.requiredOnTime
}

// allowedWait returns the request's allowed wait, scaled from the engine's hold time to the
// mean of all.
func (p prediction) allowedWait(engine catalog.Engine) time.Duration {
	if !p.table.useSpeeds {
		return time.Duration(float64(p.wish.Wait) / p.table.slowdown(engine.ID, p.now))
	}
	return time.Duration(float64(p.wish.Wait) * float64(p.table.meanHold) / float64(max(p.table.hold(engine, p.now), 1)))
}

// recordRoom updates foundRoomFraction with whether a request of this node found room.
func (t *Table) recordRoom(found bool) {
	t.foundRoomFraction -= foundRoomWeight * t.foundRoomFraction
	if found {
		t.foundRoomFraction += foundRoomWeight
	}
}

// admitRandomly returns the group with the probability that this request gets one of the
// free places, else an empty group. The competing requests are estimated from the unreported ones,
// divided by foundRoomFraction as only that fraction finds room and is sent. Without it all
// competing requests would take the same free place. weight is the fraction of the peers' requests that
// compete.
func (p prediction) admitRandomly(g group, weight float64, draw func() float64) group {
	competing := 1 + weight*p.table.unreported(g.allOnline, g.age)/max(p.table.foundRoomFraction, minFoundRoomFraction)
	capacity := 0
	for _, scored := range g.engines {
		if float64(capacity) >= competing {
			return g
		}
		capacity += p.capacity(scored.engine, int(competing)+1-capacity)
	}
	if draw()*competing < float64(capacity) {
		return g
	}
	return group{}
}

// margin returns an upper estimate of the unreported requests at an engine: their mean plus
// one standard deviation (Poisson). Without it engines of other zones would be overloaded, as
// each node takes the free place that it sees.
func (p prediction) margin(engine catalog.Engine) int {
	age, weight := p.now.Sub(p.table.lastPeerReport)+nearAge, 1.0
	if p.wish.Zone != "" && engine.Zone != p.wish.Zone {
		age, weight = p.now.Sub(p.table.lastPeerReport)+farAge, p.farWeight
	}
	unreported := weight * p.table.unreported(p.table.peersOnline(engine.ID), age)
	if p.table.useSpeeds {
		// As many requests ended as were sent, on average, so only the deviation counts.
		return int(math.Round(math.Sqrt(2 * unreported)))
	}
	return int(math.Round(unreported + math.Sqrt(unreported)))
}

// slotProbability returns the probability that a request gets a slot within a time at an
// engine with excess requests beyond its slots. Each slot ends its request at a rate of
// 1/meanHold, and the number of slots that end one is binomial.
func (t *Table) slotProbability(excess, slots int, within time.Duration) float64 {
	endProbability := float64(within) / float64(max(t.meanHold, 1)) // of one slot
	if endProbability >= 1 {
		return 1
	}
	tooFew, exact := 0.0, math.Pow(1-endProbability, float64(slots))
	for ended := 0; ended <= excess; ended++ {
		tooFew += exact
		exact *= endProbability / (1 - endProbability) * float64(slots-ended) / float64(ended+1)
	}
	return 1 - tooFew
}
