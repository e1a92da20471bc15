package sim

import (
	"container/heap"
	"time"

	"chutelock.dev/chutelock/internal/lab/arrivals"
)

// item is one batch item.
type item struct {
	request  arrivals.Request
	deadline time.Duration // zero means none
	attempts int
	// retainedTokens is the number of output tokens not lost to a failed attempt.
	retainedTokens int
	done           bool
	doneAt         time.Duration
	queued         bool
}

// recordProgress records that an attempt has produced that many tokens.
func (i *item) recordProgress(tokens int, result *Result) {
	if tokens > i.retainedTokens && !i.done {
		result.addRetained(tokens - i.retainedTokens)
		i.retainedTokens = tokens
	}
}

// itemPool holds all batch items and the queue of those without a lease.
type itemPool struct {
	byDeadline bool
	queue      itemHeap
	all        []*item
}

func newItemPool(byDeadline bool) *itemPool {
	return &itemPool{byDeadline: byDeadline, queue: itemHeap{byDeadline: byDeadline}}
}

func (p *itemPool) addJob(job arrivals.Job) {
	for _, request := range job.Items {
		added := &item{request: request, deadline: job.Deadline}
		p.all = append(p.all, added)
		p.enqueue(added)
	}
}

func (p *itemPool) enqueue(added *item) {
	added.queued = true
	heap.Push(&p.queue, added)
}

// next dequeues the next item that is not done; it returns nil if there is none.
func (p *itemPool) next() *item {
	for len(p.queue.items) > 0 {
		next := heap.Pop(&p.queue).(*item)
		next.queued = false
		if !next.done {
			return next
		}
	}
	return nil
}

// requeue returns an item to the queue after a failed attempt; its tokens are lost.
func (p *itemPool) requeue(returned *item, result *Result) {
	if returned.done || returned.queued {
		return
	}
	result.addRetained(-returned.retainedTokens)
	returned.retainedTokens = 0
	p.enqueue(returned)
}

// complete marks an item as done; later results of the item count as duplicates.
func (p *itemPool) complete(finished *item, now time.Duration, result *Result) {
	if finished.done {
		result.BatchDuplicates++
		return
	}
	finished.recordProgress(finished.request.OutputTokens, result)
	finished.done = true
	finished.doneAt = now
	result.BatchDone++
}

// countDeadlines counts items with a deadline up to end, and missed deadlines.
func (p *itemPool) countDeadlines(end time.Duration, result *Result) {
	for _, counted := range p.all {
		if counted.deadline == 0 || counted.deadline > end {
			continue
		}
		result.DeadlineItems++
		if !counted.done || counted.doneAt > counted.deadline {
			result.DeadlineMissed++
		}
	}
}

// itemHeap orders items by number or, if byDeadline is set, by deadline first,
// with items without a deadline last.
type itemHeap struct {
	byDeadline bool
	items      []*item
}

var _ heap.Interface = (*itemHeap)(nil)

// Len implements heap.Interface.
func (h *itemHeap) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *itemHeap) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if h.byDeadline && a.deadline != b.deadline {
		if a.deadline == 0 || b.deadline == 0 {
			return b.deadline == 0
		}
		return a.deadline < b.deadline
	}
	return a.request.Number < b.request.Number
}

// Swap implements heap.Interface.
func (h *itemHeap) Swap(i, j int) { h.items[i], h.items[j] = h.items[j], h.items[i] }

// Push implements heap.Interface.
func (h *itemHeap) Push(added any) { h.items = append(h.items, added.(*item)) }

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	last := len(h.items) - 1
	popped := h.items[last]
	h.items = h.items[:last]
	return popped
}
