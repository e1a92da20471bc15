package engine

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/standin/engine/scheduler"
	"chutelock.dev/chutelock/internal/standin/fault"
	"chutelock.dev/chutelock/internal/standin/truth"
)

// Server simulates one engine. Lock order: mutex, then the event log's or the
// truth log's; the event log's, then the injector's. The reporter's is taken
// without the mutex, and no other lock under it.
type Server struct {
	config   Config
	log      *truth.Log
	injector *fault.Injector
	events   *eventLog
	reports  *reporter
	wake     chan struct{}
	// drainChanged, of capacity 1, signals that draining was set or cleared.
	drainChanged chan struct{}

	mutex        sync.Mutex
	scheduler    *scheduler.Scheduler
	serial       uint64
	streams      map[string]*stream   // by scheduler ID
	requests     map[string][]*stream // running attempts by request ID
	suspended    map[string]*stream   // by request ID
	suspendOrder []string
	models       map[string]string // version by loaded model
	adapters     map[string]string
	orders       map[string]uint64 // serial of the latest order by target
	role         string
	token        uint64
	draining     bool
}

// New returns an engine and logs its start. The engine makes progress only while Run runs.
func New(config Config, log *truth.Log) (*Server, error) {
	server := &Server{
		config:   config,
		log:      log,
		injector: fault.NewInjector(config.Seed),
		events:   newEventLog(config.EventLag),
		wake:     make(chan struct{}, 1),

		drainChanged: make(chan struct{}, 1),

		scheduler: scheduler.New(config.Scheduler),
		streams:   map[string]*stream{},
		requests:  map[string][]*stream{},
		suspended: map[string]*stream{},
		models:    map[string]string{},
		adapters:  map[string]string{},
		orders:    map[string]uint64{},
		role:      config.Role,
	}
	server.config.Scheduler = server.scheduler.Config()
	for _, model := range config.Models {
		server.models[model] = ""
	}
	for _, adapter := range config.Adapters {
		server.adapters[adapter] = ""
	}
	server.reports = newReporter(server)
	for _, configured := range config.Faults {
		if err := server.injector.Add(time.Now(), configured); err != nil {
			return nil, trace.Wrap(err, "fault of engine %s", config.Name)
		}
	}
	// Logged before any request: readers take a start for a restart after a crash, which
	// ends all earlier attempts.
	log.Record(truth.Entry{Kind: truth.KindStarted})
	return server, nil
}

// Injector returns the injector of the engine's faults.
func (s *Server) Injector() *fault.Injector { return s.injector }

// Handler returns the handler of the engine's API, with fault injection.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.complete(completionFormat))
	mux.HandleFunc("POST /v1/chat/completions", s.complete(chatFormat))
	mux.HandleFunc("GET /v1/models", s.listModels)
	mux.HandleFunc("POST /v1/requests/{id}/suspend", s.suspend)
	mux.HandleFunc("POST /v1/requests/{id}/cancel", s.cancelRequest)
	mux.HandleFunc("POST /v1/orders", s.handleOrder)
	mux.HandleFunc("GET /v1/kv/events", s.streamEvents)
	mux.HandleFunc("POST /v1/kv/export", s.exportBlocks)
	mux.HandleFunc("POST /v1/kv/import", s.importBlocks)
	mux.Handle("GET /metrics", s.reports.handler())
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	return s.injector.Middleware(mux)
}

// ControlHandler returns the handler of /control/faults and /control/drain.
func (s *Server) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/control/faults", s.injector.Control())
	mux.HandleFunc("POST /control/drain", func(http.ResponseWriter, *http.Request) { s.Drain(true) })
	mux.HandleFunc("DELETE /control/drain", func(http.ResponseWriter, *http.Request) { s.Drain(false) })
	return mux
}

// Drain sets or clears the draining state that the engine reports.
func (s *Server) Drain(draining bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if draining && !s.draining {
		s.log.Record(truth.Entry{Kind: truth.KindDraining})
	}
	s.draining = draining
	select {
	case s.drainChanged <- struct{}{}:
	default:
	}
}

// idlePoll is the polling interval of WaitIdle.
const idlePoll = 20 * time.Millisecond

// WaitIdle blocks until no request is running or waiting, or until ctx ends.
func (s *Server) WaitIdle(ctx context.Context) {
	for !s.idle() && sleepUntil(ctx, time.Now().Add(idlePoll)) {
	}
}

func (s *Server) idle() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.streams) == 0
}

// Run drives the scheduler until ctx ends.
func (s *Server) Run(ctx context.Context) {
	go s.reports.run(ctx)
	due := time.Now()
	for ctx.Err() == nil {
		if s.injector.Wait(ctx, fault.Pause) != nil {
			return
		}
		result, idle := s.step()
		if idle {
			select {
			case <-s.wake:
			case <-ctx.Done():
			}
			due = time.Now()
			continue
		}
		due = nextDue(due, time.Now(), result.Duration)
		if !sleepUntil(ctx, due) || s.injector.Wait(ctx, fault.Pause) != nil {
			return
		}
		s.deliver(result)
	}
}

// maxCatchUp is the largest delay that Run makes up by shortening later sleeps.
const maxCatchUp = 20 * time.Millisecond

// nextDue returns the end of a step that began when the previous one was due,
// so timer delays don't accumulate.
func nextDue(due, now time.Time, duration time.Duration) time.Time {
	if now.Sub(due) > maxCatchUp {
		due = now
	}
	return due.Add(duration)
}

// sleepUntil reports whether due was reached before ctx ended.
func sleepUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) step() (scheduler.StepResult, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	result := s.scheduler.Step(now)
	s.events.add(now, result.Stored, result.Removed, s.injector)
	return result, result.Idle
}

// deliver publishes the tokens of a finished step to their streams. A sequence
// that was cancelled or suspended during the step has no stream.
func (s *Server) deliver(result scheduler.StepResult) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, token := range result.Tokens {
		if advanced := s.streams[token.ID]; advanced != nil {
			if token.Index == advanced.from {
				s.record(truth.KindFirstToken, advanced, "")
			}
			advanced.advance(token.Index + 1)
		}
	}
	for _, finished := range result.Finished {
		if ended := s.streams[finished.ID]; ended != nil {
			s.remove(ended, finish{
				reason:       reasonLength,
				cause:        truth.CauseFinished,
				promptTokens: finished.PromptTokens,
				cachedTokens: finished.CachedTokens,
			})
		}
	}
}

// remove ends a stream. The caller holds the mutex.
func (s *Server) remove(ended *stream, outcome finish) {
	delete(s.streams, ended.id)
	siblings := s.requests[ended.requestID]
	remaining := siblings[:0]
	for _, sibling := range siblings {
		if sibling != ended {
			remaining = append(remaining, sibling)
		}
	}
	if len(remaining) == 0 {
		delete(s.requests, ended.requestID)
	} else {
		s.requests[ended.requestID] = remaining
	}
	s.record(truth.KindEnded, ended, outcome.cause)
	ended.end(outcome)
}

func (s *Server) record(kind truth.Kind, about *stream, cause truth.Cause) {
	entry := truth.Entry{
		Kind:     kind,
		Request:  about.requestID,
		Attempt:  about.attempt,
		Priority: about.priority,
		From:     about.from,
		Cause:    cause,
	}
	if kind == truth.KindEnded {
		entry.Tokens = max(0, int(about.available.Load())-about.from)
	}
	s.log.Record(entry)
}

// refusal is the error of a request that was refused before execution.
type refusal struct {
	status  int
	kind    string
	message string
}

// Error implements error.
func (r *refusal) Error() string { return r.message }

// start submits a request, or resumes it if its suspended state is kept.
func (s *Server) start(attempt string, parsed truth.Request) (*stream, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	started := &stream{
		requestID:    requestIDOf(attempt),
		attempt:      attempt,
		priority:     parsed.Priority,
		generator:    truth.NewGenerator(parsed.Model, parsed.Prompt),
		from:         parsed.ResumeFrom,
		maxTokens:    parsed.MaxTokens,
		promptTokens: truth.PromptTokens(parsed.Prompt),
		changed:      make(chan struct{}, 1),
	}
	started.available.Store(int64(started.from))
	if err := s.admit(started, parsed); err != nil {
		s.record(truth.KindRefused, started, "")
		return nil, err
	}
	s.streams[started.id] = started
	s.requests[started.requestID] = append(s.requests[started.requestID], started)
	s.record(truth.KindAccepted, started, "")
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return started, nil
}

// attemptSeparator separates the request ID from the attempt number in
// X-Request-Id.
const attemptSeparator = "#"

// requestIDOf returns the request ID of an attempt.
func requestIDOf(attempt string) string {
	if position := strings.LastIndex(attempt, attemptSeparator); position >= 0 {
		return attempt[:position]
	}
	return attempt
}

func (s *Server) admit(started *stream, parsed truth.Request) error {
	_, isModel := s.models[parsed.Model]
	_, isAdapter := s.adapters[parsed.Model]
	switch {
	case !isModel && !isAdapter:
		return &refusal{http.StatusNotFound, "model_not_loaded", "the model " + strconv.Quote(parsed.Model) + " is not loaded here"}
	case s.draining && s.config.RefuseWhenDraining:
		return &refusal{http.StatusServiceUnavailable, "draining", "the engine is leaving"}
	case s.scheduler.Waiting() >= s.config.QueueLimit:
		return &refusal{http.StatusTooManyRequests, "overloaded", "the waiting queue is full"}
	}
	if s.resume(started) {
		return nil
	}
	s.serial++
	started.id = strconv.FormatUint(s.serial, 10)
	err := s.scheduler.Submit(time.Now(), scheduler.Sequence{
		ID:           started.id,
		Priority:     started.priority,
		PromptTokens: started.promptTokens,
		PrefixHashes: scheduler.HashBlocks(parsed.Model, []byte(parsed.Prompt), s.blockTokens(), truth.TokenBytes),
		MaxTokens:    started.maxTokens,
		ResumeFrom:   started.from,
	})
	switch {
	case errors.Is(err, scheduler.ErrTooLong):
		return &refusal{http.StatusBadRequest, "context_length_exceeded", "prompt and max_tokens exceed the KV memory"}
	case err != nil:
		return &refusal{http.StatusBadRequest, "invalid_request_error", "max_tokens must be above resume_from, which must not be negative"}
	}
	return nil
}

func (s *Server) blockTokens() int { return s.config.Scheduler.BlockTokens }

// resume continues a suspended request and reports whether its state could be used.
func (s *Server) resume(started *stream) bool {
	earlier := s.suspended[started.requestID]
	if earlier == nil {
		return false
	}
	s.dropSuspended(started.requestID)
	same := earlier.generator == started.generator && earlier.maxTokens == started.maxTokens && earlier.priority == started.priority
	if !same || s.scheduler.Resume(time.Now(), earlier.id, started.from) != nil {
		_ = s.scheduler.Cancel(earlier.id)
		return false
	}
	started.id = earlier.id
	return true
}

func (s *Server) dropSuspended(requestID string) {
	delete(s.suspended, requestID)
	for i, id := range s.suspendOrder {
		if id == requestID {
			s.suspendOrder = append(s.suspendOrder[:i], s.suspendOrder[i+1:]...)
			return
		}
	}
}

// suspendStream suspends a stream and reports whether it did; at ParkedLimit the
// oldest suspended one is dropped. The caller holds the mutex.
func (s *Server) suspendStream(suspended *stream) bool {
	if s.scheduler.Suspend(suspended.id) != nil {
		return false
	}
	if older := s.suspended[suspended.requestID]; older != nil {
		s.dropSuspended(suspended.requestID)
		_ = s.scheduler.Cancel(older.id)
	}
	if len(s.suspendOrder) >= s.config.ParkedLimit {
		oldest := s.suspendOrder[0]
		_ = s.scheduler.Cancel(s.suspended[oldest].id)
		s.dropSuspended(oldest)
	}
	s.suspended[suspended.requestID] = suspended
	s.suspendOrder = append(s.suspendOrder, suspended.requestID)
	s.remove(suspended, finish{
		reason:       reasonSuspended,
		cause:        truth.CauseSuspended,
		promptTokens: suspended.promptTokens,
	})
	return true
}

// cancel cancels a stream; one that has ended is left alone.
func (s *Server) cancel(cancelled *stream, cause truth.Cause) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.streams[cancelled.id] != cancelled {
		return
	}
	_ = s.scheduler.Cancel(cancelled.id)
	s.remove(cancelled, finish{reason: reasonCancelled, cause: cause, promptTokens: cancelled.promptTokens})
}

// otherStream returns a stream of another request, or else a made-up one.
func (s *Server) otherStream(excluded *stream) *stream {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, candidate := range s.streams {
		if candidate.requestID != excluded.requestID {
			return candidate
		}
	}
	return &stream{attempt: "another" + attemptSeparator + "1", generator: truth.NewGenerator("", excluded.attempt)}
}
