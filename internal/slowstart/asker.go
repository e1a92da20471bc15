package slowstart

import (
	"time"

	"chutelock.dev/chutelock/internal/transport"
)

const (
	// asksAtOnce bounds the asks of a node for one engine that are under way: their answers
	// come within a millisecond or two.
	asksAtOnce = 4
	// busyPause is how long an engine counts as full with so many under way, or as another
	// granting node is to be asked: about as long as an ask and its answer take.
	busyPause = 2 * time.Millisecond
	// silentMost is how many unanswered asks in a row set a granting node aside, as
	// datagrams may be lost, and asideTime how long. Then one more is enough: a node that
	// is lost costs an ask of 15 ms each time, and one that is back is found soon.
	silentMost = 3
	asideTime  = 500 * time.Millisecond
	// silentPause is how long a granting node is passed over after a single unanswered ask.
	// It outlasts the three picks of a request at up to 15 ms each, nearly: a request
	// waits for a lost node once and not three times. An estimate.
	silentPause = 40 * time.Millisecond
)

// Asker keeps a front node's asks. It is not safe for concurrent use.
type Asker struct {
	number  uint64
	pending map[uint64]ask
	engines map[string]int // asks under way
	silent  map[transport.Address]int
	aside   map[place]time.Time // until when
}

// place is a granting node, or only what it grants for one engine.
type place struct {
	granter transport.Address
	engine  string // empty: all engines
}

type ask struct {
	engine string
	to     transport.Address
	at     time.Time
}

// Permission is what came of an ask.
type Permission struct {
	// Until is when a given permit ends; zero if none was given.
	Until time.Time
	// After is how long the engine is not to be asked for.
	After time.Duration
	// Warm says that the engine needs no permits.
	Warm bool
}

// NewAsker returns an asker; its numbers go on from one drawn at random, so that answers
// to the node's former life are none to this one.
func NewAsker(number uint64) *Asker {
	return &Asker{
		number: number, pending: map[uint64]ask{}, engines: map[string]int{},
		silent: map[transport.Address]int{}, aside: map[place]time.Time{},
	}
}

// Ask begins an ask for an engine at one of its granting nodes. It is ended by Take or
// GiveUp. If nobody is to be asked now, to is empty and after tells for how long.
func (a *Asker) Ask(engine string, granters []transport.Address, now time.Time) (number uint64, to transport.Address, after time.Duration) {
	if a.engines[engine] >= asksAtOnce {
		return 0, "", busyPause
	}
	after = asideTime
	for _, granter := range granters {
		if left := a.asideFor(granter, engine, now); left > 0 {
			after = min(after, left)
			continue
		}
		a.number++
		a.pending[a.number] = ask{engine, granter, now}
		a.engines[engine]++
		return a.number, granter, 0
	}
	return 0, "", after
}

// Take takes an answer; false if its ask was ended before.
func (a *Asker) Take(answer Answer, now time.Time) (Permission, bool) {
	asked, known := a.end(answer.Number)
	if !known {
		return Permission{}, false
	}
	delete(a.silent, asked.to)
	switch answer.Verdict {
	case Granted:
		return Permission{Until: asked.at.Add(Life)}, true
	case Warm:
		return Permission{Until: asked.at.Add(Life), Warm: true}, true
	case Closed:
		a.setAside(place{granter: asked.to}, min(answer.After, window), now)
		return Permission{After: busyPause}, true
	case Unknown:
		a.setAside(place{asked.to, asked.engine}, min(answer.After, window), now)
		return Permission{After: busyPause}, true
	}
	return Permission{After: min(answer.After, afterMost)}, true
}

// GiveUp ends an ask without an answer in time. aside says that its granting node is set
// aside for long from now on.
func (a *Asker) GiveUp(number uint64, now time.Time) (permission Permission, aside bool) {
	asked, known := a.end(number)
	if !known {
		return Permission{After: silentPause}, false
	}
	a.silent[asked.to]++
	if a.silent[asked.to] < silentMost {
		a.setAside(place{granter: asked.to}, silentPause, now)
		return Permission{After: busyPause}, false
	}
	a.silent[asked.to] = silentMost - 1
	a.setAside(place{granter: asked.to}, asideTime, now)
	return Permission{After: busyPause}, true
}

// Drop ends an ask whose answer nobody awaits any more; that tells nothing of its
// granting node.
func (a *Asker) Drop(number uint64) { a.end(number) }

func (a *Asker) end(number uint64) (ask, bool) {
	asked, known := a.pending[number]
	if !known {
		return ask{}, false
	}
	delete(a.pending, number)
	if a.engines[asked.engine]--; a.engines[asked.engine] == 0 {
		delete(a.engines, asked.engine)
	}
	return asked, true
}

// asideFor is how long a granting node is still not to be asked for an engine.
func (a *Asker) asideFor(granter transport.Address, engine string, now time.Time) time.Duration {
	whole := a.aside[place{granter: granter}].Sub(now)
	return max(0, whole, a.aside[place{granter, engine}].Sub(now))
}

// setAside never shortens what is told before.
func (a *Asker) setAside(where place, pause time.Duration, now time.Time) {
	if until := now.Add(pause); until.After(a.aside[where]) {
		a.aside[where] = until
	}
	for other, until := range a.aside {
		if now.After(until) {
			delete(a.aside, other)
		}
	}
}
