package batchwork

import (
	"context"
	"io"
	"time"

	"chutelock.dev/chutelock/internal/clock"
)

const (
	// readsPerSecond bounds the reads of all item streams together: a read costs far more
	// than an event, and no caller waits for single events.
	readsPerSecond = 2000
	// maxReadInterval bounds the time between two reads of a stream, as unread text is
	// lost when a run is stopped.
	maxReadInterval = 100 * time.Millisecond
)

// readInterval returns the time between two reads of each of that many streams.
func readInterval(streams int) time.Duration {
	return min(time.Duration(streams)*time.Second/readsPerSecond, maxReadInterval)
}

// pacedReader reads a stream at multiples of an interval since start, so that all streams
// are read together. The first read doesn't wait.
type pacedReader struct {
	ctx      context.Context // ends the wait
	stream   io.Reader
	start    time.Time
	interval func() time.Duration
	begun    bool
}

// Read implements io.Reader.
func (r *pacedReader) Read(buffer []byte) (int, error) {
	if r.begun {
		if interval := r.interval(); interval > 0 {
			clock.Sleep(r.ctx, untilMultiple(clock.Since(r.start), interval))
		}
		if err := r.ctx.Err(); err != nil {
			return 0, err
		}
	}
	n, err := r.stream.Read(buffer)
	r.begun = r.begun || n > 0
	return n, err
}

// untilMultiple returns the time from elapsed to the next multiple of interval.
func untilMultiple(elapsed, interval time.Duration) time.Duration {
	return interval - elapsed%interval
}
