package batchwork

import (
	"cmp"
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/fairshare"
)

// dueBuckets is the number of intervals into which the time until the last due time is
// divided to test whether items can be done in time. It bounds the cost of an item's test.
const dueBuckets = 32

// Parts of the room in a valley of online work. Items hold one slot at a time and wait while
// online work has a burst, so that they are done later than that room alone suggests.
const (
	// calmRoom is the part that open items may need for the order by due time to make none of
	// them late.
	calmRoom = 0.6
	// plannedRoom is the part that is planned for beyond that, and in forecasts. It is less, as
	// an item that is planned for is to be in time, and others use what remains.
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
// expected to be late: first those that can be done in time together, by due time; then those
// that could be in time alone; then the rest. items must be ordered by due time, and feasible
// reports whether an item started now can be done in time. While all of these fit into the room
// they are ordered by due time.
func (o shareOrder) order(items []openItem, feasible func(openItem) bool, now time.Time) (ordered []openItem, late int) {
	var timely, rest []int
	for i, item := range items {
		if feasible(item) {
			timely = append(timely, i)
		} else {
			rest = append(rest, i)
		}
	}
	chosen := o.choose(items, timely, now)
	ordered = make([]openItem, 0, len(items))
	var beyond []openItem
	for _, i := range timely {
		if chosen[i] {
			ordered = append(ordered, items[i])
		} else {
			beyond = append(beyond, items[i])
		}
	}
	late = len(beyond) + len(rest)
	ordered = append(ordered, beyond...)
	for _, i := range rest {
		ordered = append(ordered, items[i])
	}
	return ordered, late
}

// tenantItems are a tenant's items that can be done in time alone.
type tenantItems struct {
	tenant string
	weight float64
	work   time.Duration
	share  time.Duration
	items  []int
}

// choose selects items that can all be done in time. Each tenant gets slot time up to its
// max-min fair share; what no tenant needs goes to the items with the earliest due times.
func (o shareOrder) choose(items []openItem, timely []int, now time.Time) map[int]bool {
	chosen := make(map[int]bool, len(timely))
	if len(timely) == 0 {
		return chosen
	}
	horizon := items[timely[len(timely)-1]].due.Sub(now)
	if o.fits(items, timely, horizon, now) {
		for _, i := range timely {
			chosen[i] = true
		}
		return chosen
	}
	room := newDueRoom(plannedRoom*o.slots, horizon)
	tenants := o.divide(items, timely, room.total())
	for _, t := range tenants {
		used := time.Duration(0)
		for _, i := range t.items {
			work := o.remaining(items[i])
			if used+work > t.share {
				continue
			}
			if room.take(work, items[i].due.Sub(now)) {
				chosen[i] = true
				used += work
			}
		}
	}
	for _, i := range timely {
		if !chosen[i] && room.take(o.remaining(items[i]), items[i].due.Sub(now)) {
			chosen[i] = true
		}
	}
	return chosen
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

// divide groups items by tenant and sets the tenants' shares of the slot time. Tenants that ask
// for least in relation to their weight come first, and of a tenant those of jobs with the
// fewest open items, so that as many jobs as possible become complete.
func (o shareOrder) divide(items []openItem, timely []int, slotTime time.Duration) []*tenantItems {
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
	for i, share := range fairshare.MaxMin(float64(slotTime), demands) {
		tenants[i].share = time.Duration(share)
		if share >= demands[i].Amount {
			tenants[i].share = tenants[i].work
		}
		slices.SortStableFunc(tenants[i].items, func(a, b int) int {
			return cmp.Compare(open[items[a].job], open[items[b].job])
		})
	}
	slices.SortStableFunc(tenants, func(a, b *tenantItems) int {
		return cmp.Compare(float64(a.work)*b.weight, float64(b.work)*a.weight)
	})
	return tenants
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

func (r *dueRoom) total() time.Duration { return r.left[dueBuckets-1] }

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
