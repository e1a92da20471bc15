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

// Server is one engine. Lock order: mutex, then the event log's or the truth
// log's; the event log's, then the injector's. The reporter's is a leaf that is
// taken without the mutex.
type Server struct {
	config   Config
	log      *truth.Log
	injector *fault.Injector
	events   *eventLog
	reports  *reporter
	wake     chan struct{}
	// drainChanged has room for one signal that the drain was set or cleared.
	drainChanged chan struct{}

	mutex     sync.Mutex
	scheduler *scheduler.Scheduler
	serial    uint64
	streams   map[string]*stream // by scheduler ID
	requests  map[string][]*stream
	parked    map[string]*stream // suspended, by request ID
	parkOrder []string
	models    map[string]string // loaded model to version
	adapters  map[string]string
	orders    map[string]uint64 // target to the serial of its latest order
	role      string
	token     uint64
	draining  bool
}

// New returns an engine, whose start it logs; Run must be running for it to make progress.
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
		parked:    map[string]*stream{},
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
	// Before any request can come: readers of the log take a start for a crash, which ends
	// the attempts before it.
	log.Record(truth.Entry{Kind: truth.KindStarted})
	return server, nil
}

// Injector holds the engine's faults.
func (s *Server) Injector() *fault.Injector { return s.injector }

// Handler serves the engine's protocol, faults included.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.complete(completionShape))
	mux.HandleFunc("POST /v1/chat/completions", s.complete(chatShape))
	mux.HandleFunc("GET /v1/models", s.listModels)
	mux.HandleFunc("POST /v1/requests/{id}/suspend", s.suspend)
	mux.HandleFunc("POST /v1/requests/{id}/cancel", s.cancelRequest)
	mux.HandleFunc("POST /v1/orders", s.order)
	mux.HandleFunc("GET /v1/kv/events", s.streamEvents)
	mux.HandleFunc("POST /v1/kv/export", s.exportBlocks)
	mux.HandleFunc("POST /v1/kv/import", s.importBlocks)
	mux.Handle("GET /metrics", s.reports.handler())
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	return s.injector.Middleware(mux)
}

// ControlHandler serves /control/faults and /control/drain.
func (s *Server) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/control/faults", s.injector.Control())
	mux.HandleFunc("POST /control/drain", func(http.ResponseWriter, *http.Request) { s.Drain(true) })
	mux.HandleFunc("DELETE /control/drain", func(http.ResponseWriter, *http.Request) { s.Drain(false) })
	return mux
}

// Drain sets the engine's own signal that it is leaving.
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

// idlePoll is how often WaitIdle looks.
const idlePoll = 20 * time.Millisecond

// WaitIdle waits until no request runs or waits, or until ctx ends.
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

// maxCatchUp bounds how far behind its clock the loop may hurry to catch up.
const maxCatchUp = 20 * time.Millisecond

// nextDue is the end of a step that began when the last one was due, so that
// late timers don't add up.
func nextDue(due, now time.Time, duration time.Duration) time.Time {
	if now.Sub(due) > maxCatchUp {
		due = now
	}
	return due.Add(duration)
}

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

// deliver makes the tokens of a step that is over visible. A sequence that was
// cancelled or suspended meanwhile has no stream any more.
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

// remove ends a stream; the mutex is held.
func (s *Server) remove(ended *stream, how finish) {
	delete(s.streams, ended.id)
	siblings := s.requests[ended.requestID]
	kept := siblings[:0]
	for _, sibling := range siblings {
		if sibling != ended {
			kept = append(kept, sibling)
		}
	}
	if len(kept) == 0 {
		delete(s.requests, ended.requestID)
	} else {
		s.requests[ended.requestID] = kept
	}
	s.record(truth.KindEnded, ended, how.cause)
	ended.end(how)
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

// refusal is a request that was not run.
type refusal struct {
	status  int
	kind    string
	message string
}

// Error implements error.
func (r *refusal) Error() string { return r.message }

// start submits a request, or resumes it if its state is kept.
func (s *Server) start(attempt string, parsed truth.Request) (*stream, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	started := &stream{
		requestID:    requestOf(attempt),
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

// attemptSeparator stands between a request's ID and the attempt's number in
// X-Request-Id.
const attemptSeparator = "#"

// requestOf is the request that an attempt belongs to.
func requestOf(attempt string) string {
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

// resume goes on with the kept state of a suspended request, if it fits.
func (s *Server) resume(started *stream) bool {
	kept := s.parked[started.requestID]
	if kept == nil {
		return false
	}
	s.unpark(started.requestID)
	same := kept.generator == started.generator && kept.maxTokens == started.maxTokens && kept.priority == started.priority
	if !same || s.scheduler.Resume(time.Now(), kept.id, started.from) != nil {
		_ = s.scheduler.Cancel(kept.id)
		return false
	}
	started.id = kept.id
	return true
}

func (s *Server) unpark(requestID string) {
	delete(s.parked, requestID)
	for i, parked := range s.parkOrder {
		if parked == requestID {
			s.parkOrder = append(s.parkOrder[:i], s.parkOrder[i+1:]...)
			return
		}
	}
}

// park suspends a stream; the mutex is held.
func (s *Server) park(suspended *stream) bool {
	if s.scheduler.Suspend(suspended.id) != nil {
		return false
	}
	if older := s.parked[suspended.requestID]; older != nil {
		s.unpark(suspended.requestID)
		_ = s.scheduler.Cancel(older.id)
	}
	if len(s.parkOrder) >= s.config.ParkedLimit {
		oldest := s.parkOrder[0]
		_ = s.scheduler.Cancel(s.parked[oldest].id)
		s.unpark(oldest)
	}
	s.parked[suspended.requestID] = suspended
	s.parkOrder = append(s.parkOrder, suspended.requestID)
	s.remove(suspended, finish{
		reason:       reasonSuspended,
		cause:        truth.CauseSuspended,
		promptTokens: suspended.promptTokens,
	})
	return true
}

// cancel ends a stream early; it does nothing to one that has ended.
func (s *Server) cancel(cancelled *stream, cause truth.Cause) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.streams[cancelled.id] != cancelled {
		return
	}
	_ = s.scheduler.Cancel(cancelled.id)
	s.remove(cancelled, finish{reason: reasonCancelled, cause: cause, promptTokens: cancelled.promptTokens})
}

// other returns a stream of another request, for a crossed answer.
func (s *Server) other(than *stream) *stream {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, candidate := range s.streams {
		if candidate.requestID != than.requestID {
			return candidate
		}
	}
	return &stream{attempt: "another" + attemptSeparator + "1", generator: truth.NewGenerator("", than.attempt)}
}
