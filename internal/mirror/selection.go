package mirror

import (
	"maps"

	"chutelock.dev/chutelock/internal/membership"
)

// Place is what of an object decides which nodes are to know it: the group of objects that
// do the same work, and the zone where it lies.
type Place struct {
	Group string
	Zone  string
}

const (
	// nearLeast is the least number of a group's objects in its own zone that a front node
	// knows, if there are so many, and farLeast that in all other zones together. A front
	// node of the largest fleet, 10,000 engines in five zones, has one request under way at
	// most times, and 256 engines have 2,048 slots: what it could do with more is to
	// choose among more idle ones. With 167 front nodes a zone each engine is known to 20.
	// Fleets of 512 engines a zone and fewer are known whole.
	nearLeast = 256
	farLeast  = 128
	// farZoneLeast is the least of farLeast for one zone.
	farZoneLeast = 16
	// shiftMost bounds how small a part may be.
	shiftMost = 32
)

// selection is the part of a kind's objects that a node takes: of each place those whose
// hash with the node's name begins with as many zero bits as the place's shift. Whether an
// object belongs to it follows from the object alone, so that changes can be told without
// knowing what the node has, and each object is known to about as many nodes as another
// one. It is a node's for good, so that its connections stay.
type selection struct {
	node string
	zone string
	// shifts are those above 0; of other places all objects are taken.
	shifts map[Place]uint8
}

// has says whether an object belongs to the selection.
func (s *selection) has(name string, place Place) bool {
	if s == nil {
		return true
	}
	shift := s.shifts[place]
	return shift == 0 || membership.RendezvousScore(s.node, name)>>(64-shift) == 0
}

// partial says that some objects may be left out.
func (s *selection) partial() bool { return s != nil && len(s.shifts) > 0 }

// fit returns the shifts that leave enough of so many objects a place. A shift that
// leaves between half and four times of what is enough stays, so that a few changes, and
// peers that know of a few more or less, don't change the selection.
func (s *selection) fit(counts map[Place]int) map[Place]uint8 {
	zones := zonesByGroup(counts)
	fitted := map[Place]uint8{}
	for place, count := range counts {
		if shift := fitShift(count, s.least(place, zones[place.Group]), s.shifts[place]); shift > 0 {
			fitted[place] = shift
		}
	}
	return fitted
}

// least is how many of a place's objects the node is to know.
func (s *selection) least(place Place, zones int) int {
	if place.Zone == s.zone {
		return nearLeast
	}
	return max(farZoneLeast, farLeast/max(zones-1, 1))
}

func zonesByGroup(counts map[Place]int) map[string]int {
	zones := map[string]int{}
	for place := range counts {
		zones[place.Group]++
	}
	return zones
}

func fitShift(count, least int, present uint8) uint8 {
	left := count >> present
	if left < 4*least && (present == 0 || left >= least/2) {
		return present
	}
	shift := uint8(0)
	for shift < shiftMost && count>>(shift+1) >= least {
		shift++
	}
	return shift
}

// sameShifts says whether two selections of a node take the same part.
func sameShifts(x, y map[Place]uint8) bool { return maps.Equal(x, y) }
