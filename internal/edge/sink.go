package edge

import (
	"net/http"
	"strconv"
	"time"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/forward"
)

// responseSink implements forward.Sink by an http.ResponseWriter.
type responseSink struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	// writeDeadline is when the response must be written; zero means never.
	writeDeadline time.Time
	aborted       bool
}

var _ forward.Sink = (*responseSink)(nil)

// setWriteDeadline bounds the next write, as an unread response blocks the engine, which
// aborts it after some seconds.
func (s *responseSink) setWriteDeadline() {
	left := writeStallTimeout
	if !s.writeDeadline.IsZero() {
		left = min(left, clock.Until(s.writeDeadline))
	}
	_ = s.controller.SetWriteDeadline(connectionDeadline(left))
}

func (s *responseSink) setHeader(header http.Header) {
	target := s.writer.Header()
	for name, values := range endToEndHeader(header) {
		target[name] = values
	}
}

// WriteResponse implements forward.Sink.
func (s *responseSink) WriteResponse(status int, header http.Header, body []byte) error {
	s.setWriteDeadline()
	s.setHeader(header)
	s.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	s.writer.WriteHeader(status)
	_, err := s.writer.Write(body)
	return err
}

// BeginStream implements forward.Sink.
func (s *responseSink) BeginStream(status int, header http.Header) error {
	s.setHeader(header)
	s.writer.WriteHeader(status)
	return nil
}

// WriteEvent implements forward.Sink.
func (s *responseSink) WriteEvent(raw []byte) error {
	s.setWriteDeadline()
	if _, err := s.writer.Write(raw); err != nil {
		return err
	}
	return s.controller.Flush()
}

// EndStream implements forward.Sink.
func (s *responseSink) EndStream() error { return nil }

// Abort implements forward.Sink.
func (s *responseSink) Abort() { s.aborted = true }

// Refuse implements forward.Sink.
func (s *responseSink) Refuse(verdict forward.Verdict, retryAfter time.Duration) error {
	status := http.StatusBadGateway
	reason := "the request may have run"
	switch verdict {
	case forward.VerdictNotRun:
		status, reason = http.StatusServiceUnavailable, "the request has not run"
	case forward.VerdictTimeout:
		status, reason = http.StatusGatewayTimeout, "the time is over"
	}
	s.setWriteDeadline()
	if retryAfter > 0 {
		setRetryAfter(s.writer, retryAfter)
	}
	s.writer.Header().Set("Content-Length", strconv.Itoa(len(reason)+1))
	s.writer.WriteHeader(status)
	_, err := s.writer.Write([]byte(reason + "\n"))
	return err
}
