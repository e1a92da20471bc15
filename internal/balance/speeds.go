package balance

import (
	"math/rand/v2"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/enginespeed"
)

const (
	// minPaceEvents is the number of events from which on a run tells its engine's pace.
	minPaceEvents = 5
	// muchFaster is by which factor another engine has to be faster for a stream to move
	// there: it has to wait for a slot and to have its prompt read again.
	muchFaster = 2
	// freeSlotBonus is by how many requests an engine with a free slot ranks at least before a
	// full one of the usual speed.
	freeSlotBonus = 0.5
)

// speedKey returns the key of an engine in package enginespeed.
func (t *Table) speedKey(id string) enginespeed.Key { return enginespeed.Key(t.key(id)) }

// durationFactor returns how much longer than usual work takes at an engine.
func (t *Table) durationFactor(engine catalog.Engine, now time.Time) float64 {
	if !t.useSpeeds {
		return t.slowdown(engine.ID, now)
	}
	return t.speeds.Factor(t.speedKey(engine.ID), now)
}

// work returns an engine's load with a new request, less 1, weighted by how long work takes
// there. While a slot is free, a request starts at once wherever it goes, so the speed counts
// for this request only, and any free slot comes before a queue.
func (t *Table) work(engine catalog.Engine, class Class, now time.Time) float64 {
	load, factor := t.load(engine.ID, now), t.durationFactor(engine, now)
	switch {
	case !t.useSpeeds || class == ClassBatch:
		return float64(load+1)*factor - 1
	case load < engine.Slots:
		return min(float64(load)+factor-1, float64(engine.Slots)-freeSlotBonus)
	}
	return float64(engine.Slots) + float64(load-engine.Slots+1)*factor - 1
}

// batchFactor returns how many requests' time a batch request takes at an engine.
func (t *Table) batchFactor(engine catalog.Engine, now time.Time) float64 {
	if !t.useSpeeds {
		return 1
	}
	return t.durationFactor(engine, now)
}

// hold returns the mean time for which the requests that hold an engine's slots do so.
func (t *Table) hold(engine catalog.Engine, now time.Time) time.Duration {
	if !t.useSpeeds {
		return t.meanHold
	}
	return time.Duration(float64(t.usualHold(engine)) * t.speeds.RunFactor(t.speedKey(engine.ID), now))
}

// usualHold returns the mean time that requests of an engine's service hold a slot.
func (t *Table) usualHold(engine catalog.Engine) time.Duration {
	if hold, known := t.speeds.MeanHold(engine.Service); known {
		return hold
	}
	return t.meanHold
}

// tooSlow reports whether a request that got a slot of an engine at once could not be expected
// to end by its deadline.
func (p prediction) tooSlow(engine catalog.Engine) bool {
	if !p.table.useSpeeds || p.wish.Left <= 0 {
		return false
	}
	return float64(p.table.usualHold(engine))*p.table.durationFactor(engine, p.now) > float64(p.wish.Left)
}

// RecordServiceHold updates the mean hold time of an engine's service.
func (t *Table) RecordServiceHold(engine catalog.Engine, hold time.Duration, events int, now time.Time) {
	if t.enginesShareMachines.Load() {
		t.speeds.Hold(engine.Service, hold, events, t.speeds.RunFactor(t.speedKey(engine.ID), now))
	}
}

// RecordRun records a run at an engine. startSlowness is the engine's at the first event.
func (t *Table) RecordRun(engine catalog.Engine, perEvent time.Duration, startSlowness float64, now time.Time) {
	if !t.enginesShareMachines.Load() {
		return
	}
	key := t.speedKey(engine.ID)
	t.speeds.Run(enginespeed.Run{
		Key: key, ID: engine.ID, Service: engine.Service, PerEvent: perEvent,
		StartSlowness: startSlowness, EndSlowness: t.speeds.SlownessAt(key, now),
	}, now, enginespeed.Source{})
}

// ApplySpeeds records what a peer observed of engines. Engines not in the snapshot are left
// out.
func (t *Table) ApplySpeeds(snapshot *catalog.Snapshot, peer string, update enginespeed.Update, now time.Time) {
	source := enginespeed.Source{Peer: peer, Relayed: update.Relayed}
	for _, entry := range update.Slownesses {
		if engine := t.index.find(snapshot, EngineKey(entry.Key)); engine != nil {
			t.enginesShareMachines.Store(true)
			t.speeds.Slowness(entry.Key, engine.ID, entry.Slowness, now.Add(-entry.Age), now, source)
		}
	}
	for _, entry := range update.Runs {
		if engine := t.index.find(snapshot, EngineKey(entry.Key)); engine != nil {
			t.speeds.Run(enginespeed.Run{Key: entry.Key, ID: engine.ID, Service: engine.Service, PerEvent: entry.PerEvent}, now, source)
		}
	}
}

// SpeedsSince returns the observations of engines' speeds after the cursor that include
// accepts, and the next cursor.
func (t *Table) SpeedsSince(cursor uint64, now time.Time, include func(enginespeed.Source) bool) (enginespeed.Update, uint64) {
	return t.speeds.Since(cursor, now, include)
}

// SetUseSpeeds sets whether choices follow the engines' speeds.
func (t *Table) SetUseSpeeds(use bool) { t.useSpeeds = use }

// usesSpeeds is called without the balancer's mutex.
func (b *Balancer) usesSpeeds() bool {
	return b.UseSpeeds != nil && b.EnginesShareMachines() && b.UseSpeeds()
}

// RecordEvents records that an online request received events over a time since the first
// one.
func (l *Lease) RecordEvents(count int, span time.Duration) {
	b := l.balancer
	if !b.EnginesShareMachines() {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	l.events = count
	if count >= minPaceEvents {
		b.table.RecordRun(l.Engine, span/time.Duration(count-1), l.slowness, clock.Now())
	}
}

// ApplySpeeds records what a peer observed of engines.
func (b *Balancer) ApplySpeeds(peer string, update enginespeed.Update) {
	snapshot := b.snapshot()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.table.ApplySpeeds(snapshot, peer, update, clock.Now())
}

// SpeedsSince returns the observations of engines' speeds after the cursor that include
// accepts, and the next cursor. It returns none where choices don't follow the speeds.
func (b *Balancer) SpeedsSince(cursor uint64, include func(enginespeed.Source) bool) (enginespeed.Update, uint64) {
	if !b.usesSpeeds() {
		return enginespeed.Update{}, cursor
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.table.SpeedsSince(cursor, clock.Now(), include)
}

// DurationFactor returns how long work takes at an engine now relative to the mean of its
// service's engines at their usual speed; 1 where choices don't follow the speeds.
func (b *Balancer) DurationFactor(engine catalog.Engine) float64 {
	if !b.usesSpeeds() {
		return 1
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.table.speeds.Factor(b.table.speedKey(engine.ID), clock.Now())
}

// SpeedSummary describes the estimates of engines' speeds.
func (b *Balancer) SpeedSummary() enginespeed.Summary {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.table.speeds.Summarize(clock.Now())
}

// SpeedHeardAt returns when an engine's slowness was last reported; zero if it wasn't.
func (b *Balancer) SpeedHeardAt(engine catalog.Engine) time.Time {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.table.speeds.HeardAt(b.table.speedKey(engine.ID))
}

// FollowsSpeeds reports whether choices follow the engines' speeds.
func (b *Balancer) FollowsSpeeds() bool { return b.usesSpeeds() }

// ExpectedEvents returns the mean number of events of a service's runs; 0 if it is unknown.
func (b *Balancer) ExpectedEvents(service string) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.table.speeds.MeanEvents(service)
}

// Slowness is an engine's slowness with the age of its last report.
type Slowness struct {
	Value float64
	Age   time.Duration
}

// AcquireFaster reserves a place for a stream whose events come at an interval of perEvent at
// a much faster engine, so that the stream can leave its own one. The lease is nil if there is
// none with a free slot. It also returns what is known of the stream's engine.
func (b *Balancer) AcquireFaster(engine catalog.Engine, wish Wish, perEvent time.Duration) (*Lease, Slowness) {
	snapshot, useSpeeds := b.snapshot(), b.usesSpeeds()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.table.useSpeeds = useSpeeds
	now := clock.Now()
	key := b.table.speedKey(engine.ID)
	slowness := Slowness{b.table.speeds.SlownessAt(key, now), now.Sub(b.table.speeds.HeardAt(key))}
	if !useSpeeds {
		return nil, slowness
	}
	faster, found := b.table.chooseFaster(snapshot, engine, wish, perEvent, now, rand.Float64)
	if !found {
		return nil, slowness
	}
	lease := &Lease{Engine: faster, balancer: b, class: wish.Class, startedAt: now, unreadTokens: b.table.unreadTokens(snapshot, wish, faster)}
	b.table.Begin(faster.ID, wish.Class, lease.unreadTokens, now)
	lease.await(wish, now)
	b.signalPreemptionFor(lease, now)
	return lease, slowness
}

// chooseFaster returns a healthy engine with a free slot that is much faster than one whose
// events come at an interval of perEvent, and of usual speed or much faster than what is known
// of that one.
func (t *Table) chooseFaster(snapshot *catalog.Snapshot, than catalog.Engine, wish Wish, perEvent time.Duration, now time.Time, draw func() float64) (catalog.Engine, bool) {
	usual, known := t.speeds.MeanPerEvent(than.Service)
	if !known {
		return catalog.Engine{}, false
	}
	limit := min(float64(perEvent)/float64(usual)/muchFaster, max(1, t.durationFactor(than, now)/muchFaster))
	var faster []scoredEngine
	for _, engine := range allowed(snapshot, wish) {
		if engine.ID != than.ID && t.mayTake(engine, wish, now) && !engine.Paced(now) && !t.isFull(engine.ID, now) &&
			t.durationFactor(engine, now) <= limit && t.load(engine.ID, now)-t.preemptible(engine.ID, now) < engine.Slots {
			faster = append(faster, scoredEngine{engine: engine, score: t.score(engine, wish, "", now)})
		}
	}
	if len(faster) == 0 {
		return catalog.Engine{}, false
	}
	return pick(faster, 1, draw()), true
}

// Cancel gives up a place that was never used.
func (l *Lease) Cancel() {
	b := l.balancer
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !l.released {
		l.released = true
		l.clearUnread()
		l.end(clock.Now())
	}
}
