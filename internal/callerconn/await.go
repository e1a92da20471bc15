package callerconn

import (
	"time"

	"chutelock.dev/chutelock/internal/clock"
)

// awaitInterval is how often Await asks.
const awaitInterval = 20 * time.Millisecond

// Await polls until done reports true or the time is over; a nil done never does.
func Await(limit time.Duration, done func() bool) {
	end := clock.Now().Add(limit)
	ticker := time.NewTicker(awaitInterval)
	defer ticker.Stop()
	for clock.Now().Before(end) && (done == nil || !done()) {
		<-ticker.C
	}
}
