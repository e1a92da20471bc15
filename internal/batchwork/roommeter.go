package batchwork

import (
	"math"
	"time"
)

const (
	// roomWindow is the time constant of the mean room. It covers several bursts and valleys of
	// online work, which last some seconds.
	roomWindow = 10 * time.Second
	// minRoomTime is the observed time from which on the mean is used.
	minRoomTime = 2 * time.Second
	// maxRoomAge is how long the mean is used after batch work last took all room.
	maxRoomAge = 30 * time.Second
	// plannedRoom is the part of the mean room that is planned for. Items hold one slot at a
	// time and wait while online work has a burst, so that they are done later than the mean
	// room alone suggests; with this part the median job is done when predicted.
	plannedRoom = 0.65
	// runDecay is the factor on the weight of earlier runs per ended run, and minRuns the
	// number of runs from which on their mean is used.
	runDecay = 0.98
	minRuns  = 16
)

// roomMeter estimates how many slots of a service online work leaves to batch work: the mean
// number of runs while more items than slots are open. It is not safe for concurrent use.
type roomMeter struct {
	mean      float64
	observed  time.Duration
	last      time.Time // of the last observation
	exhausted time.Time // when batch work last took all room
	// slotTime and events are sums over ended runs, decayed by runDecay; runs is their number.
	slotTime, events float64
	runs             int
}

// observe adds the number of runs at a time; full reports whether items remained for which
// there was no slot.
func (m *roomMeter) observe(running int, full bool, now time.Time) {
	elapsed := now.Sub(m.last)
	if m.last.IsZero() || elapsed > time.Second {
		elapsed = 0 // nothing is known of the time between
	}
	m.last = now
	if !full {
		m.mean = max(m.mean, float64(running))
		return
	}
	m.exhausted = now
	m.observed += elapsed
	// The first observations count fully, later ones by the time constant.
	window := min(roomWindow, max(m.observed, time.Millisecond))
	m.mean += (1 - math.Exp(-float64(elapsed)/float64(window))) * (float64(running) - m.mean)
}

// observeRun adds a run that held a slot for a time and produced events.
func (m *roomMeter) observeRun(held time.Duration, events uint64) {
	m.slotTime = runDecay*m.slotTime + float64(held)
	m.events = runDecay*m.events + float64(events)
	m.runs++
}

// slots returns the room to plan for, or false if it isn't known.
func (m *roomMeter) slots(now time.Time) (float64, bool) {
	known := m.observed >= minRoomTime && now.Sub(m.exhausted) <= maxRoomAge && m.mean > 0
	return plannedRoom * m.mean, known
}

// eventTime returns how long a slot is held for each event, with the time that runs were cut
// short or waited; false if it isn't known.
func (m *roomMeter) eventTime() (float64, bool) {
	if m.runs < minRuns || m.events <= 0 {
		return 0, false
	}
	return m.slotTime / m.events, true
}
