// Package virtualtime runs functions in the order of a virtual time, for
// simulations of many nodes in one process.
package virtualtime

import (
	"container/heap"
	"time"
)

// Clock holds what is to run later. It belongs to one goroutine.
type Clock struct {
	now   time.Time
	order uint64
	heap  timers
}

type timer struct {
	at    time.Time
	order uint64
	run   func()
}

// New returns a clock that shows start.
func New(start time.Time) *Clock { return &Clock{now: start} }

// Now returns the virtual time.
func (c *Clock) Now() time.Time { return c.now }

// After runs a function later; those due at the same time run in the order in
// which they were given.
func (c *Clock) After(delay time.Duration, run func()) {
	c.order++
	heap.Push(&c.heap, timer{at: c.now.Add(max(delay, 0)), order: c.order, run: run})
}

// Run lets virtual time pass.
func (c *Clock) Run(duration time.Duration) {
	end := c.now.Add(duration)
	for len(c.heap) > 0 && !c.heap[0].at.After(end) {
		next := heap.Pop(&c.heap).(timer)
		c.now = next.at
		next.run()
	}
	c.now = end
}

type timers []timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool {
	if !t[i].at.Equal(t[j].at) {
		return t[i].at.Before(t[j].at)
	}
	return t[i].order < t[j].order
}

func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(item any) { *t = append(*t, item.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	(*t)[len(*t)-1] = timer{}
	*t = (*t)[:len(*t)-1]
	return last
}
