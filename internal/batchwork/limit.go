package batchwork

import "time"

const (
	// A commit within fastCommit lets the limit grow, one of slowCommit or more reduces
	// it. An overloaded leader would be replaced by its followers and lose all runs.
	fastCommit = 150 * time.Millisecond
	slowCommit = 400 * time.Millisecond
	// initialLimit is the limit of a new leader.
	initialLimit = 200
	minLimit     = 16
	// limitIncrement is added per fast commit while the limit is reached. Until the first
	// slow commit the limit grows by the share initialGrowth, so that a new leader fills
	// free slots quickly: with steps of 4, 60 to 130 of 340 stayed free for 15 s after a restart
	// of all nodes.
	limitIncrement = 4
	initialGrowth  = 0.125
	// limitDecrease is the factor applied after a slow commit; decreaseInterval is the
	// time before the next one counts, as concurrent commits are slow too.
	limitDecrease    = 0.7
	decreaseInterval = time.Second
)

// runLimit bounds a leader's runs by commit latency, with additive increase and
// multiplicative decrease. It is not safe for concurrent use.
type runLimit struct {
	maxRuns  int
	shrunkAt time.Time
}

func newRunLimit() *runLimit { return &runLimit{maxRuns: initialLimit} }

// observe updates the limit with the latency of a commit and the number of runs.
func (l *runLimit) observe(took time.Duration, running int, now time.Time) {
	switch {
	case took >= slowCommit && now.Sub(l.shrunkAt) >= decreaseInterval:
		l.maxRuns = max(minLimit, int(limitDecrease*float64(min(l.maxRuns, running))))
		l.shrunkAt = now
	case took <= fastCommit && running+limitIncrement >= l.maxRuns:
		l.maxRuns += l.growth()
	}
}

func (l *runLimit) growth() int {
	if l.shrunkAt.IsZero() {
		return max(limitIncrement, int(initialGrowth*float64(l.maxRuns)))
	}
	return limitIncrement
}
