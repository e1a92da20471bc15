package batchwork

import "time"

const (
	// firstLossPause is the pause of an item after the second lost connection of a series; it
	// doubles with each further one up to maxLossPause. Engines that keep crashing for another
	// reason get the item a few times a second at first, and no item waits long once they serve.
	firstLossPause = 50 * time.Millisecond
	maxLossPause   = time.Second
	// lossMemory is the time without a lost connection after which a series ends.
	lossMemory = 10 * time.Second
)

// lossSeries counts the connections that engines lost under an item, each less than lossMemory
// after the one before.
type lossSeries struct {
	count int
	last  time.Time
}

// next adds a lost connection and returns the pause before the item may run again.
func (s *lossSeries) next(now time.Time) time.Duration {
	if now.Sub(s.last) >= lossMemory {
		s.count = 0
	}
	s.count++
	s.last = now
	pause := refusalPause
	for n := 2; n <= s.count && pause < maxLossPause; n++ {
		pause = max(firstLossPause, 2*pause)
	}
	return min(pause, maxLossPause)
}

// recordLoss notes that an engine lost the connection under an item, and returns the pause
// before the item may run again. The item is never held back for longer: engines crash under it
// for another reason.
func (r *Runner) recordLoss(k itemKey, now time.Time) time.Duration {
	r.mutex.Lock()
	series := r.losses[k]
	pause := series.next(now)
	r.losses[k] = series
	r.mutex.Unlock()
	if pause > firstLossPause {
		eventItemPaced.Info("job", k.job, "index", k.index, "lost", series.count, "pause", pause)
	}
	return pause
}
