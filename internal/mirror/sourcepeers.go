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
	// maxSourcePeers bounds the data nodes that a node pulls from, so that connections and
	// memory don't grow with the fleet: where nodes pulled from any of 150 data nodes, their
	// memory grew by a third within five minutes at rest.
	maxSourcePeers = 3
	// maxDirectDataNodes is the largest number of data nodes that all pull from the watchers
	// directly. Beyond it, they pull through relays, which bounds the pulls a watcher holds and
	// the traffic between zones: with 30 a watcher holds 20 pulls.
	maxDirectDataNodes = 30
	// relaysPerZone is the number of data nodes in a zone that pull from watchers of other
	// zones. The zone's other data nodes pull from these.
	relaysPerZone = 2
	// probeProbability is how often a pull goes to a failed data node, to detect its recovery.
	// It is low because a pull from a node that is down blocks its loop until it times out,
	// after 2.6 s.
	probeProbability = 0.03
)

// pickPeer picks a random peer to pull from: a source peer if one is healthy, else any
// data node, seed, or node that pulled from this one. An unsynced node doesn't probe failed
// peers, as it can't serve before it is synced.
func (a *Agent) pickPeer(zone string) (transport.Address, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	candidates := a.limitSourcePeers(a.candidates(zone))
	switch {
	case len(candidates) == 0:
		candidates = a.allPeers()
	case !a.isSyncedLocked():
	case rand.Float64() < probeProbability:
		candidates = a.probeTargets(candidates)
	}
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[rand.IntN(len(candidates))], true
}

// probeTargets returns the failed data nodes, or candidates if there are none.
func (a *Agent) probeTargets(candidates []transport.Address) []transport.Address {
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

// limitSourcePeers picks a fixed few of the candidates, which differ between nodes. A node with
// stale data may pull from all.
func (a *Agent) limitSourcePeers(candidates []transport.Address) []transport.Address {
	if len(candidates) <= maxSourcePeers || a.hasStaleData(clock.Now()) {
		return candidates
	}
	members := make([]membership.Member, 0, len(candidates))
	for _, address := range candidates {
		members = append(members, membership.Member{Name: string(address), Address: address})
	}
	sources := make([]transport.Address, 0, maxSourcePeers)
	for _, member := range membership.Elect(a.options.Self.Name, members, maxSourcePeers) {
		sources = append(sources, member.Address)
	}
	return sources
}

// candidates lists the healthy data nodes to pull from: those of the zone, else those of this
// node's region, so that mostly data nodes pull across regions. With stale data, a data node
// may pull from all, as no watcher may reach the store, and so may a front node if no zone is
// given, as its region may be cut off. The caller holds the mutex.
func (a *Agent) candidates(zone string) []transport.Address {
	healthy := a.healthyNodes()
	var inZone, inRegion, all []transport.Address
	for _, name := range healthy {
		node := a.nodes[name]
		if node.Name == a.options.Self.Name {
			continue
		}
		all = append(all, node.Address)
		if node.Zone == zone {
			inZone = append(inZone, node.Address)
		}
		if node.Region == a.options.Self.Region {
			inRegion = append(inRegion, node.Address)
		}
	}
	switch {
	case zone == "" && a.hasStaleData(clock.Now()), a.options.DataNode && a.hasStaleData(clock.Now()):
		return all
	case a.options.DataNode:
		return a.dataNodeSourcePeers(zone, healthy)
	case len(inZone) > 0:
		return inZone
	case len(inRegion) > 0:
		return inRegion
	}
	return all
}

// dataNodeSourcePeers lists a data node's source peers. They are the watchers if no zone is
// given or the fleet is small. Otherwise a zone's relays pull from the zone's watcher, or from all
// watchers if it has none, and the other data nodes of the zone pull from the relays. A change
// takes two hops in a small fleet and at most four in a large one. The caller holds the mutex.
func (a *Agent) dataNodeSourcePeers(zone string, healthy []string) []transport.Address {
	self := a.options.Self.Name
	watchers := healthy[:min(len(healthy), watcherCount)]
	if zone == "" || len(healthy) <= maxDirectDataNodes || slices.Contains(watchers, self) {
		return a.addresses(watchers)
	}
	var inZone []string
	for _, name := range healthy {
		if a.nodes[name].Zone == zone {
			inZone = append(inZone, name)
		}
	}
	relays := inZone[:min(len(inZone), relaysPerZone)]
	if !slices.Contains(relays, self) && len(relays) > 0 {
		return a.addresses(relays)
	}
	isWatcher := func(name string) bool { return slices.Contains(watchers, name) }
	if i := slices.IndexFunc(inZone, isWatcher); i >= 0 {
		return a.addresses(inZone[i : i+1])
	}
	return a.addresses(watchers)
}

// addresses returns the addresses of the named data nodes other than this one.
func (a *Agent) addresses(names []string) []transport.Address {
	addresses := make([]transport.Address, 0, len(names))
	for _, name := range names {
		if name != a.options.Self.Name {
			addresses = append(addresses, a.nodes[name].Address)
		}
	}
	return addresses
}

// hasStaleData says that all kinds were confirmed before and some are stale. The caller holds
// the mutex.
func (a *Agent) hasStaleData(now time.Time) bool {
	unconfirmed := func(kind Kind) bool { return !a.fresh.everConfirmed(kind.Name) }
	return !slices.ContainsFunc(a.options.Kinds, unconfirmed) && a.anyKindStale(now)
}

// anyKindStale says whether some kind is so old that this node reads the store itself. The
// caller holds the mutex.
func (a *Agent) anyKindStale(now time.Time) bool {
	return slices.ContainsFunc(a.options.Kinds, func(kind Kind) bool {
		return stale(kind, a.fresh.age(kind.Name, now), 0)
	})
}

// healthyNodes lists the names of the data nodes that answer, in an order that nodes with the
// same view share: the first of each zone by name, then the second of each, and so on, so that
// watchers remain if a zone is lost. In each round, zones with more failed nodes come later,
// so that a lost zone's nodes need not time out one by one. A zone's single failure does not
// move its first node back. The caller holds the mutex.
func (a *Agent) healthyNodes() []string {
	all := slices.Sorted(maps.Keys(a.nodes))
	indexInZone, zoneSize, failing := map[string]int{}, map[string]int{}, map[string]int{}
	healthy := make([]string, 0, len(all))
	for _, name := range all {
		node := a.nodes[name]
		indexInZone[name] = zoneSize[node.Zone]
		zoneSize[node.Zone]++
		if a.failing[node.Address] {
			failing[node.Zone]++
		} else {
			healthy = append(healthy, name)
		}
	}
	failures := func(name string) int {
		count := failing[a.nodes[name].Zone]
		if indexInZone[name] == 0 && count == 1 {
			return 0 // a single failure: nodes that haven't seen it still rank this watcher first
		}
		return count
	}
	slices.SortStableFunc(healthy, func(x, y string) int {
		return cmp.Or(cmp.Compare(indexInZone[x], indexInZone[y]), cmp.Compare(failures(x), failures(y)))
	})
	return healthy
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
