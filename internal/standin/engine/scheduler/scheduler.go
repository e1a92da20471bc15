package scheduler

import (
	"container/heap"
	"slices"
	"sort"
	"time"
)

// Scheduler schedules sequences step by step. Create it with New.
type Scheduler struct {
	config Config
	pool   blockPool
	known  map[string]*sequence
	// running is sorted in scheduling order.
	running []*sequence
	queue   waitingQueue
	// retained holds the sequences that kept their blocks when suspended, the
	// longest retained first; resumed ones may still be in it.
	retained       []*sequence
	suspendedCount int
	serial         uint64

	load   Load
	chunks []chunk
	result StepResult
}

// New returns an empty scheduler. Counts and priorities in config that are not
// positive take their value from DefaultConfig; step times may be 0.
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

// Config returns the configuration, with defaults filled in.
func (s *Scheduler) Config() Config { return s.config }

// Submit queues a sequence. It returns ErrDuplicate, ErrInvalid or ErrTooLong without
// changing anything.
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

// Cancel removes a sequence in any state and frees its blocks.
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

// Suspend suspends a running or waiting sequence. The sequence keeps its output
// position, and its blocks until memory is short.
func (s *Scheduler) Suspend(id string) error {
	target := s.known[id]
	if target == nil || target.state == suspended {
		return ErrUnknown
	}
	s.detach(target)
	target.state = suspended
	s.suspendedCount++
	if target.blockCount() > 0 && !slices.Contains(s.retained, target) {
		s.retained = append(s.retained, target)
	}
	return nil
}

// Resume queues a suspended sequence again, from the given output token. from may be
// lower than the number of emitted tokens, which are then emitted again, but not
// higher.
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
	resumed.computed = max(0, min(resumed.computed, resumed.contextTokens()-1))
	s.freeSurplus(resumed)
	resumed.state = waiting
	heap.Push(&s.queue, resumed)
	return nil
}

// Emitted returns the number of output tokens of a sequence, including those before
// ResumeFrom, and whether the sequence exists.
func (s *Scheduler) Emitted(id string) (int, bool) {
	found := s.known[id]
	if found == nil {
		return 0, false
	}
	return found.emitted, true
}

// Cached returns the number of leading hashes that are in the prefix cache.
func (s *Scheduler) Cached(hashes []uint64) int { return s.pool.countCached(hashes) }

// Import adds blocks to the prefix cache as if they had been computed, and returns
// how many leading ones are cached. It evicts only unreferenced blocks.
func (s *Scheduler) Import(hashes []uint64) int {
	for i, hash := range hashes {
		if !s.pool.insert(hash) {
			return i
		}
	}
	return s.pool.countCached(hashes)
}

// Reset removes all sequences and cached blocks, as a restart does.
func (s *Scheduler) Reset() { *s = *New(s.config) }

// Waiting returns the number of waiting sequences.
func (s *Scheduler) Waiting() int { return len(s.queue) }

// Load returns a snapshot, in time linear in the number of sequences.
func (s *Scheduler) Load() Load {
	load := s.load
	load.Running = len(s.running)
	load.Waiting = len(s.queue)
	load.Suspended = s.suspendedCount
	load.Blocks = s.config.Blocks
	load.RunningBatch = s.countBatch(s.running)
	load.WaitingBatch = s.countBatch(s.queue)
	for _, holder := range s.retained {
		load.BlocksSuspended += holder.private
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

// detach removes a sequence from the collection or count of its state.
func (s *Scheduler) detach(detached *sequence) {
	switch detached.state {
	case waiting:
		heap.Remove(&s.queue, detached.heapIndex)
	case running:
		position := s.runningIndex(detached)
		s.running = slices.Delete(s.running, position, position+1)
	case suspended:
		s.suspendedCount--
	}
}

// runningIndex returns the index of a sequence in running, or where to insert it.
func (s *Scheduler) runningIndex(target *sequence) int {
	return sort.Search(len(s.running), func(i int) bool { return !s.running[i].before(target) })
}

// release frees all blocks of a sequence, which must then be prefilled again. The
// last prefix block is dereferenced first, and thus evicted first.
func (s *Scheduler) release(released *sequence) {
	for i := len(released.shared) - 1; i >= 0; i-- {
		s.pool.dereference(released.shared[i])
	}
	s.pool.private -= released.private
	released.shared = nil
	released.private = 0
	released.computed = 0
	s.removeRetained(released)
}

func (s *Scheduler) removeRetained(removed *sequence) {
	if position := slices.Index(s.retained, removed); position >= 0 {
		s.retained = slices.Delete(s.retained, position, position+1)
	}
}

// freeSurplus frees the private blocks after the computed tokens.
func (s *Scheduler) freeSurplus(trimmed *sequence) {
	surplus := trimmed.blockCount() - s.blocksFor(trimmed.computed)
	surplus = min(surplus, trimmed.private)
	if surplus > 0 {
		trimmed.private -= surplus
		s.pool.private -= surplus
	}
}
