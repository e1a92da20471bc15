package scheduler

import (
	"container/heap"
	"slices"
	"time"
)

// share is a sequence's part of a step.
type share struct {
	sequence *sequence
	tokens   int
}

// Step plans and runs one step that begins now. The tokens in its result
// exist after its Duration; call Step again at that time or later. An idle
// result means that there is nothing to do before the next Submit or Resume.
func (s *Scheduler) Step(_ time.Time) StepResult {
	spareStored, spareRemoved := s.result.Stored[:0], s.result.Removed[:0]
	s.result = StepResult{
		Tokens:    s.result.Tokens[:0],
		Finished:  s.result.Finished[:0],
		Preempted: s.result.Preempted[:0],
	}
	s.plan()
	if len(s.shares) > 0 {
		s.compute()
	}
	s.result.Idle = len(s.shares) == 0
	s.result.Stored, s.pool.stored = s.pool.stored, spareStored
	s.result.Removed, s.pool.removed = s.pool.removed, spareRemoved
	return s.result
}

// plan walks running and waiting sequences in one order and gives each its
// share of the token budget. Only sequences behind the present one are ever
// preempted, so a planned share is never taken back.
func (s *Scheduler) plan() {
	s.shares = s.shares[:0]
	budget := s.config.TokenBudget
	admitting := true
	for next := 0; budget > 0; {
		candidate := s.candidate(next, admitting)
		if candidate == nil {
			return
		}
		if !s.place(candidate, next, budget) {
			admitting = false
			continue
		}
		tokens := min(candidate.context()-candidate.computed, budget)
		budget -= tokens
		s.shares = append(s.shares, share{candidate, tokens})
		next++
	}
}

// candidate is the first in order of the running sequences from next on and,
// while admitting, the waiting ones.
func (s *Scheduler) candidate(next int, admitting bool) *sequence {
	var first *sequence
	if next < len(s.running) {
		first = s.running[next]
	}
	if admitting && len(s.queue) > 0 && (first == nil || s.queue[0].before(first)) {
		first = s.queue[0]
	}
	return first
}

// place gives the candidate the blocks for its part of the step; it stands at
// position next of the running sequences if that worked. A running candidate
// that finds no blocks is preempted itself.
func (s *Scheduler) place(candidate *sequence, next, budget int) bool {
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

// admit starts a waiting candidate. It may only preempt sequences of a lower
// priority, so that equals don't take turns in throwing each other out.
func (s *Scheduler) admit(candidate *sequence, next, budget int) bool {
	if len(s.running) >= s.config.MaxRunning && !(s.config.PreemptSlots && s.preemptBelow(candidate)) {
		return false
	}
	s.unkeep(candidate)
	s.reuse(candidate)
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

// reuse takes the cached part of the candidate's prompt. At least one token is
// left to compute, because only computing yields the next one.
func (s *Scheduler) reuse(candidate *sequence) {
	if candidate.blocks() > 0 {
		return
	}
	usable := min(s.pool.matching(candidate.PrefixHashes), (candidate.context()-1)/s.config.BlockTokens)
	for _, hash := range candidate.PrefixHashes[:usable] {
		block := s.pool.cached[hash]
		s.pool.reference(block)
		candidate.shared = append(candidate.shared, block)
	}
	candidate.computed = usable * s.config.BlockTokens
}

// allocate makes sure that the candidate has the blocks for its next tokens.
func (s *Scheduler) allocate(candidate *sequence, budget int) bool {
	tokens := min(candidate.context()-candidate.computed, budget)
	missing := s.blocksFor(candidate.computed+tokens) - candidate.blocks()
	if missing <= 0 {
		return true
	}
	for !s.pool.reclaim(missing) {
		if len(s.kept) == 0 {
			return false
		}
		s.release(s.kept[0])
	}
	candidate.private += missing
	s.pool.private += missing
	return true
}

// preemptBelow preempts the last running sequence if its priority is lower
// than the candidate's.
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

// compute carries out the planned shares.
func (s *Scheduler) compute() {
	duration := s.config.StepBase
	for _, planned := range s.shares {
		duration += s.config.StepPerSequence
		if planned.tokens > 1 {
			s.result.Prefilled += planned.tokens
		}
		s.advance(planned.sequence, planned.tokens)
	}
	duration += time.Duration(s.result.Prefilled) * s.config.StepPerPrefillToken
	s.result.Duration = duration
	s.result.Scheduled = len(s.shares)
	s.load.Steps++
	s.load.StepTime = duration
	s.load.StepTokens = len(s.result.Tokens)
	s.load.Tokens += uint64(len(s.result.Tokens))
	s.load.Prefilled += uint64(s.result.Prefilled)
}

func (s *Scheduler) advance(advanced *sequence, tokens int) {
	advanced.computed += tokens
	s.publish(advanced)
	if advanced.computed < advanced.context() {
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

// publish moves the prompt blocks that are full by now into the prefix cache.
func (s *Scheduler) publish(computed *sequence) {
	full := min(computed.computed/s.config.BlockTokens, len(computed.PrefixHashes))
	for len(computed.shared) < full {
		block := s.pool.share(computed.PrefixHashes[len(computed.shared)])
		computed.shared = append(computed.shared, block)
		computed.private--
	}
}
