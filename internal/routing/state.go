package routing

import (
	"time"
)

const (
	// historyLength × historyStep is how far back this node knows its own
	// streams on an endpoint, to take them out of a lagging report.
	historyLength = 32
	historyStep   = 50 * time.Millisecond
	// meanWeight of a new sample in the moving means.
	meanWeight = 0.2
)

// endpointState is what this node saw of its own traffic on one endpoint. It
// outlives snapshots.
type endpointState struct {
	name     string
	inFlight int
	history  *inFlightHistory

	oldestWaiting, newestWaiting *Attempt
	lastFirstToken               time.Time

	failures     int // consecutive
	lastFailure  time.Time
	ejections    int // consecutive, sets the time aside
	ejected      bool
	ejectedUntil time.Time
	probing      bool
	busyUntil    time.Time

	firstToken   movingMean // seconds from start to the first token
	betweenToken movingMean // seconds between tokens
}

// movingMean is an exponentially weighted mean.
type movingMean struct {
	value   float64
	samples int
}

func (m *movingMean) add(sample float64) {
	m.samples++
	if m.samples == 1 {
		m.value = sample
		return
	}
	weight := max(meanWeight, 1/float64(m.samples))
	m.value += weight * (sample - m.value)
}

// inFlightHistory is a ring of samples of the own streams in flight.
type inFlightHistory struct {
	samples [historyLength]inFlightSample
	next    int
}

type inFlightSample struct {
	at    time.Time
	count int
}

// change moves the number in flight by delta, keeping the history.
func (s *endpointState) change(now time.Time, delta int) {
	if s.history == nil {
		s.history = &inFlightHistory{}
	}
	newest := &s.history.samples[(s.history.next+historyLength-1)%historyLength]
	if newest.at.IsZero() || now.Sub(newest.at) >= historyStep {
		// The count before this change held from the last sample until now.
		s.history.samples[s.history.next] = inFlightSample{at: now, count: s.inFlight}
		s.history.next = (s.history.next + 1) % historyLength
	}
	s.inFlight += delta
}

// inFlightAt tells how many own streams were in flight at a past time: the
// count of the first sample taken after it, or the present one.
func (s *endpointState) inFlightAt(at time.Time) int {
	if s.history == nil {
		return s.inFlight
	}
	count := s.inFlight
	for i := 1; i <= historyLength; i++ {
		sample := &s.history.samples[(s.history.next+historyLength-i)%historyLength]
		if sample.at.IsZero() || !sample.at.After(at) {
			break
		}
		count = sample.count
	}
	return count
}

// begin charges the endpoint with an attempt.
func (s *endpointState) begin(now time.Time, probe bool) *Attempt {
	attempt := &Attempt{state: s, started: now, probe: probe, waiting: true}
	s.change(now, 1)
	if probe {
		s.probing = true
	}
	attempt.previous = s.newestWaiting
	if s.newestWaiting != nil {
		s.newestWaiting.next = attempt
	} else {
		s.oldestWaiting = attempt
	}
	s.newestWaiting = attempt
	return attempt
}

// stopWaiting takes the attempt from the list of those without a first token.
func (s *endpointState) stopWaiting(attempt *Attempt) {
	if !attempt.waiting {
		return
	}
	attempt.waiting = false
	if attempt.previous != nil {
		attempt.previous.next = attempt.next
	} else {
		s.oldestWaiting = attempt.next
	}
	if attempt.next != nil {
		attempt.next.previous = attempt.previous
	} else {
		s.newestWaiting = attempt.previous
	}
	attempt.previous, attempt.next = nil, nil
}

// end takes the attempt off the endpoint, once.
func (s *endpointState) end(now time.Time, attempt *Attempt) {
	attempt.ended = true
	s.stopWaiting(attempt)
	s.change(now, -1)
	if attempt.probe {
		s.probing = false
	}
}

// stalled says that the endpoint took an attempt and has answered none since.
func (s *endpointState) stalled(now time.Time, limit time.Duration) bool {
	oldest := s.oldestWaiting
	return oldest != nil && now.Sub(oldest.started) > limit && s.lastFirstToken.Before(oldest.started)
}
