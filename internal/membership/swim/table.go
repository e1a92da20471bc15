package swim

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/membership"
)

// entry is what a node knows of another member.
type entry struct {
	member membership.Member
	// changed is when the member's record last changed here.
	changed time.Time
	// suspectUntil is when a suspicion becomes a death; zero without one.
	suspectUntil time.Time
}

// table holds all known members but the node itself.
type table struct {
	entries map[string]*entry
	// hashes holds for each zone the XOR of its members' hashes. Suspicion
	// and death leave a record's hash unchanged or remove it, so that a
	// passing suspicion makes no zone exchange its records.
	hashes map[string]uint64
	// byZone lists the names of each zone's members that are not dead, in order.
	byZone map[string][]string
}

func newTable() *table {
	return &table{entries: map[string]*entry{}, hashes: map[string]uint64{}, byZone: map[string][]string{}}
}

// overrides says whether a record replaces an older one of the same member.
func overrides(newer, older *membership.Member) bool {
	if newer.Incarnation != older.Incarnation {
		return newer.Incarnation > older.Incarnation
	}
	return newer.State > older.State
}

// put stores a record and keeps the hashes and the lists of zones true.
func (t *table) put(member membership.Member, now time.Time) *entry {
	known, exists := t.entries[member.Name]
	if !exists {
		known = &entry{member: membership.Member{State: membership.StateDead, Zone: member.Zone}}
		t.entries[member.Name] = known
	}
	t.hashes[known.member.Zone] ^= recordHash(&known.member)
	if known.member.State != membership.StateDead {
		t.unlist(known.member.Zone, member.Name)
	}
	known.member = member
	known.changed = now
	known.suspectUntil = time.Time{}
	t.hashes[member.Zone] ^= recordHash(&member)
	if member.State != membership.StateDead {
		t.list(member.Zone, member.Name)
	}
	return known
}

func (t *table) forget(name string) {
	delete(t.entries, name)
}

func (t *table) list(zone, name string) {
	names := t.byZone[zone]
	index := sort.SearchStrings(names, name)
	names = append(names, "")
	copy(names[index+1:], names[index:])
	names[index] = name
	t.byZone[zone] = names
}

func (t *table) unlist(zone, name string) {
	names := t.byZone[zone]
	index := sort.SearchStrings(names, name)
	if index < len(names) && names[index] == name {
		t.byZone[zone] = append(names[:index], names[index+1:]...)
	}
}

// recordHash hashes what zones must agree on; dead members count nothing.
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
