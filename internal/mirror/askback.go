package mirror

import (
	"context"
	"errors"
	"time"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/transport"
)

// askBackQueue is how many peers may wait to be asked back; of more, those that are still
// ahead say so with their next pulls.
const askBackQueue = 4

// lead is how far a peer was with each kind when it asked this node.
type lead struct {
	peer  transport.Address
	kinds map[string]position
	at    time.Time
}

// noteLead has the sender of a pull asked back if this node is behind it: so a change gets
// from whomever the store answers to all data nodes in time, though it turns these away.
func (a *Agent) noteLead(from transport.Address, request *pull, received time.Time) {
	seen := lead{from, request.kinds, received}
	if !a.isBehind(seen) {
		return
	}
	select {
	case a.leads <- seen:
	default:
	}
}

// askBackLoop asks peers that are ahead, unless what they have comes from others meanwhile.
func (a *Agent) askBackLoop() {
	for {
		var seen lead
		select {
		case seen = <-a.leads:
		case <-a.running.Done():
			return
		}
		if a.awaitUntil(clock.Now().Add(headsGrace), func() bool { return !a.isBehind(seen) }) {
			continue
		}
		request, known := a.pullRequest()
		request.wait = 0
		a.notePull(seen.peer, a.pullFrom(seen.peer, request, known, 0))
	}
}

// isBehind says whether a peer has something that this node lacks: a later state of a kind, or
// a younger confirmation where this node's is old. Of a kind that the peer has a part of it
// can tell nothing, and a node that lacks a kind has other ways to get it.
func (a *Agent) isBehind(seen lead) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.hasAll() {
		return false
	}
	now := clock.Now()
	for _, kind := range a.options.Kinds {
		theirs, told := seen.kinds[kind.Name]
		if !told || theirs.part.partial() {
			continue
		}
		age := a.fresh.age(kind.Name, now)
		gain := age - (theirs.age + now.Sub(seen.at))
		if theirs.at > a.table.At(kind.Name) || (stale(kind, age, 0) && gain >= kind.share(tellShare)) {
			return true
		}
	}
	return false
}

// errOwnNews ends a pull that waits at a peer: this node has read the store itself since,
// and asks again to say so.
var errOwnNews = errors.New("mirror: this node has read the store itself")

// tellOwnNews ends the pulls that wait at peers. Those that follow say how far this node is,
// and a peer that is behind asks back at once, not when it has held the pull to its end.
func (a *Agent) tellOwnNews() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.endPulls(errOwnNews)
	a.pulling, a.endPulls = context.WithCancelCause(a.running)
}

// pullContext is that of a pull which begins now.
func (a *Agent) pullContext() context.Context {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.pulling
}
