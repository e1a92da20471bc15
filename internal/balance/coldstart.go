package balance

import (
	"context"
	"errors"
	"fmt"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
)

// permitTries is how many engines a request asks permits for before it waits: each ask
// takes a millisecond or two, and 15 ms where it isn't answered.
const permitTries = 3

// ErrPermitVoid says that a request may not be sent to its engine, which is paced: it has
// no permit, or an old one.
var ErrPermitVoid = errors.New("balance: the engine is cold, and there is no valid permit")

// PaceError says that a request found no room, and that some engines that it may go to
// have none for their pace. It is an ErrNoRoom.
type PaceError struct {
	// Paced is how many of the engines are cold and get nothing more now.
	Paced, Of int
	// After is when the first of them may get more, if that is all of them; else 0.
	After time.Duration
}

// Error implements error.
func (e *PaceError) Error() string {
	if e.After > 0 {
		return fmt.Sprintf("balance: all engines are cold and get no more requests for %v", e.After)
	}
	return fmt.Sprintf("balance: no engine has room; %d of %d are cold and get no more requests now", e.Paced, e.Of)
}

// Is says that it is an ErrNoRoom.
func (e *PaceError) Is(target error) bool { return target == ErrNoRoom }

// Wanted is what a permit is asked for.
type Wanted struct {
	Engine catalog.Engine
	// Request names the request in the log.
	Request string
	// Failing says that the engine failed the last request of this node that ended there.
	Failing bool
}

// Permission is whether a paced engine may get a request.
type Permission struct {
	// Until is when a permit ends; zero if none was given.
	Until time.Time
	// After is how long the engine counts as full then.
	After time.Duration
}

// take takes an engine, and a permit where it is paced; an engine that may get nothing
// more counts as full, and another one is tried.
func (b *Balancer) take(ctx context.Context, wish Wish, self *waiter, priority int) (*Lease, bool) {
	for range permitTries {
		lease, found := b.try(wish, self, priority)
		if !found {
			return nil, false
		}
		if b.permitted(ctx, lease, wish.Request) {
			return lease, true
		}
	}
	return nil, false
}

func (b *Balancer) permitted(ctx context.Context, lease *Lease, request string) bool {
	if !lease.paced {
		return true
	}
	wanted := Wanted{Engine: lease.Engine, Request: request, Failing: b.failing(lease.Engine.ID)}
	permission := b.Permit(ctx, wanted)
	if !permission.Until.IsZero() {
		lease.permit = permission.Until
		b.mutex.Lock()
		b.pressFor(lease, clock.Now())
		b.mutex.Unlock()
		return true
	}
	lease.withdraw(permission.After)
	return false
}

func (b *Balancer) failing(id string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	state := b.table.engines[id]
	return state != nil && state.failures > 0
}

// withdraw gives a place up that was never used, and lets its engine count as full for a
// while.
func (l *Lease) withdraw(full time.Duration) {
	b := l.balancer
	b.mutex.Lock()
	defer b.mutex.Unlock()
	l.released = true
	l.read()
	now := clock.Now()
	b.table.End(l.Engine.ID, l.class, now)
	b.table.fullFor(l.Engine.ID, full, now)
}

// MaySend says whether the request may be sent to its engine at this moment; its error is
// ErrPermitVoid.
func (l *Lease) MaySend() error {
	if l.balancer.Permit == nil {
		return nil
	}
	now := clock.Now()
	engine := l.Engine
	if newer, known := l.balancer.snapshot().Engine(engine.ID); known {
		engine = newer
	}
	if engine.Paced(now) && !now.Before(l.permit) {
		return ErrPermitVoid
	}
	return nil
}

// noRoom is the error of a wish that found no engine with room.
func (b *Balancer) noRoom(wish Wish) error {
	engines := allowed(b.snapshot(), wish)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if paced := b.table.pacedOf(engines, clock.Now()); paced.Paced > 0 {
		return &paced
	}
	return ErrNoRoom
}

// pacedOf counts the engines that get nothing more now for their pace.
func (t *Table) pacedOf(engines []catalog.Engine, now time.Time) PaceError {
	result := PaceError{Of: len(engines)}
	first := time.Duration(0)
	for _, engine := range engines {
		if !engine.Paced(now) || !t.fullNow(engine.ID, now) {
			continue
		}
		if left := t.engines[engine.ID].full.Sub(now); result.Paced == 0 || left < first {
			first = left
		}
		result.Paced++
	}
	if result.Paced == result.Of {
		result.After = first
	}
	return result
}

// fullFor lets an engine count as full for a while, and no shorter than before.
func (t *Table) fullFor(id string, pause time.Duration, now time.Time) {
	state := t.state(id, now)
	if until := now.Add(pause); until.After(state.full) {
		state.full = until
	}
}

// unpaced leaves out engines that are paced: what they bear goes to online requests.
func unpaced(engines []catalog.Engine, now time.Time) []catalog.Engine {
	for i := range engines {
		if engines[i].Paced(now) {
			return filter(engines, func(e catalog.Engine) bool { return !e.Paced(now) })
		}
	}
	return engines
}
