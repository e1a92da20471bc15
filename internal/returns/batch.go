package returns

import "time"

// JobRefusal is why a batch job was not accepted, or a call about one not answered.
type JobRefusal uint8

// Reasons for a JobRefusal.
const (
	// JobUnreachable means that the nodes that keep batch jobs can't be reached.
	JobUnreachable JobRefusal = iota
	// JobQueueFull means that no more work may wait.
	JobQueueFull
	// JobLate means that the job would end far too late.
	JobLate
)

const (
	// unreachableWait is the least wait while batch jobs can't be reached; a new leader takes
	// over within about a second.
	unreachableWait = 500 * time.Millisecond
	// queueWait is the least wait for a queue of which nothing is foreseen; items run for
	// seconds.
	queueWait = 2 * time.Second
)

// JobWait returns how long the caller of a refused batch job should wait. room is when the
// queue is predicted to have room for the job, and zero if that is unknown. Callers refused
// together are spread over half of the wait beyond it. draw is uniform in [0, 1).
func JobWait(reason JobRefusal, room, now time.Time, draw float64) time.Duration {
	wait := queueWait
	switch {
	case reason == JobUnreachable:
		wait = unreachableWait
	case !room.IsZero():
		wait = max(unreachableWait, room.Sub(now))
	}
	wait = min(wait, maxWait)
	return min(maxWait, wait+time.Duration(draw*float64(wait/2)))
}
