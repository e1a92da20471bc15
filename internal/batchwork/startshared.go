package batchwork

import (
	"context"
	"time"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
)

// startShared starts items of groups under overload and gives the longest of them the fastest
// engines.
func (r *Runner) startShared(ctx context.Context, groups []*startGroup, maxStarts int, now time.Time) []*startedRun {
	var started []*startedRun
	for _, group := range groups {
		leases, full := r.acquireShared(group, min(len(group.wishes), maxStarts-len(started)), now)
		for i, lease := range r.matchSpeeds(group, leases) {
			started = append(started, r.start(ctx, group.items[i], group.routes[i], lease))
		}
		limited := maxStarts < maxStartsPerPlan && len(started) == maxStarts
		if group.release == (catalog.Release{}) { // few engines may be of a release
			r.setFull(group.service(), full || limited)
		}
	}
	return started
}

// acquireShared reserves places for at most count items of a group; full reports that there was
// no room for more.
func (r *Runner) acquireShared(group *startGroup, count int, now time.Time) (leases []*balance.Lease, full bool) {
	if count <= 0 {
		return nil, false
	}
	leases = r.acquire(group, count, now)
	return leases, len(leases) < count
}

func (g *startGroup) service() string { return g.wishes[0].Service }

// setFull records whether items of a service remain for which there is no slot.
func (r *Runner) setFull(service string, full bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.overload.service(service).full = full
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
