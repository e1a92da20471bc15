package batchwork

import "time"

const (
	// surgeWindow is how long a cut of a young run counts. It is shorter than the valleys of
	// online work, which are to be used, and longer than the time in which its arrivals vary
	// by chance.
	surgeWindow = time.Second
	// startsRepaid is the time that a run has to be under way, as a multiple of the time to its
	// first event, for its start to be worth it.
	startsRepaid = 2
	// initialStartTime is the estimate before any run has had an event.
	initialStartTime = 200 * time.Millisecond
)

// startGate decides how many free slots of a service to leave free when starting runs. Runs
// that were cut soon after their start show that online work takes slots back faster than runs
// can use them; as many slots are left free as were taken back so within surgeWindow. It is not
// safe for concurrent use.
type startGate struct {
	startTime time.Duration // mean time from a run's start to its first event
	cuts      []time.Time   // of young runs, within surgeWindow
}

func newStartGate() *startGate { return &startGate{startTime: initialStartTime} }

// observeStart adds the time from a run's start to its first event.
func (g *startGate) observeStart(took time.Duration) {
	g.startTime += time.Duration(averageWeight * float64(took-g.startTime))
}

// observeCut adds the cut of a run that was under way for age.
func (g *startGate) observeCut(age time.Duration, now time.Time) {
	g.expire(now)
	if age < startsRepaid*g.startTime {
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
	for expired < len(g.cuts) && now.Sub(g.cuts[expired]) > surgeWindow {
		expired++
	}
	g.cuts = g.cuts[expired:]
}
