package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Asking is what a tenant asks for, in requests per second, admitted or not.
type Asking struct {
	// Own is what it asks this node for, and Others all other nodes together.
	Own, Others float64
}

// Asking returns what tenants ask for over all nodes, and the age of others' counts.
func (l *Limiter) Asking(now time.Time) (asking map[Key]Asking, age time.Duration) {
	asking = make(map[Key]Asking, len(l.others)+len(l.tenants))
	for key, count := range l.others {
		asking[key] = Asking{Others: count.Demand}
	}
	for key, t := range l.tenants {
		if own := t.demand.current(now); own >= negligibleDemand {
			asking[key] = Asking{Own: own, Others: l.others[key].Demand}
		}
	}
	return asking, now.Sub(l.sumAt)
}

// negligibleDemand is the rate below which a tenant that has stopped asking is left out.
const negligibleDemand = 0.01

// AddDemand counts a request of a tenant without a limit, for what it asks for alone. Such
// tenants have no admitted requests, so they are the first to be left out of a full message.
func (l *Limiter) AddDemand(key Key, now time.Time) {
	l.tenant(key).demand.add(now)
	l.unreported = true
}

// RoundDemand rounds each demand to one of the integers next to it at random, so that its mean
// is kept. Messages carry integers and round up, which adds up to several requests per second
// and tenant over many nodes that get a request at times. draw returns uniform values in [0, 1).
func (c Counts) RoundDemand(draw func() float64) {
	for _, key := range slices.Sorted(maps.Keys(c)) { // one order, so that a seed repeats
		count := c[key]
		whole := math.Floor(count.Demand)
		if draw() < count.Demand-whole {
			whole++
		}
		c[key] = Count{count.Admitted, whole}
	}
}

// KeepLargest drops tenants beyond those that fit a message with a second list of the given
// length: first those without admitted requests that ask for least, as their demand must not
// take the space of either list's admitted requests, then those with the fewest.
func (c Counts) KeepLargest(secondList int) {
	if len(c)+secondList <= maxCounts {
		return
	}
	keys := slices.SortedFunc(maps.Keys(c), func(a, b Key) int {
		return cmp.Or(cmp.Compare(c[b].Admitted, c[a].Admitted), cmp.Compare(c[b].Demand, c[a].Demand), cmp.Compare(a, b))
	})
	for i, key := range keys {
		if i >= maxCounts || (c[key].Admitted <= 0 && i >= maxCounts-secondList) {
			delete(c, key)
		}
	}
}

// Meter holds moving averages of rates by tenant, over the same time as demand. The zero value
// is empty. It is not safe for concurrent use.
type Meter struct{ rates map[Key]*rate }

// Add counts an event of a tenant.
func (m *Meter) Add(key Key, now time.Time) {
	if m.rates == nil {
		m.rates = map[Key]*rate{}
	}
	r := m.rates[key]
	if r == nil {
		r = &rate{}
		m.rates[key] = r
	}
	r.add(now)
}

// Rate returns a tenant's events per second.
func (m *Meter) Rate(key Key, now time.Time) float64 {
	r := m.rates[key]
	if r == nil {
		return 0
	}
	return r.current(now)
}

// Forget drops tenants whose rate is negligible.
func (m *Meter) Forget(now time.Time) {
	for key, r := range m.rates {
		if r.current(now) < negligibleDemand {
			delete(m.rates, key)
		}
	}
}
