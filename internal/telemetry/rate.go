package telemetry

import (
	"sync"
	"time"
)

const (
	// maxLinesPerSecond bounds the average rate of lines of one event.
	maxLinesPerSecond = 40
	// maxLineBurst bounds the lines of one event in a burst.
	maxLineBurst = 120
)

// limiter is a token bucket that counts the lines it omits. The zero value is a
// full bucket.
type limiter struct {
	mutex   sync.Mutex // guards the fields below; no other lock is taken while it is held
	used    float64
	last    time.Time
	omitted int
}

// allow reports whether a line may be written now, and how many were omitted
// since the last one.
func (l *limiter) allow(now time.Time) (omitted int, allowed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.last.IsZero() {
		l.used = max(0, l.used-maxLinesPerSecond*now.Sub(l.last).Seconds())
	}
	l.last = now
	if l.used+1 > maxLineBurst {
		l.omitted++
		return 0, false
	}
	l.used++
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}
