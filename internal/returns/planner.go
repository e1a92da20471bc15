package returns

import "time"

const (
	// calmGap is the time without refusals, and calmServed the number of requests in a row
	// that found room, after which an overload has ended. Both are needed: a node with few
	// requests has gaps, and one with many has rows of requests that find room by chance.
	calmGap    = time.Second
	calmServed = 4
	// idleGap is the time without refusals after which an overload has ended for a node that
	// gets no requests: callers of that time have given up.
	idleGap = 5 * time.Second
	// patience is how many times a caller's remaining time an overload lasts before nothing
	// suggests its end. One of age a, of which no more is known, ends within a wait w with
	// probability w/(a+w): 1 in 7 for the longest wait.
	patience = 2
	// jitterFraction is the part of the longest wait over which callers return that are
	// refused together.
	jitterFraction = 0.05
	// maxWait bounds the times that callers are told.
	maxWait = time.Minute
	// maxLeft is the remaining time that maxWait is the longest wait of. Callers with more are
	// treated alike, and spread like others.
	maxLeft = 3 * maxWait
)

// Outlook is what a Planner expects of a return.
type Outlook uint8

// Outlooks.
const (
	// OutlookUnknown means that the caller's deadline is unknown or has passed.
	OutlookUnknown Outlook = iota
	// OutlookEnd means that the overload may have ended by the longest wait.
	OutlookEnd
	// OutlookNoEnd means that nothing suggests that it has.
	OutlookNoEnd
	// OutlookTold means that the refusal itself told when the request is admitted.
	OutlookTold
)

// String returns the outlook as metrics name it.
func (o Outlook) String() string {
	return [...]string{"unknown", "end", "no-end", "told"}[o]
}

// A Planner decides when callers return that one node refuses for lack of room at one service.
// It answers overload by more callers than engines can serve: a return during overload takes
// the place of a first try, which would be served after the overload, on its return. So
// callers wait as long as they can, and in overload that goes on, where all returns are alike,
// as Spread decides, which gives the final answer sooner.
//
// A Planner is told of each request that found room and of each refusal. Nothing tells a
// return from a first try, and it doesn't need to know. The zero value knows nothing and is
// ready for use; it is not safe for concurrent use.
type Planner struct {
	// The current or last overload began at began and had its last refusal at last; served
	// requests found room since then.
	began, last time.Time
	served      int
}

// Served records a request that found room.
func (p *Planner) Served() { p.served = min(p.served+1, calmServed) }

// Idle reports whether a Planner knows no more than its zero value.
func (p *Planner) Idle(now time.Time) bool { return now.Sub(p.last) > idleGap }

// Plan records a refusal and returns how long its caller should wait. draw is uniform in [0, 1).
//
// The wait is at most a third of the remaining time, which callers heed, unless the refusal
// is known to last longer: the honest time tells those who heed it all that no return succeeds.
func (p *Planner) Plan(refusal Refusal, now time.Time, draw float64) (time.Duration, Outlook) {
	p.recordRefusal(now)
	wait, outlook := p.waitForRoom(refusal, now, draw)
	if admitted := refusal.Earliest.Sub(now); !refusal.Earliest.IsZero() && admitted > wait {
		return min(admitted, maxWait), OutlookTold
	}
	return wait, outlook
}

func (p *Planner) waitForRoom(refusal Refusal, now time.Time, draw float64) (time.Duration, Outlook) {
	left := refusal.Deadline.Sub(now)
	if left > maxLeft {
		left, refusal.Deadline = maxLeft, now.Add(maxLeft)
	}
	spread := min(maxWait, Spread(refusal, now, draw))
	switch {
	case refusal.Deadline.IsZero() || left <= 0:
		return spread, OutlookUnknown
	case float64(now.Sub(p.began)) > patience*float64(left):
		return spread, OutlookNoEnd
	}
	return time.Duration(waitFraction * float64(left) * (1 - draw*jitterFraction)), OutlookEnd
}

func (p *Planner) recordRefusal(now time.Time) {
	if p.Idle(now) || now.Sub(p.last) > calmGap && p.served >= calmServed {
		p.began = now
	}
	p.last, p.served = now, 0
}
