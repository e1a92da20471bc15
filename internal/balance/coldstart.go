package balance

import (
	"context"
	"errors"
	"fmt"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
)

// maxPermitAttempts bounds the engines for which a request asks a permit before it waits.
const maxPermitAttempts = 3

// ErrPermitVoid is returned when a request may not be sent to a paced engine as its permit is
// missing or expired.
var ErrPermitVoid = errors.New("balance: the engine is cold, and there is no valid permit")

// PaceError is returned when no engine had room and some of them accept no more requests
// because they are paced, that is, cold. It matches ErrNoRoom.
type PaceError struct {
	// Exhausted is the number of paced engines that accept no more requests now; Total is
	// the number of all allowed engines.
	Exhausted, Total int
	// RetryAfter is the time until the first engine accepts more, if all of them are paced;
	// else 0.
	RetryAfter time.Duration
}

// Error implements error.
func (e *PaceError) Error() string {
	if e.RetryAfter > 0 {
		return fmt.Sprintf("balance: all engines are cold and get no more requests for %v", e.RetryAfter)
	}
	return fmt.Sprintf("balance: no engine has room; %d of %d are cold and get no more requests now", e.Exhausted, e.Total)
}

// Is reports whether the target is ErrNoRoom.
func (e *PaceError) Is(target error) bool { return target == ErrNoRoom }

// PermitRequest describes a request for a permit.
type PermitRequest struct {
	Engine catalog.Engine
	// Request identifies the request in logs.
	Request string
	// Failing is set if this node's last request that ended at the engine failed.
	Failing bool
}

// Permission is the answer to a request for a permit.
type Permission struct {
	// Until is the end of the permit's validity; zero if none was granted.
	Until time.Time
	// RetryAfter is how long the engine counts as full if no permit was granted.
	RetryAfter time.Duration
}

// acquirePermitted reserves the engine that choose returns, with a permit if it is paced. An engine
// without a permit counts as full for a while, and another one is tried.
func (b *Balancer) acquirePermitted(ctx context.Context, wish Wish, choose chooser, self *waiter, priority int) (*Lease, bool) {
	for range maxPermitAttempts {
		lease, found := b.tryAcquire(wish, choose, self, priority)
		if !found {
			return nil, false
		}
		if b.requestPermit(ctx, lease, wish.Request) {
			return lease, true
		}
	}
	return nil, false
}

func (b *Balancer) requestPermit(ctx context.Context, lease *Lease, requestID string) bool {
	if !lease.paced {
		return true
	}
	request := PermitRequest{Engine: lease.Engine, Request: requestID, Failing: b.failing(lease.Engine.ID)}
	permission := b.Permit(ctx, request)
	if !permission.Until.IsZero() {
		lease.permitExpiry = permission.Until
		b.mutex.Lock()
		b.signalPreemptionFor(lease, clock.Now())
		b.mutex.Unlock()
		return true
	}
	lease.releaseUnused(permission.RetryAfter)
	return false
}

func (b *Balancer) failing(id string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	state := b.table.engines[id]
	return state != nil && state.failures > 0
}

// releaseUnused gives up a place that was never used and counts its engine as full for a
// while.
func (l *Lease) releaseUnused(pause time.Duration) {
	b := l.balancer
	b.mutex.Lock()
	defer b.mutex.Unlock()
	l.released = true
	l.clearUnread()
	now := clock.Now()
	b.table.End(l.Engine.ID, l.class, now)
	l.stopAwaiting(now)
	b.table.markFull(l.Engine.ID, pause, now)
}

// MaySend returns ErrPermitVoid if the request may not be sent to its engine now.
func (l *Lease) MaySend() error {
	if l.balancer.Permit == nil {
		return nil
	}
	now := clock.Now()
	engine := l.Engine
	if newer, known := l.balancer.snapshot().Engine(engine.ID); known {
		engine = newer
	}
	if engine.Paced(now) && !now.Before(l.permitExpiry) {
		return ErrPermitVoid
	}
	return nil
}

// noRoomError returns the error for a wish that found no engine with room.
func (b *Balancer) noRoomError(wish Wish) error {
	engines := allowed(b.snapshot(), wish)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if paced := b.table.paceError(engines, clock.Now()); paced.Exhausted > 0 {
		return &paced
	}
	return ErrNoRoom
}

// paceError counts the paced engines that are marked full.
func (t *Table) paceError(engines []catalog.Engine, now time.Time) PaceError {
	paceErr := PaceError{Total: len(engines)}
	earliest := time.Duration(0)
	for _, engine := range engines {
		if !engine.Paced(now) || !t.isFull(engine.ID, now) {
			continue
		}
		if left := t.engines[engine.ID].fullUntil.Sub(now); paceErr.Exhausted == 0 || left < earliest {
			earliest = left
		}
		paceErr.Exhausted++
	}
	if paceErr.Exhausted == paceErr.Total {
		paceErr.RetryAfter = earliest
	}
	return paceErr
}

// markFull counts an engine as full for a while; it never shortens an earlier deadline.
func (t *Table) markFull(id string, pause time.Duration, now time.Time) {
	state := t.state(id, now)
	if until := now.Add(pause); until.After(state.fullUntil) {
		state.fullUntil = until
	}
}

// withoutPaced removes paced engines, as their limited capacity is reserved for online
// requests.
func withoutPaced(engines []catalog.Engine, now time.Time) []catalog.Engine {
	for i := range engines {
		if engines[i].Paced(now) {
			return filter(engines, func(e catalog.Engine) bool { return !e.Paced(now) })
		}
	}
	return engines
}
