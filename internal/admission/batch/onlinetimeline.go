package batch

import "time"

// onlineTimeline simulates the steps of the engine without batch. The lengths of
// the steps, each weighted by its online streams, are the distribution of the time
// between tokens without batch.
type onlineTimeline struct {
	end     time.Time // of the current step
	prefill float64   // tokens waiting for the next steps
	steps   stepHistogram
}

// advance simulates the steps that end by now, with online streams in each.
func (t *onlineTimeline) advance(now time.Time, online float64, model *stepModel, chunk float64) {
	for t.end.Before(now) {
		if t.prefill <= 0 && online <= 0 {
			t.end = now
			return
		}
		count := time.Duration(1)
		tokens := min(t.prefill, chunk)
		step := model.step(online, tokens)
		if tokens <= 0 {
			// Steps without prefill all have the same length.
			count += now.Sub(t.end) / step
		}
		t.prefill -= tokens
		t.steps.add(now, step, online*float64(count))
		t.end = t.end.Add(count * step)
	}
}

// addPrefill adds an online request's prefill to the next step.
func (t *onlineTimeline) addPrefill(tokens float64) { t.prefill += tokens }
