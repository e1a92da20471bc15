package batch

import (
	"slices"
	"time"
)

// phase is the state of a batch stream.
type phase uint8

const (
	phaseStarting   phase = iota + 1 // sent, no token yet
	phaseRunning                     // producing tokens
	phaseSuspending                  // ActionSuspend returned, not confirmed
	phaseSuspended                   // suspension confirmed
	phaseResuming                    // ActionResume returned, no token since
)

// active reports whether the stream takes, or is about to take, a slot.
func (p phase) active() bool {
	return p == phaseStarting || p == phaseRunning || p == phaseResuming
}

// stream is a batch stream of an engine.
type stream struct {
	id       string
	phase    phase
	since    time.Time // when the phase began
	deadline time.Time
	sequence uint64  // order of admission
	prompt   float64 // tokens to prefill
	produced bool    // has produced a token
	// failedSuspends counts suspensions without effect, as of a stream that may run
	// only once; after maxFailedSuspends the stream isn't preempted any more.
	failedSuspends int
}

// Bounds on the execution of actions.
const (
	// suspendGrace is how long after ActionSuspend tokens may still arrive.
	suspendGrace = 250 * time.Millisecond
	// resumeTimeout is how long a resumed stream may be without a token.
	resumeTimeout     = 2 * time.Second
	maxFailedSuspends = 2
	overdueInterval   = time.Second
	suspendTimeout    = 5 * time.Second
)

// engineState is the controller's state for one engine.
type engineState struct {
	name           string
	gone           bool
	goneAt         time.Time
	draining       bool
	overdueChecked time.Time // last check for overdue streams

	streams      map[string]*stream
	lastSequence uint64
	active       int // streams in an active phase
	starting     int
	producing    int // in phaseRunning
	suspended    int
	suspending   int // suspensions not confirmed
	// oldestSuspension is a lower bound of the times at which streams were suspended.
	oldestSuspension time.Time

	online map[string]time.Time // start times of the announced requests
	// unannounced is the number of online requests in the last report beyond those
	// announced.
	unannounced int

	model      stepModel
	real       timeline
	onlineOnly onlineTimeline
	price      price
	fillRatio  fillRatio
	// Expected times to first token of arriving online requests, with batch and
	// without.
	realWaits       stepHistogram
	onlineOnlyWaits stepHistogram
	promptTokens    average // prefill tokens of a batch stream
	// peak and previousPeak are the maximum number of this home node's streams in
	// the current and the previous window; foreignAt is when a report last showed
	// many more.
	peak         int
	previousPeak int
	peakAt       time.Time
	foreignAt    time.Time
	// bound is the protected quantile of the step lengths without batch; zero while
	// unknown.
	bound   time.Duration
	boundAt time.Time
}

func newEngineState(name string, config *Config) *engineState {
	return &engineState{
		name:      name,
		streams:   map[string]*stream{},
		online:    map[string]time.Time{},
		model:     newStepModel(),
		price:     newPrice(config.Share),
		fillRatio: fillRatio{value: maxFillRatio},
		// The feedback must show the effect of recent changes.
		realWaits:       stepHistogram{timeConstant: waitTimeConstant},
		onlineOnlyWaits: stepHistogram{timeConstant: waitTimeConstant},
	}
}

// average is an exponentially weighted moving average, initialized by its first
// entry.
type average struct {
	value float64
	known bool
}

// averageWeight is the weight of a new entry.
const averageWeight = 0.05

func (a *average) add(entry float64) {
	if !a.known {
		a.value, a.known = entry, true
		return
	}
	a.value += averageWeight * (entry - a.value)
}

func (s *engineState) onlineCount() int { return len(s.online) + s.unannounced }

// boundInterval is the time between updates of the bound and the price.
const boundInterval = 100 * time.Millisecond

// waitTimeConstant is the time constant of the histograms of waits.
const waitTimeConstant = 60 * time.Second

// protectedQuantile is the quantile of times that batch may raise only to a limit.
const protectedQuantile = 0.99

// advance updates both timelines, the bound, the price and the fill ratio.
func (s *engineState) advance(now time.Time, config *Config) {
	load := s.load(config)
	s.real.advance(now, load, &s.model)
	s.onlineOnly.advance(now, s.onlineOnlyCount(load), &s.model, load.chunk)
	if now.Sub(s.overdueChecked) >= overdueInterval {
		s.overdueChecked = now
		s.retryOverdue(now)
	}
	if now.Sub(s.boundAt) < boundInterval {
		return
	}
	s.boundAt = now
	s.bound = s.onlineOnly.steps.quantile(protectedQuantile)
	goal := time.Duration(float64(s.bound) * config.harmGoal())
	s.price.update(now, s.real.steps.shareAbove(goal), 1-protectedQuantile)
	if config.Share < firstTokenShare {
		goal := config.maxWait(s.onlineOnlyWaits.quantile(protectedQuantile))
		s.fillRatio.update(now, s.realWaits.shareAbove(goal), 1-protectedQuantile)
	}
}

// retryOverdue resets streams whose resumption or suspension wasn't confirmed in
// time, so that it is requested again.
func (s *engineState) retryOverdue(now time.Time) {
	for _, overdue := range s.streams {
		waited := now.Sub(overdue.since)
		switch {
		case overdue.phase == phaseResuming && waited > resumeTimeout:
			s.setPhase(overdue, phaseSuspended, now)
		case overdue.phase == phaseSuspending && waited > suspendTimeout:
			s.setPhase(overdue, phaseRunning, now)
		}
	}
}

// recordWaits estimates an arriving request's time to first token: with batch, as
// it is after the decision on the arrival, and with no batch in the same two steps.
func (s *engineState) recordWaits(now time.Time, config *Config) {
	load := s.load(config)
	remaining := max(0, s.real.end.Sub(now))
	s.realWaits.add(now, remaining+s.model.step(load.streams(), min(s.real.pending, load.chunk)), 1)
	online := s.onlineOnlyCount(load)
	withoutBatch := s.model.step(online, s.real.onlinePrefill)
	withBatch := s.model.step(s.real.streams, s.real.prefill)
	remaining = time.Duration(float64(remaining) * min(1, float64(withoutBatch)/float64(withBatch)))
	s.onlineOnlyWaits.add(now, remaining+s.model.step(online, min(s.real.pendingOnline, load.chunk)), 1)
}

func (s *engineState) load(config *Config) stepLoad {
	return stepLoad{
		online:    float64(s.onlineCount()),
		batch:     float64(s.active),
		chunk:     float64(config.ChunkTokens),
		producing: s.producing > 0,
	}
}

// onlineOnlyCount estimates how many online streams there would be without batch:
// fewer, as each would end sooner.
func (s *engineState) onlineOnlyCount(load stepLoad) float64 {
	if load.online <= 0 {
		return 0
	}
	return load.online * s.model.step(load.online, 0).Seconds() / s.model.step(load.streams(), 0).Seconds()
}

// observe applies an event and reports whether a decision is due.
func (s *engineState) observe(now time.Time, event Event, config *Config) bool {
	switch event.Kind {
	case EventOnlineStarted:
		s.onlineOnly.addPrefill(float64(event.PromptTokens))
		s.real.addPrefill(now, float64(event.PromptTokens), true, s.load(config), &s.model)
		s.online[event.Stream] = now
	case EventOnlineFinished:
		delete(s.online, event.Stream)
	case EventLoad:
		s.observeLoad(now, event)
	case EventBatchStarted:
		s.observeStart(now, event, config)
		return false
	case EventBatchToken:
		return s.observeToken(now, event, config)
	case EventBatchEnded:
		s.observeEnd(now, event)
	case EventEngineGone:
		*s = *newEngineState(s.name, config)
		s.gone = true
		s.goneAt = now
		return false
	}
	return true
}

func (s *engineState) observeStart(now time.Time, event Event, config *Config) {
	if s.streams[event.Stream] != nil {
		return // the stream was resumed
	}
	s.lastSequence++
	added := &stream{id: event.Stream, deadline: event.Deadline, sequence: s.lastSequence, prompt: float64(event.PromptTokens)}
	s.promptTokens.add(added.prompt)
	s.real.addPrefill(now, added.prompt, false, s.load(config), &s.model)
	s.streams[added.id] = added
	s.setPhase(added, phaseStarting, now)
}

// observeToken applies a token and reports whether it ended a step, as the limit
// of the next one may differ.
func (s *engineState) observeToken(now time.Time, event Event, config *Config) bool {
	producing := s.streams[event.Stream]
	if producing == nil {
		// The stream was started before the controller had state for the engine.
		s.lastSequence++
		producing = &stream{id: event.Stream, sequence: s.lastSequence}
		s.streams[producing.id] = producing
	}
	producing.produced = true
	failed := producing.phase == phaseSuspending && now.Sub(producing.since) > suspendGrace
	if failed {
		producing.failedSuspends++
	}
	if failed || producing.phase == phaseStarting || producing.phase == phaseResuming || producing.phase == 0 {
		s.setPhase(producing, phaseRunning, now)
	}
	return s.real.observeToken(now, s.load(config), &s.model)
}

func (s *engineState) observeEnd(now time.Time, event Event) {
	ended := s.streams[event.Stream]
	if ended == nil {
		return
	}
	if event.Suspended {
		if ended.phase == phaseSuspending {
			s.setPhase(ended, phaseSuspended, now)
		}
		return
	}
	s.remove(ended)
}

func (s *engineState) setPhase(changed *stream, to phase, now time.Time) {
	s.addCount(changed.phase, -1)
	changed.phase = to
	changed.since = now
	s.addCount(to, 1)
	if to == phaseSuspended && (s.suspended == 1 || now.Before(s.oldestSuspension)) {
		s.oldestSuspension = now
	}
}

func (s *engineState) addCount(p phase, delta int) {
	if p.active() {
		s.active += delta
	}
	switch p {
	case phaseStarting:
		s.starting += delta
	case phaseRunning:
		s.producing += delta
	case phaseSuspending:
		s.suspending += delta
	case phaseSuspended:
		s.suspended += delta
	}
}

func (s *engineState) remove(removed *stream) {
	s.addCount(removed.phase, -1)
	delete(s.streams, removed.id)
}

// ordered returns the streams by deadline, and then in order of admission.
func (s *engineState) ordered() []*stream {
	all := make([]*stream, 0, len(s.streams))
	for _, listed := range s.streams {
		all = append(all, listed)
	}
	slices.SortFunc(all, compareUrgency)
	return all
}

func compareUrgency(a, b *stream) int {
	if order := compareDeadline(a.deadline, b.deadline); order != 0 {
		return order
	}
	return int(a.sequence) - int(b.sequence)
}

// compareDeadline orders deadlines; zero is last.
func compareDeadline(a, b time.Time) int {
	switch {
	case a.Equal(b):
		return 0
	case a.IsZero():
		return 1
	case b.IsZero():
		return -1
	}
	return a.Compare(b)
}

// victims returns the streams to preempt first: those before their first token, then
// those being resumed, then running ones, each with the latest deadline first.
func (s *engineState) victims(count int) []*stream {
	var chosen []*stream
	ordered := s.ordered()
	slices.Reverse(ordered)
	for _, wanted := range []phase{phaseStarting, phaseResuming, phaseRunning} {
		for _, candidate := range ordered {
			if len(chosen) == count {
				return chosen
			}
			if candidate.phase == wanted && candidate.failedSuspends < maxFailedSuspends {
				chosen = append(chosen, candidate)
			}
		}
	}
	return chosen
}

// resume makes a suspended stream active again. One that was suspended before its
// first token still needs its prefill.
func (s *engineState) resume(now time.Time, resumed *stream, config *Config) {
	if resumed.produced {
		s.setPhase(resumed, phaseResuming, now)
		return
	}
	s.real.addPrefill(now, resumed.prompt, false, s.load(config), &s.model)
	s.setPhase(resumed, phaseStarting, now)
}

// resumable returns the suspended streams to resume first.
func (s *engineState) resumable(count int) []*stream {
	if s.suspended == 0 {
		return nil
	}
	var chosen []*stream
	for _, candidate := range s.ordered() {
		if len(chosen) == count {
			break
		}
		if candidate.phase == phaseSuspended {
			chosen = append(chosen, candidate)
		}
	}
	return chosen
}
