package balance

import (
	"math"
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
)

// The probability of having its first token in time from which on a request with such a
// bound may be sent to an engine. While slots are free, one that is refused though it has
// a good chance loses it for nothing, and is late for certain once it comes back: on a
// fleet that is nearly full at the mean of a day 9,328 were in time on a quiet day and
// 8,985 on a heavy one with 0.95 at all times, 9,800 and 9,449 with 0.85 (72 engines, one
// run each). Once online requests fill all slots, each that is late keeps a slot from one
// that would be in time: at two to five times what the engines bear 0.81 to 0.86 of those
// served were in time with 0.85, and 0.90 to 0.93 of what the engines bear; with 0.98
// there, 0.93 to 0.96 and 0.99 to 1.02 (virtual time). On five days of the nearly full
// fleet worth is 0.789 on average, and 0.781 with 0.85 at all times (a seed each).
const (
	sureEnough   = 0.85
	sureWhenFull = 0.98
	// fullAt is the part of the slots that online requests have or wait for from which on
	// more than sureEnough is asked for, and fullestAt that from which on sureWhenFull is.
	fullAt    = 1.0
	fullestAt = 1.05
)

const (
	// roomWeight is the weight of the newest request in sawRoom: in a burst a front
	// node has some 20 a second.
	roomWeight = 0.05
	// farLooking is the part of the unheard requests of other zones that count as looking
	// for the same places there: most look in their own zone first. Played, 0.3, 0.5 and
	// 0.5 to 1 by the zone's slots serve as many in time; with 0.3 a zone without engines gets
	// nearest to what the others get.
	farLooking = 0.3
	// roomLeast bounds sawRoom: with five times what the engines bear 1 in 5 finds room.
	roomLeast = 0.1
)

// prediction foresees for one choice what engines will have when a request arrives.
type prediction struct {
	table *Table
	now   time.Time
	wish  Wish
	// farWeight is how much of the unheard requests counts at engines of other zones:
	// all of them if the zone has as many slots as the others have on average, none
	// if it has no engine. A zone without engines would get none else while all are full.
	// At engines of another region all of them count.
	farWeight float64
	// sure is the probability of being in time that the request needs.
	sure float64
}

func (t *Table) predict(candidates []catalog.Engine, wish Wish, now time.Time) prediction {
	p := prediction{table: t, now: now, wish: wish, farWeight: 1, sure: t.sure(candidates, now)}
	if !slices.ContainsFunc(candidates, wish.leavesRegion) {
		p.farWeight = farWeight(candidates, wish.Zone)
	}
	return p
}

// sure is the probability of being in time from which on a request is sent to one of
// the candidates, by how full they are.
func (t *Table) sure(candidates []catalog.Engine, now time.Time) float64 {
	online, slots := 0, 0
	for _, engine := range candidates {
		online += t.running(engine.ID, ClassOnline, now)
		slots += engine.Slots
	}
	full := float64(online) / float64(max(slots, 1))
	part := min(1, max(0, (full-fullAt)/(fullestAt-fullAt)))
	return sureEnough + part*(sureWhenFull-sureEnough)
}

// farWeight compares a zone's slots with the average of the zones that have engines.
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

// hasRoom says whether an engine has room for an online request: batch work makes
// way for it.
func (p prediction) hasRoom(engine catalog.Engine) bool { return p.places(engine, 1) > 0 }

// places is how many requests more an engine has room for, counted up to most.
func (p prediction) places(engine catalog.Engine, most int) int {
	if p.table.fullNow(engine.ID, p.now) {
		return 0
	}
	beyond := p.table.load(engine.ID, p.now) - p.table.yielding(engine.ID, p.now) - engine.Slots + p.margin(engine)
	count := 0
	for count < most && p.roomFor(engine, beyond+count) {
		count++
	}
	return count
}

// roomFor says whether an engine with so many requests beyond its slots has room.
func (p prediction) roomFor(engine catalog.Engine, beyond int) bool {
	if beyond < 0 || p.wish.Wait <= 0 {
		return beyond < queueDepth
	}
	return float64(beyond) < queueShare*float64(engine.Slots) && p.table.likely(beyond, engine.Slots, p.waitFor(engine)) >= p.sure
}

// waitFor is what the request may wait at an engine, in the time that work takes there as
// usual.
func (p prediction) waitFor(engine catalog.Engine) time.Duration {
	return time.Duration(float64(p.wish.Wait) / p.table.stretch(engine.ID, p.now))
}

// noteRoom takes whether a request of this node saw room.
func (t *Table) noteRoom(saw bool) {
	t.sawRoom -= roomWeight * t.sawRoom
	if saw {
		t.sawRoom += roomWeight
	}
}

// share leaves a group's engines to this request with the probability that it is one
// of those that they have room for, of all that others look for a place there by the
// same figures. These are more than others have placed since, as only a part of them
// sees room. Otherwise all who look take a place that gets free: played at three times
// what the engines bear, 0.91 of those served were in time, and 0.94 with it. weight is
// how much of the others' requests counts.
func (p prediction) share(g group, weight float64, draw func() float64) group {
	looking := 1 + weight*p.table.unheard(g.all, g.age)/max(p.table.sawRoom, roomLeast)
	places := 0
	for _, one := range g.engines {
		if float64(places) >= looking {
			return g
		}
		places += p.places(one.engine, int(looking)+1-places)
	}
	if draw()*looking < float64(places) {
		return g
	}
	return group{}
}

// margin is how many requests more than known here an engine may have, as others chose
// it since: their mean and a standard deviation of it. Without it engines of other
// zones, whose figures are some 80 ms old, got up to 6 requests beyond their slots where
// one was allowed, as each front node takes the place that it sees.
func (p prediction) margin(engine catalog.Engine) int {
	age, weight := p.now.Sub(p.table.heardAt)+nearAge, 1.0
	if p.wish.Zone != "" && engine.Zone != p.wish.Zone {
		age, weight = p.now.Sub(p.table.heardAt)+sumAge, p.farWeight
	}
	unheard := weight * p.table.unheard(p.table.peersOnline(engine.ID), age)
	return int(math.Round(unheard + math.Sqrt(unheard)))
}

// likely is the probability that a request has a slot within a time at an engine with
// so many requests beyond its slots. A slot ends its request at a rate of one in ran,
// however differently long requests are; so the slots that get free within the time are
// binomial.
func (t *Table) likely(beyond, slots int, within time.Duration) float64 {
	ends := float64(within) / float64(max(t.ran, 1)) // of one slot
	if ends >= 1 {
		return 1
	}
	tooFew, exactly := 0.0, math.Pow(1-ends, float64(slots))
	for ended := 0; ended <= beyond; ended++ {
		tooFew += exactly
		exactly *= ends / (1 - ends) * float64(slots-ended) / float64(ended+1)
	}
	return 1 - tooFew
}
