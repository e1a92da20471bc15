package batch

import "time"

// timeline tracks the engine's real steps. Their ends are observed by tokens of
// batch streams, and predicted while no batch stream runs.
type timeline struct {
	start         time.Time // of the current step
	end           time.Time // predicted end of the current step
	observed      bool      // start was observed, not predicted
	streams       float64   // in the current step
	prefill       float64   // tokens prefilled in the current step
	onlinePrefill float64   // online's part of prefill
	pending       float64   // tokens to prefill in the next steps
	pendingOnline float64   // online's part of pending
	steps         stepHistogram
	// lastArrival is when prefill was last added; uncertain is the number of next
	// steps whose prefill isn't known for sure.
	lastArrival time.Time
	uncertain   int
}

const (
	// sameStepShare is the share of a step's predicted length within which tokens
	// belong to the same step.
	sameStepShare = 0.4
	// endMargin is the share of a step by which a predicted end is delayed, so that
	// batch isn't resumed in a step that online still waits for.
	endMargin = 0.25
	// arrivalSkew is the last share of a step in which an arrival may miss the next
	// step, because of message delays.
	arrivalSkew = 0.15
	// uncertainSteps is the number of steps in which such an arrival may be prefilled.
	uncertainSteps = 2
	// idleAfter is the time without steps after which the engine counts as idle.
	idleAfter = 200 * time.Millisecond
)

// addPrefill adds prefill to the next step. Without batch streams, whose tokens
// mark the ends of steps, a step whose predicted end has passed has ended.
func (t *timeline) addPrefill(now time.Time, tokens float64, online bool, load stepLoad, model *stepModel) {
	if load.batch <= 0 && load.online > 0 && t.end.Before(now) {
		t.beginStep(t.end, false, load, model)
	}
	t.pending += tokens
	t.lastArrival = now
	if online {
		t.pendingOnline += tokens
	}
}

// removePrefill removes batch prefill that has not begun.
func (t *timeline) removePrefill(tokens float64) {
	t.pending = max(t.pendingOnline, t.pending-tokens)
}

// observeToken records a batch token and reports whether it ended a step.
func (t *timeline) observeToken(now time.Time, load stepLoad, model *stepModel) bool {
	elapsed := now.Sub(t.start)
	if elapsed < time.Duration(sameStepShare*float64(model.step(t.streams, t.prefill))) {
		return false
	}
	switch {
	case !t.observed:
		model.missed()
	case t.uncertain == 0:
		model.learn(elapsed, t.streams, t.prefill)
	}
	t.uncertain = max(0, t.uncertain-1)
	if now.Sub(t.lastArrival) < time.Duration(arrivalSkew*float64(elapsed)) {
		t.uncertain = uncertainSteps
	}
	t.beginStep(now, true, load, model)
	return true
}

// advance ends the steps whose predicted end has passed. While batch streams produce
// tokens, predictions of an untrusted model must not replace them, or the model
// would never observe a step.
func (t *timeline) advance(now time.Time, load stepLoad, model *stepModel) {
	if load.online <= 0 {
		t.pendingOnline = 0 // the requests have ended
	}
	if load.streams() <= 0 {
		t.pending = 0
	}
	if load.producing && !model.trusted() && now.Sub(t.start) < maxStep {
		return
	}
	if now.Sub(t.end) > idleAfter || load.streams() <= 0 {
		t.start = now
		t.end = now
		t.observed = false
	}
	for {
		due := t.end.Add(time.Duration(endMargin * float64(t.end.Sub(t.start))))
		if due.After(now) || load.streams() <= 0 {
			return
		}
		t.beginStep(t.end, false, load, model)
	}
}

// beginStep begins a step. The previous one is recorded by its predicted length,
// so that errors of the model affect both timelines alike.
func (t *timeline) beginStep(at time.Time, observed bool, load stepLoad, model *stepModel) {
	if load.online > 0 {
		t.steps.add(at, model.step(t.streams, t.prefill), load.online)
	}
	t.start = at
	t.observed = observed
	t.streams = load.streams()
	t.prefill = min(t.pending, load.chunk)
	t.onlinePrefill = min(t.pendingOnline, load.chunk)
	t.pending -= t.prefill
	t.pendingOnline = max(0, t.pendingOnline-t.prefill)
	t.end = at.Add(model.step(t.streams, t.prefill))
}

// stepLoad is the load of an engine in a step.
type stepLoad struct {
	online float64 // online streams
	batch  float64 // active batch streams
	chunk  float64 // prefill tokens that fit into a step
	// producing is whether running batch streams produce tokens in each step.
	producing bool
}

func (l stepLoad) streams() float64 { return l.online + l.batch }
