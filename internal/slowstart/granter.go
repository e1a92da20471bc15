package slowstart

import (
	"slices"
	"time"
)

const (
	// Span is the length of the interval over which the requests to a cold engine are bounded.
	Span = time.Second
	// PermitTTL is how long a permit is valid after it was asked for. It allows for opening a
	// connection before the request is sent.
	PermitTTL = 100 * time.Millisecond
	// window is the length of the interval over which a granter keeps to its allowance.
	window = Span + PermitTTL
	// subwindows is the number of equal parts of a window among which the allowance is
	// divided, so that an initial burst does not use it up for the rest of the window.
	subwindows = 4
	// minRetryAfter and maxRetryAfter bound the time after which a denied node asks again:
	// the first limits the rate of asks, the second avoids reserving permits far ahead that
	// are often not asked for.
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = Span / 2
)

// Bound defines how far the requests of all nodes within Span may exceed an engine's rate.
type Bound struct {
	RateFactor float64 // at least 1
	Slack      float64 // requests
}

// Limit returns how many requests an engine that sustains a rate may get within Span.
func (b Bound) Limit(rate float64) float64 { return rate*b.RateFactor + b.Slack }

// Allowance returns how many permits one granter may grant within its window for an engine
// that sustains a rate: half of the limit, as maxGranters may grant, and at most the rate. It is at
// least one if half of the limit is, even for rates below one request a second.
func (b Bound) Allowance(rate float64) int {
	half := b.Limit(rate) / maxGranters
	if rate <= 0 || half < 1 {
		return 0
	}
	return max(1, int(min(rate, half)))
}

// Granter grants permits for engines. It is not safe for concurrent use.
type Granter struct {
	dataNodes   []string // names
	closedUntil time.Time
	permits     map[string]*enginePermits
	nextSweep   time.Time
}

// enginePermits holds the times of an engine's recent permits, in order, and the future times
// at which denied nodes were told to ask again.
type enginePermits struct {
	granted  []time.Time
	reserved []time.Time
}

// NewGranter returns a granter that is closed for a window, as it does not know what the node
// granted before a restart.
func NewGranter(now time.Time) *Granter {
	return &Granter{closedUntil: now.Add(window), permits: map[string]*enginePermits{}}
}

// SetDataNodes updates the names of the data nodes. If one has left, the granter closes for a
// window, as the other may have granted until now for engines that this node takes over. A
// node that joins takes engines over from this one, so that the granter stays open.
func (g *Granter) SetDataNodes(dataNodes []string, now time.Time) {
	gone := func(name string) bool { return !slices.Contains(dataNodes, name) }
	if slices.ContainsFunc(g.dataNodes, gone) {
		g.closedUntil = now.Add(window)
	}
	if len(dataNodes) != len(g.dataNodes) || slices.ContainsFunc(g.dataNodes, gone) {
		g.dataNodes = slices.Clone(dataNodes)
	}
}

// Grant grants at most allowance permits in a window; beyond that it returns how long to wait.
func (g *Granter) Grant(engine string, allowance int, now time.Time) (Verdict, time.Duration) {
	if now.Before(g.closedUntil) {
		return Closed, g.closedUntil.Sub(now)
	}
	g.sweep(now)
	p := g.permits[engine]
	if p == nil {
		p = &enginePermits{}
		g.permits[engine] = p
	}
	p.expire(now)
	if !nextFree(p.granted, allowance, now).After(now) {
		p.granted = append(p.granted, now)
		return Granted, 0
	}
	return Denied, p.reserve(allowance, now)
}

// sweep deletes engines without recent permits and reservations.
func (g *Granter) sweep(now time.Time) {
	if now.Before(g.nextSweep) {
		return
	}
	g.nextSweep = now.Add(window)
	for id, p := range g.permits {
		p.expire(now)
		if len(p.granted) == 0 && len(p.reserved) == 0 {
			delete(g.permits, id)
		}
	}
}

// expire deletes permits that have left the window and reservations whose time has come.
func (p *enginePermits) expire(now time.Time) {
	p.granted = slices.DeleteFunc(p.granted, func(at time.Time) bool { return now.Sub(at) > window })
	p.reserved = slices.DeleteFunc(p.reserved, func(at time.Time) bool { return !now.Before(at) })
}

// reserve reserves the next permit, if free within maxRetryAfter, and returns how long to wait.
func (p *enginePermits) reserve(allowance int, now time.Time) time.Duration {
	used := append(slices.Clone(p.granted), p.reserved...)
	slices.SortFunc(used, time.Time.Compare)
	after := max(nextFree(used, allowance, now).Sub(now), minRetryAfter)
	if after > maxRetryAfter {
		return maxRetryAfter
	}
	p.reserved = append(p.reserved, now.Add(after))
	return after
}

// nextFree returns when one more permit may be granted after those at the given times, which
// are in order: at most the allowance in a window, and at most its share in a subwindow.
func nextFree(used []time.Time, allowance int, now time.Time) time.Time {
	at := now
	for _, bound := range []struct {
		limit int
		span  time.Duration
	}{{allowance, window}, {(allowance + subwindows - 1) / subwindows, window / subwindows}} {
		if bound.limit <= 0 {
			return now.Add(2 * maxRetryAfter) // too late for reserve
		}
		if len(used) < bound.limit {
			continue
		}
		// A permit leaves the window only when it is older than the span.
		if next := used[len(used)-bound.limit].Add(bound.span + time.Millisecond); next.After(at) {
			at = next
		}
	}
	return at
}
