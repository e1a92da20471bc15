package clock

import (
	"context"
	"time"
)

// Pause waits for a time, or until ctx ends.
func Pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
