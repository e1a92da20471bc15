package batchwork

import (
	"cmp"
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/telemetry"
)

var eventJobRefused = telemetry.Define(3219, "batch-job-refused", "A batch job was refused before it was accepted; gives what its tenant's share of the slot time is, what is open, and when the job would be done.")

// OverloadOptions configure the decisions under overload.
type OverloadOptions struct {
	// Active reports whether the decisions are in force; nil means never.
	Active func() bool
	// Weight returns a tenant's weight when slots are short; one that isn't positive counts as
	// 1. nil means that all are equal.
	Weight func(tenant string) float64
	// Room returns how many slots of a service online work leaves at present; nil means that it
	// is only known while batch work takes them all.
	Room func(service string) int
	// Speed returns an engine's speed in relation to others; nil means that all are equal.
	Speed func(engine catalog.Engine) float64
	// JobLateness is the predicted time to complete a job, as a multiple of the time that its
	// route allows, above which the job is refused; 0 accepts all.
	JobLateness float64
}

func (o OverloadOptions) active() bool { return o.Active != nil && o.Active() }

func (o OverloadOptions) weight(tenant string) float64 {
	if o.Weight != nil {
		if weight := o.Weight(tenant); weight > 0 {
			return weight
		}
	}
	return 1
}

// serviceLoad is what a leader knows of the batch work of a service.
type serviceLoad struct {
	room roomMeter
	// full: at the last plan items remained for which there was no slot.
	full  bool
	start *startTime
	// work is the open work of items that can be done in time, by tenant.
	work    map[string]time.Duration
	returns *returns
}

// overload holds what the decisions under overload know at a leader. A new leader knows
// nothing, so that it accepts all jobs and orders items by due time.
type overload struct {
	services   map[string]*serviceLoad
	late       int       // items that are expected to be late
	observedAt time.Time // when rooms were observed last
}

func newOverload() *overload { return &overload{services: map[string]*serviceLoad{}} }

func (o *overload) service(name string) *serviceLoad {
	load := o.services[name]
	if load == nil {
		load = &serviceLoad{start: newStartTime(), work: map[string]time.Duration{}, returns: newReturns()}
		o.services[name] = load
	}
	return load
}

// eventTime returns how long a slot is held for each event of an item.
func (l *serviceLoad) eventTime(estimator *itemEstimator) float64 {
	if measured, known := l.room.eventTime(); known {
		return measured
	}
	return estimator.eventTime
}

// order orders open items, which are ordered by due time, of several services; service returns
// an item's service. Without an estimate of a service's room its items are ordered by due time.
func (o *overload) order(items []openItem, service func(openItem) string, estimator *itemEstimator, weight func(string) float64, now time.Time) []openItem {
	groups := groupByService(items, service)
	for name, load := range o.services {
		if !slices.ContainsFunc(groups, func(g serviceItems) bool { return g.service == name }) {
			clear(load.work)
			load.full = false
		}
	}
	o.late = 0
	var ordered []openItem
	for _, group := range groups {
		sorted, late := o.service(group.service).order(group.items, estimator, weight, now)
		o.late += late
		if len(groups) == 1 {
			return sorted
		}
		ordered = append(slices.Grow(ordered, len(items)-len(ordered)), sorted...)
	}
	return ordered
}

type serviceItems struct {
	service string
	items   []openItem
}

// groupByService groups items by service in their order, with one copy of them at most.
func groupByService(items []openItem, service func(openItem) string) []serviceItems {
	var groups []serviceItems
	known, counts := map[string]int{}, []int{}
	groupOf := make([]int, len(items))
	for i, item := range items {
		name := service(item)
		group, found := known[name]
		if !found {
			group = len(groups)
			known[name] = group
			groups, counts = append(groups, serviceItems{service: name}), append(counts, 0)
		}
		groupOf[i] = group
		counts[group]++
	}
	if len(groups) == 1 {
		groups[0].items = items
		return groups
	}
	for i, count := range counts {
		groups[i].items = make([]openItem, 0, count)
	}
	for i, item := range items {
		group := &groups[groupOf[i]]
		group.items = append(group.items, item)
	}
	return groups
}

func (l *serviceLoad) order(items []openItem, estimator *itemEstimator, weight func(string) float64, now time.Time) ([]openItem, int) {
	eventTime := l.eventTime(estimator)
	remaining := func(item openItem) time.Duration { return time.Duration(eventTime * estimator.eventsLeft(item)) }
	feasible := func(item openItem) bool { return estimator.feasible(item, now) }
	clear(l.work)
	l.full = false
	late := 0
	for _, item := range items {
		if feasible(item) {
			l.work[item.tenant] += remaining(item)
		} else {
			late++
		}
	}
	slots, known := l.room.slots(now)
	if !known {
		return estimator.order(items, now), late
	}
	return shareOrder{slots: slots, remaining: remaining, weight: weight}.order(items, feasible, now)
}

// forecast returns the forecast for a service's jobs and the work of a new item; false if too
// little is known.
func (l *serviceLoad) forecast(estimator *itemEstimator, weight func(string) float64, now time.Time) (forecast jobForecast, itemWork time.Duration, known bool) {
	slots, known := l.room.slots(now)
	perEvent, measured := l.room.eventTime()
	if !known || !measured {
		return jobForecast{}, 0, false
	}
	return jobForecast{slots: plannedRoom * slots, weight: weight, work: l.work}, time.Duration(perEvent * estimator.itemEvents), true
}

// serviceOf returns the service that runs most of a route's items.
func serviceOf(route *catalog.Route) string {
	if route == nil || len(route.Backends) == 0 {
		return ""
	}
	return slices.MaxFunc(route.Backends, func(a, b catalog.Backend) int { return cmp.Compare(a.Weight, b.Weight) }).Service
}

// assignSpeeds orders leases so that the items that take longest get the fastest engines. Items
// whose previous engine is among the leases keep it, as it may have their prompt cached.
func assignSpeeds(items []openItem, leases []*balance.Lease, previous func(openItem) string, length func(openItem) float64, speed func(engine catalog.Engine) float64) []*balance.Lease {
	assigned := make([]*balance.Lease, len(leases))
	var open []int
	var free []*balance.Lease
	for i, lease := range leases {
		if previous(items[i]) == lease.Engine.ID {
			assigned[i] = lease
			continue
		}
		open = append(open, i)
		free = append(free, lease)
	}
	slices.SortStableFunc(open, func(a, b int) int { return cmp.Compare(length(items[b]), length(items[a])) })
	slices.SortStableFunc(free, func(a, b *balance.Lease) int { return cmp.Compare(speed(b.Engine), speed(a.Engine)) })
	for i, lease := range free {
		assigned[open[i]] = lease
	}
	return assigned
}

// Late returns how many open items this leader expects to be late; 0 without overload.
func (r *Runner) Late() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.term == 0 || !r.options.Overload.active() {
		return 0
	}
	return r.overload.late
}
