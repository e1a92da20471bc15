package dissemination

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/transport"
)

// plan holds this node's roles and peers, derived from its membership view.
// Nodes with the same view derive consistent plans.
type plan struct {
	watcher bool
	// position is this node's place in its zone's tree; 0 is the head.
	position int
	children []transport.Address
	parent   transport.Address
	head     transport.Address
	// roots are the first nodes of each zone of the region, own zone included.
	roots []transport.Address
	// otherHeads are the first relayRoots nodes of each other zone.
	otherHeads []transport.Address
	// zonePeers, regionPeers and otherRegions are gossip partners by distance:
	// the other nodes of the zone, all nodes of the region's other zones, and
	// the first relayRoots nodes of each zone of other regions.
	zonePeers, regionPeers, otherRegions []transport.Address
	// zoneSizes counts the live members of each zone.
	zoneSizes map[string]int
}

// planFor returns the plan of self.
func planFor(self membership.Member, view *membership.View) plan {
	zones := liveZones(self, view)
	result := plan{zoneSizes: make(map[string]int, len(zones))}
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		members := zones[name]
		result.zoneSizes[name] = len(members)
		rank("tree", members)
		result.addZone(self, name, members)
	}
	result.watcher = slices.Contains(watchers(self, zones), self.Address) && !leaving(self, view)
	return result
}

// leaving reports whether self has announced its shutdown; the others then
// choose another watcher.
func leaving(self membership.Member, view *membership.View) bool {
	return slices.ContainsFunc(view.Members, func(member membership.Member) bool {
		return member.Address == self.Address && member.State == membership.StateLeaving
	})
}

// liveZones groups the live members by zone; self is always among them.
func liveZones(self membership.Member, view *membership.View) map[string][]membership.Member {
	zones := map[string][]membership.Member{self.Zone: {self}}
	for _, member := range view.Members {
		live := member.State == membership.StateAlive || member.State == membership.StateSuspect
		if live && member.Address != self.Address {
			zones[member.Zone] = append(zones[member.Zone], member)
		}
	}
	return zones
}

// rank orders members by rendezvous hashing for a role.
func rank(role string, members []membership.Member) {
	weights := make(map[string]uint64, len(members))
	for i := range members {
		weights[members[i].Name] = xxhash.Sum64String(role + "/" + members[i].Name)
	}
	slices.SortFunc(members, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(weights[a.Name], weights[b.Name]), cmp.Compare(a.Name, b.Name))
	})
}

func (p *plan) addZone(self membership.Member, name string, members []membership.Member) {
	addresses := make([]transport.Address, len(members))
	for i, member := range members {
		addresses[i] = member.Address
	}
	first := addresses[:min(relayRoots, len(addresses))]
	sameRegion := members[0].Region == self.Region
	if sameRegion {
		p.roots = append(p.roots, first...)
	}
	switch {
	case name == self.Zone:
		p.placeSelf(self, addresses)
		return
	case sameRegion:
		p.regionPeers = append(p.regionPeers, addresses...)
	default:
		p.otherRegions = append(p.otherRegions, first...)
	}
	p.otherHeads = append(p.otherHeads, first...)
}

// placeSelf sets this node's position, parent and children in its zone's tree.
func (p *plan) placeSelf(self membership.Member, addresses []transport.Address) {
	p.position = slices.Index(addresses, self.Address)
	p.head = addresses[0]
	if p.position > 0 {
		p.parent = addresses[(p.position-1)/relayFanOut]
	}
	from := min(p.position*relayFanOut+1, len(addresses))
	to := min(from+relayFanOut, len(addresses))
	p.children = addresses[from:to]
	for _, address := range addresses {
		if address != self.Address {
			p.zonePeers = append(p.zonePeers, address)
		}
	}
}

// watchers returns the region's watchers of the store: the first-ranked member,
// and the first one of another zone. A region with a single zone has its first
// WatchersPerRegion members as watchers.
func watchers(self membership.Member, zones map[string][]membership.Member) []transport.Address {
	var members []membership.Member
	for _, zone := range zones {
		if zone[0].Region == self.Region {
			members = append(members, zone...)
		}
	}
	rank("watch", members)
	chosen := members[:1]
	for _, candidate := range members[1:] {
		if candidate.Zone != chosen[0].Zone {
			chosen = append(chosen[:1:1], candidate)
			break
		}
	}
	if len(chosen) == 1 && len(members) > 1 {
		chosen = members[:WatchersPerRegion]
	}
	addresses := make([]transport.Address, len(chosen))
	for i, member := range chosen {
		addresses[i] = member.Address
	}
	return addresses
}
