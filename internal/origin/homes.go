package origin

import (
	"slices"

	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/mirror"
)

const (
	// Copies is the number of a stream's home nodes, which are in different zones if possible.
	Copies = 2
	// maxAsked is the number of nodes of a region that are asked for a record: one more than
	// hold it, as a data node that has just joined may have become a home.
	maxAsked = Copies + 1
)

// Homes returns the nodes that hold a stream's record, of the data nodes of a region, or of all if
// it has none.
func Homes(nodes []mirror.Node, region string, key Key) []mirror.Node {
	return pick(nodes, region, key, Copies)
}

// Candidates returns the nodes of a region that may hold a stream's record, the likeliest first.
func Candidates(nodes []mirror.Node, region string, key Key) []mirror.Node {
	return pick(nodes, region, key, maxAsked)
}

// Provers returns the nodes of a region in the order in which they are asked for a proof that needs no
// record. All ask the same one first, so that they share its reads of the platform's store.
func Provers(nodes []mirror.Node, region string) []mirror.Node {
	return pick(nodes, region, KeyOf("", "proofs of "+region), maxAsked)
}

// Regions returns the regions of nodes: own first, then the others by name.
func Regions(nodes []mirror.Node, own string) []string {
	regions := []string{own}
	for _, node := range nodes {
		if !slices.Contains(regions, node.Region) {
			regions = append(regions, node.Region)
		}
	}
	slices.Sort(regions[1:])
	return regions
}

// scoredNode is a node with its rendezvous score for a stream.
type scoredNode struct {
	node   mirror.Node
	score  uint64
	picked bool
}

// pick returns up to count nodes by rendezvous hashing: each is the one with the highest score of
// those in the zones of which fewest were picked before.
func pick(nodes []mirror.Node, region string, key Key, count int) []mirror.Node {
	scored := make([]scoredNode, 0, len(nodes))
	for _, node := range nodes {
		if node.Region == region {
			scored = append(scored, scoredNode{node: node, score: membership.RendezvousScore(string(key[:]), node.Name)})
		}
	}
	if len(scored) == 0 {
		for _, node := range nodes {
			scored = append(scored, scoredNode{node: node, score: membership.RendezvousScore(string(key[:]), node.Name)})
		}
	}
	pickedInZone := map[string]int{}
	picked := make([]mirror.Node, 0, count)
	for len(picked) < min(count, len(scored)) {
		best := -1
		for i := range scored {
			if !scored[i].picked && (best < 0 || precedes(&scored[i], &scored[best], pickedInZone)) {
				best = i
			}
		}
		scored[best].picked = true
		pickedInZone[scored[best].node.Zone]++
		picked = append(picked, scored[best].node)
	}
	return picked
}

// precedes reports whether a is picked before b.
func precedes(a, b *scoredNode, pickedInZone map[string]int) bool {
	if inA, inB := pickedInZone[a.node.Zone], pickedInZone[b.node.Zone]; inA != inB {
		return inA < inB
	}
	if a.score != b.score {
		return a.score > b.score
	}
	return a.node.Name < b.node.Name
}
