package replica

import (
	"cmp"
	"slices"
	"strings"

	"chutelock.dev/chutelock/internal/ledger/replication"
)

// site is a node that can hold replicas.
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

// aim is what replica sets are to bear.
type aim struct {
	copies int
	// zoneLosses is how many zones may be lost at once, 0 or 1: no zone holds so many
	// voters that the rest is no majority.
	zoneLosses int
}

// mostInZone is how many of so many replicas a zone may hold.
func (a aim) mostInZone(replicas int) int {
	if a.zoneLosses == 0 {
		return replicas
	}
	return (replicas - 1) / 2
}

// replicas is the largest odd number of replicas, copies at most, that the sites can
// hold so that they bear what they are to. Fewer than three zones can't bear the loss
// of one, whatever is placed where: then only disks count.
func (a aim) replicas(sites []site) int {
	most := min(a.copies, oddAtMost(len(sites)))
	zones := zoneCounts(sites)
	for n := most; n >= 3; n -= 2 {
		places := 0
		for _, count := range zones {
			places += min(count, a.mostInZone(n))
		}
		if places >= n {
			return n
		}
	}
	return most
}

// placeShards chooses the sites of each shard's first replicas: spread over
// zones first, then over the nodes with the fewest replicas.
func placeShards(shards int, sites []site, aim aim) [][]site {
	copies := aim.replicas(sites)
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

// bestSite picks, among the sites not taken, one in the zone with the fewest
// taken, with the least load, and the first by name.
func bestSite(sites, taken []site, load map[string]int) site {
	crowd := zoneCounts(taken)
	free := slices.DeleteFunc(slices.Clone(sites), func(s site) bool { return slices.Contains(taken, s) })
	return slices.MinFunc(free, func(a, b site) int {
		if crowd[a.zone] != crowd[b.zone] {
			return crowd[a.zone] - crowd[b.zone]
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
	// superseded: the node has come back with another disk.
	superseded bool
	// lost: silent for longer than the bound, or superseded.
	lost bool
	// gone: lost, and not waited for; its zone may not come back.
	gone bool
}

// repairPlan is what a leader aims at.
type repairPlan struct {
	// wanted are the present members that shall stay.
	wanted []replication.ReplicaID
	// join are the sites of which one shall get a new replica; empty when
	// none is needed or possible.
	join []site
}

// outlivesAZone says whether a majority of the voters is there after the loss of any
// zone.
func outlivesAZone(voters []member) bool {
	sound := slices.DeleteFunc(slices.Clone(voters), func(m member) bool { return m.lost })
	for _, inZone := range zoneCounts(sitesOf(sound)) {
		if len(sound)-inZone < len(voters)/2+1 {
			return false
		}
	}
	return len(sound) > 0
}

// planRepair decides which members stay and where a new one is needed. It
// never gives up a lost voter before another can take its place, so that the
// number of voters doesn't fall.
//
// While a zone is away the others get no more replicas than they may hold: a lost
// voter stays, which has its disk still if only the power is lost, and the set bears
// the loss of a zone as soon as that is back. One that is gone for long is replaced
// wherever there is room, as disks fail more often than second zones.
func planRepair(members []member, sites []site, aim aim) repairPlan {
	kept := slices.DeleteFunc(slices.Clone(members), func(m member) bool { return m.lost })
	free := freeSites(members, sites)
	// An even number of voters is a replacement under way, not a size to keep.
	target := max(aim.replicas(append(sitesOf(kept), free...)), min(aim.copies, oddAtMost(countVoters(members))))
	lost := slices.ContainsFunc(members, func(m member) bool { return m.voter && m.lost })
	if lost {
		kept = withoutSpareLearners(kept, target)
	}
	var join []site
	switch {
	case len(kept) < target:
		join = leastCrowded(free, sitesOf(kept))
		if len(join) > 0 && zoneCounts(sitesOf(kept))[join[0].zone] >= aim.mostInZone(target) && mayWait(members, sites) {
			join = nil
		}
	case len(kept) == target && !lost:
		join = betterSpread(free, sitesOf(kept))
	}
	for len(kept) > target {
		at := mostDispensable(kept)
		kept = slices.Delete(kept, at, at+1)
	}
	wanted := append(replicasOf(kept), stillWanted(members, sites, target-len(kept))...)
	slices.Sort(wanted)
	return repairPlan{wanted: wanted, join: join}
}

// withoutSpareLearners leaves learners only in places that no sound voter has: while a
// lost voter is there, a learner more would make a sound voter the one too many.
func withoutSpareLearners(kept []member, target int) []member {
	spare := len(kept) - max(target, countVoters(kept))
	return slices.DeleteFunc(kept, func(m member) bool {
		spares := !m.voter && spare > 0
		if spares {
			spare--
		}
		return spares
	})
}

// mayWait says that a voter is lost with its whole zone, and none is gone.
func mayWait(members []member, sites []site) bool {
	zones, wait := zoneCounts(sites), false
	for _, m := range members {
		if m.voter && m.gone {
			return false
		}
		wait = wait || (m.voter && m.lost && zones[m.site.zone] == 0)
	}
	return wait
}

// stillWanted are so many lost voters that nobody replaces yet: first those that may
// come back with their disks, and of zones that are away, for which room is kept so.
func stillWanted(members []member, sites []site, count int) []replication.ReplicaID {
	present := zoneCounts(sites)
	lost := slices.DeleteFunc(slices.Clone(members), func(m member) bool { return !m.lost || !m.voter })
	slices.SortStableFunc(lost, func(a, b member) int {
		return cmp.Or(cmp.Compare(a.hopeless(), b.hopeless()), cmp.Compare(present[a.site.zone], present[b.site.zone]))
	})
	return replicasOf(lost[:max(0, min(count, len(lost)))])
}

// hopeless orders lost members by how little they may be expected to come back.
func (m member) hopeless() int {
	switch {
	case m.superseded:
		return 2
	case m.gone:
		return 1
	}
	return 0
}

// freeSites are those without a member, or with one whose disk is gone.
func freeSites(members []member, sites []site) []site {
	return slices.DeleteFunc(slices.Clone(sites), func(s site) bool {
		return slices.ContainsFunc(members, func(m member) bool { return m.site.node == s.node && !m.superseded })
	})
}

// leastCrowded returns the free sites in the zone with the fewest taken ones.
func leastCrowded(free, taken []site) []site {
	crowd := zoneCounts(taken)
	fewest := len(taken) + 1
	for _, s := range free {
		fewest = min(fewest, crowd[s.zone])
	}
	return slices.DeleteFunc(slices.Clone(free), func(s site) bool { return crowd[s.zone] > fewest })
}

// betterSpread returns free sites in a zone with at least two replicas fewer
// than the fullest.
func betterSpread(free, taken []site) []site {
	crowd := zoneCounts(taken)
	most := 0
	for _, count := range crowd {
		most = max(most, count)
	}
	candidates := leastCrowded(free, taken)
	if len(candidates) == 0 || crowd[candidates[0].zone]+2 > most {
		return nil
	}
	return candidates
}

// mostDispensable returns the member to give up first: in the fullest zone,
// never the leader.
func mostDispensable(kept []member) int {
	crowd := zoneCounts(sitesOf(kept))
	best := -1
	for i, m := range kept {
		if m.leader {
			continue
		}
		if best < 0 || crowd[m.site.zone] > crowd[kept[best].site.zone] {
			best = i
		}
	}
	return best
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
