package online

import "time"

const (
	// priorCompletions is the number of observed completions that weighs as much
	// as the rate expected from the mean service time.
	priorCompletions = 8
	// initialServiceTime is assumed until the first request finishes.
	initialServiceTime = time.Second
	// serviceTimeWeight is the weight of a new sample in the moving mean.
	serviceTimeWeight = 0.1
	// minPerSecond keeps wait estimates finite while the capacity is zero.
	minPerSecond = 1e-3
)

// movingDuration is an exponentially weighted moving average.
type movingDuration struct{ mean time.Duration }

func (m *movingDuration) add(sample time.Duration) {
	if m.mean == 0 {
		m.mean = sample
		return
	}
	m.mean += time.Duration(serviceTimeWeight * float64(sample-m.mean))
}

func (m *movingDuration) value() time.Duration {
	if m.mean == 0 {
		return initialServiceTime
	}
	return m.mean
}

// completionRate estimates how many requests of a service finish per second while
// all its slots are taken. It starts from capacity ÷ mean service time, as few
// finish before there is a queue because few arrive, and moves to the observed
// rate while the queue is not empty.
type completionRate struct {
	serviceTime movingDuration
	since       time.Time // start of the counting window
	count       int       // since then
}

func (r *completionRate) finished(took time.Duration) {
	r.serviceTime.add(max(took, time.Millisecond))
	r.count++
}

// countWindow is the time after which a newly queued ticket restarts the count.
const countWindow = 10 * time.Second

// queued records that a ticket starts to wait; first is whether none did before.
func (r *completionRate) queued(now time.Time, first bool) {
	if first || now.Sub(r.since) > countWindow {
		r.since = now
		r.count = 0
	}
}

// perSecond returns the estimated rate; busy is whether tickets wait now.
func (r *completionRate) perSecond(now time.Time, capacity int, busy bool) float64 {
	expected := max(float64(capacity)/r.serviceTime.value().Seconds(), minPerSecond)
	if !busy {
		return expected
	}
	elapsed := priorCompletions/expected + now.Sub(r.since).Seconds()
	return max(float64(priorCompletions+r.count)/elapsed, minPerSecond)
}
