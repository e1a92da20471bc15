package batchwork

import "time"

// initialStartTime is the estimate before any run has had an event.
const initialStartTime = 200 * time.Millisecond

// startTime estimates the time from a run's start to its first event, as a moving average. It
// is not safe for concurrent use.
type startTime struct{ mean time.Duration }

func newStartTime() *startTime { return &startTime{mean: initialStartTime} }

// observe adds the time of one run.
func (s *startTime) observe(took time.Duration) {
	s.mean += time.Duration(averageWeight * float64(took-s.mean))
}
