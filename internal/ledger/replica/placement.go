package replica

import (
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

// placeShards chooses the sites of each shard's first replicas: spread over
// zones first, then over the nodes with the fewest replicas.
func placeShards(shards int, sites []site, copies int) [][]site {
	copies = min(copies, oddAtMost(len(sites)))
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
}

// repairPlan is what a leader aims at.
type repairPlan struct {
	// wanted are the present members that shall stay.
	wanted []replication.ReplicaID
	// join are the sites of which one shall get a new replica; empty when
	// none is needed or possible.
	join []site
}

// planRepair decides which members stay and where a new one is needed. It
// never gives up a lost voter before another can take its place, so that the
// number of voters doesn't fall.
func planRepair(members []member, sites []site, copies int) repairPlan {
	kept := slices.DeleteFunc(slices.Clone(members), func(m member) bool { return m.lost })
	free := freeSites(members, sites)
	target := max(oddAtMost(min(copies, len(kept)+len(free))), min(copies, countVoters(members)))
	var join []site
	switch {
	case len(kept) < target:
		join = leastCrowded(free, sitesOf(kept))
	case len(kept) == target:
		join = betterSpread(free, sitesOf(kept))
	}
	for len(kept) > target {
		at := mostDispensable(kept)
		kept = slices.Delete(kept, at, at+1)
	}
	wanted := replicasOf(kept)
	for _, m := range members {
		if m.lost && m.voter && len(wanted) < target {
			wanted = append(wanted, m.replica)
		}
	}
	slices.Sort(wanted)
	return repairPlan{wanted: wanted, join: join}
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
