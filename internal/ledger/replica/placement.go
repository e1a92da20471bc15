package replica

import (
	"cmp"
	"slices"
	"strings"

	"chutelock.dev/chutelock/internal/ledger/replication"
)

// site is a node that can hold replicas, with its zone.
type site struct {
	node string
	zone string
}

// oddAtMost returns the largest odd number that is at most n, and 0 for n < 1.
func oddAtMost(n int) int {
	if n < 1 {
		return 0
	}
	return n - 1 + n%2
}

// placementPolicy is the size and fault tolerance wanted for replica sets.
type placementPolicy struct {
	copies int
	// zoneLosses is the number of simultaneous zone losses to tolerate, 0 or 1. With
	// 1, no zone holds a majority of the voters.
	zoneLosses int
}

// maxPerZone returns the maximum number of a set's replicas in one zone.
func (p placementPolicy) maxPerZone(replicas int) int {
	if p.zoneLosses == 0 {
		return replicas
	}
	return (replicas - 1) / 2
}

// replicaCount returns the largest odd number of replicas, at most copies, that the
// sites can hold within maxPerZone. If no such set of three or more exists, as with
// fewer than three zones, it ignores zones.
func (p placementPolicy) replicaCount(sites []site) int {
	most := min(p.copies, oddAtMost(len(sites)))
	zones := zoneCounts(sites)
	for n := most; n >= 3; n -= 2 {
		places := 0
		for _, count := range zones {
			places += min(count, p.maxPerZone(n))
		}
		if places >= n {
			return n
		}
	}
	return most
}

// placeShards chooses the sites of each shard's initial replicas, balancing zones
// first and then the number of replicas per node.
func placeShards(shards int, sites []site, policy placementPolicy) [][]site {
	copies := policy.replicaCount(sites)
	load := map[string]int{}
	placed := make([][]site, shards)
	for shard := range placed {
		for range copies {
			best := bestSite(sites, placed[shard], load)
			placed[shard] = append(placed[shard], best)
			load[best.node]++
		}
	}
	return placed
}

// bestSite returns the free site in the zone with the fewest taken sites, then
// with the least load, then first by name.
func bestSite(sites, taken []site, load map[string]int) site {
	perZone := zoneCounts(taken)
	free := slices.DeleteFunc(slices.Clone(sites), func(s site) bool { return slices.Contains(taken, s) })
	return slices.MinFunc(free, func(a, b site) int {
		if perZone[a.zone] != perZone[b.zone] {
			return perZone[a.zone] - perZone[b.zone]
		}
		if load[a.node] != load[b.node] {
			return load[a.node] - load[b.node]
		}
		return strings.Compare(a.node, b.node)
	})
}

func zoneCounts(sites []site) map[string]int {
	counts := map[string]int{}
	for _, s := range sites {
		counts[s.zone]++
	}
	return counts
}

// member is a replica of a shard, as its leader sees it.
type member struct {
	replica replication.ReplicaID
	site    site
	voter   bool
	leader  bool
	// superseded is set if the node came back with another disk.
	superseded bool
	// lost is set if the replica needs replacement: silent for ReplaceAfter,
	// superseded, leaving or in the wrong region.
	lost bool
	// presumedDead is set if the replica is lost and not expected to return.
	presumedDead bool
}

// repairPlan is the replica set that a leader works towards.
type repairPlan struct {
	// wanted lists the current members to keep.
	wanted []replication.ReplicaID
	// candidates lists the sites of which one gets a new replica; it is empty if
	// none is needed or possible.
	candidates []site
}

// survivesZoneLoss reports whether the healthy voters remain a majority after the
// loss of any one zone.
func survivesZoneLoss(voters []member) bool {
	healthy := slices.DeleteFunc(slices.Clone(voters), func(m member) bool { return m.lost })
	for _, inZone := range zoneCounts(sitesOf(healthy)) {
		if len(healthy)-inZone < len(voters)/2+1 {
			return false
		}
	}
	return len(healthy) > 0
}

// planRepair decides which members to keep and where to add one. It keeps a lost
// voter until a replacement is available, so the number of voters doesn't drop.
//
// While a zone is unavailable, other zones don't exceed maxPerZone: the lost voters
// stay, since their disks may be intact, and zone tolerance returns with the zone.
// A voter that is presumed dead is replaced in any zone, because disk failures are
// more likely than the loss of a second zone.
func planRepair(members []member, sites []site, policy placementPolicy) repairPlan {
	kept := slices.DeleteFunc(slices.Clone(members), func(m member) bool { return m.lost })
	free := freeSites(members, sites)
	// An even number of voters means that a replacement is in progress.
	target := max(policy.replicaCount(append(sitesOf(kept), free...)), min(policy.copies, oddAtMost(countVoters(members))))
	lost := slices.ContainsFunc(members, func(m member) bool { return m.voter && m.lost })
	if lost {
		kept = dropSurplusLearners(kept, target)
	}
	var candidates []site
	switch {
	case len(kept) < target:
		candidates = sitesInEmptiestZone(free, sitesOf(kept))
		if len(candidates) > 0 && zoneCounts(sitesOf(kept))[candidates[0].zone] >= policy.maxPerZone(target) && zoneMayReturn(members, sites) {
			candidates = nil
		}
	case len(kept) == target && !lost:
		candidates = sitesImprovingSpread(free, sitesOf(kept))
	}
	for len(kept) > target {
		at := removalCandidate(kept)
		kept = slices.Delete(kept, at, at+1)
	}
	wanted := append(replicasOf(kept), lostVotersToKeep(members, sites, target-len(kept))...)
	slices.Sort(wanted)
	return repairPlan{wanted: wanted, candidates: candidates}
}

// dropSurplusLearners drops the learners that exceed target. While a lost voter
// remains, a surplus learner would cause a healthy voter to be removed.
func dropSurplusLearners(kept []member, target int) []member {
	surplus := len(kept) - max(target, countVoters(kept))
	return slices.DeleteFunc(kept, func(m member) bool {
		drop := !m.voter && surplus > 0
		if drop {
			surplus--
		}
		return drop
	})
}

// zoneMayReturn reports whether a voter is lost together with its whole zone and
// no voter is presumed dead.
func zoneMayReturn(members []member, sites []site) bool {
	zones, mayReturn := zoneCounts(sites), false
	for _, m := range members {
		if m.voter && m.presumedDead {
			return false
		}
		mayReturn = mayReturn || (m.voter && m.lost && zones[m.site.zone] == 0)
	}
	return mayReturn
}

// lostVotersToKeep returns up to count lost voters that have no replacement yet,
// preferring those most likely to return and those of unavailable zones.
func lostVotersToKeep(members []member, sites []site, count int) []replication.ReplicaID {
	present := zoneCounts(sites)
	lost := slices.DeleteFunc(slices.Clone(members), func(m member) bool { return !m.lost || !m.voter })
	slices.SortStableFunc(lost, func(a, b member) int {
		return cmp.Or(cmp.Compare(a.recoveryRank(), b.recoveryRank()), cmp.Compare(present[a.site.zone], present[b.site.zone]))
	})
	return replicasOf(lost[:max(0, min(count, len(lost)))])
}

// recoveryRank orders lost members; a higher rank is less likely to return.
func (m member) recoveryRank() int {
	switch {
	case m.superseded:
		return 2
	case m.presumedDead:
		return 1
	}
	return 0
}

// freeSites returns the sites that hold no member other than a superseded one.
func freeSites(members []member, sites []site) []site {
	return slices.DeleteFunc(slices.Clone(sites), func(s site) bool {
		return slices.ContainsFunc(members, func(m member) bool { return m.site.node == s.node && !m.superseded })
	})
}

// sitesInEmptiestZone returns the free sites in the zones with the fewest taken
// sites.
func sitesInEmptiestZone(free, taken []site) []site {
	perZone := zoneCounts(taken)
	fewest := len(taken) + 1
	for _, s := range free {
		fewest = min(fewest, perZone[s.zone])
	}
	return slices.DeleteFunc(slices.Clone(free), func(s site) bool { return perZone[s.zone] > fewest })
}

// sitesImprovingSpread returns free sites in zones that have at least two replicas
// fewer than the fullest zone.
func sitesImprovingSpread(free, taken []site) []site {
	perZone := zoneCounts(taken)
	most := 0
	for _, count := range perZone {
		most = max(most, count)
	}
	candidates := sitesInEmptiestZone(free, taken)
	if len(candidates) == 0 || perZone[candidates[0].zone]+2 > most {
		return nil
	}
	return candidates
}

// removalCandidate returns the index of the member to remove first: one in the
// fullest zone, never the leader.
func removalCandidate(kept []member) int {
	perZone := zoneCounts(sitesOf(kept))
	candidate := -1
	for i, m := range kept {
		if m.leader {
			continue
		}
		if candidate < 0 || perZone[m.site.zone] > perZone[kept[candidate].site.zone] {
			candidate = i
		}
	}
	return candidate
}

func sitesOf(members []member) []site {
	sites := make([]site, 0, len(members))
	for _, m := range members {
		sites = append(sites, m.site)
	}
	return sites
}

func replicasOf(members []member) []replication.ReplicaID {
	ids := make([]replication.ReplicaID, 0, len(members))
	for _, m := range members {
		ids = append(ids, m.replica)
	}
	return ids
}

func countVoters(members []member) int {
	voters := 0
	for _, m := range members {
		if m.voter {
			voters++
		}
	}
	return voters
}
