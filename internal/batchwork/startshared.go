package batchwork

import (
	"context"
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/balance"
)

// startShared starts items of groups under overload. It leaves the slots free that online work
// takes back soon, and gives the longest items the fastest engines.
func (r *Runner) startShared(ctx context.Context, groups []*startGroup, maxStarts int, now time.Time) []*startedRun {
	var started []*startedRun
	for _, group := range groups {
		leases, full := r.acquireShared(group, min(len(group.wishes), maxStarts-len(started)), now)
		for i, lease := range r.matchSpeeds(group, leases) {
			started = append(started, r.start(ctx, group.items[i], group.routes[i], lease))
		}
		limited := maxStarts < maxStartsPerPlan && len(started) == maxStarts
		r.setFull(group.service(), full || limited)
	}
	return started
}

// acquireShared reserves places for at most count items of a group; full reports that there was
// no room for more.
func (r *Runner) acquireShared(group *startGroup, count int, now time.Time) (leases []*balance.Lease, full bool) {
	if count <= 0 {
		return nil, false
	}
	reserve := r.reserve(group, now)
	leases = r.options.Balancer.AcquireMany(padWishes(group.wishes[:count], reserve), group.priority)
	usable := min(count, max(0, len(leases)-reserve))
	for _, lease := range leases[usable:] {
		lease.Release()
	}
	return leases[:usable], len(leases) < count+reserve
}

// padWishes returns wishes, of which there is one at least, and reserve more for any engine.
func padWishes(wishes []balance.Wish, reserve int) []balance.Wish {
	padded := slices.Clone(wishes)
	first := wishes[0]
	for range reserve {
		padded = append(padded, balance.Wish{Service: first.Service, Zone: first.Zone, Class: first.Class, Regions: first.Regions})
	}
	return padded
}

func (g *startGroup) service() string { return g.wishes[0].Service }

// setFull records whether items of a service remain for which there is no slot.
func (r *Runner) setFull(service string, full bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.overload.service(service).full = full
}

func (r *Runner) reserve(group *startGroup, now time.Time) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.overload.service(group.service()).gate.reserve(now)
}

// observeRooms records how many slots of each service online work leaves; if only batch work
// tells, those of its runs while items remain for which there is no slot.
func (r *Runner) observeRooms(now time.Time) {
	if !r.options.Overload.active() {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if now.Sub(r.overload.observedAt) < roomInterval {
		return
	}
	r.overload.observedAt = now
	running := map[string]int{}
	for _, run := range r.runs {
		if !run.preempted {
			running[run.engine.Service]++
		}
	}
	for name, load := range r.overload.services {
		switch {
		case r.options.Overload.Room != nil:
			load.room.observe(float64(r.options.Overload.Room(name)), now)
		case load.full:
			load.room.observe(float64(running[name]), now)
		}
	}
}

func (r *Runner) matchSpeeds(group *startGroup, leases []*balance.Lease) []*balance.Lease {
	if r.options.Overload.Speed == nil {
		return leases
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	previous := func(item openItem) string { return r.previousEngines[itemKey{item.job, item.index}] }
	return assignSpeeds(group.items, leases, previous, r.itemEstimator.eventsLeft, r.options.Overload.Speed)
}
