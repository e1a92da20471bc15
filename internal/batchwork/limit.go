package batchwork

import "time"

const (
	// commitGood is the time within which a leader that has room for more runs
	// commits an entry, and commitSlow the time from which on it has too many: a
	// leader that can't keep up is replaced by its followers, and all its runs
	// are lost at once.
	commitGood = 150 * time.Millisecond
	commitSlow = 400 * time.Millisecond
	// limitStart is the limit of a new leader, limitLeast the lowest one.
	limitStart = 200
	limitLeast = 16
	// limitGrowth is added for each good entry while the limit holds runs back; until an
	// entry was slow, limitDoubling of it is, as nothing is known of what the leader
	// bears: with steps of 4, new leaders left 60 to 130 of 340 free slots unused for
	// 15 s after a restart of all machines.
	limitGrowth   = 4
	limitDoubling = 0.125
	// limitShrink is what a slow entry leaves of the runs; limitPause is the
	// time until the next one counts, as entries under way are slow, too.
	limitShrink = 0.7
	limitPause  = time.Second
)

// runLimit bounds the runs of a leader by what it is seen to bear: it grows by
// steps while entries are committed quickly, and shrinks by a share when one
// is slow. It is not safe for concurrent use.
type runLimit struct {
	most     int
	shrunkAt time.Time
}

func newRunLimit() *runLimit { return &runLimit{most: limitStart} }

// observe takes how long an entry took to be committed, with so many runs.
func (l *runLimit) observe(took time.Duration, running int, now time.Time) {
	switch {
	case took >= commitSlow && now.Sub(l.shrunkAt) >= limitPause:
		l.most = max(limitLeast, int(limitShrink*float64(min(l.most, running))))
		l.shrunkAt = now
	case took <= commitGood && running+limitGrowth >= l.most:
		l.most += l.growth()
	}
}

func (l *runLimit) growth() int {
	if l.shrunkAt.IsZero() {
		return max(limitGrowth, int(limitDoubling*float64(l.most)))
	}
	return limitGrowth
}
