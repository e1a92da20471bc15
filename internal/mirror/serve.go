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
	// gatherTime is how long a peer waits for the confirmations of other kinds
	// before it tells of one.
	gatherTime = 20 * time.Millisecond
	// wholeCacheLeast is the number of objects from which on an encoded collection is kept
	// for others that ask for all of it, and wholeCacheTime how old it may be: thirty data
	// nodes of a zone that start together ask the same one.
	wholeCacheLeast = 500
	wholeCacheTime  = time.Second
)

// handlePull answers a peer of an earlier version.
func (a *Agent) handlePull(ctx context.Context, from transport.Address, payload []byte) ([]byte, error) {
	request, err := unmarshalPull(payload)
	if err != nil {
		return nil, trace.Wrap(err, "pull of peer %s", from)
	}
	if err := a.holdPull(ctx, from, &request); err != nil {
		return nil, err
	}
	return a.answerTo(&request).marshal(), nil
}

// handleFetch answers a peer, at once if it lacks an object, else as soon as
// this node has younger confirmations.
func (a *Agent) handleFetch(ctx context.Context, from transport.Address, payload []byte) ([]byte, error) {
	request, err := unmarshalFetch(payload)
	if err != nil {
		return nil, trace.Wrap(err, "fetch of peer %s", from)
	}
	if err := a.holdPull(ctx, from, &request); err != nil {
		return nil, err
	}
	reply := a.answerTo(&request)
	for i := range reply.deltas {
		delta := &reply.deltas[i]
		if request.headsOnly && (len(delta.Objects) > 0 || delta.Whole) {
			delta.Objects, delta.held = nil, true
			continue
		}
		a.packed.encode(delta, request.kinds[delta.Kind], clock.Now())
	}
	return reply.marshalFetched(), nil
}

// holdPull waits until there is something to tell a peer, or it waits no longer.
func (a *Agent) holdPull(ctx context.Context, from transport.Address, request *pull) error {
	received := clock.Now()
	a.learnNodes(request.nodes)
	a.rememberPeer(from)
	a.noteLead(from, request, received)
	timer := time.NewTimer(request.wait)
	defer timer.Stop()
	for {
		news, changed := a.newsFor(request, received)
		if news == newsObjects || request.wait == 0 {
			return nil
		}
		if news == newsAge {
			a.pause(gatherTime)
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

// news is what this node can tell a peer.
type news uint8

const (
	newsNone news = iota
	newsAge
	newsObjects
)

// newsFor says what there is to tell, and returns what is closed when that may
// have changed.
func (a *Agent) newsFor(request *pull, received time.Time) (news, <-chan struct{}) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	found := newsNone
	now := clock.Now()
	least := frontTellShare
	if len(request.nodes) > 0 { // data nodes tell of themselves
		least = tellShare
	}
	for _, kind := range a.options.Kinds {
		asked, wanted := request.kinds[kind.Name]
		if !wanted || a.table.At(kind.Name) == 0 || a.table.Partial(kind.Name) {
			continue
		}
		if asked.at == 0 || a.table.changedFor(kind.Name, asked.at, asked.part) {
			return newsObjects, a.changed
		}
		theirs := asked.age + now.Sub(received)
		if a.table.At(kind.Name) >= asked.at && theirs-a.fresh.age(kind.Name, now) >= kind.share(least) {
			found = newsAge
		}
	}
	return found, a.changed
}

// answerTo tells all that this node has beyond the request. It tells nothing of kinds of
// which it has a part only.
func (a *Agent) answerTo(request *pull) answer {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var reply answer
	if a.nodesDigest != request.nodesDigest {
		for _, node := range a.nodes {
			reply.nodes = append(reply.nodes, node)
		}
	}
	now := clock.Now()
	for kind, asked := range request.kinds {
		if a.table.Partial(kind) {
			continue
		}
		if delta, shifts, known := a.table.sinceFor(kind, asked.at, asked.part); known {
			reply.deltas = append(reply.deltas, agedDelta{Delta: delta, age: a.fresh.age(kind, now), shifts: shifts})
		}
	}
	return reply
}

// packedWholes keeps collections as they were encoded last, by kind.
type packedWholes struct {
	mutex sync.Mutex // guards kinds, and is held while one is encoded; a leaf
	kinds map[string]packedWhole
}

type packedWhole struct {
	at        uint64
	made      time.Time
	confirmed time.Time // when the collection had all up to at
	block     []byte
}

// encode encodes the objects of a delta. One of all objects may be replaced by another one
// that is a little older, but not than what the asking node has.
func (p *packedWholes) encode(delta *agedDelta, asked position, now time.Time) {
	if !delta.Whole || asked.part != nil || len(delta.Objects) < wholeCacheLeast {
		delta.block = packObjects(delta.Objects)
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	kept, found := p.kinds[delta.Kind]
	if !found || kept.at < asked.at || (kept.at != delta.At && now.Sub(kept.made) > wholeCacheTime) {
		kept = packedWhole{at: delta.At, made: now, confirmed: now.Add(-delta.age), block: packObjects(delta.Objects)}
		p.kinds[delta.Kind] = kept
	}
	if kept.at != delta.At {
		delta.At, delta.age = kept.at, now.Sub(kept.confirmed)
	}
	delta.block = kept.block
}
