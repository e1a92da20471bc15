package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/transport"
)

const (
	// coalesceTime is how long a response that only reports a confirmation is delayed, to
	// include confirmations of other kinds.
	coalesceTime = 20 * time.Millisecond
	// minCachedObjects is the number of objects from which an encoded snapshot is cached, and
	// snapshotCacheTTL how old it may be. Data nodes that start together pull the same one.
	minCachedObjects = 500
	snapshotCacheTTL = time.Second
)

// handlePull answers a pull of a peer of an earlier version.
func (a *Agent) handlePull(ctx context.Context, from transport.Address, payload []byte) ([]byte, error) {
	request, err := unmarshalPull(payload)
	if err != nil {
		return nil, trace.Wrap(err, "decode pull from peer %s", from)
	}
	if err := a.holdPull(ctx, from, &request); err != nil {
		return nil, err
	}
	return a.newResponse(&request).marshal(), nil
}

// handleFetch answers a fetch: at once if the peer lacks changes, else as soon as this node has
// changes or sufficiently newer confirmations, or when the request's wait ends.
func (a *Agent) handleFetch(ctx context.Context, from transport.Address, payload []byte) ([]byte, error) {
	request, err := unmarshalFetch(payload)
	if err != nil {
		return nil, trace.Wrap(err, "decode fetch from peer %s", from)
	}
	if err := a.holdPull(ctx, from, &request); err != nil {
		return nil, err
	}
	response := a.newResponse(&request)
	for i := range response.deltas {
		delta := &response.deltas[i]
		if request.revisionsOnly && (len(delta.Objects) > 0 || delta.IsSnapshot) {
			delta.Objects, delta.withheld = nil, true
			continue
		}
		a.snapshots.encode(delta, request.kinds[delta.Kind], clock.Now())
	}
	return response.marshalFetched(), nil
}

// holdPull waits until there is an update for the peer or the request's wait ends.
func (a *Agent) holdPull(ctx context.Context, from transport.Address, request *pullRequest) error {
	received := clock.Now()
	a.addNodes(request.nodes)
	a.recordPeer(from)
	a.queueReversePull(from, request, received)
	timer := time.NewTimer(request.wait)
	defer timer.Stop()
	for {
		found, changed := a.updateFor(request, received)
		if found == updateObjects || request.wait == 0 {
			return nil
		}
		if found == updateAge {
			a.pause(coalesceTime)
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-a.running.Done():
			return trace.ConnectionProblem(nil, "the node is stopping")
		}
	}
}

// update classifies what this node can send to a peer.
type update uint8

const (
	updateNone update = iota
	updateAge
	updateObjects
)

// updateFor returns the present update for a request, and a channel that is closed when that may
// have changed.
func (a *Agent) updateFor(request *pullRequest, received time.Time) (update, <-chan struct{}) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	found := updateNone
	now := clock.Now()
	minGain := frontMinAgeGainFraction
	if len(request.nodes) > 0 { // only data nodes announce nodes
		minGain = minAgeGainFraction
	}
	for _, kind := range a.options.Kinds {
		position, wanted := request.kinds[kind.Name]
		if !wanted || a.table.Revision(kind.Name) == 0 || a.table.Partial(kind.Name) {
			continue
		}
		if position.revision == 0 || a.table.changedInSubset(kind.Name, position.revision, position.subset) {
			return updateObjects, a.changed
		}
		peerAge := position.age + now.Sub(received)
		if a.table.Revision(kind.Name) >= position.revision && peerAge-a.fresh.age(kind.Name, now) >= kind.fraction(minGain) {
			found = updateAge
		}
	}
	return found, a.changed
}

// newResponse builds a response with all that this node has beyond the request. It leaves out
// kinds of which this node keeps a subset.
func (a *Agent) newResponse(request *pullRequest) pullResponse {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var response pullResponse
	if a.nodesDigest != request.nodesDigest {
		for _, node := range a.nodes {
			response.nodes = append(response.nodes, node)
		}
	}
	now := clock.Now()
	for kind, position := range request.kinds {
		if a.table.Partial(kind) {
			continue
		}
		if delta, shifts, known := a.table.subsetSince(kind, position.revision, position.subset); known {
			response.deltas = append(response.deltas, responseDelta{Delta: delta, age: a.fresh.age(kind, now), shifts: shifts})
		}
	}
	return response
}

// snapshotCache holds the last encoded snapshot of each kind.
type snapshotCache struct {
	mutex sync.Mutex // guards kinds, also during encoding; no other lock is taken while it is held
	kinds map[string]cachedSnapshot
}

type cachedSnapshot struct {
	revision  uint64
	encodedAt time.Time
	confirmed time.Time // when the snapshot matched the store
	encoded   []byte
}

// encode encodes a delta's objects. A snapshot may be replaced by a cached one that is slightly
// older, but not older than what the requester has.
func (c *snapshotCache) encode(delta *responseDelta, requested position, now time.Time) {
	if !delta.IsSnapshot || requested.subset != nil || len(delta.Objects) < minCachedObjects {
		delta.encoded = packObjects(delta.Objects)
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	cached, found := c.kinds[delta.Kind]
	if !found || cached.revision < requested.revision || (cached.revision != delta.Revision && now.Sub(cached.encodedAt) > snapshotCacheTTL) {
		cached = cachedSnapshot{revision: delta.Revision, encodedAt: now, confirmed: now.Add(-delta.age), encoded: packObjects(delta.Objects)}
		c.kinds[delta.Kind] = cached
	}
	if cached.revision != delta.Revision {
		delta.Revision, delta.age = cached.revision, now.Sub(cached.confirmed)
	}
	delta.encoded = cached.encoded
}
