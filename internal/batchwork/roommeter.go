package batchwork

import (
	"math"
	"time"
)

const (
	// roomWindow is the time constant of the mean room. It is as long as jobs may take, and
	// covers several bursts and valleys of online work, which last some seconds.
	roomWindow = 20 * time.Second
	// roomInterval is the time between two observations.
	roomInterval = 200 * time.Millisecond
	// minRoomTime is the observed time from which on the mean is used.
	minRoomTime = 2 * time.Second
	// maxRoomAge is the longest time without an observation that the mean outlasts.
	maxRoomAge = 5 * time.Second
	// runDecay is the factor on the weight of earlier runs per ended run, and minRuns the
	// number of runs from which on their mean is used. Some hundred runs end in roomWindow.
	runDecay = 0.998
	minRuns  = 16
	// maxRunAge is the longest time without an ended run that their mean outlasts. Jobs are refused by
	// that mean, and without jobs no run ends that would correct it.
	maxRunAge = roomWindow
)

// roomMeter estimates how many slots of a service online work leaves to batch work. It is not
// safe for concurrent use.
type roomMeter struct {
	mean, newest float64
	observed     time.Duration
	last         time.Time // of the newest observation
	// slotTime and events are sums over ended runs, decayed by runDecay; runs is their number.
	slotTime, events float64
	runs             int
	lastRun          time.Time // by the observations of the room
}

// observe adds the number of slots at a time.
func (m *roomMeter) observe(slots float64, now time.Time) {
	elapsed := now.Sub(m.last)
	if elapsed > maxRoomAge {
		m.mean, m.observed, elapsed = slots, 0, 0
	}
	m.last = now
	m.observed += elapsed
	// The first observations count as in an ordinary mean.
	window := max(min(roomWindow, m.observed), time.Millisecond)
	m.mean += (1 - math.Exp(-float64(elapsed)/float64(window))) * (slots - m.mean)
	m.newest = slots
}

// observeRun adds a run that held a slot for a time and produced events.
func (m *roomMeter) observeRun(held time.Duration, events uint64) {
	if m.runsAreOld() {
		m.slotTime, m.events, m.runs = 0, 0, 0
	}
	m.lastRun = m.last
	m.slotTime = runDecay*m.slotTime + float64(held)
	m.events = runDecay*m.events + float64(events)
	m.runs++
}

// runsAreOld reports whether no run has ended for longer than maxRunAge.
func (m *roomMeter) runsAreOld() bool {
	return !m.lastRun.IsZero() && m.last.Sub(m.lastRun) > maxRunAge
}

// slots returns the room, or false if it isn't known: the mean, or more in a valley of online
// work, in which items start. The mean alone would lag behind a valley after a long burst.
func (m *roomMeter) slots(now time.Time) (float64, bool) {
	slots := max(m.mean, m.newest)
	return slots, m.observed >= minRoomTime && now.Sub(m.last) <= maxRoomAge && slots > 0
}

// eventTime returns how long a slot is held for each event, with the time that runs were cut
// short or waited; false if it isn't known.
func (m *roomMeter) eventTime() (float64, bool) {
	if m.runs < minRuns || m.events <= 0 || m.runsAreOld() {
		return 0, false
	}
	return m.slotTime / m.events, true
}
