package batch

import "time"

// timeline follows the engine's real steps: their ends are seen by the tokens
// of batch streams, and predicted while no batch stream runs.
type timeline struct {
	start    time.Time // of the step that runs now
	end      time.Time // when it is expected to end
	seen     bool      // start was seen, not predicted
	streams  float64   // in the step that runs now
	prefill  float64   // tokens prefilled in the step that runs now
	online   float64   // the part of prefill that is online's
	pending  float64   // tokens that wait for the next step
	arriving float64   // the part of pending that is online's
	steps    stepHistogram
	// arrived is when the last prefill came; unsure counts the steps from now
	// on of which it isn't sure what they prefilled.
	arrived time.Time
	unsure  int
}

const (
	// sameStep is the share of a step's predicted length within which tokens
	// belong to the same step.
	sameStep = 0.4
	// endMargin is the share of a step by which a predicted end is put off,
	// so that batch does not come back into a step that online still waits for.
	endMargin = 0.25
	// skew is the share of a step, before its end, in which an arrival may have
	// missed the next step already: messages take their time.
	skew = 0.15
	// unsureSteps are the two steps that such an arrival may be in.
	unsureSteps = 2
	// idleAfter is the time without steps after which the engine counts as idle.
	idleAfter = 200 * time.Millisecond
)

// arrive adds prefill that the next step will do. While no
// batch token will tell, a step whose predicted end has passed has ended.
func (t *timeline) arrive(now time.Time, tokens float64, online bool, load stepLoad, model *stepModel) {
	if load.batch <= 0 && load.online > 0 && t.end.Before(now) {
		t.next(t.end, false, load, model)
	}
	t.pending += tokens
	t.arrived = now
	if online {
		t.arriving += tokens
	}
}

// withdraw takes back batch prefill that has not begun.
func (t *timeline) withdraw(tokens float64) {
	t.pending = max(t.arriving, t.pending-tokens)
}

// token takes note of a batch token, and says whether it ended a step.
func (t *timeline) token(now time.Time, load stepLoad, model *stepModel) bool {
	elapsed := now.Sub(t.start)
	if elapsed < time.Duration(sameStep*float64(model.step(t.streams, t.prefill))) {
		return false
	}
	switch {
	case !t.seen:
		model.missed()
	case t.unsure == 0:
		model.learn(elapsed, t.streams, t.prefill)
	}
	t.unsure = max(0, t.unsure-1)
	if now.Sub(t.arrived) < time.Duration(skew*float64(elapsed)) {
		t.unsure = unsureSteps
	}
	t.next(now, true, load, model)
	return true
}

// advance ends the steps whose predicted end has passed unseen. While batch
// streams produce tokens, these tell, and predictions of a model that isn't
// trusted must not come before them: it would never learn better.
func (t *timeline) advance(now time.Time, load stepLoad, model *stepModel) {
	if load.online <= 0 {
		t.arriving = 0 // what had arrived has ended
	}
	if load.streams() <= 0 {
		t.pending = 0
	}
	if load.producing && !model.trusted() && now.Sub(t.start) < longestStep {
		return
	}
	if now.Sub(t.end) > idleAfter || load.streams() <= 0 {
		t.start = now
		t.end = now
		t.seen = false
	}
	for {
		due := t.end.Add(time.Duration(endMargin * float64(t.end.Sub(t.start))))
		if due.After(now) || load.streams() <= 0 {
			return
		}
		t.next(t.end, false, load, model)
	}
}

// next begins a step. What is kept of the one before is its predicted length,
// so that it compares with the shadow's: errors of the model are in both.
func (t *timeline) next(at time.Time, seen bool, load stepLoad, model *stepModel) {
	if load.online > 0 {
		t.steps.add(at, model.step(t.streams, t.prefill), load.online)
	}
	t.start = at
	t.seen = seen
	t.streams = load.streams()
	t.prefill = min(t.pending, load.chunk)
	t.online = min(t.arriving, load.chunk)
	t.pending -= t.prefill
	t.arriving = max(0, t.arriving-t.prefill)
	t.end = at.Add(model.step(t.streams, t.prefill))
}

// stepLoad is what an engine has to do in a step.
type stepLoad struct {
	online float64 // online streams
	batch  float64 // active batch streams
	chunk  float64 // prefill tokens that fit into a step
	// producing says that batch streams have tokens in each step.
	producing bool
}

func (l stepLoad) streams() float64 { return l.online + l.batch }
