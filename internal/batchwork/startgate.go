package batchwork

import "time"

// initialStartTime is the estimate before any run has had an event.
const initialStartTime = 200 * time.Millisecond

// startGate decides how many free slots of a service to leave free when starting runs. Runs
// that were cut before the usual time to their first event show that online work takes slots
// back faster than runs can use them. As many slots stay free as were taken back so within that
// time, so that a valley of online work is used from then on. It is not safe for concurrent use.
type startGate struct {
	startTime time.Duration // mean time from a run's start to its first event
	cuts      []time.Time   // of runs younger than startTime, within startTime
}

func newStartGate() *startGate { return &startGate{startTime: initialStartTime} }

// observeStart adds the time from a run's start to its first event.
func (g *startGate) observeStart(took time.Duration) {
	g.startTime += time.Duration(averageWeight * float64(took-g.startTime))
}

// observeCut adds the cut of a run that was under way for age.
func (g *startGate) observeCut(age time.Duration, now time.Time) {
	g.expire(now)
	if age < g.startTime {
		g.cuts = append(g.cuts, now)
	}
}

// reserve returns the number of free slots that no run is to take.
func (g *startGate) reserve(now time.Time) int {
	g.expire(now)
	return len(g.cuts)
}

func (g *startGate) expire(now time.Time) {
	expired := 0
	for expired < len(g.cuts) && now.Sub(g.cuts[expired]) > g.startTime {
		expired++
	}
	g.cuts = g.cuts[expired:]
}
