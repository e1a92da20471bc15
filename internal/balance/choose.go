package balance

import (
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/membership"
)

const (
	// zonePenalty is the score added to engines of other zones; scores are in shares of an
	// engine's slots.
	zonePenalty = 0.25
	// prefixBonus is subtracted from the score of the prefix's home engine if
	// prefixBonusTokens or more prompt tokens are shared, and proportionally less below.
	prefixBonus       = 0.5
	prefixBonusTokens = 4000
	// pendingTokensPerScore is the number of unread prompt tokens that count as much as all
	// slots of an engine. Engines read some 60 tokens a millisecond.
	pendingTokensPerScore = 20000
	// maxBatchPending is the number of unread prompt tokens from which on no batch work is
	// started at an engine.
	maxBatchPending = 5000
	// previousEngineBonus is subtracted from the score of the engine that ran a part of the
	// request.
	previousEngineBonus = 0.3
	// coldPenalty is the score added to cold engines: idle, one ranks with a warm engine that
	// has half of its slots in use.
	coldPenalty = 0.5
	// batchReserve is the share of a service's slots that batch work leaves free, for online
	// requests that arrive before batch work is preempted, some 20 ms later. With 0.08, 0.02 to
	// 0.08 fewer batch items were in time and no more online requests.
	batchReserve = 0.02
	// maxQueued is the number of requests beyond its slots that an engine may get from online
	// work without a bound on the time to first token.
	maxQueued = 1
	// maxQueuedShare bounds an engine's queue relative to its slots, whatever wait a request
	// allows, as the load is only estimated.
	maxQueuedShare = 0.5
)

// Wish holds a request's requirements and preferences for an engine.
type Wish struct {
	// Request identifies the request in logs.
	Request string
	Service string
	// Release is the only release that may serve the request, as it began the text that the
	// request continues; zero allows all.
	Release catalog.Release
	// Engines of Zone are preferred, then those of its Region; empty means no preference.
	Zone   string
	Region string
	Class  Class
	// Stream is set if the answer comes in pieces, so that an engine that runs the request is heard from.
	Stream bool
	// Prefix identifies the shared part of the prompt and PrefixTokens is its length; an
	// engine that has it cached reads the prompt faster.
	Prefix       string
	PrefixTokens int
	// PromptTokens is the length of the whole prompt.
	PromptTokens int
	// PreviousEngine is the engine that ran a part of the request and may still have its
	// prompt cached.
	PreviousEngine string
	// Regions are the regions where the request may be served; nil allows all.
	Regions catalog.Regions
	// Avoid lists engines that were already tried, and AvoidZones the zones where one of them
	// was unreachable: engines are often lost by zone, and lost ones look idle until their
	// catalog entries expire.
	Avoid      []string
	AvoidZones []string
	// Wait is how long the request may queue at an engine and still get its first token on
	// time; 0 means no bound.
	Wait time.Duration
	// Left is the time until the request's deadline; 0 means no bound.
	Left time.Duration
	// hasPlace is set if the request has a place at an engine already.
	hasPlace bool
}

// Choose returns the best engine that has room, or false. If all engines are ejected or
// avoided, or those that aren't silent or are outside AvoidZones have no room, these rules are
// relaxed rather than refuse a request that some engine may serve. draw is uniform in [0, 1).
func (t *Table) Choose(snapshot *catalog.Snapshot, wish Wish, now time.Time, draw func() float64) (catalog.Engine, bool) {
	t.expire(now)
	if wish.Class == ClassBatch {
		chosen := t.chooseMany(snapshot, []Wish{wish}, now)
		if len(chosen) == 0 {
			return catalog.Engine{}, false
		}
		return chosen[0], true
	}
	candidates := t.candidates(snapshot, wish, now)
	if speaking := t.speaking(candidates, now); len(speaking) > 0 && len(speaking) < len(candidates) {
		if engine, found := t.outsideFirst(speaking, wish, now, draw); found {
			return engine, true
		}
	}
	return t.outsideFirst(candidates, wish, now, draw)
}

// outsideFirst is bestWithRoom, but prefers the candidates outside the zones to leave.
func (t *Table) outsideFirst(candidates []catalog.Engine, wish Wish, now time.Time, draw func() float64) (catalog.Engine, bool) {
	if outside := wish.outsideLeftZones(candidates); len(outside) > 0 {
		if engine, found := t.bestWithRoom(outside, wish, now, draw); found {
			return engine, true
		}
	}
	return t.bestWithRoom(candidates, wish, now, draw)
}

// outsideLeftZones returns the engines outside the zones to leave; nil if there are none to
// leave.
func (w Wish) outsideLeftZones(engines []catalog.Engine) []catalog.Engine {
	if len(w.AvoidZones) == 0 {
		return nil
	}
	return filter(engines, func(e catalog.Engine) bool { return !contains(w.AvoidZones, e.Zone) })
}

// candidates returns the service's allowed engines that are healthy and not avoided; if there
// are none, those not avoided; else all allowed ones.
func (t *Table) candidates(snapshot *catalog.Snapshot, wish Wish, now time.Time) []catalog.Engine {
	engines := allowed(snapshot, wish)
	for _, keep := range []func(catalog.Engine) bool{
		func(e catalog.Engine) bool { return t.healthy(e.ID, now) && !contains(wish.Avoid, e.ID) },
		func(e catalog.Engine) bool { return !contains(wish.Avoid, e.ID) },
	} {
		if candidates := filter(engines, keep); len(candidates) > 0 {
			return candidates
		}
	}
	return engines
}

// allowed returns the service's engines that are in the wish's regions and of its release,
// regardless of load.
func allowed(snapshot *catalog.Snapshot, wish Wish) []catalog.Engine {
	engines := snapshot.Serving(wish.Service)
	if wish.Regions == nil && wish.Release == (catalog.Release{}) {
		return engines
	}
	return filter(engines, wish.allows)
}

// allows reports whether an engine is in the wish's regions and of its release.
func (w Wish) allows(engine catalog.Engine) bool {
	return w.Regions.Allow(engine.Region) && (w.Release == (catalog.Release{}) || engine.Release() == w.Release)
}

// bestWithRoom picks a candidate with room. It prefers the wish's own region unless waiting
// there takes longer than the round trip to another region plus the wait there.
func (t *Table) bestWithRoom(candidates []catalog.Engine, wish Wish, now time.Time, draw func() float64) (catalog.Engine, bool) {
	inRegion, remote := wish.splitByRegion(candidates)
	near, far, foundRoom := t.groupByZone(inRegion, wish, now, draw)
	chosen := pickGroup(near, far)
	if len(remote) > 0 {
		chosen = preferWithoutWait(chosen, near, far)
		other, found := t.soonestRegion(remote, wish, len(inRegion) > 0, chosen.minWait, now, draw)
		foundRoom = foundRoom || found
		if len(other.engines) > 0 {
			chosen = other
		}
	}
	if wish.Release == (catalog.Release{}) && !wish.hasPlace { // few engines may be of a release
		t.recordRoom(foundRoom)
	}
	if len(chosen.engines) == 0 {
		return catalog.Engine{}, false
	}
	return chosen.pick(draw()), true
}

// groupByZone splits engines of one region that have room into those of the wish's zone and
// the others, reduced by random admission. foundRoom reports whether any engine had room
// before that.
func (t *Table) groupByZone(engines []catalog.Engine, wish Wish, now time.Time, draw func() float64) (near, far group, foundRoom bool) {
	home := prefixHomeEngine(engines, wish)
	prediction := t.predict(engines, wish, now)
	near, far, tooSlow := prediction.enginesWithRoom(engines, home)
	if tooSlow > 0 && len(near.engines)+len(far.engines) == 0 {
		prediction.wish.Left = 0 // no engine can end the request in time
		near, far, _ = prediction.enginesWithRoom(engines, home)
	}
	foundRoom = len(near.engines)+len(far.engines) > 0
	near, far = prediction.admitRandomly(near, 1, draw), prediction.admitRandomly(far, farCompetition, draw)
	near.unreported = t.unreported(near.online, near.age)
	far.unreported = t.unreported(far.online, far.age)
	near.minWait, far.minWait = prediction.minWait(near), prediction.minWait(far)
	return near, far, foundRoom
}

// enginesWithRoom splits engines of one region that have room into those of the wish's zone
// and the others. It leaves out those that are too slow to end the request by its deadline,
// and counts them.
func (p prediction) enginesWithRoom(engines []catalog.Engine, home string) (near, far group, tooSlow int) {
	t, wish, now := p.table, p.wish, p.now
	near = group{engines: make([]scoredEngine, 0, len(engines)), age: now.Sub(t.lastPeerReport) + nearAge}
	far = group{age: now.Sub(t.lastPeerReport) + farAge}
	for _, engine := range engines {
		zoneGroup := &near
		if wish.Zone != "" && engine.Zone != wish.Zone {
			zoneGroup = &far
		}
		online := t.peersOnline(engine.ID)
		zoneGroup.allOnline += online
		if !p.hasRoom(engine) {
			continue
		}
		if p.tooSlow(engine) {
			tooSlow++
			continue
		}
		zoneGroup.engines = append(zoneGroup.engines, scoredEngine{engine: engine, score: t.score(engine, wish, home, now)})
		zoneGroup.online += online
	}
	return near, far, tooSlow
}

// countSlots returns the number of slots, and of free ones less the online requests queued at
// other engines: under overload some engine always has a free slot for a moment, and batch
// work started there would be preempted at once: 60 runs a second in bursts.
func (t *Table) countSlots(engines []catalog.Engine, now time.Time) (all, free int) {
	for _, engine := range engines {
		all += engine.Slots
		free += max(0, engine.Slots-t.load(engine.ID, now))
		free -= max(0, t.running(engine.ID, ClassOnline, now)-engine.Slots)
	}
	return all, free
}

// Overfull is an engine with more requests than slots. Excess is the number of this node's
// batch requests to preempt there.
type Overfull struct {
	Engine string
	Excess int
}

// Overfull lists the engines where this node's batch work exceeds the slots that other work
// leaves.
func (t *Table) Overfull(snapshot *catalog.Snapshot, now time.Time) []Overfull {
	var list []Overfull
	for id, state := range t.engines {
		batch := state.own[ClassBatch]
		if batch == 0 {
			continue
		}
		engine, found := snapshot.Engine(id)
		if !found {
			continue
		}
		running := t.running(id, ClassBatch, now) + t.running(id, ClassOnline, now)
		if excess := min(batch, running-engine.Slots); excess > 0 {
			list = append(list, Overfull{Engine: id, Excess: excess})
		}
	}
	return list
}

// AnyPreemptionNeeded reports whether batch work has to be preempted at some engine. It is
// called up to 50 times a second, so it visits only engines with batch work.
func (t *Table) AnyPreemptionNeeded(snapshot *catalog.Snapshot, now time.Time) bool {
	if now.Sub(t.lastPeerReport) > preemptTTL {
		return false // no batch work counts as preemptible
	}
	for id, state := range t.engines {
		if engine, found := snapshot.Engine(id); found && state.own[ClassBatch] > 0 && t.needsPreemption(engine, now) {
			return true
		}
	}
	for key, load := range t.peerSum {
		if load.Counts[ClassBatch] == 0 {
			continue
		}
		if engine := t.index.find(snapshot, key); engine != nil && t.needsPreemption(*engine, now) {
			return true
		}
	}
	return false
}

// engineIndex maps keys to engines of the newest snapshot.
type engineIndex struct {
	snapshot *catalog.Snapshot
	engines  map[EngineKey]*catalog.Engine
}

// find returns the engine with a key; nil if there is none.
func (i *engineIndex) find(snapshot *catalog.Snapshot, key EngineKey) *catalog.Engine {
	if i.snapshot != snapshot {
		all := snapshot.Engines()
		i.snapshot, i.engines = snapshot, make(map[EngineKey]*catalog.Engine, len(all))
		for n := range all {
			i.engines[KeyOf(all[n].ID)] = &all[n]
		}
	}
	return i.engines[key]
}

// needsPreemption reports whether an engine has more requests than slots and some of them are
// preemptible batch work.
func (t *Table) needsPreemption(engine catalog.Engine, now time.Time) bool {
	return t.load(engine.ID, now) > engine.Slots && t.preemptible(engine.ID, now) > 0
}

// score returns the share of an engine's slots in use, plus penalties and less bonuses in the
// same unit. Lower is better.
func (t *Table) score(engine catalog.Engine, wish Wish, home string, now time.Time) float64 {
	// At a slow engine its whole load and the new request count more.
	work := t.work(engine, wish.Class, now)
	score := work / float64(max(engine.Slots, 1))
	score += float64(t.pending(engine.ID, now)) / pendingTokensPerScore
	if wish.Zone != "" && engine.Zone != wish.Zone {
		score += zonePenalty
	}
	if now.Before(engine.ColdUntil) {
		score += coldPenalty
	}
	if engine.ID == home {
		score -= prefixBonus * min(1, float64(wish.PrefixTokens)/prefixBonusTokens)
	}
	if engine.ID == wish.PreviousEngine {
		score -= previousEngineBonus
	}
	return score
}

// unreadTokens returns the number of prompt tokens that the engine will have to read; the
// prefix's home engine already has the shared part cached.
func (t *Table) unreadTokens(snapshot *catalog.Snapshot, wish Wish, engine catalog.Engine) int {
	if engine.ID == prefixHomeEngine(wish.sameRegion(allowed(snapshot, wish), engine), wish) {
		return max(0, wish.PromptTokens-wish.PrefixTokens)
	}
	return wish.PromptTokens
}

// prefixHomeEngine returns the preferred engine of a prefix by rendezvous hashing. Callers
// pass one region's engines, so that a prefix is cached at one engine in each region.
func prefixHomeEngine(candidates []catalog.Engine, wish Wish) string {
	if wish.Prefix == "" {
		return ""
	}
	home := ""
	var highest uint64
	for _, engine := range candidates {
		if score := membership.RendezvousScore(wish.Prefix, engine.ID); home == "" || score > highest {
			home, highest = engine.ID, score
		}
	}
	return home
}

func filter(engines []catalog.Engine, keep func(catalog.Engine) bool) []catalog.Engine {
	kept := make([]catalog.Engine, 0, len(engines))
	for _, engine := range engines {
		if keep(engine) {
			kept = append(kept, engine)
		}
	}
	return kept
}

func contains(list []string, value string) bool {
	for _, item := range list {
		if item == value {
			return true
		}
	}
	return false
}
