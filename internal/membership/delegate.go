package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Live says whether the member takes part in the work of its zone: it is
// alive or only suspected. A leaving member still answers but gets no new role.
func (m Member) Live() bool { return m.State == StateAlive || m.State == StateSuspect }

// String names the state as in logs and operators' listings.
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

// Member finds a member by its name.
func (v *View) Member(name string) (Member, bool) {
	index := sort.Search(len(v.Members), func(i int) bool { return v.Members[i].Name >= name })
	if index == len(v.Members) || v.Members[index].Name != name {
		return Member{}, false
	}
	return v.Members[index], true
}

// LiveInZone lists the live members of a zone, ordered by name.
func (v *View) LiveInZone(zone string) []Member {
	return v.live(func(m *Member) bool { return m.Zone == zone })
}

// LiveInRegion lists the live members of a region, ordered by name.
func (v *View) LiveInRegion(region string) []Member {
	return v.live(func(m *Member) bool { return m.Region == region })
}

// Zones lists the zones that have a live member, in order.
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

func (v *View) live(wanted func(*Member) bool) []Member {
	var members []Member
	for i := range v.Members {
		if v.Members[i].Live() && wanted(&v.Members[i]) {
			members = append(members, v.Members[i])
		}
	}
	return members
}

// RendezvousScore is the weight of a candidate for a key; the candidate with
// the highest weight owns the key, and the loss of a candidate moves only the
// keys that it owned (Thaler and Ravishankar 1998).
func RendezvousScore(key, candidate string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(candidate)
	return digest.Sum64()
}

// Owner returns the candidate that owns the key; ok is false without any.
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

// Elect returns up to count candidates for a role, best first. All nodes with
// the same view elect the same members without exchanging a message.
func Elect(role string, candidates []Member, count int) []Member {
	type scored struct {
		score uint64
		index int
	}
	order := make([]scored, len(candidates))
	for index := range candidates {
		order[index] = scored{RendezvousScore(role, candidates[index].Name), index}
	}
	sort.Slice(order, func(i, j int) bool {
		if order[i].score != order[j].score {
			return order[i].score > order[j].score
		}
		return candidates[order[i].index].Name < candidates[order[j].index].Name
	})
	elected := make([]Member, 0, min(count, len(candidates)))
	for _, one := range order[:min(count, len(order))] {
		elected = append(elected, candidates[one.index])
	}
	return elected
}
