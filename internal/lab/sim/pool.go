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
	// progress is the number of output tokens that stand, so far.
	progress int
	done     bool
	doneAt   time.Duration
	queued   bool
}

// progressed notes that tokens of the item are there.
func (i *item) progressed(tokens int, result *Result) {
	if tokens > i.progress && !i.done {
		result.retain(tokens - i.progress)
		i.progress = tokens
	}
}

// itemPool is the jobs' open items, as the ledger's leases would give them
// out.
type itemPool struct {
	byDeadline bool
	open       itemHeap
	all        []*item
}

func newItemPool(byDeadline bool) *itemPool {
	return &itemPool{byDeadline: byDeadline, open: itemHeap{byDeadline: byDeadline}}
}

func (p *itemPool) addJob(job arrivals.Job) {
	for _, request := range job.Items {
		added := &item{request: request, deadline: job.Deadline}
		p.all = append(p.all, added)
		p.put(added)
	}
}

func (p *itemPool) put(added *item) {
	added.queued = true
	heap.Push(&p.open, added)
}

// take returns the next item, or nil.
func (p *itemPool) take() *item {
	for len(p.open.items) > 0 {
		next := heap.Pop(&p.open).(*item)
		next.queued = false
		if !next.done {
			return next
		}
	}
	return nil
}

// giveBack returns an item whose attempt came to nothing; its tokens are lost.
func (p *itemPool) giveBack(returned *item, result *Result) {
	if returned.done || returned.queued {
		return
	}
	result.retain(-returned.progress)
	returned.progress = 0
	p.put(returned)
}

// finish keeps the first result of an item.
func (p *itemPool) finish(finished *item, now time.Duration, result *Result) {
	if finished.done {
		result.BatchDuplicates++
		return
	}
	finished.progressed(finished.request.OutputTokens, result)
	finished.done = true
	finished.doneAt = now
	result.BatchDone++
}

// countDeadlines counts items with a deadline before end, and those missed.
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

// itemHeap orders items by deadline, those without one last, and then by
// number.
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
