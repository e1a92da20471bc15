package batchwork

import (
	"context"
	"io"
	"time"

	"chutelock.dev/chutelock/internal/clock"
)

const (
	// readsPerSecond bounds the reads of all streams of items together: nobody
	// waits for a single event of theirs, and a read costs far more than an event.
	readsPerSecond = 2000
	// readIntervalMost bounds the time between two reads of a stream, as what is
	// not read when a run is cut is lost.
	readIntervalMost = 100 * time.Millisecond
)

// readInterval is the time between two reads of each of so many streams.
func readInterval(streams int) time.Duration {
	return min(time.Duration(streams)*time.Second/readsPerSecond, readIntervalMost)
}

// pacedReader reads a stream at whole multiples of an interval since start, so
// that all streams are read together. The first read doesn't wait.
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

// untilMultiple is the time from elapsed to the next multiple of interval.
func untilMultiple(elapsed, interval time.Duration) time.Duration {
	return interval - elapsed%interval
}
