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
	s.unannounced = 0
	if len(s.online) == 0 && before == 0 {
		s.unannounced = s.surplus(reported)
	}
}

// surplus counts reported online requests only while none is announced: as
// reports lag, a difference between two busy counts says nothing.
func (s *engineState) surplus(reported int) int { return reported }

func onlineIn(load engine.Load) int {
	return max(0, load.Running-load.RunningBatch) + max(0, load.Waiting-load.WaitingBatch)
}
