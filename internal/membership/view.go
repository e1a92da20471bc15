package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Live reports whether the member is alive or suspect. A leaving member still
// answers but gets no new roles.
func (m Member) Live() bool { return m.State == StateAlive || m.State == StateSuspect }

// String returns the state's name as shown in logs and operator tools.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateSuspect:
		return "suspect"
	case StateLeaving:
		return "leaving"
	case StateDead:
		return "dead"
	}
	return "unknown"
}

// Member returns the member with the given name and whether it exists.
func (v *View) Member(name string) (Member, bool) {
	index := sort.Search(len(v.Members), func(i int) bool { return v.Members[i].Name >= name })
	if index == len(v.Members) || v.Members[index].Name != name {
		return Member{}, false
	}
	return v.Members[index], true
}

// LiveInZone returns the live members of a zone, ordered by name.
func (v *View) LiveInZone(zone string) []Member {
	return v.live(func(m *Member) bool { return m.Zone == zone })
}

// LiveInRegion returns the live members of a region, ordered by name.
func (v *View) LiveInRegion(region string) []Member {
	return v.live(func(m *Member) bool { return m.Region == region })
}

// Zones returns the zones that have a live member, in ascending order.
func (v *View) Zones() []string {
	seen := map[string]bool{}
	var zones []string
	for i := range v.Members {
		if zone := v.Members[i].Zone; v.Members[i].Live() && !seen[zone] {
			seen[zone] = true
			zones = append(zones, zone)
		}
	}
	sort.Strings(zones)
	return zones
}

func (v *View) live(match func(*Member) bool) []Member {
	var members []Member
	for i := range v.Members {
		if v.Members[i].Live() && match(&v.Members[i]) {
			members = append(members, v.Members[i])
		}
	}
	return members
}

// RendezvousScore returns the rendezvous hash of a candidate for a key (Thaler
// and Ravishankar 1998). The candidate with the highest score owns the key;
// removing a candidate moves only the keys that it owned.
func RendezvousScore(key, candidate string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(candidate)
	return digest.Sum64()
}

// Owner returns the candidate that owns the key. ok is false if there are no
// candidates.
func Owner(key string, candidates []Member) (owner Member, ok bool) {
	var best uint64
	for _, candidate := range candidates {
		score := RendezvousScore(key, candidate.Name)
		if !ok || score > best || (score == best && candidate.Name < owner.Name) {
			owner, best, ok = candidate, score, true
		}
	}
	return owner, ok
}

// Elect returns up to count candidates for a role, by descending score. Nodes
// with the same view elect the same members without communication.
func Elect(role string, candidates []Member, count int) []Member {
	type scored struct {
		score uint64
		index int
	}
	ranking := make([]scored, len(candidates))
	for index := range candidates {
		ranking[index] = scored{RendezvousScore(role, candidates[index].Name), index}
	}
	sort.Slice(ranking, func(i, j int) bool {
		if ranking[i].score != ranking[j].score {
			return ranking[i].score > ranking[j].score
		}
		return candidates[ranking[i].index].Name < candidates[ranking[j].index].Name
	})
	elected := make([]Member, 0, min(count, len(candidates)))
	for _, entry := range ranking[:min(count, len(ranking))] {
		elected = append(elected, candidates[entry.index])
	}
	return elected
}
