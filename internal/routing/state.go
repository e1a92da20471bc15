package routing

import (
	"time"
)

const (
	// historyLength × historyStep is how far back this node's own streams on an
	// endpoint are known, to subtract them from a lagging report.
	historyLength = 32
	historyStep   = 50 * time.Millisecond
	// sampleWeight is the weight of a new sample in the moving means.
	sampleWeight = 0.2
)

// endpointState is what this node observed of its own traffic on one endpoint. It
// persists across snapshots.
type endpointState struct {
	name     string
	inFlight int
	history  *inFlightHistory

	oldestWaiting, newestWaiting *Attempt
	lastFirstToken               time.Time
	lastFinish                   time.Time

	failures     int // consecutive
	lastFailure  time.Time
	ejections    int // consecutive, determines the ejection time
	ejected      bool
	ejectedUntil time.Time
	probing      bool
	busyUntil    time.Time

	firstToken   movingMean // seconds from start to the first token
	betweenToken movingMean // seconds between tokens
}

// movingMean is an exponentially weighted moving average.
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
	weight := max(sampleWeight, 1/float64(m.samples))
	m.value += weight * (sample - m.value)
}

// inFlightHistory is a ring buffer of the number of own streams in flight.
type inFlightHistory struct {
	samples [historyLength]inFlightSample
	next    int
}

type inFlightSample struct {
	at    time.Time
	count int
}

// addInFlight adds delta to the number in flight and records the history.
func (s *endpointState) addInFlight(now time.Time, delta int) {
	if s.history == nil {
		s.history = &inFlightHistory{}
	}
	newest := &s.history.samples[(s.history.next+historyLength-1)%historyLength]
	if newest.at.IsZero() || now.Sub(newest.at) >= historyStep {
		// The count before this change was valid from the last sample until now.
		s.history.samples[s.history.next] = inFlightSample{at: now, count: s.inFlight}
		s.history.next = (s.history.next + 1) % historyLength
	}
	s.inFlight += delta
}

// inFlightAt returns how many own streams were in flight at a past time: the
// count of the first sample taken after it, or the current one.
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

// begin starts an attempt on the endpoint.
func (s *endpointState) begin(now time.Time, probe bool) *Attempt {
	attempt := &Attempt{state: s, started: now, probe: probe, waiting: true}
	s.addInFlight(now, 1)
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

// stopWaiting removes the attempt from the list of those without a first token.
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

// end removes the attempt from the endpoint. It must be called once.
func (s *endpointState) end(now time.Time, attempt *Attempt) {
	attempt.ended = true
	s.stopWaiting(attempt)
	s.addInFlight(now, -1)
	if attempt.probe {
		s.probing = false
	}
}

// stalled reports whether the oldest waiting attempt is over the limit and no
// attempt got a first token since it started.
func (s *endpointState) stalled(now time.Time, limit time.Duration) bool {
	oldest := s.oldestWaiting
	return oldest != nil && now.Sub(oldest.started) > limit && s.lastFirstToken.Before(oldest.started)
}
