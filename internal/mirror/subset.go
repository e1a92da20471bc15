package mirror

import (
	"maps"

	"chutelock.dev/chutelock/internal/membership"
)

// Place holds the properties of an object that decide which nodes mirror it: the group of
// interchangeable objects that it belongs to, and its zone.
type Place struct {
	Group string
	Zone  string
}

const (
	// minLocalObjects is the number of a group's objects in its own zone that a front node
	// keeps at least, as far as they exist, and minRemoteObjects that in all other zones
	// together. They leave a front node a wide choice at a bounded cost: in a fleet of 10,000
	// engines one has a single request in flight at most times, and 256 engines have some 2,000
	// slots.
	minLocalObjects  = 256
	minRemoteObjects = 128
	// minObjectsPerRemoteZone is the least share of minRemoteObjects for one zone.
	minObjectsPerRemoteZone = 16
	// maxShift bounds how far a subset is reduced.
	maxShift = 32
)

// subset is the part of a kind's objects that a node keeps. Of each place it contains the
// objects whose rendezvous hash with the node's name begins with as many zero bits as the
// place's shift. Membership depends on the object alone, so a peer can compute changes without
// knowing what the node has; objects are spread evenly over the nodes; and a node's subset is
// stable, which keeps its connections.
type subset struct {
	node string
	zone string
	// shifts holds the shifts above 0. Of other places all objects are kept.
	shifts map[Place]uint8
}

// contains says whether an object belongs to the subset; a nil subset contains all.
func (s *subset) contains(name string, place Place) bool {
	if s == nil {
		return true
	}
	shift := s.shifts[place]
	return shift == 0 || membership.RendezvousScore(s.node, name)>>(64-shift) == 0
}

// partial says whether objects may be left out.
func (s *subset) partial() bool { return s != nil && len(s.shifts) > 0 }

// fitShifts returns the shifts that suit the number of objects at each place. A shift that
// keeps between half and four times the minimum is left alone, so that a few changes, or
// slightly different counts at peers, don't change the subset.
func (s *subset) fitShifts(counts map[Place]int) map[Place]uint8 {
	zones := zonesByGroup(counts)
	fitted := map[Place]uint8{}
	for place, count := range counts {
		if shift := fitShift(count, s.minObjects(place, zones[place.Group]), s.shifts[place]); shift > 0 {
			fitted[place] = shift
		}
	}
	return fitted
}

// minObjects returns how many of a place's objects the node should keep at least.
func (s *subset) minObjects(place Place, zones int) int {
	if place.Zone == s.zone {
		return minLocalObjects
	}
	return max(minObjectsPerRemoteZone, minRemoteObjects/max(zones-1, 1))
}

func zonesByGroup(counts map[Place]int) map[string]int {
	zones := map[string]int{}
	for place := range counts {
		zones[place.Group]++
	}
	return zones
}

func fitShift(count, minObjects int, current uint8) uint8 {
	kept := count >> current
	if kept < 4*minObjects && (current == 0 || kept >= minObjects/2) {
		return current
	}
	shift := uint8(0)
	for shift < maxShift && count>>(shift+1) >= minObjects {
		shift++
	}
	return shift
}

// sameShifts says whether two subsets of a node are equal.
func sameShifts(x, y map[Place]uint8) bool { return maps.Equal(x, y) }
