package slowstart

import (
	"cmp"
	"slices"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/mirror"
)

// grantersMost is how many data nodes grant permits for an engine: one, and another that
// is asked when the first is lost. Each gives half of what is allowed.
const grantersMost = 2

// Granters lists the data nodes that grant permits for an engine, the first to ask
// first: those of its zone and then of its region come before others. The second is of
// another zone than the first where there is one: nodes of a zone that lost its power and
// comes back cold have all just started, and grant nothing for a window.
func Granters(nodes []mirror.Node, engine catalog.Engine) []mirror.Node {
	all := make([]ranked, 0, len(nodes))
	for _, node := range nodes {
		all = append(all, ranked{node, distance(node, engine), membership.RendezvousScore(catalog.Instance(engine.ID), node.Name)})
	}
	slices.SortFunc(all, ranked.compare)
	if len(all) == 0 {
		return nil
	}
	first, rest := all[0], all[1:]
	if len(rest) == 0 {
		return []mirror.Node{first.node}
	}
	elsewhere := func(r ranked) bool { return r.node.Zone != first.node.Zone }
	second := max(0, slices.IndexFunc(rest, elsewhere))
	return []mirror.Node{first.node, rest[second].node}
}

type ranked struct {
	node     mirror.Node
	distance int
	score    uint64
}

func (r ranked) compare(other ranked) int {
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
