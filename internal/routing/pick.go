package routing

// nearBestPicker draws two random candidates among those whose score is close to
// the best and picks the one with the lower pressure, so that nodes with the same
// lagging reports don't all pick the same endpoint.
type nearBestPicker struct{ near []int }

func (p *nearBestPicker) Pick(view *View, candidates []Candidate, scores []float64) int {
	best := scores[0]
	for _, score := range scores[1:] {
		best = max(best, score)
	}
	p.near = p.near[:0]
	for i, score := range scores {
		if score >= best-view.config.ScoreTolerance {
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
