package mirror

import (
	"context"
	"errors"
	"time"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/transport"
)

// reversePullQueue bounds the peers that wait for a reverse pull. Others are dropped: a peer
// that is still ahead reports it again with its next pull.
const reversePullQueue = 4

// peerState holds the positions that a peer reported with a pull.
type peerState struct {
	peer      transport.Address
	positions map[string]position
	received  time.Time
}

// queueReversePull schedules a pull from the sender of a pull if this node is behind it, so that
// changes reach data nodes that the store rejects from any node that it answers.
func (a *Agent) queueReversePull(from transport.Address, request *pullRequest, received time.Time) {
	state := peerState{from, request.kinds, received}
	if !a.isBehind(state) {
		return
	}
	select {
	case a.reversePulls <- state:
	default:
	}
}

// reversePullLoop pulls from peers that are ahead, unless this node catches up otherwise first.
func (a *Agent) reversePullLoop() {
	for {
		var state peerState
		select {
		case state = <-a.reversePulls:
		case <-a.running.Done():
			return
		}
		if a.awaitUntil(clock.Now().Add(relayGrace), func() bool { return !a.isBehind(state) }) {
			continue
		}
		request, synced := a.newPullRequest()
		request.wait = 0
		a.recordPullResult(state.peer, a.pullFrom(state.peer, request, synced, 0))
	}
}

// isBehind says whether a peer has a later revision of a kind, or a more recent confirmation
// where this node's data is stale. It ignores kinds of which the peer has a subset, and is false
// until this node is synced.
func (a *Agent) isBehind(peer peerState) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.isSyncedLocked() {
		return false
	}
	now := clock.Now()
	for _, kind := range a.options.Kinds {
		position, reported := peer.positions[kind.Name]
		if !reported || position.subset.partial() {
			continue
		}
		age := a.fresh.age(kind.Name, now)
		gain := age - (position.age + now.Sub(peer.received))
		if position.revision > a.table.Revision(kind.Name) || (stale(kind, age, 0) && gain >= kind.fraction(minAgeGainFraction)) {
			return true
		}
	}
	return false
}

// errPositionsAdvanced cancels a pending pull because this node has read the store since the
// pull reported its positions.
var errPositionsAdvanced = errors.New("mirror: pull canceled: this node has read the store since")

// restartPulls cancels the pending pulls. The next ones report the new positions at once, so
// that peers that are behind need not wait for the old pulls to end.
func (a *Agent) restartPulls() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.cancelPulls(errPositionsAdvanced)
	a.pullCtx, a.cancelPulls = context.WithCancelCause(a.running)
}

// currentPullContext returns the context for a new pull.
func (a *Agent) currentPullContext() context.Context {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.pullCtx
}
