package engine

import (
	"sync/atomic"

	"chutelock.dev/chutelock/internal/standin/truth"
)

// finish describes how a stream ended.
type finish struct {
	reason       string
	cause        truth.Cause
	promptTokens int
	cachedTokens int
}

// Values of finish_reason.
const (
	reasonLength    = "length"
	reasonSuspended = "suspended"
	reasonCancelled = "cancelled"
)

// stream is a running attempt. Server.Run advances it and its handler reads it.
type stream struct {
	// id is the scheduler's ID of the sequence. A resumed request keeps it.
	id        string
	requestID string
	attempt   string
	priority  int
	generator truth.Generator
	// from is the index of this attempt's first token, maxTokens the length of
	// the whole output.
	from         int
	maxTokens    int
	promptTokens int

	// available is the number of output tokens generated, including those
	// before from.
	available atomic.Int64
	// result is set once, after the last change to available.
	result atomic.Pointer[finish]
	// changed, of capacity 1, signals a change to available or result.
	changed chan struct{}
}

func (s *stream) signal() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *stream) advance(available int) {
	s.available.Store(int64(available))
	s.signal()
}

func (s *stream) end(outcome finish) {
	s.result.Store(&outcome)
	s.signal()
}

// progress returns the number of tokens available and, once the stream has
// ended, how it did. It loads result first, so the count is then final.
func (s *stream) progress() (int, *finish) {
	result := s.result.Load()
	return int(s.available.Load()), result
}
