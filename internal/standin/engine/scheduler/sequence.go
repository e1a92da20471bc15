package scheduler

import "container/heap"

// state is the scheduling state of a sequence.
type state int

const (
	waiting state = iota
	running
	suspended
)

// sequence is a submitted Sequence with its progress.
type sequence struct {
	Sequence
	serial uint64
	state  state
	// heapIndex is the index in the waiting queue.
	heapIndex int
	// emitted counts output tokens, including those before ResumeFrom.
	emitted int
	// computed counts the context tokens that have KV entries.
	computed int
	// shared holds the cached blocks of the leading PrefixHashes. private counts
	// the blocks after them.
	shared  []*cachedBlock
	private int
	// cachedTokens is the number of tokens found in the cache at the first start.
	cachedTokens int
	started      bool
}

func (s *sequence) before(other *sequence) bool {
	if s.Priority != other.Priority {
		return s.Priority < other.Priority
	}
	return s.serial < other.serial
}

func (s *sequence) contextTokens() int { return s.PromptTokens + s.emitted }

func (s *sequence) blockCount() int { return len(s.shared) + s.private }

// waitingQueue is a heap of waiting sequences in scheduling order.
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
