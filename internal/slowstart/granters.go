package slowstart

import (
	"cmp"
	"slices"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/mirror"
)

// maxGranters is how many data nodes grant permits for an engine: a first one, and a second
// that is asked when the first fails. Each may grant half of the limit.
const maxGranters = 2

// Granters returns the data nodes that grant permits for an engine, in the order in which they
// are asked. Nodes in its zone are preferred, then those in its region. The second node is in
// another zone than the first if possible: after a zone restarts, all of its nodes are closed
// for a window.
func Granters(nodes []mirror.Node, engine catalog.Engine) []mirror.Node {
	candidates := make([]candidate, 0, len(nodes))
	for _, node := range nodes {
		candidates = append(candidates, candidate{node, distance(node, engine), membership.RendezvousScore(catalog.Instance(engine.ID), node.Name)})
	}
	slices.SortFunc(candidates, candidate.compare)
	if len(candidates) == 0 {
		return nil
	}
	first, rest := candidates[0], candidates[1:]
	if len(rest) == 0 {
		return []mirror.Node{first.node}
	}
	elsewhere := func(r candidate) bool { return r.node.Zone != first.node.Zone }
	second := max(0, slices.IndexFunc(rest, elsewhere))
	return []mirror.Node{first.node, rest[second].node}
}

type candidate struct {
	node     mirror.Node
	distance int
	score    uint64
}

func (r candidate) compare(other candidate) int {
	return cmp.Or(
		cmp.Compare(r.distance, other.distance), cmp.Compare(other.score, r.score), cmp.Compare(r.node.Name, other.node.Name),
	)
}

func distance(node mirror.Node, engine catalog.Engine) int {
	switch {
	case node.Zone == engine.Zone:
		return 0
	case engine.Region != "" && node.Region == engine.Region:
		return 1
	}
	return 2
}
