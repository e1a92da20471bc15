package slowstart

import (
	"slices"
	"time"
)

const (
	// Span is the time within which the bound on a cold engine's requests holds.
	Span = time.Second
	// Life is how long a permit is valid after it was asked for: a request is sent within
	// a millisecond or two of its permit, and some 10 ms where a connection is opened.
	Life = 100 * time.Millisecond
	// window is the time within which a granting node keeps to its allowance.
	window = Span + Life
	// parts is how many parts of a window get an equal part of its allowance. Given as
	// asked for, all engines that turned cold together got their 8 requests at once, and
	// those that came within the next second had to wait.
	parts = 4
	// afterLeast and afterMost bound the time after which a denied node asks again: the
	// first bounds its asks, and what is promised for later is often not asked for.
	afterLeast = 10 * time.Millisecond
	afterMost  = Span / 2
)

// Bound says how much more than its rate an engine may get within Span, from all nodes.
type Bound struct {
	Overage float64 // a factor
	Slack   float64 // requests
}

// Of is what an engine that sustains a rate may get within Span.
func (b Bound) Of(rate float64) float64 { return rate*b.Overage + b.Slack }

// Allowance is how many permits one granting node gives within its window for an engine
// that sustains a rate: half of the bound, as two may grant, and no more than the rate. One
// below 1 a second is given one where the bound leaves room for that.
func (b Bound) Allowance(rate float64) int {
	half := b.Of(rate) / grantersMost
	if rate <= 0 || half < 1 {
		return 0
	}
	return max(1, int(min(rate, half)))
}

// Granter grants permits. It is not safe for concurrent use.
type Granter struct {
	view       []string // of data nodes
	quietUntil time.Time
	engines    map[string]*book
	sweepAt    time.Time
}

// book is what was granted for an engine lately, in order of time, and when denied nodes were
// told to ask again.
type book struct {
	granted  []time.Time
	promised []time.Time
}

// NewGranter returns the granter of a node that starts: what it granted before it
// doesn't know.
func NewGranter(now time.Time) *Granter {
	return &Granter{quietUntil: now.Add(window), engines: map[string]*book{}}
}

// See takes the names of the data nodes. Where one is gone, it may have granted until now
// what this node grants next. One that came leaves this node less to grant, not more.
func (g *Granter) See(view []string, now time.Time) {
	gone := func(name string) bool { return !slices.Contains(view, name) }
	if slices.ContainsFunc(g.view, gone) {
		g.quietUntil = now.Add(window)
	}
	if len(view) != len(g.view) || slices.ContainsFunc(g.view, gone) {
		g.view = slices.Clone(view)
	}
}

// Grant answers an ask for an engine of which so many permits may be given in a window.
func (g *Granter) Grant(engine string, allowance int, now time.Time) (Verdict, time.Duration) {
	if now.Before(g.quietUntil) {
		return Closed, g.quietUntil.Sub(now)
	}
	g.sweep(now)
	b := g.engines[engine]
	if b == nil {
		b = &book{}
		g.engines[engine] = b
	}
	b.expire(now)
	if !free(b.granted, allowance, now).After(now) {
		b.granted = append(b.granted, now)
		return Granted, 0
	}
	return Denied, b.promise(allowance, now)
}

// sweep forgets engines that got nothing lately.
func (g *Granter) sweep(now time.Time) {
	if now.Before(g.sweepAt) {
		return
	}
	g.sweepAt = now.Add(window)
	for id, b := range g.engines {
		b.expire(now)
		if len(b.granted) == 0 && len(b.promised) == 0 {
			delete(g.engines, id)
		}
	}
}

// expire drops grants that are out of the window, and promises whose time came.
func (b *book) expire(now time.Time) {
	b.granted = slices.DeleteFunc(b.granted, func(at time.Time) bool { return now.Sub(at) > window })
	b.promised = slices.DeleteFunc(b.promised, func(at time.Time) bool { return !now.Before(at) })
}

// promise is how long until a permit comes free for which nobody was told to ask yet.
func (b *book) promise(allowance int, now time.Time) time.Duration {
	taken := append(slices.Clone(b.granted), b.promised...)
	slices.SortFunc(taken, time.Time.Compare)
	after := max(free(taken, allowance, now).Sub(now), afterLeast)
	if after > afterMost {
		return afterMost
	}
	b.promised = append(b.promised, now.Add(after))
	return after
}

// free is when one more permit may be granted after those of the given times, which are in
// order: no more than the allowance in a window, and evenly in its parts.
func free(taken []time.Time, allowance int, now time.Time) time.Time {
	at := now
	for _, bound := range []struct {
		most int
		span time.Duration
	}{{allowance, window}, {(allowance + parts - 1) / parts, window / parts}} {
		if bound.most <= 0 {
			return now.Add(2 * afterMost)
		}
		if len(taken) < bound.most {
			continue
		}
		if next := taken[len(taken)-bound.most].Add(bound.span + time.Millisecond); next.After(at) {
			at = next
		}
	}
	return at
}
