package dispatch

import (
	"errors"
	"net/http"
	"time"

	"chutelock.dev/chutelock/internal/admission/batch"
	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/jobs"
	"chutelock.dev/chutelock/internal/jobs/machine"
)

const finishSuspended = "suspended"

// Codes in the bodies of failed items.
const (
	codeEngineFailed   = "engine_failed"
	codeEngineLost     = "engine_lost"
	codeOutcomeUnknown = "outcome_unknown"
)

// token takes a chunk of the running attempt; false means that the attempt is
// over and must end.
func (s *scheduler) token(now time.Time, running *stream, attempt uint32, chunk engine.Chunk) bool {
	if !s.current(running, attempt) || chunk.Index != running.task.tokens {
		return false
	}
	running.task.tokens++
	running.task.text.WriteString(chunk.Text)
	running.lastToken = now
	s.step(now, batch.Event{Kind: batch.EventBatchToken, Engine: running.engine, Stream: running.id})
	return true
}

func (s *scheduler) current(running *stream, attempt uint32) bool {
	return s.streams[running.id] == running && running.state == streamRunning && running.attempt == attempt
}

// refusedStart ends a stream whose start was not granted, or was granted too
// late. It hands the item back as not run, which undoes a recorded start.
func (s *scheduler) refusedStart(now time.Time, running *stream) {
	if !s.current(running, running.attempt) {
		return
	}
	s.left(now, running)
	s.remove(running)
	if !running.revoked {
		s.giveBack(running.task)
	}
}

// left tells the policy that a stream does not run any more.
func (s *scheduler) left(now time.Time, running *stream) {
	s.supply(running.task.model).running--
	running.state = 0
	s.step(now, batch.Event{Kind: batch.EventBatchEnded, Engine: running.engine, Stream: running.id})
}

// ended takes the end of an attempt.
func (s *scheduler) ended(now time.Time, running *stream, attempt uint32, finish engine.Finish, err error) {
	if !s.current(running, attempt) {
		return
	}
	s.left(now, running)
	switch {
	case running.revoked:
		s.remove(running)
	case err == nil && finish.Reason == finishSuspended:
		s.parked(now, running)
	case err == nil:
		s.succeeded(now, running, finish)
	case running.moving:
		s.requeue(now, running)
	default:
		s.failed(now, running, err)
	}
}

func (s *scheduler) parked(now time.Time, parked *stream) {
	at, ok := s.engines[parked.engine]
	if !ok || at.leaving || parked.moving || s.draining {
		s.requeue(now, parked)
		return
	}
	parked.state = streamSuspended
}

func (s *scheduler) succeeded(now time.Time, finished *stream, finish engine.Finish) {
	s.remove(finished)
	result := resultOf(finished.task)
	result.Status = jobs.ItemSucceeded
	result.HTTPStatus = http.StatusOK
	result.CompletionTokens = uint32(max(finish.CompletionTokens, finished.task.tokens))
	result.Body = wholeAnswer(now, finished, finish)
	s.emit(action{kind: actionReport, result: result})
}

// failed decides what becomes of an item whose attempt failed.
func (s *scheduler) failed(now time.Time, running *stream, err error) {
	failure := asEngineError(err)
	s.block(now, running.engine, failure)
	if failure.Fate == engine.FateNotRun && running.task.item.Repeatable {
		s.requeue(now, running)
		return
	}
	s.remove(running)
	result := resultOf(running.task)
	switch {
	case failure.Fate == engine.FateNotRun:
		result.HTTPStatus = machine.ReturnNotRun
	case isFinal(failure.Status):
		result.Status, result.HTTPStatus = jobs.ItemFailed, uint16(failure.Status)
		result.Body = errorAnswer(codeEngineFailed, failure.Error())
	case failure.Fate == engine.FateFailed || failure.Status != 0:
		result.HTTPStatus = statusOr(failure.Status, http.StatusInternalServerError)
		result.Body = errorAnswer(codeEngineFailed, failure.Error())
		if !running.task.item.Repeatable {
			result.Status = jobs.ItemFailed
		}
	case running.task.item.Repeatable:
		result.HTTPStatus = machine.ReturnLost
		result.Body = errorAnswer(codeEngineLost, failure.Error())
	default:
		result.Status = jobs.ItemOutcomeUnknown
		result.Body = errorAnswer(codeOutcomeUnknown, failure.Error())
	}
	kind := actionReport
	if result.Status == jobs.ItemOpen {
		kind = actionReturned
	}
	s.emit(action{kind: kind, result: result})
}

// statusOr keeps the status of an engine's own error apart from ReturnLost.
func statusOr(status, fallback int) uint16 {
	if status == 0 || uint16(status) == machine.ReturnLost {
		return uint16(fallback)
	}
	return uint16(status)
}

func asEngineError(err error) *engine.Error {
	var failure *engine.Error
	if errors.As(err, &failure) {
		return failure
	}
	return &engine.Error{Step: "generate", Fate: engine.FateUnknown, Err: err}
}

// isFinal says that the engine refuses the item as such: another try can't
// end differently.
func isFinal(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError &&
		status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

// block keeps new items off an engine that just refused or lost one.
func (s *scheduler) block(now time.Time, name string, failure *engine.Error) {
	at, ok := s.engines[name]
	if !ok || failure.Fate == engine.FateFailed || isFinal(failure.Status) {
		return
	}
	at.blockedUntil = now.Add(max(refusalWait, failure.RetryAfter))
}
