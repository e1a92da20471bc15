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
	// darkAfter is the silence to streams from which on an engine gets no requests, and that to any
	// requests from which on one that leaves counts as a failure of the engine.
	darkAfter = 2500 * time.Millisecond
	// minTrialPause and maxTrialPause bound the pause between requests that try a silent engine, which
	// is half of the silence.
	minTrialPause = time.Second
	maxTrialPause = 4 * time.Second
	// minSearchPause is the pause after the first look for a place elsewhere, and maxSearchPause bounds
	// those that follow, which double: a look considers all engines, and room may be short for long.
	minSearchPause = 20 * time.Millisecond
	maxSearchPause = 160 * time.Millisecond
)

// awaited are requests at an engine from which something is to be heard.
type awaited struct {
	requests int
	// since is since when nothing was heard though there were requests; zero if nothing is awaited.
	since time.Time
	// changed is when the last request came or ended.
	changed time.Time
}

func (a *awaited) begin(now time.Time) {
	a.requests++
	a.changed = now
	if a.since.IsZero() {
		a.since = now
	}
}

// end ends a request. A silence lasts on without requests, until something is heard.
func (a *awaited) end(now time.Time) {
	a.requests--
	a.changed = now
	if a.requests == 0 && a.silence(now) < silentAfter {
		a.since = time.Time{}
	}
}

func (a *awaited) heard(now time.Time) {
	a.since = time.Time{}
	if a.requests > 0 {
		a.since = now
	}
}

// silence returns for how long nothing was heard.
func (a *awaited) silence(now time.Time) time.Duration {
	if a.since.IsZero() {
		return 0
	}
	return now.Sub(a.since)
}

// trialDue reports whether the next request is to try whether the engine answers. While the silence may
// be one of a sound engine, those that are there do.
func (a *awaited) trialDue(now time.Time) bool {
	silence := a.silence(now)
	return now.Sub(a.changed) >= min(max(silence/2, minTrialPause), maxTrialPause) && (a.requests == 0 || silence >= darkAfter)
}

// silent reports whether new requests prefer other engines.
func (s *engineState) silent(now time.Time) bool {
	return s != nil && s.answers.silence(now) >= silentAfter && !s.answers.trialDue(now)
}

// dark reports whether new requests go to the engine only if there is no other one. Whole answers may
// take as long, so only streams tell.
func (s *engineState) dark(now time.Time) bool {
	return s.streams.silence(now) >= darkAfter && !s.answers.trialDue(now)
}

// Await records that an online request is sent to an engine.
func (t *Table) Await(id string, isStream bool, now time.Time) {
	state := t.state(id, now)
	state.answers.begin(now)
	if isStream {
		state.streams.begin(now)
	}
}

// StopAwaiting records that an online request ended.
func (t *Table) StopAwaiting(id string, isStream bool, now time.Time) {
	state := t.state(id, now)
	state.answers.end(now)
	if isStream {
		state.streams.end(now)
	}
}

// Heard records that something of an engine's answers arrived.
func (t *Table) Heard(id string, now time.Time) {
	state := t.state(id, now)
	state.answers.heard(now)
	state.streams.heard(now)
}

// silent reports whether new requests prefer other engines as nothing is heard from this one.
func (t *Table) silent(id string, now time.Time) bool { return t.engines[id].silent(now) }

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

// Elsewhere waits until ctx ends for a place for a request whose present engine is silent. Until
// queueFrom only a free slot will do, as the engine may go on, and then also a place in a queue. It
// doesn't hold up other requests that wait, whatever their priority. The lease is nil if ctx ended first.
func (b *Balancer) Elsewhere(ctx context.Context, present catalog.Engine, wish Wish, priority int, queueFrom time.Time, refresh func(context.Context)) *Lease {
	self := b.enqueue(&waiter{service: wish.Service, priority: priority, hasPlace: true})
	defer b.dequeue(self)
	wish.hasPlace = true
	choose := func(snapshot *catalog.Snapshot, now time.Time) (catalog.Engine, bool) {
		return b.table.chooseElsewhere(snapshot, present, wish, now.Before(queueFrom), now, rand.Float64)
	}
	for pause := minSearchPause; ; pause = min(2*pause, maxSearchPause) {
		if refresh != nil {
			refresh(ctx)
		}
		if lease, found := b.acquirePermitted(ctx, wish, choose, self, priority); found {
			return lease
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		case <-self.wake:
			timer.Stop()
		}
	}
}

// chooseElsewhere returns a healthy engine other than the present one that isn't silent and has room,
// or a free slot; one that was not tried yet if there is any.
func (t *Table) chooseElsewhere(snapshot *catalog.Snapshot, present catalog.Engine, wish Wish, freeSlot bool, now time.Time, draw func() float64) (catalog.Engine, bool) {
	t.expire(now)
	engines := filter(allowed(snapshot, wish), func(e catalog.Engine) bool {
		return e.ID != present.ID && t.healthy(e.ID, now) && !t.silent(e.ID, now) && (!freeSlot || t.hasFreeSlot(e, now))
	})
	if untried := filter(engines, func(e catalog.Engine) bool { return !contains(wish.Avoid, e.ID) }); len(untried) > 0 {
		engines = untried
	}
	if len(engines) == 0 {
		return catalog.Engine{}, false
	}
	return t.outsideFirst(engines, wish, now, draw)
}

// RecordSilence records that a request left an engine from which it heard nothing. It counts as a
// failure only if nothing was heard by any other request for long.
func (b *Balancer) RecordSilence(id string, cause error) {
	b.mutex.Lock()
	state := b.table.engines[id]
	isFailure := state != nil && state.answers.silence(clock.Now()) >= darkAfter
	b.mutex.Unlock()
	if isFailure {
		b.RecordFailure(id, cause)
	}
}

// Heard records that something of the request's answer arrived.
func (l *Lease) Heard() {
	l.balancer.mutex.Lock()
	defer l.balancer.mutex.Unlock()
	l.balancer.table.Heard(l.Engine.ID, clock.Now())
}

// await records that the lease's request is sent; the caller holds the balancer's mutex, here and in
// stopAwaiting.
func (l *Lease) await(wish Wish, now time.Time) {
	if l.awaits, l.isStream = wish.Class == ClassOnline, wish.Stream; l.awaits {
		l.balancer.table.Await(l.Engine.ID, l.isStream, now)
	}
}

// stopAwaiting records that the lease's request ended.
func (l *Lease) stopAwaiting(now time.Time) {
	if l.awaits {
		l.balancer.table.StopAwaiting(l.Engine.ID, l.isStream, now)
	}
}
