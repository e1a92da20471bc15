package batch

import "time"

// shadow follows the steps that the engine would make if it ran its online
// requests alone, and keeps their lengths, each weighted by the online streams
// that wait for it: the distribution of the time between tokens without batch.
type shadow struct {
	end     time.Time // of the step that runs now
	prefill float64   // tokens waiting for the next steps
	steps   stepHistogram
}

// advance makes the steps that end by now, with online streams in each.
func (s *shadow) advance(now time.Time, online float64, model *stepModel, chunk float64) {
	for s.end.Before(now) {
		if s.prefill <= 0 && online <= 0 {
			s.end = now
			return
		}
		count := time.Duration(1)
		tokens := min(s.prefill, chunk)
		step := model.step(online, tokens)
		if tokens <= 0 {
			// Steps that only decode are all alike.
			count += now.Sub(s.end) / step
		}
		s.prefill -= tokens
		s.steps.add(now, step, online*float64(count))
		s.end = s.end.Add(count * step)
	}
}

// arrive adds an online request's prefill to the next step.
func (s *shadow) arrive(tokens float64) { s.prefill += tokens }
