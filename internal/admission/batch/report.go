package batch

import (
	"time"

	"chutelock.dev/chutelock/internal/engine"
)

// How announced requests are squared with the engine's lagging reports.
const (
	// announceSettle is the age before a report at which a request must have
	// reached the engine, and been counted, or have ended.
	announceSettle = 250 * time.Millisecond
	// announceLimit is when an announced request is forgotten in any case.
	announceLimit = 5 * time.Minute
)

// observeLoad squares what was announced with a report. A report that shows
// no online at all ends older announcements whose end was lost; one that shows
// more than was announced by then counts the surplus until the next report.
func (s *engineState) observeLoad(now time.Time, event Event) {
	load := event.Load
	s.draining = load.Draining
	reported := onlineIn(load)
	before := 0
	for id, started := range s.online {
		settled := started.Before(load.At.Add(-announceSettle))
		if (settled && reported == 0) || now.Sub(started) > announceLimit {
			delete(s.online, id)
			continue
		}
		if !started.After(load.At) {
			before++
		}
	}
	s.observeForeign(now, load)
	s.unannounced = 0
	// As reports lag, a difference between two busy counts says nothing, unless
	// another home gets a part of the announcements.
	switch {
	case len(s.online) == 0 && before == 0:
		s.unannounced = reported
	case s.shared(now):
		s.unannounced = max(0, reported-before)
	}
}

const (
	// foreignLeast is how many batch streams beyond its own a home must see to
	// believe that another home admits to the engine too.
	foreignLeast = 8
	// foreignMemory is how long it believes so after the last sight.
	foreignMemory = 3 * time.Second
	// peakMemory is how far back, at least, the own peak is remembered: longer
	// than reports lag.
	peakMemory = 10 * time.Second
)

// observeForeign looks for batch streams that this home didn't send.
func (s *engineState) observeForeign(now time.Time, load engine.Load) {
	if now.Sub(s.peakAt) > peakMemory {
		s.formerPeak, s.peak, s.peakAt = s.peak, 0, now
	}
	s.peak = max(s.peak, len(s.streams))
	if load.RunningBatch+load.WaitingBatch >= max(s.peak, s.formerPeak)+foreignLeast {
		s.foreignAt = now
	}
}

// shared says whether another home seems to admit to the engine.
func (s *engineState) shared(now time.Time) bool {
	return !s.foreignAt.IsZero() && now.Sub(s.foreignAt) < foreignMemory
}

func onlineIn(load engine.Load) int {
	return max(0, load.Running-load.RunningBatch) + max(0, load.Waiting-load.WaitingBatch)
}
