package fairshare

import (
	"maps"
	"math"
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/quota"
)

const (
	// UpdateInterval is the age from which an update is replaced when a request comes: short
	// against the time that requests hold a slot, in which too many admitted ones fill the
	// engines.
	UpdateInterval = 100 * time.Millisecond
	// maxAge is the age of other nodes' figures above which no request is refused: a front
	// node whose relay fails hears from another one sooner, and one that is cut off can't
	// tell who asks for more than its share.
	maxAge = 700 * time.Millisecond
	// freeUtilization is the utilization below which a service has room for all, and
	// targetUtilization the one at which the engines' rate is divided. Slots between the two
	// are for demands that rise faster than counts travel.
	freeUtilization   = 0.7
	targetUtilization = 0.95
	// utilizationGain is the part of the engines' rate by which more or less is divided for
	// each unit of utilization below or above the target. It is
	// limited by the time after which a change is seen, some 150 ms.
	utilizationGain = 3.0
	// minCapacityFactor bounds that from below, so that errors of the figures leave each
	// tenant a part of its share.
	minCapacityFactor = 0.5
	// minOwn is the demand at this node from which it shows which part a tenant's limit
	// admits.
	minOwn = 1
	// maxWeight bounds weights, so that their sum is finite.
	maxWeight = 1e12
	// maxReturn bounds the time in which a refused request finds room in its tenant's share.
	maxReturn = 5 * time.Second
)

// Tenant is what a tenant asks for.
type Tenant struct {
	// Weight is the tenant's weight; 1 if it isn't a positive number.
	Weight float64
	quota.Asking
}

func (t Tenant) total() float64 { return validRate(t.Own) + validRate(t.Others) }

// Decision is the outcome for one request.
type Decision struct {
	// Refused is set if the tenant asks for more than its share, and the request belongs to
	// what exceeds it.
	Refused bool
	// Weight, Share and Demand are the tenant's, Capacity the sum of all shares; the latter
	// three in requests per second over all nodes.
	Weight, Share, Demand, Capacity float64
	// Age is the age of other nodes' counts.
	Age time.Duration
	// Earliest is when the tenant's share has room for the request, after others that were
	// refused here before.
	Earliest time.Time
}

// Gate decides which online requests exceed their tenant's share while room is short. It is
// not safe for concurrent use.
//
// It answers loads at which tenants within their share would be refused as often as the one
// that takes the room from them. A tenant that asks for more than its share is admitted with
// the probability of share to demand, whichever front nodes its requests come to.
type Gate struct {
	// passed are the requests within their tenants' limits, refused by a share or not.
	passed quota.Meter
	// excess holds the tenants that ask for more than their share.
	excess map[quota.Key]*excess
	// scarce are the services without room for all.
	scarce           map[string]bool
	capacity, demand float64
	countsAge        time.Duration
	updatedAt        time.Time
}

// excess is a tenant that asks for more than its share.
type excess struct {
	weight, share, demand float64
	// fraction is the part of the demand that is admitted, and own the part of it that
	// comes to this node.
	fraction, own float64
	returnAt      time.Time
}

// Update divides the room among the tenants that ask. countsAge is the age of what tenants
// ask other nodes for.
func (g *Gate) Update(tenants map[quota.Key]Tenant, countsAge time.Duration, room balance.FleetOccupancy, now time.Time) {
	previous := g.excess
	g.excess, g.countsAge, g.updatedAt = nil, countsAge, now
	g.passed.Forget(now)
	g.capacity, g.scarce = divisibleRate(room)
	g.demand = 0
	if max(countsAge, room.Age) > maxAge {
		g.scarce = nil
	}
	keys := slices.Sorted(maps.Keys(tenants))
	demands := make([]Demand, len(keys))
	for i, key := range keys {
		demands[i] = Demand{validWeight(tenants[key].Weight), g.withinLimit(key, tenants[key], now)}
		g.demand += demands[i].Amount
	}
	if len(g.scarce) == 0 || g.demand <= g.capacity {
		return
	}
	g.excess = map[quota.Key]*excess{}
	for i, share := range MaxMin(g.capacity, demands) {
		certain := certainDemand(demands[i].Amount)
		if share >= certain {
			continue
		}
		key, tenant := keys[i], tenants[keys[i]]
		own := validRate(tenant.Own) / max(tenant.total(), 1)
		e := &excess{weight: demands[i].Weight, share: share, demand: demands[i].Amount, fraction: share / certain, own: own}
		if before := previous[key]; before != nil {
			e.returnAt = before.returnAt
		}
		g.excess[key] = e
	}
}

// divisibleRate returns the requests per second to divide, and the services without room for
// all.
func divisibleRate(room balance.FleetOccupancy) (rate float64, scarce map[string]bool) {
	scarce = map[string]bool{}
	slots, online := 0.0, 0
	for service, occupancy := range room.Services {
		utilization := occupancy.Utilization()
		if utilization >= freeUtilization {
			scarce[service] = true
		}
		// Room of services that aren't short of it isn't for the requests of others.
		factor := max(minCapacityFactor, 1+utilizationGain*(targetUtilization-max(utilization, freeUtilization)))
		slots += factor * float64(occupancy.Slots)
		online += occupancy.Online
	}
	// Engines that this node doesn't know are taken to be as full as the others.
	slots *= float64(online+room.Unlisted) / float64(max(1, online))
	return slots / max(room.MeanHold, time.Millisecond).Seconds(), scarce
}

// withinLimit returns what a tenant asks for within its limit, which is taken to admit the
// same part of its requests at all nodes.
func (g *Gate) withinLimit(key quota.Key, tenant Tenant, now time.Time) float64 {
	if !(tenant.Own >= minOwn) {
		return tenant.total()
	}
	return tenant.total() * min(1, g.passed.Rate(key, now)/tenant.Own)
}

// certainDemand is a demand less a standard deviation of its moving average: that of a rate of
// Poisson arrivals over half a second each way. A tenant just within its share isn't refused
// for the noise of the counts.
func certainDemand(demand float64) float64 { return max(0, demand-math.Sqrt(demand)) }

func validWeight(weight float64) float64 {
	if weight > 0 && !math.IsInf(weight, 0) {
		return min(weight, maxWeight)
	}
	return 1
}

func validRate(rate float64) float64 {
	if rate > 0 && !math.IsInf(rate, 0) {
		return rate
	}
	return 0
}

// Count counts a request that its tenant's limit admits. It comes before an update on the
// request's behalf, as the tenant's own demand includes the request.
func (g *Gate) Count(key quota.Key, now time.Time) { g.passed.Add(key, now) }

// Decide decides on a counted request for a route with the given services. draw is uniform in
// [0, 1).
func (g *Gate) Decide(key quota.Key, services []string, now time.Time, draw float64) Decision {
	e := g.excess[key]
	if e == nil || draw < e.fraction || now.Sub(g.updatedAt) > maxAge || !g.scarceAll(services) {
		return Decision{}
	}
	return Decision{
		Refused: true, Weight: e.weight, Share: e.share, Demand: e.demand, Capacity: g.capacity,
		Age: g.countsAge + now.Sub(g.updatedAt), Earliest: e.place(now),
	}
}

// scarceAll reports whether none of the services has room for all.
func (g *Gate) scarceAll(services []string) bool {
	for _, service := range services {
		if !g.scarce[service] {
			return false
		}
	}
	return true
}

// place returns when this node's part of the share has room for one more refused request.
func (e *excess) place(now time.Time) time.Time {
	if e.returnAt.Before(now) {
		e.returnAt = now
	}
	interval := 1 / max(e.share*e.own, 1/maxReturn.Seconds())
	e.returnAt = e.returnAt.Add(time.Duration(interval * float64(time.Second)))
	if latest := now.Add(maxReturn); e.returnAt.After(latest) {
		e.returnAt = latest
	}
	return e.returnAt
}

// State is what a gate decides by.
type State struct {
	// Capacity and Demand are in requests per second over all nodes.
	Capacity, Demand float64
	// OverShare is the number of tenants that ask for more than their share while room is
	// short.
	OverShare int
	// Age is the age of other nodes' counts at the last update.
	Age time.Duration
}

// State returns what the gate decides by; the zero value after a pause without updates.
func (g *Gate) State(now time.Time) State {
	if now.Sub(g.updatedAt) > maxAge {
		return State{}
	}
	return State{g.capacity, g.demand, len(g.excess), g.countsAge}
}
