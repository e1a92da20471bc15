package scheduler

import (
	"container/heap"
	"slices"
	"sort"
	"time"
)

// Scheduler runs sequences step by step.
type Scheduler struct {
	config Config
	pool   blockPool
	known  map[string]*sequence
	// running is kept in scheduling order.
	running []*sequence
	queue   waitingQueue
	// kept holds the sequences that have blocks without running, because they
	// were suspended; those kept longest come first and lose them first.
	kept      []*sequence
	suspended int
	serial    uint64

	load   Load
	shares []share
	result StepResult
}

// New returns an empty scheduler; the zero fields of config are taken from
// DefaultConfig, but for the step times, which may be 0.
func New(config Config) *Scheduler {
	defaults := DefaultConfig()
	for _, field := range []struct {
		value    *int
		fallback int
	}{
		{&config.MaxRunning, defaults.MaxRunning},
		{&config.TokenBudget, defaults.TokenBudget},
		{&config.BlockTokens, defaults.BlockTokens},
		{&config.Blocks, defaults.Blocks},
		{&config.BatchPriority, defaults.BatchPriority},
	} {
		if *field.value <= 0 {
			*field.value = field.fallback
		}
	}
	return &Scheduler{
		config: config,
		pool:   newBlockPool(config.Blocks),
		known:  map[string]*sequence{},
	}
}

// Config returns the configuration in force, defaults filled in.
func (s *Scheduler) Config() Config { return s.config }

// Submit queues a sequence. It fails with ErrDuplicate, ErrInvalid or
// ErrTooLong, and then nothing has changed.
func (s *Scheduler) Submit(_ time.Time, submitted Sequence) error {
	if s.known[submitted.ID] != nil {
		return ErrDuplicate
	}
	if submitted.PromptTokens <= 0 || submitted.ResumeFrom < 0 || submitted.MaxTokens <= submitted.ResumeFrom {
		return ErrInvalid
	}
	if len(submitted.PrefixHashes)*s.config.BlockTokens > submitted.PromptTokens {
		return ErrInvalid
	}
	if s.blocksFor(submitted.PromptTokens+submitted.MaxTokens) > s.config.Blocks {
		return ErrTooLong
	}
	s.serial++
	added := &sequence{Sequence: submitted, serial: s.serial, emitted: submitted.ResumeFrom}
	s.known[added.ID] = added
	heap.Push(&s.queue, added)
	return nil
}

// Cancel forgets a sequence in any state and frees its blocks.
func (s *Scheduler) Cancel(id string) error {
	cancelled := s.known[id]
	if cancelled == nil {
		return ErrUnknown
	}
	s.detach(cancelled)
	s.release(cancelled)
	delete(s.known, id)
	return nil
}

// Suspend parks a running or waiting sequence. It keeps its blocks until
// memory is short, and its place in the output for good.
func (s *Scheduler) Suspend(id string) error {
	parked := s.known[id]
	if parked == nil || parked.state == suspended {
		return ErrUnknown
	}
	s.detach(parked)
	parked.state = suspended
	s.suspended++
	if parked.blocks() > 0 && !slices.Contains(s.kept, parked) {
		s.kept = append(s.kept, parked)
	}
	return nil
}

// Resume queues a suspended sequence again, from the given output token. from
// may be lower than what was emitted, when the caller did not receive it all,
// but not higher.
func (s *Scheduler) Resume(_ time.Time, id string, from int) error {
	resumed := s.known[id]
	if resumed == nil || resumed.state != suspended {
		return ErrUnknown
	}
	if from < 0 || from > resumed.emitted || from >= resumed.MaxTokens {
		return ErrInvalid
	}
	s.detach(resumed)
	resumed.emitted = from
	resumed.computed = max(0, min(resumed.computed, resumed.context()-1))
	s.trim(resumed)
	resumed.state = waiting
	heap.Push(&s.queue, resumed)
	return nil
}

// Emitted returns the number of output tokens of a known sequence, the resumed
// part included.
func (s *Scheduler) Emitted(id string) (int, bool) {
	found := s.known[id]
	if found == nil {
		return 0, false
	}
	return found.emitted, true
}

// Cached counts the leading hashes that are in the prefix cache.
func (s *Scheduler) Cached(hashes []uint64) int { return s.pool.matching(hashes) }

// Import puts prefix blocks into the cache as if they had been computed, and
// returns how many are there afterwards. It never takes memory from sequences.
func (s *Scheduler) Import(hashes []uint64) int {
	for i, hash := range hashes {
		if !s.pool.insert(hash) {
			return i
		}
	}
	return s.pool.matching(hashes)
}

// Reset forgets all sequences and the whole cache, as a restart does.
func (s *Scheduler) Reset() { *s = *New(s.config) }

// Waiting counts the sequences that wait for a slot.
func (s *Scheduler) Waiting() int { return len(s.queue) }

// Load returns a snapshot; it costs a pass over the running and the waiting.
func (s *Scheduler) Load() Load {
	load := s.load
	load.Running = len(s.running)
	load.Waiting = len(s.queue)
	load.Suspended = s.suspended
	load.Blocks = s.config.Blocks
	load.RunningBatch = s.countBatch(s.running)
	load.WaitingBatch = s.countBatch(s.queue)
	for _, keeper := range s.kept {
		load.BlocksSuspended += keeper.private
	}
	load.BlocksCached = s.pool.idle.Len()
	load.BlocksInUse = s.pool.private + len(s.pool.cached) - load.BlocksCached - load.BlocksSuspended
	return load
}

func (s *Scheduler) countBatch(sequences []*sequence) int {
	count := 0
	for _, counted := range sequences {
		if counted.Priority >= s.config.BatchPriority {
			count++
		}
	}
	return count
}

func (s *Scheduler) blocksFor(tokens int) int {
	return (tokens + s.config.BlockTokens - 1) / s.config.BlockTokens
}

// detach takes a sequence out of the list of its state.
func (s *Scheduler) detach(detached *sequence) {
	switch detached.state {
	case waiting:
		heap.Remove(&s.queue, detached.heapIndex)
	case running:
		position := s.position(detached)
		s.running = slices.Delete(s.running, position, position+1)
	case suspended:
		s.suspended--
	}
}

// position is where a sequence stands, or would stand, among the running.
func (s *Scheduler) position(wanted *sequence) int {
	return sort.Search(len(s.running), func(i int) bool { return !s.running[i].before(wanted) })
}

// release frees all blocks of a sequence; it has to be prefilled again. The
// deepest prefix block becomes the first to be evicted.
func (s *Scheduler) release(released *sequence) {
	for i := len(released.shared) - 1; i >= 0; i-- {
		s.pool.dereference(released.shared[i])
	}
	s.pool.private -= released.private
	released.shared = nil
	released.private = 0
	released.computed = 0
	s.unkeep(released)
}

func (s *Scheduler) unkeep(keeper *sequence) {
	if position := slices.Index(s.kept, keeper); position >= 0 {
		s.kept = slices.Delete(s.kept, position, position+1)
	}
}

// trim frees the private blocks behind the computed tokens.
func (s *Scheduler) trim(trimmed *sequence) {
	surplus := trimmed.blocks() - s.blocksFor(trimmed.computed)
	surplus = min(surplus, trimmed.private)
	if surplus > 0 {
		trimmed.private -= surplus
		s.pool.private -= surplus
	}
}
