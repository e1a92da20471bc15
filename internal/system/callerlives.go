package system

import (
	"sync"
	"time"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/forward"
)

// lifeMemory is how long a caller's deadline is remembered at least.
const lifeMemory = 5 * time.Minute

// callerLives remembers the longest time that callers of each route wait, from their first request for a
// stream until they give it up. The zero value is empty. Its methods may be called concurrently.
type callerLives struct {
	mutex             sync.Mutex // guards the fields below; a leaf
	current, previous map[string]time.Duration
	since             time.Time // when current began
}

// lifeOf returns how long a caller waits from the arrival of a request; 0 if it doesn't tell.
func lifeOf(request *forward.Request) time.Duration {
	if request.Deadline.IsZero() {
		return 0
	}
	return max(0, request.Deadline.Sub(request.Arrived))
}

func (l *callerLives) observe(route string, life time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now := clock.Now(); l.current == nil || now.Sub(l.since) >= lifeMemory {
		l.previous, l.current, l.since = l.current, map[string]time.Duration{}, now
	}
	l.current[route] = max(l.current[route], life)
}

func (l *callerLives) longest(route string) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return max(l.current[route], l.previous[route])
}
