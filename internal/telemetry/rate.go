package telemetry

import (
	"sync"
	"time"
)

const (
	// linesPerSecond bounds the lines of one kind of event, on average.
	linesPerSecond = 40
	// lineBurst is how many lines of one kind may come at once.
	lineBurst = 120
)

// limiter is a token bucket that counts what it holds back. The zero value is
// full.
type limiter struct {
	mutex   sync.Mutex // guards the fields below; a leaf
	spent   float64
	last    time.Time
	omitted int
}

// allow says whether a line may be written now, and how many were left out
// since the last one.
func (l *limiter) allow(now time.Time) (omitted int, allowed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.last.IsZero() {
		l.spent = max(0, l.spent-linesPerSecond*now.Sub(l.last).Seconds())
	}
	l.last = now
	if l.spent+1 > lineBurst {
		l.omitted++
		return 0, false
	}
	l.spent++
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}
