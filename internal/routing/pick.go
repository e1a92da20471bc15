package routing

// nearBestPicker takes two candidates at random among those whose score is
// close to the best and chooses the one with the lower pressure. Nodes
// that see the same lagging reports thus don't all choose the same endpoint.
type nearBestPicker struct{ near []int }

func (p *nearBestPicker) Pick(view *View, candidates []Candidate, scores []float64) int {
	best := scores[0]
	for _, score := range scores[1:] {
		best = max(best, score)
	}
	p.near = p.near[:0]
	for i, score := range scores {
		if score >= best-view.config.NearBest {
			p.near = append(p.near, i)
		}
	}
	first := p.near[view.random.IntN(len(p.near))]
	second := p.near[view.random.IntN(len(p.near))]
	if candidates[second].Pressure < candidates[first].Pressure {
		return second
	}
	return first
}
