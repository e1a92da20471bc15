package slowstart

import (
	"time"

	"chutelock.dev/chutelock/internal/transport"
)

const (
	// maxPendingAsks bounds a node's unanswered asks for one engine.
	maxPendingAsks = 4
	// busyPause is how long an engine is not asked for if maxPendingAsks are pending or the
	// next ask goes to another granter: about one round trip.
	busyPause = 2 * time.Millisecond
	// maxUnanswered is how many consecutive unanswered asks cause a granter to be skipped for
	// longSkip, as single datagrams may be lost. After that one more is enough, since each
	// ask to an unreachable granter delays a request until it times out, after 15 ms.
	maxUnanswered = 3
	longSkip      = 500 * time.Millisecond
	// shortSkip is how long a granter is skipped after a single unanswered ask, so that a
	// request that tries several engines waits for an unreachable granter only once.
	shortSkip = 40 * time.Millisecond
)

// Asker tracks a front node's pending asks. It is not safe for concurrent use.
type Asker struct {
	number          uint64
	pending         map[uint64]pendingAsk
	pendingByEngine map[string]int            // number of pending asks
	unanswered      map[transport.Address]int // consecutive unanswered asks
	skipUntil       map[skipScope]time.Time
}

// skipScope is what is skipped: a granter for all engines or for one.
type skipScope struct {
	granter transport.Address
	engine  string // empty: all engines
}

type pendingAsk struct {
	engine string
	to     transport.Address
	at     time.Time
}

// Permission is the outcome of an ask.
type Permission struct {
	// Until is when the granted permit expires; zero if none was granted.
	Until time.Time
	// RetryAfter is how long to wait before the next ask for the engine.
	RetryAfter time.Duration
	// Warm is set if the engine needs no permits.
	Warm bool
}

// NewAsker returns an asker that numbers its asks from number on. The caller draws number at
// random, so that answers to asks sent before a restart match none of the new ones.
func NewAsker(number uint64) *Asker {
	return &Asker{
		number: number, pending: map[uint64]pendingAsk{}, pendingByEngine: map[string]int{},
		unanswered: map[transport.Address]int{}, skipUntil: map[skipScope]time.Time{},
	}
}

// Ask starts an ask for an engine at the first of its granters that is not skipped.
// HandleAnswer, GiveUp or Drop ends it. If no granter may be asked now, to is empty and after
// is the time until one may be.
func (a *Asker) Ask(engine string, granters []transport.Address, now time.Time) (number uint64, to transport.Address, after time.Duration) {
	if a.pendingByEngine[engine] >= maxPendingAsks {
		return 0, "", busyPause
	}
	after = longSkip
	for _, granter := range granters {
		if left := a.skipTime(granter, engine, now); left > 0 {
			after = min(after, left)
			continue
		}
		a.number++
		a.pending[a.number] = pendingAsk{engine, granter, now}
		a.pendingByEngine[engine]++
		return a.number, granter, 0
	}
	return 0, "", after
}

// HandleAnswer ends an ask with its answer; false if it is not pending.
func (a *Asker) HandleAnswer(answer Answer, now time.Time) (Permission, bool) {
	asked, known := a.finish(answer.Number)
	if !known {
		return Permission{}, false
	}
	delete(a.unanswered, asked.to)
	switch answer.Verdict {
	case Granted:
		return Permission{Until: asked.at.Add(PermitTTL)}, true
	case Warm:
		return Permission{Until: asked.at.Add(PermitTTL), Warm: true}, true
	case Closed:
		a.skip(skipScope{granter: asked.to}, min(answer.RetryAfter, window), now)
		return Permission{RetryAfter: busyPause}, true
	case Unknown:
		a.skip(skipScope{asked.to, asked.engine}, min(answer.RetryAfter, window), now)
		return Permission{RetryAfter: busyPause}, true
	}
	return Permission{RetryAfter: min(answer.RetryAfter, maxRetryAfter)}, true
}

// GiveUp ends an ask that was not answered in time. skipped reports whether its granter is
// skipped for longSkip from now on.
func (a *Asker) GiveUp(number uint64, now time.Time) (permission Permission, skipped bool) {
	asked, known := a.finish(number)
	if !known {
		return Permission{RetryAfter: shortSkip}, false
	}
	a.unanswered[asked.to]++
	if a.unanswered[asked.to] < maxUnanswered {
		a.skip(skipScope{granter: asked.to}, shortSkip, now)
		return Permission{RetryAfter: busyPause}, false
	}
	a.unanswered[asked.to] = maxUnanswered - 1
	a.skip(skipScope{granter: asked.to}, longSkip, now)
	return Permission{RetryAfter: busyPause}, true
}

// Drop ends an ask whose request was cancelled, which does not count against the granter.
func (a *Asker) Drop(number uint64) { a.finish(number) }

func (a *Asker) finish(number uint64) (pendingAsk, bool) {
	asked, known := a.pending[number]
	if !known {
		return pendingAsk{}, false
	}
	delete(a.pending, number)
	if a.pendingByEngine[asked.engine]--; a.pendingByEngine[asked.engine] == 0 {
		delete(a.pendingByEngine, asked.engine)
	}
	return asked, true
}

// skipTime returns how long a granter is still skipped for an engine.
func (a *Asker) skipTime(granter transport.Address, engine string, now time.Time) time.Duration {
	forAll := a.skipUntil[skipScope{granter: granter}].Sub(now)
	return max(0, forAll, a.skipUntil[skipScope{granter, engine}].Sub(now))
}

// skip skips a granter for a time; it never shortens an earlier skip.
func (a *Asker) skip(scope skipScope, pause time.Duration, now time.Time) {
	if until := now.Add(pause); until.After(a.skipUntil[scope]) {
		a.skipUntil[scope] = until
	}
	for other, until := range a.skipUntil {
		if now.After(until) {
			delete(a.skipUntil, other)
		}
	}
}
