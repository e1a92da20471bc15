package batchwork

import (
	"cmp"
	"slices"
	"time"
)

// urgency ranks runs by what a cut does to their items.
type urgency uint8

const (
	lateAnyway  urgency = iota // the item is late with or without the cut
	timelyAfter                // it can be resumed in time
	timelyUnlessCut
)

// cutCandidate describes a run that may be cut.
type cutCandidate struct {
	run *run
	// slack is the time left until the item is due once it is done, if it isn't cut.
	slack time.Duration
}

// cutOrder returns runs in the order in which to cut them: items that will be late anyway, then
// those that can be resumed in time; among these the runs that lose least slot time, and the
// youngest of equals. startTime is the usual time from a start to the first event, which a
// resumed run spends again; one without an event loses the time since its start.
func cutOrder(candidates []cutCandidate, startTime time.Duration, now time.Time) []*run {
	loss := func(r *run) time.Duration {
		if r.begun {
			return startTime
		}
		return min(startTime, now.Sub(r.started))
	}
	rank := func(c cutCandidate) urgency {
		switch {
		case c.slack < 0:
			return lateAnyway
		case c.slack >= loss(c.run)+startTime:
			return timelyAfter
		}
		return timelyUnlessCut
	}
	slices.SortStableFunc(candidates, func(a, b cutCandidate) int {
		return cmp.Or(
			cmp.Compare(rank(a), rank(b)),
			cmp.Compare(loss(a.run), loss(b.run)),
			b.run.started.Compare(a.run.started),
		)
	})
	runs := make([]*run, len(candidates))
	for i, c := range candidates {
		runs[i] = c.run
	}
	return runs
}
