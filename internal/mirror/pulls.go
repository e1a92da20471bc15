package mirror

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
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
	// gatherTime is how long a peer waits for the confirmations of other kinds
	// before it tells of one.
	gatherTime = 20 * time.Millisecond
	// strayShare is how often any peer is asked instead of a preferred one, so
	// that those that failed are found to be back.
	strayShare = 0.1
	// peerMemory is how long a node remembers a peer that asked it.
	peerMemory = 30 * time.Second
)

// handlePull answers a peer, at once if it lacks an object, else as soon as
// this node has younger confirmations.
func (a *Agent) handlePull(ctx context.Context, from transport.Address, payload []byte) ([]byte, error) {
	request, err := unmarshalPull(payload)
	if err != nil {
		return nil, trace.Wrap(err, "pull of peer %s", from)
	}
	received := clock.Now()
	a.learnNodes(request.nodes)
	a.rememberPeer(from)
	timer := time.NewTimer(request.wait)
	defer timer.Stop()
	for {
		news, changed := a.newsFor(&request, received)
		if news == newsObjects || request.wait == 0 {
			return a.answerTo(&request).marshal(), nil
		}
		if news == newsAge {
			a.pause(gatherTime)
			return a.answerTo(&request).marshal(), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return a.answerTo(&request).marshal(), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-a.running.Done():
			return nil, trace.ConnectionProblem(nil, "the node is stopping")
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
	for _, kind := range a.options.Kinds {
		asked, wanted := request.kinds[kind.Name]
		if !wanted || a.table.At(kind.Name) == 0 {
			continue
		}
		if asked.at == 0 || a.table.Changed(kind.Name, asked.at) {
			return newsObjects, a.changed
		}
		theirs := asked.age + now.Sub(received)
		if a.table.At(kind.Name) >= asked.at && theirs-a.fresh.age(kind.Name, now) >= kind.share(tellShare) {
			found = newsAge
		}
	}
	return found, a.changed
}

// answerTo tells all that this node has beyond the request.
func (a *Agent) answerTo(request *pull) answer {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var reply answer
	if digest(a.nodes) != request.nodesDigest {
		for _, node := range a.nodes {
			reply.nodes = append(reply.nodes, node)
		}
	}
	now := clock.Now()
	for kind, asked := range request.kinds {
		if delta, known := a.table.Since(kind, asked.at); known {
			reply.deltas = append(reply.deltas, agedDelta{Delta: delta, age: a.fresh.age(kind, now)})
		}
	}
	return reply
}

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

// pullLoop waits on one peer after the other, in a zone if there are any.
func (a *Agent) pullLoop(zone string) {
	failures := 0
	for a.running.Err() == nil {
		peer, found := a.pickPeer(zone)
		if !found {
			a.pause(firstPullRetry)
			continue
		}
		known, err := a.pullFrom(peer, failures)
		a.notePull(peer, err)
		switch {
		case err == nil:
			failures = 0
		case known:
			a.pause(pullRetry)
		default:
			failures++
			a.pause(firstPullRetry)
		}
	}
}

// pullTime bounds a pull: a node that knows nothing waits shortly at first, and
// longer with each failure in a row.
func pullTime(request pull, known bool, failures int) time.Duration {
	if known {
		return request.wait + pullSlack
	}
	return min(firstPullSlack<<min(failures, 8), pullSlack)
}

// errKnowsNothing says that a peer answered but left this node without some kind.
var errKnowsNothing = errors.New("the peer doesn't know all yet")

// notePull remembers whether a peer answers.
func (a *Agent) notePull(peer transport.Address, err error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	was := a.failing[peer]
	if err == nil || errors.Is(err, errKnowsNothing) {
		delete(a.failing, peer)
		return
	}
	a.failing[peer] = true
	if !was && a.running.Err() == nil {
		eventPeerFailing.Info("peer", peer, "cause", err)
	}
}

// pickPeer draws a peer to ask: a data node in the zone, or of this node's region, if
// one answers, else any data node, seed or node that asked this one. A node that lacks a
// kind strays to none of these: its seeds may be down, and it serves nobody meanwhile. Two
// starts in a thousand took over 0.3 s so, with two seeds that were silent (11 of 6,000).
func (a *Agent) pickPeer(zone string) (transport.Address, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	candidates := a.candidates(zone)
	if len(candidates) == 0 || (a.hasAll() && rand.Float64() < strayShare) {
		candidates = a.allPeers()
	}
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[rand.IntN(len(candidates))], true
}

// candidates are the data nodes that answer: of the zone, or of this node's region if
// the zone is empty or has none, so that a change goes from region to region by data
// nodes and not by each front node. If no zone is given, a node with old facts asks any:
// its region may be cut off from those that have newer ones. Data nodes ask the watchers only, so that a change
// is two steps from every node; but any data node if what they know is old, as
// then no watcher may have a way to the store. The caller holds the mutex.
func (a *Agent) candidates(zone string) []transport.Address {
	var near, inRegion, all []transport.Address
	for _, name := range a.soundNodes() {
		node := a.nodes[name]
		if node.Name == a.options.Self.Name {
			continue
		}
		all = append(all, node.Address)
		if node.Zone == zone {
			near = append(near, node.Address)
		}
		if node.Region == a.options.Self.Region {
			inRegion = append(inRegion, node.Address)
		}
	}
	switch {
	case zone == "" && a.isStale(clock.Now()), a.options.DataNode && a.isStale(clock.Now()):
		return all
	case a.options.DataNode:
		return all[:min(len(all), watcherCount)]
	case len(near) > 0:
		return near
	case len(inRegion) > 0:
		return inRegion
	}
	return all
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

// isStale says that what this node knows of some kind is so old that it reads the
// store by itself. The caller holds the mutex.
func (a *Agent) isStale(now time.Time) bool {
	return slices.ContainsFunc(a.options.Kinds, func(kind Kind) bool {
		return stale(kind, a.fresh.age(kind.Name, now), 0)
	})
}

// soundNodes are the names of the data nodes that answer, in an order that nodes with
// the same view share: the first of each zone by name, then the second of each, so
// that the loss of a zone leaves watchers in others. Zones in which several don't answer
// come last each time: others of a lost zone would have to be found out one by one. One
// that doesn't answer moves nobody from the first places. The caller holds the mutex.
func (a *Agent) soundNodes() []string {
	all := slices.Sorted(maps.Keys(a.nodes))
	turn, inZone, failing := map[string]int{}, map[string]int{}, map[string]int{}
	sound := make([]string, 0, len(all))
	for _, name := range all {
		node := a.nodes[name]
		turn[name] = inZone[node.Zone]
		inZone[node.Zone]++
		if a.failing[node.Address] {
			failing[node.Zone]++
		} else {
			sound = append(sound, name)
		}
	}
	trouble := func(name string) int {
		count := failing[a.nodes[name].Zone]
		if turn[name] == 0 && count == 1 {
			return 0 // a machine and not its zone: others may not have seen it, and count on this watcher
		}
		return count
	}
	slices.SortStableFunc(sound, func(x, y string) int {
		return cmp.Or(cmp.Compare(turn[x], turn[y]), cmp.Compare(trouble(x), trouble(y)))
	})
	return sound
}

func (a *Agent) allPeers() []transport.Address {
	var peers []transport.Address
	for _, node := range a.nodes {
		peers = append(peers, node.Address)
	}
	peers = append(peers, a.seeds...)
	for peer := range a.peers {
		peers = append(peers, peer)
	}
	others := peers[:0]
	for _, peer := range peers {
		if peer != a.options.Self.Address {
			others = append(others, peer)
		}
	}
	return others
}

// pullFrom asks a peer. known says whether this node knew something before;
// failures is how many pulls failed in a row.
func (a *Agent) pullFrom(peer transport.Address, failures int) (known bool, err error) {
	request, known := a.pullRequest()
	ctx, cancel := context.WithTimeout(a.running, pullTime(request, known, failures))
	asked := clock.Now()
	defer cancel()
	encoded, err := a.options.Sender.Call(ctx, peer, kindPull, request.marshal())
	if err != nil {
		return known, trace.Wrap(err, "pull from peer %s", peer)
	}
	reply, err := unmarshalAnswer(encoded)
	if err != nil {
		return known, trace.Wrap(err, "pull from peer %s", peer)
	}
	// An answer that lay here while this process stood still is no newer than what the
	// peer knew when it had held the pull for as long as it may.
	answered := asked.Add(min(clock.Since(asked), request.wait+pullSlack))
	a.learnNodes(reply.nodes)
	for _, delta := range reply.deltas {
		a.merge("peer", delta.Delta, answered.Add(-delta.age))
	}
	// A peer may know some kinds only, or mirror fewer: it isn't asked again at once.
	if !known && !a.knowsAll() {
		return known, trace.Wrap(errKnowsNothing, "pull from peer %s", peer)
	}
	return known, nil
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
	request.nodesDigest = digest(a.nodes)
	known = true
	now := clock.Now()
	for _, kind := range a.options.Kinds {
		request.kinds[kind.Name] = position{at: a.table.At(kind.Name), age: a.fresh.age(kind.Name, now)}
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
