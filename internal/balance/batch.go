package balance

import (
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
)

// AcquireMany reserves places for batch work, for as many of the wishes as engines have room
// for, in order. All wishes must be of one service, release and set of regions. Each engine is
// scored once, so the cost hardly depends on the number of wishes.
func (b *Balancer) AcquireMany(wishes []Wish, priority int) []*Lease {
	if len(wishes) == 0 {
		return nil
	}
	snapshot := b.snapshot()
	useSpeeds := b.usesSpeeds()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.table.useSpeeds = useSpeeds
	for _, other := range b.waiting {
		if other.service == wishes[0].Service && other.priority < priority && !other.hasPlace {
			return nil
		}
	}
	now := clock.Now()
	engines := b.table.chooseMany(snapshot, wishes, now)
	leases := make([]*Lease, 0, len(engines))
	for i, engine := range engines {
		wish := wishes[i]
		lease := &Lease{Engine: engine, balancer: b, class: wish.Class, startedAt: now, unreadTokens: wish.PromptTokens}
		b.table.Begin(engine.ID, wish.Class, lease.unreadTokens, now)
		leases = append(leases, lease)
	}
	return leases
}

// HasBatchRoom reports whether an engine has room for batch work.
func (b *Balancer) HasBatchRoom(wish Wish) bool {
	snapshot := b.snapshot()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.table.chooseMany(snapshot, []Wish{wish}, clock.Now())) > 0
}

// batchCandidate is an engine with its load, including requests that chooseMany has assigned.
type batchCandidate struct {
	engine  catalog.Engine
	load    int
	pending int
	score   float64
	factor  float64 // see Table.durationFactor
}

func (c *batchCandidate) hasRoom() bool {
	return c.load < c.engine.Slots && c.pending < maxBatchPending
}

func (c *batchCandidate) add(tokens int) {
	c.load++
	c.pending += tokens
	c.score += c.factor/float64(max(c.engine.Slots, 1)) + float64(tokens)/pendingTokensPerScore
}

// windowSize is the number of engines of a service that are considered together for batch
// work; it bounds the cost of a choice in services with thousands of engines.
const windowSize = 512

// chooseMany returns engines for as many of the wishes, all batch work of one service, as
// there is room for while the batch reserve stays free. With more than windowSize engines it
// considers one window after another until all wishes are assigned; the next call continues
// after the last window.
func (t *Table) chooseMany(snapshot *catalog.Snapshot, wishes []Wish, now time.Time) []catalog.Engine {
	if len(wishes) == 0 {
		return nil
	}
	t.expire(now)
	engines := snapshot.Serving(wishes[0].Service)
	if len(engines) <= windowSize {
		return t.chooseFrom(t.candidates(snapshot, wishes[0], now), wishes, now)
	}
	var chosen []catalog.Engine
	anyHealthy := false
	for range (len(engines) + windowSize - 1) / windowSize {
		window := t.nextWindow(engines)
		healthy := filter(window, func(e catalog.Engine) bool { return t.mayTake(e, wishes[0], now) })
		anyHealthy = anyHealthy || len(healthy) > 0
		chosen = append(chosen, t.chooseFrom(healthy, wishes[len(chosen):], now)...)
		if len(chosen) == len(wishes) {
			return chosen
		}
	}
	if !anyHealthy {
		return t.chooseFrom(t.candidates(snapshot, wishes[0], now), wishes, now)
	}
	return chosen
}

// nextWindow returns the engines that follow the last window.
func (t *Table) nextWindow(engines []catalog.Engine) []catalog.Engine {
	if t.nextWindowStart >= len(engines) {
		t.nextWindowStart = 0
	}
	from := t.nextWindowStart
	t.nextWindowStart = min(from+windowSize, len(engines))
	return engines[from:t.nextWindowStart]
}

// mayTake reports whether an engine is healthy and may serve the wish.
func (t *Table) mayTake(engine catalog.Engine, wish Wish, now time.Time) bool {
	return t.healthy(engine.ID, now) && !contains(wish.Avoid, engine.ID) && wish.allows(engine)
}

// chooseFrom assigns wishes to the candidates, all of which it scores.
func (t *Table) chooseFrom(candidates []catalog.Engine, wishes []Wish, now time.Time) []catalog.Engine {
	candidates = withoutPaced(candidates, now)
	slots, free := t.countSlots(candidates, now)
	scored := t.scoreForBatch(candidates, wishes[0], now)
	var chosen []catalog.Engine
	for _, wish := range wishes {
		best := bestCandidate(scored, wish.PreviousEngine)
		if best == nil || float64(free) <= batchReserve*float64(slots) {
			break
		}
		chosen = append(chosen, best.engine)
		best.add(wish.PromptTokens)
		free--
	}
	return chosen
}

// scoreForBatch returns the engines that don't count as full, with their present load and
// score.
func (t *Table) scoreForBatch(candidates []catalog.Engine, wish Wish, now time.Time) []batchCandidate {
	scored := make([]batchCandidate, 0, len(candidates))
	for _, engine := range candidates {
		if t.isFull(engine.ID, now) {
			continue
		}
		scored = append(scored, batchCandidate{
			engine: engine, load: t.load(engine.ID, now), pending: t.pending(engine.ID, now),
			score: t.score(engine, Wish{Zone: wish.Zone, Class: ClassBatch}, "", now), factor: t.batchFactor(engine, now),
		})
	}
	return scored
}

// bestCandidate returns the candidate with room and the lowest score, or the previous engine
// if previousEngineBonus makes it as good; nil if none has room.
func bestCandidate(candidates []batchCandidate, previousEngine string) *batchCandidate {
	var best, previous *batchCandidate
	for i := range candidates {
		candidate := &candidates[i]
		if !candidate.hasRoom() {
			continue
		}
		if best == nil || candidate.score < best.score {
			best = candidate
		}
		if candidate.engine.ID == previousEngine {
			previous = candidate
		}
	}
	if previous != nil && previous.score-previousEngineBonus <= best.score {
		return previous
	}
	return best
}
