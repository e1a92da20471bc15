package forward

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/returns"
)

// maxPlannedServices bounds the services whose overload is followed at a time; refusals of further ones
// are answered by returns.Spread.
const maxPlannedServices = 64

// ReturnTimes tells callers whose requests found no room when to send them again. It follows
// the overload of each service as this node sees it. Its methods may be called concurrently;
// a nil *ReturnTimes is never active.
type ReturnTimes struct {
	// Active reports whether returns are planned; else they follow returns.Spread.
	Active func() bool
	// Observe is called for each planned return; may be nil.
	Observe func(returns.Outlook)

	mutex    sync.Mutex // guards planners; a leaf
	planners map[string]*returns.Planner
}

// RetryAfter is when the caller of a request should retry that was refused for a reason other
// than the room of a service.
func (r *ReturnTimes) RetryAfter(refusal returns.Refusal) time.Duration {
	now, draw := clock.Now(), rand.Float64()
	if wait, planned := r.plan("", refusal, now, draw); planned {
		return wait
	}
	return returns.Spread(refusal, now, draw)
}

// plan records a refusal for lack of room at a service and returns how long the caller should
// wait; false if returns aren't planned.
func (r *ReturnTimes) plan(service string, refusal returns.Refusal, now time.Time, draw float64) (time.Duration, bool) {
	if r == nil || !r.Active() {
		return 0, false
	}
	r.mutex.Lock()
	planner := r.planner(service, now)
	if planner == nil {
		r.mutex.Unlock()
		return 0, false
	}
	wait, outlook := planner.Plan(refusal, now, draw)
	r.mutex.Unlock()
	if r.Observe != nil {
		r.Observe(outlook)
	}
	return wait, true
}

// planner returns the planner of a service, or nil if there are too many. Idle ones make room
// for others. The caller holds the mutex.
func (r *ReturnTimes) planner(service string, now time.Time) *returns.Planner {
	planner := r.planners[service]
	if planner == nil && len(r.planners) >= maxPlannedServices {
		maps.DeleteFunc(r.planners, func(_ string, p *returns.Planner) bool { return p.Idle(now) })
	}
	if planner == nil && len(r.planners) < maxPlannedServices {
		if r.planners == nil {
			r.planners = map[string]*returns.Planner{}
		}
		planner = &returns.Planner{}
		r.planners[service] = planner
	}
	return planner
}

// served records that a request found room at a service.
func (r *ReturnTimes) served(service string) {
	if r == nil || !r.Active() {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if planner := r.planners[service]; planner != nil {
		planner.Served()
	}
}
