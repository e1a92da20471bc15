package mirror

import (
	"context"
	"errors"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/transport"
)

const (
	// pullWait is how long a peer holds a pull while it has nothing to send.
	pullWait = 2 * time.Second
	// stalePullWait is the same for a node whose data is stale or about to be: the peer may
	// not reach the store either, while others do.
	stalePullWait = pullWait / 4
	// pullSlack is added to a pull's wait to get its timeout.
	pullSlack = 600 * time.Millisecond
	// pullRetry is the pause after a failed pull.
	pullRetry = 150 * time.Millisecond
	// initialPullTimeout bounds the first pull of an unsynced node, and initialPullRetry is
	// the pause after its failure. Both are short because such a node can't serve and its
	// seeds may be down.
	initialPullTimeout = 150 * time.Millisecond
	initialPullRetry   = 40 * time.Millisecond
	// dataNodeInitialPullTimeout bounds an unsynced data node's pulls after failures: one data
	// node may send large snapshots to many others at once.
	dataNodeInitialPullTimeout = 4 * time.Second
	// relayGrace is how long a node that learns of a later revision waits to get it from a
	// source peer of its zone before it pulls from the peer that reported it.
	// initialRelayGrace is the same for an unsynced data node, which gets a snapshot.
	relayGrace        = 100 * time.Millisecond
	initialRelayGrace = 600 * time.Millisecond
	// peerTTL is how long a node remembers a peer that pulled from it, and legacyPeerTTL that
	// a peer is of an earlier version.
	peerTTL       = 30 * time.Second
	legacyPeerTTL = 10 * time.Second
)

// digest returns a hash that is equal for equal sets of nodes.
func digest(nodes map[string]Node) uint64 {
	names := make([]string, 0, len(nodes))
	for name := range nodes {
		names = append(names, name)
	}
	sort.Strings(names)
	hash := xxhash.New()
	for _, name := range names {
		_, _ = hash.Write(marshalNode(nodes[name]))
	}
	return hash.Sum64()
}

func (a *Agent) addNodes(nodes []Node) {
	a.mutex.Lock()
	var added []Node
	for _, node := range nodes {
		known, found := a.nodes[node.Name]
		if node.Name == a.options.Self.Name || (found && known.Started >= node.Started) {
			continue
		}
		a.nodes[node.Name] = node
		delete(a.failing, node.Address)
		if !found || known.Address != node.Address {
			added = append(added, node)
		}
	}
	if len(nodes) > 0 {
		a.nodesDigest = digest(a.nodes)
	}
	a.mutex.Unlock()
	for _, node := range added {
		eventNodeSeen.Info("node", node.Name, "peer", node.Address, "zone", node.Zone)
	}
}

// RecentPullers lists the nodes that pulled from this one within peerTTL.
func (a *Agent) RecentPullers() []transport.Address {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	pullers := make([]transport.Address, 0, len(a.peers))
	for peer, at := range a.peers {
		if clock.Since(at) <= peerTTL {
			pullers = append(pullers, peer)
		}
	}
	return pullers
}

func (a *Agent) recordPeer(peer transport.Address) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.peers[peer] = clock.Now()
	delete(a.failing, peer)
	for other, at := range a.peers {
		if clock.Since(at) > peerTTL {
			delete(a.peers, other)
		}
	}
}

// pullLoop pulls from one peer at a time. With a zone it takes objects from source peers of
// that zone, see pickPeer. Without one it pulls from any zone and asks for revisions only.
func (a *Agent) pullLoop(zone string) {
	failures := 0
	for a.running.Err() == nil {
		peer, found := a.pickPeer(zone)
		if !found {
			a.pause(initialPullRetry)
			continue
		}
		request, synced := a.newPullRequest()
		request.revisionsOnly = zone == ""
		err := a.pullFrom(peer, request, synced, failures)
		a.recordPullResult(peer, err)
		switch {
		case err == nil:
			failures = 0
		case errors.Is(err, errPositionsAdvanced): // canceled by restartPulls; pull again at once
		case synced:
			a.pause(pullRetry)
		default:
			failures++
			a.pause(initialPullRetry)
		}
	}
}

// pullTimeout bounds a pull. An unsynced node starts with a short timeout, which doubles with
// each failure in a row up to limit.
func pullTimeout(request pullRequest, synced bool, failures int, limit time.Duration) time.Duration {
	if synced {
		return request.wait + pullSlack
	}
	return min(initialPullTimeout<<min(failures, 8), limit)
}

// maxInitialPullTimeout bounds this node's pulls while it is unsynced.
func (a *Agent) maxInitialPullTimeout() time.Duration {
	if a.options.DataNode {
		return dataNodeInitialPullTimeout
	}
	return pullSlack
}

// errPeerIncomplete says that a peer answered but this node still lacks some kind.
var errPeerIncomplete = errors.New("the peer does not have every kind yet")

// recordPullResult records whether a peer answers.
func (a *Agent) recordPullResult(peer transport.Address, err error) {
	if errors.Is(err, errPositionsAdvanced) {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	alreadyFailing := a.failing[peer]
	if err == nil || errors.Is(err, errPeerIncomplete) {
		a.lastPeerResponse = clock.Now()
		delete(a.failing, peer)
		return
	}
	a.failing[peer] = true
	if !alreadyFailing && a.running.Err() == nil {
		eventPeerFailing.Info("peer", peer, "cause", err)
	}
}

// maxHold returns how long a peer may hold a pull: at most until this node's data gets stale,
// when it should ask others. The caller holds the mutex.
func (a *Agent) maxHold(now time.Time) time.Duration {
	hold := pullWait
	for _, kind := range a.options.Kinds {
		hold = min(hold, kind.fraction(staleFraction)-a.fresh.age(kind.Name, now))
	}
	return max(hold, stalePullWait)
}

// pullFrom pulls from a peer. synced says whether this node was synced before; failures counts
// the failed pulls in a row.
func (a *Agent) pullFrom(peer transport.Address, request pullRequest, synced bool, failures int) error {
	started := clock.Now()
	ctx := a.currentPullContext()
	response, err := a.sendPull(ctx, peer, request, pullTimeout(request, synced, failures, a.maxInitialPullTimeout()))
	if errors.Is(context.Cause(ctx), errPositionsAdvanced) && err != nil {
		return errPositionsAdvanced
	}
	if err != nil {
		return trace.Wrap(err, "pull from peer %s", peer)
	}
	// If this process was paused after the response arrived, the response may be old: assume
	// that the peer held the pull no longer than it was allowed to.
	answered := started.Add(min(clock.Since(started), request.wait+pullSlack))
	a.addNodes(response.nodes)
	for _, delta := range response.deltas {
		if !delta.withheld { // a withheld delta has a revision but no objects
			a.mergeResponse("peer", delta, request, answered.Add(-delta.age))
		}
	}
	if a.missingAfterGrace(response, synced) {
		retry, _ := a.newPullRequest()
		retry.wait = 0
		return a.pullFrom(peer, retry, synced, failures)
	}
	// A peer may be unsynced or mirror fewer kinds. The error makes the caller pause first.
	if !synced && !a.isSynced() {
		return trace.Wrap(errPeerIncomplete, "pull from peer %s", peer)
	}
	return nil
}

// missingAfterGrace waits up to a grace time for what a peer withheld to come from another peer.
// It returns true if this node still lacks some of it.
func (a *Agent) missingAfterGrace(response pullResponse, synced bool) bool {
	grace := relayGrace
	if !synced && a.options.DataNode {
		grace = initialRelayGrace
	}
	behind := func() bool {
		return slices.ContainsFunc(response.deltas, func(delta responseDelta) bool { return delta.withheld && a.revision(delta.Kind) < delta.Revision })
	}
	return !a.awaitUntil(clock.Now().Add(grace), func() bool { return !behind() })
}

// awaitUntil waits for a condition that depends on the table. It returns false if the condition
// doesn't hold by end, and true if the agent stops.
func (a *Agent) awaitUntil(end time.Time, holds func() bool) bool {
	for !holds() && a.running.Err() == nil {
		left := clock.Until(end)
		if left <= 0 {
			return false
		}
		a.awaitChange(left)
	}
	return true
}

// awaitChange waits for a change or a confirmation, up to limit.
func (a *Agent) awaitChange(limit time.Duration) {
	a.mutex.Lock()
	changed := a.changed
	a.mutex.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-a.running.Done():
	}
}

// sendPull sends a request in the encoding that the peer understands.
func (a *Agent) sendPull(ctx context.Context, peer transport.Address, request pullRequest, timeout time.Duration) (pullResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if a.isLegacy(peer) {
		return a.pullLegacy(ctx, peer, request)
	}
	self := a.options.Self
	encoded, err := a.options.Sender.Call(ctx, peer, messageFetch, request.marshalFetch(self.Name, self.Zone))
	if transport.Unhandled(err) {
		a.markLegacy(peer)
		return a.pullLegacy(ctx, peer, request)
	}
	if err != nil {
		return pullResponse{}, err
	}
	return unmarshalFetched(encoded)
}

// pullLegacy pulls from a peer of an earlier version, which sends all objects.
func (a *Agent) pullLegacy(ctx context.Context, peer transport.Address, request pullRequest) (pullResponse, error) {
	encoded, err := a.options.Sender.Call(ctx, peer, messagePull, request.marshal())
	if err != nil {
		return pullResponse{}, err
	}
	response, err := unmarshalPullResponse(encoded)
	for i := range response.deltas {
		response.deltas[i].unfiltered = true
	}
	return response, err
}

func (a *Agent) isLegacy(peer transport.Address) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	at, legacy := a.legacy[peer]
	if legacy && clock.Since(at) > legacyPeerTTL {
		delete(a.legacy, peer)
		return false
	}
	return legacy
}

func (a *Agent) markLegacy(peer transport.Address) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.legacy[peer] = clock.Now()
}

// isSynced says whether this node has some revision of each kind.
func (a *Agent) isSynced() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.isSyncedLocked()
}

// isSyncedLocked is isSynced for callers that hold the mutex.
func (a *Agent) isSyncedLocked() bool {
	return !slices.ContainsFunc(a.options.Kinds, func(kind Kind) bool { return a.table.Revision(kind.Name) == 0 })
}

// newPullRequest builds a request from this node's positions. An unsynced node's request has no
// wait, so that the peer answers at once.
func (a *Agent) newPullRequest() (request pullRequest, synced bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	request.kinds = map[string]position{}
	request.nodesDigest = a.nodesDigest
	synced = true
	now := clock.Now()
	for _, kind := range a.options.Kinds {
		request.kinds[kind.Name] = position{
			revision: a.table.Revision(kind.Name), age: a.fresh.age(kind.Name, now), subset: a.table.Subset(kind.Name),
		}
		synced = synced && a.table.Revision(kind.Name) > 0
	}
	if synced {
		request.wait = a.maxHold(now)
	}
	if a.options.DataNode {
		request.nodes = append(request.nodes, a.options.Self)
	}
	return request, synced
}
