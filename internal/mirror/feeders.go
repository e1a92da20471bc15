package mirror

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/transport"
)

const (
	// feedersMost is how many data nodes a node asks in turn, so that its connections
	// don't grow with the fleet: where nodes asked any of 150 data nodes, processes grew
	// from 57 MB after 6 minutes to 75 MB after 11 at rest (985 nodes, middle of all).
	feedersMost = 3
	// directMost is how many data nodes there may be for each to ask the watchers itself.
	// With 30 a watcher holds 20 pulls, and a change crosses zones 30 times.
	directMost = 30
	// zoneHeads is how many data nodes of a zone ask watchers of other zones; the zone's
	// others ask these, so that what changed crosses to a zone twice at most.
	zoneHeads = 2
	// strayShare is how often one is asked that failed, so that it is found to be back: a
	// pull of one that is still down keeps its loop for 2.6 s.
	strayShare = 0.03
)

// pickPeer draws a peer to ask: a data node in the zone, or of this node's region, if
// one answers, else any data node, seed or node that asked this one. A node that lacks a
// kind strays to none of these: its seeds may be down, and it serves nobody meanwhile. Two
// starts in a thousand took over 0.3 s so, with two seeds that were silent (11 of 6,000).
func (a *Agent) pickPeer(zone string) (transport.Address, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	candidates := a.feeders(a.candidates(zone))
	switch {
	case len(candidates) == 0:
		candidates = a.allPeers()
	case !a.hasAll():
	case rand.Float64() < strayShare:
		candidates = a.strays(candidates)
	}
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[rand.IntN(len(candidates))], true
}

// strays are data nodes that failed, or the candidates if none did.
func (a *Agent) strays(candidates []transport.Address) []transport.Address {
	var failed []transport.Address
	for _, node := range a.nodes {
		if a.failing[node.Address] && node.Name != a.options.Self.Name {
			failed = append(failed, node.Address)
		}
	}
	if len(failed) == 0 {
		return candidates
	}
	return failed
}

// feeders are the few of the candidates that this node asks: others ask others. A node
// with old facts asks any.
func (a *Agent) feeders(candidates []transport.Address) []transport.Address {
	if len(candidates) <= feedersMost || a.isOld(clock.Now()) {
		return candidates
	}
	members := make([]membership.Member, 0, len(candidates))
	for _, address := range candidates {
		members = append(members, membership.Member{Name: string(address), Address: address})
	}
	few := make([]transport.Address, 0, feedersMost)
	for _, member := range membership.Elect(a.options.Self.Name, members, feedersMost) {
		few = append(few, member.Address)
	}
	return few
}

// candidates are the data nodes that answer: of the zone, or of this node's region if
// the zone is empty or has none, so that a change goes from region to region by data
// nodes and not by each front node. If no zone is given, a node with old facts asks any:
// its region may be cut off from those that have newer ones; so does a data node, as
// then no watcher may have a way to the store. The caller holds the mutex.
func (a *Agent) candidates(zone string) []transport.Address {
	sound := a.soundNodes()
	var near, inRegion, all []transport.Address
	for _, name := range sound {
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
	case zone == "" && a.isOld(clock.Now()), a.options.DataNode && a.isOld(clock.Now()):
		return all
	case a.options.DataNode:
		return a.dataFeeders(zone, sound)
	case len(near) > 0:
		return near
	case len(inRegion) > 0:
		return inRegion
	}
	return all
}

// dataFeeders are whom a data node asks: watchers, if there are few data nodes or no zone is
// given. Else the first data nodes of a zone ask its watcher, or all watchers if it has none,
// and the others of the zone ask the first ones. So a change is two steps from each node in
// a small fleet, and four at most in a large one. The caller holds the mutex.
func (a *Agent) dataFeeders(zone string, sound []string) []transport.Address {
	self := a.options.Self.Name
	watchers := sound[:min(len(sound), watcherCount)]
	if zone == "" || len(sound) <= directMost || slices.Contains(watchers, self) {
		return a.addresses(watchers)
	}
	var inZone []string
	for _, name := range sound {
		if a.nodes[name].Zone == zone {
			inZone = append(inZone, name)
		}
	}
	heads := inZone[:min(len(inZone), zoneHeads)]
	if !slices.Contains(heads, self) && len(heads) > 0 {
		return a.addresses(heads)
	}
	watching := func(name string) bool { return slices.Contains(watchers, name) }
	if at := slices.IndexFunc(inZone, watching); at >= 0 {
		return a.addresses(inZone[at : at+1])
	}
	return a.addresses(watchers)
}

// addresses are those of data nodes, without this one.
func (a *Agent) addresses(names []string) []transport.Address {
	addresses := make([]transport.Address, 0, len(names))
	for _, name := range names {
		if name != a.options.Self.Name {
			addresses = append(addresses, a.nodes[name].Address)
		}
	}
	return addresses
}

// isOld says that this node knows something of each kind, and that it is stale. The caller
// holds the mutex.
func (a *Agent) isOld(now time.Time) bool {
	unknown := func(kind Kind) bool { return !a.fresh.known(kind.Name) }
	return !slices.ContainsFunc(a.options.Kinds, unknown) && a.isStale(now)
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
