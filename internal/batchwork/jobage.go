package batchwork

import "time"

// maxClockError is the most by which the wall clocks of two nodes, or of one at two times, are
// assumed to differ.
const maxClockError = 15 * time.Second

// jobAge tells how long ago a job was submitted. The time of its submission is that of another
// node's wall clock, or of this one's before it was set, so a node measures the age itself from
// when it applied the job.
type jobAge struct {
	// knownSince is when this node applied or loaded the job, by a steady clock that is never set and
	// stops while the machine is suspended, so that it tells no more than has passed.
	knownSince time.Time
	// reloaded is set if the job was loaded from disk or a snapshot and may be older.
	reloaded bool
}

// least returns an age that the job has for certain: what was promised for a time after its
// submission may end by it.
func (a jobAge) least(submitted, steadyNow, wallNow time.Time) time.Duration {
	return max(steadyNow.Sub(a.knownSince), wallNow.Round(0).Sub(submitted)-maxClockError)
}

// likely returns the most likely age.
func (a jobAge) likely(submitted, steadyNow, wallNow time.Time) time.Duration {
	least := a.least(submitted, steadyNow, wallNow)
	if !a.reloaded {
		return least
	}
	return max(least, wallNow.Round(0).Sub(submitted))
}
