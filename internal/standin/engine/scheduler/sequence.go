package scheduler

import "container/heap"

// state says where a sequence is kept.
type state int

const (
	waiting state = iota
	running
	suspended
)

// sequence is a Sequence with its progress.
type sequence struct {
	Sequence
	serial uint64
	state  state
	// heapIndex is its place in the waiting queue.
	heapIndex int
	// emitted counts output tokens, the resumed part included.
	emitted int
	// computed counts the tokens of the context that have KV entries.
	computed int
	// shared are the prefix blocks, a leading part of PrefixHashes; private
	// counts the blocks behind them.
	shared  []*cachedBlock
	private int
	// cachedTokens were found in the cache at the first start.
	cachedTokens int
	started      bool
}

func (s *sequence) before(other *sequence) bool {
	if s.Priority != other.Priority {
		return s.Priority < other.Priority
	}
	return s.serial < other.serial
}

func (s *sequence) context() int { return s.PromptTokens + s.emitted }

func (s *sequence) blocks() int { return len(s.shared) + s.private }

// waitingQueue is a heap in scheduling order.
type waitingQueue []*sequence

var _ heap.Interface = (*waitingQueue)(nil)

// Len implements heap.Interface.
func (q waitingQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q waitingQueue) Less(i, j int) bool { return q[i].before(q[j]) }

// Swap implements heap.Interface.
func (q waitingQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex = i
	q[j].heapIndex = j
}

// Push implements heap.Interface.
func (q *waitingQueue) Push(item any) {
	added := item.(*sequence)
	added.heapIndex = len(*q)
	*q = append(*q, added)
}

// Pop implements heap.Interface.
func (q *waitingQueue) Pop() any {
	last := len(*q) - 1
	removed := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return removed
}
