package balance

import (
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/membership"
)

const (
	// zonePenalty is what another zone costs, in shares of an engine's slots.
	zonePenalty = 0.25
	// prefixBonus is what the engine that keeps a long shared prompt gains,
	// for prefixBonusTokens shared tokens or more.
	prefixBonus       = 0.5
	prefixBonusTokens = 4000
	// pendingUnit is the prompt tokens waiting to be read at an engine that cost
	// as much as all of its slots taken; engines read some 60 tokens a ms.
	pendingUnit = 20000
	// batchPending is the prompt tokens waiting at an engine from which on batch
	// work starts nothing there.
	batchPending = 5000
	// formerBonus is what the engine gains that ran a part of the request.
	formerBonus = 0.3
	// coldPenalty is what an engine that is still slow costs: idle, it ranks with a warm
	// one that has half of its slots taken.
	coldPenalty = 0.5
	// freeShare is the share of a service's slots that batch work leaves free for the
	// online requests that come before it can make way. It makes way within some 20 ms,
	// and such a request waits at its engine meanwhile: with 8 in 100 left free, batch
	// items were done in time 0.02 to 0.08 less often (four days of 0.8 to 1.1 of the
	// slots' work), and online requests no more often.
	freeShare = 0.02
	// queueDepth is how many requests beyond its slots an engine may get from online
	// work whose time to the first token isn't bounded; they wait there for less than an
	// average request runs.
	queueDepth = 1
	// queueShare bounds the requests that wait at an engine by its slots, whatever time
	// they have: the load of engines is not known to the request.
	queueShare = 0.5
)

// Wish is what a request wants of an engine.
type Wish struct {
	// Request names the request in the log.
	Request string
	Service string
	// Zone is the one whose engines are preferred, and then those of its Region; empty
	// means none.
	Zone   string
	Region string
	Class  Class
	// Prefix identifies the shared part of the prompt, and PrefixTokens is its
	// length; an engine that has read it before is quicker.
	Prefix       string
	PrefixTokens int
	// PromptTokens is the length of the whole prompt.
	PromptTokens int
	// Former is the engine that ran a part of the request; it may still keep the
	// prompt.
	Former string
	// Regions are where the request may be served.
	Regions catalog.Regions
	// Avoid lists engines that the request has been to, and Leave the zones in which one of
	// them was not there: engines are lost a zone at a time, and those that are lost look
	// idle until their entries lapse.
	Avoid []string
	Leave []string
	// Wait is how long the request may wait at an engine and still have its first
	// token in time; 0 means that it has no such bound.
	Wait time.Duration
}

// Choose returns the best engine that has room, or false. When every engine of the service
// is set aside or avoided, or those beyond the zones to leave have no room, these rules give
// way in turn, so that a request is not refused while some engine may be able to run it. draw
// is uniform in [0, 1).
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
	if elsewhere := wish.beyondLeft(candidates); len(elsewhere) > 0 {
		if engine, found := t.best(elsewhere, wish, now, draw); found {
			return engine, true
		}
	}
	return t.best(candidates, wish, now, draw)
}

// beyondLeft lists the engines outside the zones that the wish is to leave; nil if there are none
// to leave.
func (w Wish) beyondLeft(engines []catalog.Engine) []catalog.Engine {
	if len(w.Leave) == 0 {
		return nil
	}
	return filter(engines, func(e catalog.Engine) bool { return !contains(w.Leave, e.Zone) })
}

// candidates filters the engines of a wish's service by the first of the rules
// that leaves any.
func (t *Table) candidates(snapshot *catalog.Snapshot, wish Wish, now time.Time) []catalog.Engine {
	engines := allowed(snapshot, wish)
	for _, rule := range []func(catalog.Engine) bool{
		func(e catalog.Engine) bool { return t.sound(e.ID, now) && !contains(wish.Avoid, e.ID) },
		func(e catalog.Engine) bool { return !contains(wish.Avoid, e.ID) },
	} {
		if candidates := filter(engines, rule); len(candidates) > 0 {
			return candidates
		}
	}
	return engines
}

// allowed lists the engines that a wish may go to, whatever is known of their load.
func allowed(snapshot *catalog.Snapshot, wish Wish) []catalog.Engine {
	engines := snapshot.Serving(wish.Service)
	if wish.Regions == nil {
		return engines
	}
	return filter(engines, func(e catalog.Engine) bool { return wish.Regions.Allow(e.Region) })
}

// best picks one of the candidates that have room: of the wish's region, unless a request
// waits longer there than the round trip to another region takes, and the wait there.
func (t *Table) best(candidates []catalog.Engine, wish Wish, now time.Time, draw func() float64) (catalog.Engine, bool) {
	inRegion, remote := wish.byRegion(candidates)
	near, far, sawRoom := t.groups(inRegion, wish, now, draw)
	chosen := pickGroup(near, far)
	if len(remote) > 0 {
		chosen = withoutWait(chosen, near, far)
		other, saw := t.nearestRegion(remote, wish, len(inRegion) > 0, chosen.wait, now, draw)
		sawRoom = sawRoom || saw
		if len(other.engines) > 0 {
			chosen = other
		}
	}
	t.noteRoom(sawRoom)
	if len(chosen.engines) == 0 {
		return catalog.Engine{}, false
	}
	return chosen.pick(draw()), true
}

// groups parts the engines of one region that have room into those of the wish's zone
// and the others, and leaves out those that are for other requests. sawRoom says that
// some engine has room for anybody.
func (t *Table) groups(engines []catalog.Engine, wish Wish, now time.Time, draw func() float64) (near, far group, sawRoom bool) {
	home := prefixHome(engines, wish)
	prediction := t.predict(engines, wish, now)
	near = group{engines: make([]scoredEngine, 0, len(engines)), age: now.Sub(t.heardAt) + nearAge}
	far = group{age: now.Sub(t.heardAt) + sumAge}
	for _, engine := range engines {
		of := &near
		if wish.Zone != "" && engine.Zone != wish.Zone {
			of = &far
		}
		online := t.peersOnline(engine.ID)
		of.all += online
		if !prediction.hasRoom(engine) {
			continue
		}
		of.engines = append(of.engines, scoredEngine{engine: engine, score: t.score(engine, wish, home, now)})
		of.online += online
	}
	sawRoom = len(near.engines)+len(far.engines) > 0
	near, far = prediction.share(near, 1, draw), prediction.share(far, farLooking, draw)
	near.unheard = t.unheard(near.online, near.age)
	far.unheard = t.unheard(far.online, far.age)
	near.wait, far.wait = prediction.waitIn(near), prediction.waitIn(far)
	return near, far, sawRoom
}

// slots counts the slots of engines, and those that are free less the online requests
// that wait for one at other engines: in overload some engine always has a free slot for
// the moment, and a run started there is cut as soon as an online request comes. With such
// slots counted as free 60 runs a second were started and cut in bursts.
func (t *Table) slots(engines []catalog.Engine, now time.Time) (all, free int) {
	for _, engine := range engines {
		all += engine.Slots
		free += max(0, engine.Slots-t.load(engine.ID, now))
		free -= max(0, t.running(engine.ID, ClassOnline, now)-engine.Slots)
	}
	return all, free
}

// Overfull is an engine that has more requests than slots, and how many of its
// requests of batch work have to make way.
type Overfull struct {
	Engine string
	Excess int
}

// Overfull lists the engines where batch work of this node exceeds what other
// work leaves of the slots.
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
		counted := t.running(id, ClassBatch, now) + t.running(id, ClassOnline, now)
		if excess := min(batch, counted-engine.Slots); excess > 0 {
			list = append(list, Overfull{Engine: id, Excess: excess})
		}
	}
	return list
}

// AnyPressed says that some engine has more requests than slots, and batch work
// there would make way. It looks at those that have any: data nodes ask up to 50 times a
// second.
func (t *Table) AnyPressed(snapshot *catalog.Snapshot, now time.Time) bool {
	if now.Sub(t.heardAt) > yieldLife {
		return false // nothing counts as making way
	}
	for id, state := range t.engines {
		if engine, found := snapshot.Engine(id); found && state.own[ClassBatch] > 0 && t.pressed(engine, now) {
			return true
		}
	}
	for key, load := range t.sum {
		if load.Counts[ClassBatch] == 0 {
			continue
		}
		if engine := t.index.find(snapshot, key); engine != nil && t.pressed(*engine, now) {
			return true
		}
	}
	return false
}

// engineIndex finds the engines of the newest snapshot by their keys.
type engineIndex struct {
	snapshot *catalog.Snapshot
	engines  map[EngineKey]*catalog.Engine
}

// find returns the engine of a key; nil if there is none.
func (i *engineIndex) find(snapshot *catalog.Snapshot, key EngineKey) *catalog.Engine {
	if i.snapshot != snapshot {
		all := snapshot.Engines()
		i.snapshot, i.engines = snapshot, make(map[EngineKey]*catalog.Engine, len(all))
		for at := range all {
			i.engines[KeyOf(all[at].ID)] = &all[at]
		}
	}
	return i.engines[key]
}

// pressed says that an engine has more requests than slots, and batch work there
// would make way.
func (t *Table) pressed(engine catalog.Engine, now time.Time) bool {
	return t.load(engine.ID, now) > engine.Slots && t.yielding(engine.ID, now) > 0
}

// score is the share of an engine's slots in use, from 0, with penalties and
// bonuses in the same unit.
func (t *Table) score(engine catalog.Engine, wish Wish, home string, now time.Time) float64 {
	// Where work takes longer, all that the engine has and the request itself do.
	work := float64(t.load(engine.ID, now)+1)*t.stretch(engine.ID, now) - 1
	score := work / float64(max(engine.Slots, 1))
	score += float64(t.pending(engine.ID, now)) / pendingUnit
	if wish.Zone != "" && engine.Zone != wish.Zone {
		score += zonePenalty
	}
	if now.Before(engine.ColdUntil) {
		score += coldPenalty
	}
	if engine.ID == home {
		score -= prefixBonus * min(1, float64(wish.PrefixTokens)/prefixBonusTokens)
	}
	if engine.ID == wish.Former {
		score -= formerBonus
	}
	return score
}

// unread is the prompt tokens that an engine will have to read for a wish. The
// home of its prefix has read the shared part before.
func (t *Table) unread(snapshot *catalog.Snapshot, wish Wish, engine catalog.Engine) int {
	if engine.ID == prefixHome(wish.sameRegion(allowed(snapshot, wish), engine), wish) {
		return max(0, wish.PromptTokens-wish.PrefixTokens)
	}
	return wish.PromptTokens
}

// prefixHome is the engine that requests with the same prefix go to first, by
// rendezvous hashing. Each region has its own, the same for all of its zones, so that
// a prefix is read and kept at one engine there.
func prefixHome(candidates []catalog.Engine, wish Wish) string {
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

func contains(list []string, wanted string) bool {
	for _, one := range list {
		if one == wanted {
			return true
		}
	}
	return false
}
