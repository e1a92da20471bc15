package batch

import (
	"time"

	"chutelock.dev/chutelock/internal/engine"
)

// Times for reconciling announced requests with the engine's delayed reports.
const (
	// announceDelay is how long before a report a request must be announced to be
	// counted in it, unless the request has ended.
	announceDelay = 250 * time.Millisecond
	// announceTimeout is when an announced request is dropped in any case.
	announceTimeout = 5 * time.Minute
)

// observeLoad reconciles the announced requests with a report. A report without
// online requests removes older announcements, whose end was lost. Reported
// requests that were not announced count until the next report.
func (s *engineState) observeLoad(now time.Time, event Event) {
	load := event.Load
	s.draining = load.Draining
	reported := onlineRequests(load)
	announced := 0
	for id, started := range s.online {
		settled := started.Before(load.At.Add(-announceDelay))
		if (settled && reported == 0) || now.Sub(started) > announceTimeout {
			delete(s.online, id)
			continue
		}
		if !started.After(load.At) {
			announced++
		}
	}
	s.observeForeign(now, load)
	s.unannounced = 0
	// As reports are delayed, a difference between two nonzero counts is no
	// evidence, unless another home node gets part of the announcements.
	switch {
	case len(s.online) == 0 && announced == 0:
		s.unannounced = reported
	case s.shared(now):
		s.unannounced = max(0, reported-announced)
	}
}

const (
	// minForeign is the number of reported batch streams beyond its own from which
	// on a home node assumes that another one admits to the engine too.
	minForeign = 8
	// foreignTimeout is how long it assumes so after the last such report.
	foreignTimeout = 3 * time.Second
	// peakWindow is the minimum time for which the peak of the own streams counts.
	// It must be longer than the delay of reports.
	peakWindow = 10 * time.Second
)

// observeForeign detects batch streams that another home node sent.
func (s *engineState) observeForeign(now time.Time, load engine.Load) {
	if now.Sub(s.peakAt) > peakWindow {
		s.previousPeak, s.peak, s.peakAt = s.peak, 0, now
	}
	s.peak = max(s.peak, len(s.streams))
	if load.RunningBatch+load.WaitingBatch >= max(s.peak, s.previousPeak)+minForeign {
		s.foreignAt = now
	}
}

// shared reports whether another home node seems to admit to the engine.
func (s *engineState) shared(now time.Time) bool {
	return !s.foreignAt.IsZero() && now.Sub(s.foreignAt) < foreignTimeout
}

func onlineRequests(load engine.Load) int {
	return max(0, load.Running-load.RunningBatch) + max(0, load.Waiting-load.WaitingBatch)
}
