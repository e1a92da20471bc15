// Package virtualtime provides a virtual clock with timers, for discrete-event
// simulations of many nodes in one process.
package virtualtime

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock with timers. It is not safe for concurrent use.
type Clock struct {
	now       time.Time
	lastOrder uint64
	heap      timerHeap
}

type timer struct {
	at       time.Time
	order    uint64
	callback func()
}

// New returns a clock set to start.
func New(start time.Time) *Clock { return &Clock{now: start} }

// Now returns the virtual time.
func (c *Clock) Now() time.Time { return c.now }

// After schedules a function to run after delay. Functions due at the same time
// run in the order of the After calls.
func (c *Clock) After(delay time.Duration, callback func()) {
	c.lastOrder++
	heap.Push(&c.heap, timer{at: c.now.Add(max(delay, 0)), order: c.lastOrder, callback: callback})
}

// Run advances the clock by duration and runs all functions due by then.
func (c *Clock) Run(duration time.Duration) {
	end := c.now.Add(duration)
	for len(c.heap) > 0 && !c.heap[0].at.After(end) {
		next := heap.Pop(&c.heap).(timer)
		c.now = next.at
		next.callback()
	}
	c.now = end
}

type timerHeap []timer

func (t timerHeap) Len() int { return len(t) }

func (t timerHeap) Less(i, j int) bool {
	if !t[i].at.Equal(t[j].at) {
		return t[i].at.Before(t[j].at)
	}
	return t[i].order < t[j].order
}

func (t timerHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timerHeap) Push(item any) { *t = append(*t, item.(timer)) }

// Pop implements heap.Interface.
func (t *timerHeap) Pop() any {
	last := (*t)[len(*t)-1]
	(*t)[len(*t)-1] = timer{}
	*t = (*t)[:len(*t)-1]
	return last
}
