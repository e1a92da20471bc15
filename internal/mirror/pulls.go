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
	// pullWait is how long a peer holds a pull that has nothing to answer.
	pullWait = 2 * time.Second
	// staleWait is the same for a node whose facts are old, or soon will be: the
	// peer may have no way to the store either, while others do.
	staleWait = pullWait / 4
	// pullSlack is how much longer a pull may take.
	pullSlack = 600 * time.Millisecond
	// pullRetry is the pause after a failed pull.
	pullRetry = 150 * time.Millisecond
	// firstPullSlack is how long the first pull of a node that knows nothing may
	// take, and firstPullRetry the pause after it: such a node serves nobody, and
	// its seeds may be down.
	firstPullSlack = 150 * time.Millisecond
	firstPullRetry = 40 * time.Millisecond
	// fillTimeMost bounds a pull of a data node that knows nothing, after others failed: one
	// data node may hand 10,000 entries to thirty others at once. An estimate.
	fillTimeMost = 4 * time.Second
	// headsGrace is how long a node that hears that there is news waits for it from the
	// peer of its zone before it asks who told it, and fillGrace the same for a data node
	// that knows nothing, which gets all there is.
	headsGrace = 100 * time.Millisecond
	fillGrace  = 600 * time.Millisecond
	// peerMemory is how long a node remembers a peer that asked it, and plainMemory that
	// one is of an earlier version.
	peerMemory  = 30 * time.Second
	plainMemory = 10 * time.Second
)

// digest is equal for equal sets of nodes.
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

func (a *Agent) learnNodes(nodes []Node) {
	a.mutex.Lock()
	var news []Node
	for _, node := range nodes {
		known, found := a.nodes[node.Name]
		if node.Name == a.options.Self.Name || (found && known.Started >= node.Started) {
			continue
		}
		a.nodes[node.Name] = node
		delete(a.failing, node.Address)
		if !found || known.Address != node.Address {
			news = append(news, node)
		}
	}
	if len(nodes) > 0 {
		a.nodesDigest = digest(a.nodes)
	}
	a.mutex.Unlock()
	for _, node := range news {
		eventNodeSeen.Info("node", node.Name, "peer", node.Address, "zone", node.Zone)
	}
}

// Askers lists the nodes that asked this one lately.
func (a *Agent) Askers() []transport.Address {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	askers := make([]transport.Address, 0, len(a.peers))
	for peer, at := range a.peers {
		if clock.Since(at) <= peerMemory {
			askers = append(askers, peer)
		}
	}
	return askers
}

func (a *Agent) rememberPeer(peer transport.Address) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.peers[peer] = clock.Now()
	delete(a.failing, peer)
	for other, at := range a.peers {
		if clock.Since(at) > peerMemory {
			delete(a.peers, other)
		}
	}
}

// pullLoop waits on one peer after the other: of a zone, from which news is taken, or of
// any if no zone is given, which tells only that there is some.
func (a *Agent) pullLoop(zone string) {
	failures := 0
	for a.running.Err() == nil {
		peer, found := a.pickPeer(zone)
		if !found {
			a.pause(firstPullRetry)
			continue
		}
		request, known := a.pullRequest()
		request.headsOnly = zone == ""
		err := a.pullFrom(peer, request, known, failures)
		a.notePull(peer, err)
		switch {
		case err == nil:
			failures = 0
		case errors.Is(err, errOwnNews):
		case known:
			a.pause(pullRetry)
		default:
			failures++
			a.pause(firstPullRetry)
		}
	}
}

// pullTime bounds a pull: a node that knows nothing waits shortly at first, and
// longer with each failure in a row, up to most.
func pullTime(request pull, known bool, failures int, most time.Duration) time.Duration {
	if known {
		return request.wait + pullSlack
	}
	return min(firstPullSlack<<min(failures, 8), most)
}

// fillTime is the most that a pull of this node may take while it knows nothing.
func (a *Agent) fillTime() time.Duration {
	if a.options.DataNode {
		return fillTimeMost
	}
	return pullSlack
}

// errKnowsNothing says that a peer answered but left this node without some kind.
var errKnowsNothing = errors.New("the peer doesn't know all yet")

// notePull remembers whether a peer answers.
func (a *Agent) notePull(peer transport.Address, err error) {
	if errors.Is(err, errOwnNews) {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	was := a.failing[peer]
	if err == nil || errors.Is(err, errKnowsNothing) {
		a.answeredAt = clock.Now()
		delete(a.failing, peer)
		return
	}
	a.failing[peer] = true
	if !was && a.running.Err() == nil {
		eventPeerFailing.Info("peer", peer, "cause", err)
	}
}

// holdTime is how long a peer may hold a pull: not beyond the moment at which
// this node's facts are so old that others should be asked. The caller holds the
// mutex.
func (a *Agent) holdTime(now time.Time) time.Duration {
	hold := pullWait
	for _, kind := range a.options.Kinds {
		hold = min(hold, kind.share(staleShare)-a.fresh.age(kind.Name, now))
	}
	return max(hold, staleWait)
}

// pullFrom asks a peer. known says whether this node knew something before;
// failures is how many pulls failed in a row.
func (a *Agent) pullFrom(peer transport.Address, request pull, known bool, failures int) error {
	asked := clock.Now()
	pulling := a.pullContext()
	reply, err := a.ask(pulling, peer, request, pullTime(request, known, failures, a.fillTime()))
	if errors.Is(context.Cause(pulling), errOwnNews) && err != nil {
		return errOwnNews
	}
	if err != nil {
		return trace.Wrap(err, "pull from peer %s", peer)
	}
	// An answer that lay here while this process stood still is no newer than what the
	// peer knew when it had held the pull for as long as it may.
	answered := asked.Add(min(clock.Since(asked), request.wait+pullSlack))
	a.learnNodes(reply.nodes)
	for _, delta := range reply.deltas {
		if !delta.held {
			a.take("peer", delta, request, answered.Add(-delta.age))
		}
	}
	if a.lacks(reply, known) {
		rest, _ := a.pullRequest()
		rest.wait = 0
		return a.pullFrom(peer, rest, known, failures)
	}
	// A peer may know some kinds only, or mirror fewer: it isn't asked again at once.
	if !known && !a.knowsAll() {
		return trace.Wrap(errKnowsNothing, "pull from peer %s", peer)
	}
	return nil
}

// lacks says whether this node still has not what a peer has told to be there, once it
// had time to come from another one.
func (a *Agent) lacks(reply answer, known bool) bool {
	grace := headsGrace
	if !known && a.options.DataNode {
		grace = fillGrace
	}
	behind := func() bool {
		return slices.ContainsFunc(reply.deltas, func(delta agedDelta) bool { return delta.held && a.position(delta.Kind) < delta.At })
	}
	return !a.awaitUntil(clock.Now().Add(grace), func() bool { return !behind() })
}

// awaitUntil waits until a condition holds that a change here may bring about; false if the
// time is over before. It ends with the agent.
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

// awaitChange waits until something changed or was confirmed here, for a time at most.
func (a *Agent) awaitChange(most time.Duration) {
	a.mutex.Lock()
	changed := a.changed
	a.mutex.Unlock()
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-a.running.Done():
	}
}

// ask sends a request as the peer understands it.
func (a *Agent) ask(ctx context.Context, peer transport.Address, request pull, timeout time.Duration) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if a.isPlain(peer) {
		return a.askPlain(ctx, peer, request)
	}
	self := a.options.Self
	encoded, err := a.options.Sender.Call(ctx, peer, kindFetch, request.marshalFetch(self.Name, self.Zone))
	if transport.Unhandled(err) {
		a.notePlain(peer)
		return a.askPlain(ctx, peer, request)
	}
	if err != nil {
		return answer{}, err
	}
	return unmarshalFetched(encoded)
}

// askPlain asks a peer of an earlier version, which tells all objects.
func (a *Agent) askPlain(ctx context.Context, peer transport.Address, request pull) (answer, error) {
	encoded, err := a.options.Sender.Call(ctx, peer, kindPull, request.marshal())
	if err != nil {
		return answer{}, err
	}
	reply, err := unmarshalAnswer(encoded)
	for i := range reply.deltas {
		reply.deltas[i].all = true
	}
	return reply, err
}

func (a *Agent) isPlain(peer transport.Address) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	at, plain := a.plain[peer]
	if plain && clock.Since(at) > plainMemory {
		delete(a.plain, peer)
		return false
	}
	return plain
}

func (a *Agent) notePlain(peer transport.Address) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.plain[peer] = clock.Now()
}

// knowsAll says whether this node knows something of each kind.
func (a *Agent) knowsAll() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.hasAll()
}

// hasAll is knowsAll; the caller holds the mutex.
func (a *Agent) hasAll() bool {
	return !slices.ContainsFunc(a.options.Kinds, func(kind Kind) bool { return a.table.At(kind.Name) == 0 })
}

// pullRequest says what this node has. known is false while it has nothing,
// and then the peer is not to hold the pull.
func (a *Agent) pullRequest() (request pull, known bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	request.kinds = map[string]position{}
	request.nodesDigest = a.nodesDigest
	known = true
	now := clock.Now()
	for _, kind := range a.options.Kinds {
		request.kinds[kind.Name] = position{
			at: a.table.At(kind.Name), age: a.fresh.age(kind.Name, now), part: a.table.Part(kind.Name),
		}
		known = known && a.table.At(kind.Name) > 0
	}
	if known {
		request.wait = a.holdTime(now)
	}
	if a.options.DataNode {
		request.nodes = append(request.nodes, a.options.Self)
	}
	return request, known
}
