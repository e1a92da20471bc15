package sim

import (
	"container/heap"
	"time"
)

// timer is a function scheduled for a virtual time.
type timer struct {
	at       time.Duration
	order    uint64
	callback func()
}

// clock runs timers in order of their time, and at equal times in order of scheduling.
type clock struct {
	now       time.Duration
	lastOrder uint64
	timers    timerHeap
}

func (c *clock) after(delay time.Duration, callback func()) {
	c.lastOrder++
	heap.Push(&c.timers, &timer{at: c.now + max(0, delay), order: c.lastOrder, callback: callback})
}

// runUntil runs all timers due up to and including end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.timers) > 0 && c.timers[0].at <= end {
		next := heap.Pop(&c.timers).(*timer)
		c.now = next.at
		next.callback()
	}
	c.now = end
}

type timerHeap []*timer

var _ heap.Interface = (*timerHeap)(nil)

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(item any) { *h = append(*h, item.(*timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return item
}
