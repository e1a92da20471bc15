package batchwork

import (
	"time"

	"chutelock.dev/chutelock/internal/fairshare"
)

// dueBuckets is the number of intervals into which the time until the last due time is
// divided to test whether items can be done in time. It bounds the cost of an item's test.
const dueBuckets = 32

// nearWhole is the number of items of a job for each open one from which on it is near whole.
const nearWhole = 4

// wellWithin is how many times as much slot time as a tenant asks for another tenant of its weight
// has to get for the first one's items to precede the others.
const wellWithin = 2

// Parts of the room in a valley of online work. Items hold one slot at a time and wait while
// online work has a burst, so that they are done later than that room alone suggests.
const (
	// calmRoom is the part that open items may need for the order by due time to make none of
	// them late.
	calmRoom = 0.6
	// plannedRoom is the part that is divided among tenants beyond that, and counted on in
	// forecasts. It is less, as an item in its tenant's share is to be in time, and others use
	// what remains.
	plannedRoom = 0.45
)

// shareOrder orders open items of one service that compete for too few slots.
type shareOrder struct {
	// slots is the room that online work leaves; see roomMeter.
	slots float64
	// remaining estimates how long an item holds a slot from now on.
	remaining func(item openItem) time.Duration
	// weight returns a tenant's weight.
	weight func(tenant string) float64
}

// order returns the items in the order in which to run them, and how many of them are
// expected to be late in it: first those of tenants well within their share, then those in the
// share of other tenants, then those beyond it, then those that can't be in time, each by due time.
// items must be ordered by due time, and feasible reports whether an item started now can be done
// in time. While all of these fit into the room they are ordered by due time. Those expected to be
// late may come before others, as order puts none behind for its due time alone.
func (o shareOrder) order(items []openItem, feasible func(openItem) bool, now time.Time) (ordered []openItem, late int) {
	var timely []int
	ranks := make([]itemRank, len(items))
	for i, item := range items {
		ranks[i] = rankLate
		if feasible(item) {
			timely = append(timely, i)
			ranks[i] = rankBeyond
		}
	}
	fits := o.rank(ranks, items, timely, now)
	ordered = make([]openItem, 0, len(items))
	for rank := rankWellWithin; rank <= rankLate; rank++ {
		for i, item := range items {
			if ranks[i] == rank {
				ordered = append(ordered, item)
			}
		}
	}
	late = len(items) - len(timely)
	if !fits {
		late += o.missed(ordered[:len(timely)], now)
	}
	return ordered, late
}

// missed returns how many items aren't done before their due time if they run in the given order.
// An item takes no room from those behind it once it can't be in time, as it is then put behind.
func (o shareOrder) missed(ordered []openItem, now time.Time) int {
	missed, used := 0, 0.0
	for _, item := range ordered {
		needed := used + float64(o.remaining(item))
		if needed > plannedRoom*o.slots*float64(item.due.Sub(now)) {
			missed++
			continue
		}
		used = needed
	}
	return missed
}

// itemRank is how early an item runs, from first to last.
type itemRank uint8

const (
	rankWellWithin itemRank = iota // its tenant asks for much less than others get
	rankInShare
	rankBeyond // its tenant asks for more than its share
	rankLate
)

// tenantItems are a tenant's items that can be done in time alone.
type tenantItems struct {
	tenant string
	weight float64
	work   time.Duration
	share  time.Duration
	within bool // it asks for much less than others get
	items  []int
}

// rank ranks the timely items by the max-min fair shares of slot time of their tenants, and
// reports whether all of them fit into the room before their due times.
func (o shareOrder) rank(ranks []itemRank, items []openItem, timely []int, now time.Time) bool {
	if len(timely) == 0 {
		return true
	}
	horizon := items[timely[len(timely)-1]].due.Sub(now)
	if o.fits(items, timely, horizon, now) {
		for _, i := range timely {
			ranks[i] = rankInShare
		}
		return true
	}
	for _, t := range o.divide(items, timely, plannedRoom*o.slots*float64(horizon)) {
		used := time.Duration(0)
		for _, i := range t.items {
			used += o.remaining(items[i])
			switch {
			case t.within:
				ranks[i] = rankWellWithin
			case used <= t.share:
				ranks[i] = rankInShare
			}
		}
	}
	return false
}

// fits reports whether all timely items can be done in time by due time.
func (o shareOrder) fits(items []openItem, timely []int, horizon time.Duration, now time.Time) bool {
	room := newDueRoom(calmRoom*o.slots, horizon)
	for _, i := range timely {
		if !room.take(o.remaining(items[i]), items[i].due.Sub(now)) {
			return false
		}
	}
	return true
}

// divide groups items by tenant and sets the tenants' shares of the slot time. Of a tenant the
// items of jobs that are near whole come first, so that more jobs become complete.
func (o shareOrder) divide(items []openItem, timely []int, slotTime float64) []*tenantItems {
	byTenant := map[string]*tenantItems{}
	var tenants []*tenantItems
	open := map[string]int{}
	for _, i := range timely {
		t := byTenant[items[i].tenant]
		if t == nil {
			t = &tenantItems{tenant: items[i].tenant, weight: o.weight(items[i].tenant)}
			byTenant[t.tenant] = t
			tenants = append(tenants, t)
		}
		t.items = append(t.items, i)
		t.work += o.remaining(items[i])
		open[items[i].job]++
	}
	demands := make([]fairshare.Demand, len(tenants))
	for i, t := range tenants {
		demands[i] = fairshare.Demand{Weight: t.weight, Amount: float64(t.work)}
	}
	shares, level := fairshare.MaxMin(slotTime, demands), 0.0
	for i, share := range shares {
		level = max(level, share/demands[i].Weight)
	}
	for i, share := range shares {
		tenants[i].share = time.Duration(share)
		if share >= demands[i].Amount {
			tenants[i].share = tenants[i].work
		}
		tenants[i].within = wellWithin*demands[i].Amount <= level*demands[i].Weight
		tenants[i].items = nearWholeFirst(tenants[i].items, func(i int) bool {
			return nearWhole*open[items[i].job] <= items[i].jobItems
		})
	}
	return tenants
}

// nearWholeFirst moves the items of jobs near whole to the front.
func nearWholeFirst(items []int, near func(i int) bool) []int {
	first := make([]int, 0, len(items))
	var others []int
	for _, i := range items {
		if near(i) {
			first = append(first, i)
		} else {
			others = append(others, i)
		}
	}
	return append(first, others...)
}

// dueRoom is the slot time left until each of several due times.
type dueRoom struct {
	width time.Duration
	left  [dueBuckets]time.Duration
}

func newDueRoom(slots float64, horizon time.Duration) *dueRoom {
	r := &dueRoom{width: max(1, horizon/dueBuckets)}
	for i := range r.left {
		r.left[i] = time.Duration(slots * float64(r.width) * float64(i+1))
	}
	return r
}

// take reserves slot time before a due time, unless that would make reserved work late.
func (r *dueRoom) take(work, due time.Duration) bool {
	first := min(int(max(0, due-1)/r.width), dueBuckets-1)
	for _, left := range r.left[first:] {
		if work > left {
			return false
		}
	}
	for i := first; i < dueBuckets; i++ {
		r.left[i] -= work
	}
	return true
}
