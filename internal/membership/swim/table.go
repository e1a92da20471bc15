package swim

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/membership"
)

// entry holds the record of another member.
type entry struct {
	member membership.Member
	// changedAt is the local time of the record's last change.
	changedAt time.Time
	// suspectUntil is when the member is declared dead; zero if not suspected.
	suspectUntil time.Time
}

// table holds all known members except the local node.
type table struct {
	entries map[string]*entry
	// hashes holds the XOR of the record hashes of each zone. A suspicion does
	// not change a record's hash, so that it triggers no sync between zones.
	hashes map[string]uint64
	// byZone holds the sorted names of each zone's members that are not dead.
	byZone map[string][]string
}

func newTable() *table {
	return &table{entries: map[string]*entry{}, hashes: map[string]uint64{}, byZone: map[string][]string{}}
}

// overrides reports whether a record replaces another of the same member.
func overrides(newer, older *membership.Member) bool {
	if newer.Incarnation != older.Incarnation {
		return newer.Incarnation > older.Incarnation
	}
	return newer.State > older.State
}

// put stores a record and updates the hashes and member lists of its zones.
func (t *table) put(member membership.Member, now time.Time) *entry {
	known, exists := t.entries[member.Name]
	if !exists {
		known = &entry{member: membership.Member{State: membership.StateDead, Zone: member.Zone}}
		t.entries[member.Name] = known
	}
	t.hashes[known.member.Zone] ^= recordHash(&known.member)
	if known.member.State != membership.StateDead {
		t.removeFromZone(known.member.Zone, member.Name)
	}
	known.member = member
	known.changedAt = now
	known.suspectUntil = time.Time{}
	t.hashes[member.Zone] ^= recordHash(&member)
	if member.State != membership.StateDead {
		t.addToZone(member.Zone, member.Name)
	}
	return known
}

func (t *table) remove(name string) {
	delete(t.entries, name)
}

func (t *table) addToZone(zone, name string) {
	names := t.byZone[zone]
	index := sort.SearchStrings(names, name)
	names = append(names, "")
	copy(names[index+1:], names[index:])
	names[index] = name
	t.byZone[zone] = names
}

func (t *table) removeFromZone(zone, name string) {
	names := t.byZone[zone]
	index := sort.SearchStrings(names, name)
	if index < len(names) && names[index] == name {
		t.byZone[zone] = append(names[:index], names[index+1:]...)
	}
}

// recordHash hashes the part of a record on which zones must agree. It is 0 for a
// dead member.
func recordHash(member *membership.Member) uint64 {
	if member.State == membership.StateDead {
		return 0
	}
	state := member.State
	if state == membership.StateSuspect {
		state = membership.StateAlive
	}
	var fixed [9]byte
	for i := range 8 {
		fixed[i] = byte(member.Incarnation >> (8 * i))
	}
	fixed[8] = byte(state)
	return xxhash.Sum64String(member.Name+string(fixed[:])) | 1
}

func nameHash(name string) uint64 { return xxhash.Sum64String(name) }
