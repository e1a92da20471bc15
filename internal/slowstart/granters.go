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
// first: those of its zone and then of its region come before others.
func Granters(nodes []mirror.Node, engine catalog.Engine) []mirror.Node {
	ordered := slices.Clone(nodes)
	slices.SortFunc(ordered, func(a, b mirror.Node) int {
		if byPlace := cmp.Compare(distance(a, engine), distance(b, engine)); byPlace != 0 {
			return byPlace
		}
		byRank := cmp.Compare(membership.RendezvousScore(engine.ID, b.Name), membership.RendezvousScore(engine.ID, a.Name))
		return cmp.Or(byRank, cmp.Compare(a.Name, b.Name))
	})
	return ordered[:min(len(ordered), grantersMost)]
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
