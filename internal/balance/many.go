package balance

import (
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
)

// AcquireMany returns places for batch work, for as many of the wishes as engines
// have room for, from the first on. All wishes are of one service and the same regions. Each engine is
// looked at once, so that many places cost little more than one.
func (b *Balancer) AcquireMany(wishes []Wish, priority int) []*Lease {
	if len(wishes) == 0 {
		return nil
	}
	snapshot := b.snapshot()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, other := range b.waiting {
		if other.service == wishes[0].Service && other.priority < priority {
			return nil
		}
	}
	now := clock.Now()
	engines := b.table.chooseMany(snapshot, wishes, now)
	leases := make([]*Lease, 0, len(engines))
	for i, engine := range engines {
		wish := wishes[i]
		lease := &Lease{Engine: engine, balancer: b, class: wish.Class, begun: now, tokens: wish.PromptTokens}
		b.table.Begin(engine.ID, wish.Class, lease.tokens, now)
		leases = append(leases, lease)
	}
	return leases
}

// place is an engine as a candidate for batch work, with what chooseMany has put
// there.
type place struct {
	engine  catalog.Engine
	load    int
	pending int
	score   float64
}

func (p *place) hasRoom() bool { return p.load < p.engine.Slots && p.pending < batchPending }

func (p *place) add(tokens int) {
	p.load++
	p.pending += tokens
	p.score += 1/float64(max(p.engine.Slots, 1)) + float64(tokens)/pendingUnit
}

// windowMost is how many engines of a service a choice for batch work looks at together.
// A leader chooses up to 50 times a second: among 10,000 engines each choice took 11.9 ms of
// a whole core, and 0.5 ms in windows (BenchmarkChoiceForBatchWork, beside other load).
const windowMost = 512

// chooseMany returns the engines for as many of the wishes, all of batch work of
// one service, as there is room for; the share of the slots that is left to online
// work stays free. Of many engines it looks at a window, then at the next one if that has
// no room for all, and the next choice begins where this one ended.
func (t *Table) chooseMany(snapshot *catalog.Snapshot, wishes []Wish, now time.Time) []catalog.Engine {
	if len(wishes) == 0 {
		return nil
	}
	t.expire(now)
	engines := snapshot.Serving(wishes[0].Service)
	if len(engines) <= windowMost {
		return t.chooseFrom(t.candidates(snapshot, wishes[0], now), wishes, now)
	}
	var chosen []catalog.Engine
	anySound := false
	for range (len(engines) + windowMost - 1) / windowMost {
		window := t.nextWindow(engines)
		sound := filter(window, func(e catalog.Engine) bool { return t.mayTake(e, wishes[0], now) })
		anySound = anySound || len(sound) > 0
		chosen = append(chosen, t.chooseFrom(sound, wishes[len(chosen):], now)...)
		if len(chosen) == len(wishes) {
			return chosen
		}
	}
	if !anySound {
		return t.chooseFrom(t.candidates(snapshot, wishes[0], now), wishes, now)
	}
	return chosen
}

// nextWindow is the part of the engines that comes after the last one.
func (t *Table) nextWindow(engines []catalog.Engine) []catalog.Engine {
	if t.windowEnd >= len(engines) {
		t.windowEnd = 0
	}
	from := t.windowEnd
	t.windowEnd = min(from+windowMost, len(engines))
	return engines[from:t.windowEnd]
}

// mayTake says whether an engine is sound, and one that the wish may go to.
func (t *Table) mayTake(engine catalog.Engine, wish Wish, now time.Time) bool {
	return t.sound(engine.ID, now) && !contains(wish.Avoid, engine.ID) && (wish.Regions == nil || wish.Regions.Allow(engine.Region))
}

// chooseFrom chooses among candidates, all of which are looked at.
func (t *Table) chooseFrom(candidates []catalog.Engine, wishes []Wish, now time.Time) []catalog.Engine {
	candidates = unpaced(candidates, now)
	slots, free := t.slots(candidates, now)
	places := t.places(candidates, wishes[0], now)
	var chosen []catalog.Engine
	for _, wish := range wishes {
		best := bestPlace(places, wish.Former)
		if best == nil || float64(free) <= freeShare*float64(slots) {
			break
		}
		chosen = append(chosen, best.engine)
		best.add(wish.PromptTokens)
		free--
	}
	return chosen
}

// places lists the engines that may take batch work, as they are now.
func (t *Table) places(candidates []catalog.Engine, wish Wish, now time.Time) []place {
	places := make([]place, 0, len(candidates))
	for _, engine := range candidates {
		if t.fullNow(engine.ID, now) {
			continue
		}
		places = append(places, place{
			engine: engine, load: t.load(engine.ID, now), pending: t.pending(engine.ID, now),
			score: t.score(engine, Wish{Zone: wish.Zone}, "", now),
		})
	}
	return places
}

// bestPlace returns the place of the least score that has room, or the former
// engine's if that is about as good; nil if none has room.
func bestPlace(places []place, former string) *place {
	var best, known *place
	for i := range places {
		one := &places[i]
		if !one.hasRoom() {
			continue
		}
		if best == nil || one.score < best.score {
			best = one
		}
		if one.engine.ID == former {
			known = one
		}
	}
	if known != nil && known.score-formerBonus <= best.score {
		return known
	}
	return best
}
