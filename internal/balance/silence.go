package balance

import (
	"context"
	"math/rand/v2"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
)

const (
	// silentAfter is how long nothing may be heard from an engine with online requests of this node
	// before new requests prefer other engines. A sound engine may be silent for a second or so.
	silentAfter = time.Second
	// darkAfter is the silence from which on a request that leaves counts as a failure of the engine.
	darkAfter = 2500 * time.Millisecond
	// trialPause is how long a silent engine without requests of this node is left alone. Then the
	// next request may try it, and no other one until that one ends.
	trialPause = time.Second
)

// Await records that an online request is sent to an engine, which is to be heard from.
func (t *Table) Await(id string, now time.Time) {
	if state := t.state(id, now); state.unheardSince.IsZero() {
		state.unheardSince = now
	}
}

// Heard records that something of an engine's answers arrived.
func (t *Table) Heard(id string, now time.Time) {
	state := t.state(id, now)
	state.unheardSince = time.Time{}
	if state.own[ClassOnline] > 0 {
		state.unheardSince = now
	}
}

// silence returns for how long nothing was heard from an engine that had requests to answer.
func (s *engineState) silence(now time.Time) time.Duration {
	if s == nil || s.unheardSince.IsZero() {
		return 0
	}
	return now.Sub(s.unheardSince)
}

// silent reports whether new requests prefer other engines as nothing is heard from this one.
func (t *Table) silent(id string, now time.Time) bool {
	state := t.engines[id]
	return state.silence(now) >= silentAfter && (state.own[ClassOnline] > 0 || now.Sub(state.lastUsed) < trialPause)
}

// hasFreeSlot reports whether an engine has a free slot; batch work counts as preempted.
func (t *Table) hasFreeSlot(engine catalog.Engine, now time.Time) bool {
	return !t.isFull(engine.ID, now) && t.load(engine.ID, now)-t.preemptible(engine.ID, now) < engine.Slots
}

// speaking returns the engines with a free slot that aren't silent, or all if none is silent. Others
// without a free slot are left out, too: to queue there isn't better than to wait for the end of a
// silence.
func (t *Table) speaking(engines []catalog.Engine, now time.Time) []catalog.Engine {
	anySilent := false
	for i := range engines {
		anySilent = anySilent || t.silent(engines[i].ID, now)
	}
	if !anySilent {
		return engines
	}
	return filter(engines, func(e catalog.Engine) bool { return !t.silent(e.ID, now) && t.hasFreeSlot(e, now) })
}

// Elsewhere reserves a free slot for a request at an engine that it was not sent to yet if there is
// one, and else at another one than its present one. Requests of higher priority that wait for the
// service come first.
func (b *Balancer) Elsewhere(ctx context.Context, present catalog.Engine, wish Wish, priority int) (*Lease, bool) {
	choose := func(snapshot *catalog.Snapshot, now time.Time) (catalog.Engine, bool) {
		return b.table.chooseElsewhere(snapshot, present, wish, now, rand.Float64)
	}
	return b.acquirePermitted(ctx, wish, choose, nil, priority)
}

// chooseElsewhere returns a healthy engine other than the present one that has a free slot and isn't
// silent.
func (t *Table) chooseElsewhere(snapshot *catalog.Snapshot, present catalog.Engine, wish Wish, now time.Time, draw func() float64) (catalog.Engine, bool) {
	t.expire(now)
	free := filter(allowed(snapshot, wish), func(e catalog.Engine) bool {
		return e.ID != present.ID && t.healthy(e.ID, now) && !t.silent(e.ID, now) && t.hasFreeSlot(e, now)
	})
	if untried := filter(free, func(e catalog.Engine) bool { return !contains(wish.Avoid, e.ID) }); len(untried) > 0 {
		free = untried
	}
	if len(free) == 0 {
		return catalog.Engine{}, false
	}
	return t.outsideFirst(free, wish, now, draw)
}

// RecordSilence records that a request left an engine from which it heard nothing. It doesn't count as
// a failure unless nothing was heard from the engine by any request for long.
func (b *Balancer) RecordSilence(id string, cause error) {
	b.mutex.Lock()
	dark := b.table.dark(id, clock.Now())
	b.mutex.Unlock()
	if dark {
		b.RecordFailure(id, cause)
	}
}

// dark reports whether nothing has been heard from an engine for longer than a sound one is silent.
func (t *Table) dark(id string, now time.Time) bool { return t.engines[id].silence(now) >= darkAfter }

// Heard records that something of the request's answer arrived.
func (l *Lease) Heard() {
	l.balancer.mutex.Lock()
	defer l.balancer.mutex.Unlock()
	l.balancer.table.Heard(l.Engine.ID, clock.Now())
}
