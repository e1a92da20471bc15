package batch

import (
	"slices"
	"time"
)

// phase is where a batch stream stands.
type phase uint8

const (
	phaseStarting   phase = iota + 1 // sent, no token yet
	phaseRunning                     // producing tokens
	phaseSuspending                  // ActionSuspend given, not confirmed
	phaseSuspended                   // parked at the engine
	phaseResuming                    // ActionResume given, no token since
)

// active says whether the stream takes, or is about to take, a slot.
func (p phase) active() bool {
	return p == phaseStarting || p == phaseRunning || p == phaseResuming
}

// stream is a batch stream of an engine.
type stream struct {
	id       string
	phase    phase
	since    time.Time // when the phase began
	deadline time.Time
	number   uint64  // order of admission
	prompt   float64 // tokens to prefill
	produced bool    // has produced a token
	// refusals counts suspensions that had no effect; a stream that refuses
	// too often, as one that may run only once, is left alone.
	refusals int
}

// Bounds on what a stream may owe an answer to.
const (
	// suspendLimit is how long after ActionSuspend tokens may still come.
	suspendLimit = 250 * time.Millisecond
	// resumeLimit is how long a resumed stream may be without a token.
	resumeLimit   = 2 * time.Second
	mostRefusals  = 2
	overdueEvery  = time.Second
	stuckSuspends = 5 * time.Second
)

// engineState is what the controller knows of one engine.
type engineState struct {
	name     string
	gone     bool
	goneAt   time.Time
	draining bool
	checked  time.Time // when overdue streams were last looked for

	streams   map[string]*stream
	admitted  uint64
	active    int // streams in an active phase
	starting  int
	producing int // in phaseRunning
	suspended int
	leaving   int // suspensions not confirmed
	// oldestHold is not later than the time since which any stream is held.
	oldestHold time.Time

	online map[string]time.Time // announced requests, by when they started
	// unannounced is how many online requests the last report showed beyond
	// those announced.
	unannounced int

	model stepModel
	real  timeline
	alone shadow
	price price
	width width
	// waits are the expected times to the first token of arriving requests,
	// as they are and as they would be alone.
	realWaits  stepHistogram
	aloneWaits stepHistogram
	prompt     average // prefill tokens of a batch stream
	// peak is the most streams that this home had lately; foreignAt is when a
	// report last showed many more.
	peak       int
	formerPeak int
	peakAt     time.Time
	foreignAt  time.Time
	// bound is the longest step that online should see; zero while unknown.
	bound   time.Duration
	boundAt time.Time
}

func newEngineState(name string, config *Config) *engineState {
	return &engineState{
		name:    name,
		streams: map[string]*stream{},
		online:  map[string]time.Time{},
		model:   newStepModel(),
		price:   newPrice(config.Share),
		width:   width{value: widest},
		// What is steered must show soon what steering did.
		realWaits:  stepHistogram{memory: steeredMemory},
		aloneWaits: stepHistogram{memory: steeredMemory},
	}
}

// average is a moving average; its zero value takes the first entry as it is.
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

// boundEvery is how often the bound and the price are worked out anew.
const boundEvery = 100 * time.Millisecond

// steeredMemory is the memory of the histograms that price and width follow.
const steeredMemory = 60 * time.Second

// harmQuantile is the quantile of the time between tokens that is protected.
const harmQuantile = 0.99

// advance brings both timelines and the bound up to now.
func (s *engineState) advance(now time.Time, config *Config) {
	load := s.load(config)
	s.real.advance(now, load, &s.model)
	s.alone.advance(now, s.aloneCount(load), &s.model, load.chunk)
	if now.Sub(s.checked) >= overdueEvery {
		s.checked = now
		s.settleOverdue(now)
	}
	if now.Sub(s.boundAt) < boundEvery {
		return
	}
	s.boundAt = now
	s.bound = s.alone.steps.quantile(harmQuantile)
	goal := time.Duration(float64(s.bound) * config.harmGoal())
	s.price.update(now, s.real.steps.above(goal), 1-harmQuantile)
	if config.Share < tailFirst {
		goal := config.waitGoal(s.aloneWaits.quantile(harmQuantile))
		s.width.update(now, s.realWaits.above(goal), 1-harmQuantile)
	}
}

// settleOverdue ends waits for answers that don't come: a resume that was not
// done is asked for again, and so is a suspension.
func (s *engineState) settleOverdue(now time.Time) {
	for _, overdue := range s.streams {
		waited := now.Sub(overdue.since)
		switch {
		case overdue.phase == phaseResuming && waited > resumeLimit:
			s.setPhase(overdue, phaseSuspended, now)
		case overdue.phase == phaseSuspending && waited > stuckSuspends:
			s.setPhase(overdue, phaseRunning, now)
		}
	}
}

// noteWaits estimates an arrival's time to its first token, with batch as it
// is after the decision that the arrival led to, and without any batch in the
// same two steps.
func (s *engineState) noteWaits(now time.Time, config *Config) {
	load := s.load(config)
	rest := max(0, s.real.end.Sub(now))
	s.realWaits.add(now, rest+s.model.step(load.streams(), min(s.real.pending, load.chunk)), 1)
	online := s.aloneCount(load)
	running := s.model.step(online, s.real.online)
	whole := s.model.step(s.real.streams, s.real.prefill)
	rest = time.Duration(float64(rest) * min(1, float64(running)/float64(whole)))
	s.aloneWaits.add(now, rest+s.model.step(online, min(s.real.arriving, load.chunk)), 1)
}

func (s *engineState) load(config *Config) stepLoad {
	return stepLoad{
		online:    float64(s.onlineCount()),
		batch:     float64(s.active),
		chunk:     float64(config.ChunkTokens),
		producing: s.producing > 0,
	}
}

// aloneCount is how many online streams there would be without batch: fewer,
// as each would be done sooner.
func (s *engineState) aloneCount(load stepLoad) float64 {
	if load.online <= 0 {
		return 0
	}
	return load.online * s.model.step(load.online, 0).Seconds() / s.model.step(load.streams(), 0).Seconds()
}

// observe takes an event in and says whether a decision is due.
func (s *engineState) observe(now time.Time, event Event, config *Config) bool {
	switch event.Kind {
	case EventOnlineStarted:
		s.alone.arrive(float64(event.PromptTokens))
		s.real.arrive(now, float64(event.PromptTokens), true, s.load(config), &s.model)
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
		return // the shell's word that it resumed it
	}
	s.admitted++
	added := &stream{id: event.Stream, deadline: event.Deadline, number: s.admitted, prompt: float64(event.PromptTokens)}
	s.prompt.add(added.prompt)
	s.real.arrive(now, added.prompt, false, s.load(config), &s.model)
	s.streams[added.id] = added
	s.setPhase(added, phaseStarting, now)
}

// observeToken asks for a decision when a step has ended, as the next one's
// limit may differ.
func (s *engineState) observeToken(now time.Time, event Event, config *Config) bool {
	producing := s.streams[event.Stream]
	if producing == nil {
		// It was here before the controller knew the engine.
		s.admitted++
		producing = &stream{id: event.Stream, number: s.admitted}
		s.streams[producing.id] = producing
	}
	producing.produced = true
	refused := producing.phase == phaseSuspending && now.Sub(producing.since) > suspendLimit
	if refused {
		producing.refusals++
	}
	if refused || producing.phase == phaseStarting || producing.phase == phaseResuming || producing.phase == 0 {
		s.setPhase(producing, phaseRunning, now)
	}
	return s.real.token(now, s.load(config), &s.model)
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
	s.count(changed.phase, -1)
	changed.phase = to
	changed.since = now
	s.count(to, 1)
	if to == phaseSuspended && (s.suspended == 1 || now.Before(s.oldestHold)) {
		s.oldestHold = now
	}
}

func (s *engineState) count(of phase, by int) {
	if of.active() {
		s.active += by
	}
	switch of {
	case phaseStarting:
		s.starting += by
	case phaseRunning:
		s.producing += by
	case phaseSuspending:
		s.leaving += by
	case phaseSuspended:
		s.suspended += by
	}
}

func (s *engineState) remove(removed *stream) {
	s.count(removed.phase, -1)
	delete(s.streams, removed.id)
}

// ordered lists the streams, the one with the least slack first, and then in
// order of admission.
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
	return int(a.number) - int(b.number)
}

// compareDeadline puts no deadline last.
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

// victims are the streams to take back first: those that still prefill, then
// those with the most slack.
func (s *engineState) victims(count int) []*stream {
	var chosen []*stream
	ordered := s.ordered()
	slices.Reverse(ordered)
	for _, wanted := range []phase{phaseStarting, phaseResuming, phaseRunning} {
		for _, candidate := range ordered {
			if len(chosen) == count {
				return chosen
			}
			if candidate.phase == wanted && candidate.refusals < mostRefusals {
				chosen = append(chosen, candidate)
			}
		}
	}
	return chosen
}

// resume makes a suspended stream active again; one that was taken back before
// its first token has its prefill still to come.
func (s *engineState) resume(now time.Time, resumed *stream, config *Config) {
	if resumed.produced {
		s.setPhase(resumed, phaseResuming, now)
		return
	}
	s.real.arrive(now, resumed.prompt, false, s.load(config), &s.model)
	s.setPhase(resumed, phaseStarting, now)
}

// resumable are the suspended streams to go on with first.
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
