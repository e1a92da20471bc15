package online

import "time"

const (
	// priorFinishes is how many observed finishes weigh as much as the rate
	// expected from the mean service time.
	priorFinishes = 8
	// firstServiceTime is assumed until the first request finishes.
	firstServiceTime = time.Second
	// serviceTimeWeight of a new sample in the moving mean.
	serviceTimeWeight = 0.1
	// leastPerSecond keeps estimates finite while nothing can run.
	leastPerSecond = 1e-3
)

// movingDuration is an exponentially weighted mean.
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
		return firstServiceTime
	}
	return m.mean
}

// drainRate estimates how many requests of a service finish per second while
// its slots are all taken. Before the queue fills, few finish because few
// arrive; so the estimate starts from capacity ÷ mean service time and moves
// to what is seen as long as the queue is not empty.
type drainRate struct {
	service  movingDuration
	since    time.Time // when the queue filled
	finishes int       // since then
}

func (d *drainRate) finished(took time.Duration) {
	d.service.add(max(took, time.Millisecond))
	d.finishes++
}

// busyWindow is the longest time over which finishes are counted.
const busyWindow = 10 * time.Second

// queueing is called when a ticket starts to wait; first says that none did.
func (d *drainRate) queueing(now time.Time, first bool) {
	if first || now.Sub(d.since) > busyWindow {
		d.since = now
		d.finishes = 0
	}
}

// perSecond estimates the rate; busy says that tickets wait now.
func (d *drainRate) perSecond(now time.Time, capacity int, busy bool) float64 {
	expected := max(float64(capacity)/d.service.value().Seconds(), leastPerSecond)
	if !busy {
		return expected
	}
	elapsed := priorFinishes/expected + now.Sub(d.since).Seconds()
	return max(float64(priorFinishes+d.finishes)/elapsed, leastPerSecond)
}
