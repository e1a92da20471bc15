package scheduler

import (
	"container/heap"
	"slices"
	"time"
)

// chunk is the number of tokens that a step computes for a sequence.
type chunk struct {
	sequence *sequence
	tokens   int
}

// Step plans and runs one step. The tokens in its result exist after its Duration,
// and Step must not be called again before. An idle result means that no sequence
// can run before the next Submit or Resume.
func (s *Scheduler) Step(_ time.Time) StepResult {
	spareStored, spareRemoved := s.result.Stored[:0], s.result.Removed[:0]
	s.result = StepResult{
		Tokens:    s.result.Tokens[:0],
		Finished:  s.result.Finished[:0],
		Preempted: s.result.Preempted[:0],
	}
	s.plan()
	if len(s.chunks) > 0 {
		s.compute()
	}
	s.result.Idle = len(s.chunks) == 0
	s.result.Stored, s.pool.stored = s.pool.stored, spareStored
	s.result.Removed, s.pool.removed = s.pool.removed, spareRemoved
	return s.result
}

// plan divides the token budget among running and waiting sequences in scheduling
// order. Only sequences without a chunk are preempted, so no chunk is revoked.
func (s *Scheduler) plan() {
	s.chunks = s.chunks[:0]
	budget := s.config.TokenBudget
	admitting := true
	for next := 0; budget > 0; {
		candidate := s.nextCandidate(next, admitting)
		if candidate == nil {
			return
		}
		if !s.schedule(candidate, next, budget) {
			admitting = false
			continue
		}
		tokens := min(candidate.contextTokens()-candidate.computed, budget)
		budget -= tokens
		s.chunks = append(s.chunks, chunk{candidate, tokens})
		next++
	}
}

// nextCandidate returns the first in scheduling order of the running sequences from
// index next on and, if admitting, the waiting ones.
func (s *Scheduler) nextCandidate(next int, admitting bool) *sequence {
	var first *sequence
	if next < len(s.running) {
		first = s.running[next]
	}
	if admitting && len(s.queue) > 0 && (first == nil || s.queue[0].before(first)) {
		first = s.queue[0]
	}
	return first
}

// schedule allocates the blocks for the candidate's chunk and reports whether the
// candidate is now at index next of the running sequences. A running candidate for
// which there are no blocks is itself preempted.
func (s *Scheduler) schedule(candidate *sequence, next, budget int) bool {
	if candidate.state == waiting {
		return s.admit(candidate, next, budget)
	}
	for !s.allocate(candidate, budget) {
		victim := s.running[len(s.running)-1]
		s.preempt(victim)
		if victim == candidate {
			return false
		}
	}
	return true
}

// admit starts a waiting candidate. It only preempts sequences of lower priority, so
// that sequences of equal priority do not preempt each other in turn.
func (s *Scheduler) admit(candidate *sequence, next, budget int) bool {
	if len(s.running) >= s.config.MaxRunning && !(s.config.PreemptSlots && s.preemptBelow(candidate)) {
		return false
	}
	s.removeRetained(candidate)
	s.attachCachedPrefix(candidate)
	for !s.allocate(candidate, budget) {
		if !s.preemptBelow(candidate) {
			s.release(candidate)
			return false
		}
	}
	heap.Pop(&s.queue)
	candidate.state = running
	if !candidate.started {
		candidate.started = true
		candidate.cachedTokens = candidate.computed
	}
	s.running = slices.Insert(s.running, next, candidate)
	return true
}

// attachCachedPrefix references the cached blocks of the candidate's prompt. It
// leaves at least one token to compute, which is needed to emit the next one.
func (s *Scheduler) attachCachedPrefix(candidate *sequence) {
	if candidate.blockCount() > 0 {
		return
	}
	usable := min(s.pool.countCached(candidate.PrefixHashes), (candidate.contextTokens()-1)/s.config.BlockTokens)
	for _, hash := range candidate.PrefixHashes[:usable] {
		block := s.pool.cached[hash]
		s.pool.reference(block)
		candidate.shared = append(candidate.shared, block)
	}
	candidate.computed = usable * s.config.BlockTokens
}

// allocate allocates the missing blocks for the candidate's next tokens and reports
// whether there were enough.
func (s *Scheduler) allocate(candidate *sequence, budget int) bool {
	tokens := min(candidate.contextTokens()-candidate.computed, budget)
	missing := s.blocksFor(candidate.computed+tokens) - candidate.blockCount()
	if missing <= 0 {
		return true
	}
	for !s.pool.reclaim(missing) {
		if len(s.retained) == 0 {
			return false
		}
		s.release(s.retained[0])
	}
	candidate.private += missing
	s.pool.private += missing
	return true
}

// preemptBelow preempts the last running sequence if its priority is lower than the
// candidate's, and reports whether it did.
func (s *Scheduler) preemptBelow(candidate *sequence) bool {
	if len(s.running) == 0 {
		return false
	}
	victim := s.running[len(s.running)-1]
	if victim.Priority <= candidate.Priority {
		return false
	}
	s.preempt(victim)
	return true
}

func (s *Scheduler) preempt(victim *sequence) {
	s.detach(victim)
	s.release(victim)
	victim.state = waiting
	heap.Push(&s.queue, victim)
	s.load.Preempted++
	s.result.Preempted = append(s.result.Preempted, victim.ID)
}

// compute executes the planned chunks.
func (s *Scheduler) compute() {
	duration := s.config.StepBase
	for _, planned := range s.chunks {
		duration += s.config.StepPerSequence
		if planned.tokens > 1 {
			s.result.Prefilled += planned.tokens
		}
		s.advance(planned.sequence, planned.tokens)
	}
	duration += time.Duration(s.result.Prefilled) * s.config.StepPerPrefillToken
	s.result.Duration = duration
	s.result.Scheduled = len(s.chunks)
	s.load.Steps++
	s.load.StepTime = duration
	s.load.StepTokens = len(s.result.Tokens)
	s.load.Tokens += uint64(len(s.result.Tokens))
	s.load.Prefilled += uint64(s.result.Prefilled)
}

func (s *Scheduler) advance(advanced *sequence, tokens int) {
	advanced.computed += tokens
	s.cachePromptBlocks(advanced)
	if advanced.computed < advanced.contextTokens() {
		return
	}
	s.result.Tokens = append(s.result.Tokens, Token{ID: advanced.ID, Index: advanced.emitted})
	advanced.emitted++
	if advanced.emitted < advanced.MaxTokens {
		return
	}
	s.result.Finished = append(s.result.Finished, Finished{
		ID:           advanced.ID,
		PromptTokens: advanced.PromptTokens,
		CachedTokens: advanced.cachedTokens,
		OutputTokens: advanced.emitted,
	})
	s.detach(advanced)
	s.release(advanced)
	delete(s.known, advanced.ID)
}

// cachePromptBlocks moves fully computed prompt blocks into the prefix cache.
func (s *Scheduler) cachePromptBlocks(computed *sequence) {
	full := min(computed.computed/s.config.BlockTokens, len(computed.PrefixHashes))
	for len(computed.shared) < full {
		block := s.pool.share(computed.PrefixHashes[len(computed.shared)])
		computed.shared = append(computed.shared, block)
		computed.private--
	}
}
