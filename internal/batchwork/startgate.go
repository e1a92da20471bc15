package batchwork

import "time"

const (
	// usefulRun is how long a run has to be under way, as a multiple of the time to its first
	// event, to be worth its start: no less time for output than for reading the prompt.
	usefulRun = 2
	// initialStartTime is the estimate before any run has had an event.
	initialStartTime = 200 * time.Millisecond
)

// startGate decides how many free slots of a service to leave free when starting runs. Runs
// that were cut before they were worth their start show that online work takes slots back
// faster than runs can use them. As many slots stay free as were taken back so within the time
// that a useful run takes, so that a valley of online work is used from then on. It is not safe
// for concurrent use.
type startGate struct {
	startTime time.Duration // mean time from a run's start to its first event
	cuts      []time.Time   // of young runs, within useful
}

func newStartGate() *startGate { return &startGate{startTime: initialStartTime} }

// useful returns how long a run has to be under way to be worth its start.
func (g *startGate) useful() time.Duration { return usefulRun * g.startTime }

// observeStart adds the time from a run's start to its first event.
func (g *startGate) observeStart(took time.Duration) {
	g.startTime += time.Duration(averageWeight * float64(took-g.startTime))
}

// observeCut adds the cut of a run that was under way for age.
func (g *startGate) observeCut(age time.Duration, now time.Time) {
	g.expire(now)
	if age < g.useful() {
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
	for expired < len(g.cuts) && now.Sub(g.cuts[expired]) > g.useful() {
		expired++
	}
	g.cuts = g.cuts[expired:]
}
