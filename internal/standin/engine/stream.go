package engine

import (
	"sync/atomic"

	"chutelock.dev/chutelock/internal/standin/truth"
)

// finish is how a stream ended.
type finish struct {
	reason       string
	cause        truth.Cause
	promptTokens int
	cachedTokens int
}

// Reasons in `finish_reason`.
const (
	reasonLength    = "length"
	reasonSuspended = "suspended"
	reasonCancelled = "cancelled"
)

// stream is a running attempt. The run loop advances it, its handler reads it.
type stream struct {
	// id is the scheduler's name of the sequence. A resumed request keeps it.
	id        string
	requestID string
	attempt   string
	priority  int
	generator truth.Generator
	// from is the first token of this attempt, maxTokens the end of the output.
	from         int
	maxTokens    int
	promptTokens int

	// available is the number of output tokens that exist, from 0 on.
	available atomic.Int64
	// ending is set once, after the last change of available.
	ending atomic.Pointer[finish]
	// changed has room for one signal that one of the two has changed.
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

func (s *stream) end(how finish) {
	s.ending.Store(&how)
	s.signal()
}

// progress returns the tokens that exist and, if it ended, how.
func (s *stream) progress() (int, *finish) {
	ending := s.ending.Load()
	return int(s.available.Load()), ending
}
