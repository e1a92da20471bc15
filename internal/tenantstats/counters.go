// Package tenantstats counts requests by tenant and outcome in bounded memory.
//
// The tenants that ask most are counted by themselves, all others together.
package tenantstats

import (
	"maps"
	"slices"
	"sync"
)

// Rest is the name under which tenants are counted that aren't counted by themselves. No
// tenant has it, as tenants' names aren't empty.
const Rest = ""

// entry holds the counts of one tenant.
type entry struct {
	// requests ranks the tenant: its requests since it is counted by itself, plus those of the
	// tenant that it replaced, as some of these may have been its own before.
	requests int64
	counts   map[string]int64
}

// Counters counts requests by tenant and outcome. It keeps the largest tenants by the
// space-saving algorithm: a tenant that isn't counted replaces the smallest one, whose counts
// move to Rest, and inherits its rank. A tenant with more than 1/size of all requests is
// always counted. It is safe for concurrent use.
type Counters struct {
	size int

	mutex   sync.Mutex // guards the fields below; a leaf
	tenants map[string]*entry
	rest    map[string]int64
}

// New returns counters of the given number of tenants, at least 1.
func New(size int) *Counters {
	return &Counters{size: max(1, size), tenants: map[string]*entry{}, rest: map[string]int64{}}
}

// Add counts one request. Requests without a tenant count as Rest.
func (c *Counters) Add(tenant, outcome string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if tenant == Rest {
		c.rest[outcome]++
		return
	}
	e := c.tenants[tenant]
	if e == nil {
		e = &entry{counts: map[string]int64{}}
		if len(c.tenants) >= c.size {
			e.requests = c.replaceSmallest()
		}
		c.tenants[tenant] = e
	}
	e.requests++
	e.counts[outcome]++
}

// replaceSmallest moves the counts of the smallest tenant to Rest and returns its rank. The
// caller holds the mutex.
func (c *Counters) replaceSmallest() int64 {
	smallest := ""
	for name, e := range c.tenants {
		if smallest == "" || e.requests < c.tenants[smallest].requests || (e.requests == c.tenants[smallest].requests && name < smallest) {
			smallest = name
		}
	}
	e := c.tenants[smallest]
	delete(c.tenants, smallest)
	for outcome, count := range e.counts {
		c.rest[outcome] += count
	}
	return e.requests
}

// Count is the number of requests of a tenant with an outcome.
type Count struct {
	Tenant  string
	Outcome string
	Count   int64
}

// Counts returns all counts, ordered by tenant and outcome, those of Rest first.
func (c *Counters) Counts() []Count {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	list := appendCounts(nil, Rest, c.rest)
	for _, name := range slices.Sorted(maps.Keys(c.tenants)) {
		list = appendCounts(list, name, c.tenants[name].counts)
	}
	return list
}

func appendCounts(list []Count, tenant string, counts map[string]int64) []Count {
	for _, outcome := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, Count{Tenant: tenant, Outcome: outcome, Count: counts[outcome]})
	}
	return list
}
