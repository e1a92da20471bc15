package batchwork

import (
	"cmp"
	"slices"
	"time"
)

// cutOrder returns runs in the order in which to cut them: those that lose least slot time first,
// the youngest of equals. startTime is the usual time from a start to the first event, which a
// resumed run spends again; one without an event loses the time since its start. Due times don't
// count, as they would make an item that seems late lose its slot again and again.
func cutOrder(runs []*run, startTime time.Duration, now time.Time) []*run {
	loss := func(r *run) time.Duration {
		if r.begun {
			return startTime
		}
		return min(startTime, now.Sub(r.started))
	}
	order := slices.Clone(runs)
	slices.SortStableFunc(order, func(a, b *run) int {
		return cmp.Or(cmp.Compare(loss(a), loss(b)), b.started.Compare(a.started))
	})
	return order
}
