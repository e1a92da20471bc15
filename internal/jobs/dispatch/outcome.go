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

// Error codes in the response bodies of failed items.
const (
	codeEngineFailed     = "engine_failed"
	codeEngineLost       = "engine_lost"
	codeOutcomeUnknown   = "outcome_unknown"
	codeResponseTooLarge = "answer_too_large"
)

// maxResponseBytes bounds a stored response: one too large for the ledger
// would block the reports of all others.
const maxResponseBytes = 8 << 20

// addToken appends a chunk to the item's text, which may have it already. It reports whether the
// attempt is still current and its chunk in order; if not, the attempt must end.
func (s *scheduler) addToken(now time.Time, running *stream, attempt uint32, chunk engine.Chunk) bool {
	if !s.isCurrent(running, attempt) || chunk.Index > running.task.tokens {
		return false
	}
	if chunk.Index < running.task.tokens {
		running.lastToken = now
		return true
	}
	running.task.tokens++
	running.task.text.WriteString(chunk.Text)
	running.lastToken = now
	s.stepPolicy(now, batch.Event{Kind: batch.EventBatchToken, Engine: running.engine, Stream: running.id})
	return true
}

func (s *scheduler) isCurrent(running *stream, attempt uint32) bool {
	return s.streams[running.id] == running && running.state == streamRunning && running.attempt == attempt
}

// startRefused removes a stream whose start was not granted, or granted too
// late. It hands the item back as not run, which undoes a recorded start.
func (s *scheduler) startRefused(now time.Time, running *stream) {
	if !s.isCurrent(running, running.attempt) {
		return
	}
	s.endRunning(now, running)
	s.remove(running)
	if !running.revoked {
		s.handBack(running.task)
	}
}

// endRunning tells the policy that a stream no longer runs.
func (s *scheduler) endRunning(now time.Time, running *stream) {
	s.modelQueue(running.task.model).running--
	running.state = 0
	s.stepPolicy(now, batch.Event{Kind: batch.EventBatchEnded, Engine: running.engine, Stream: running.id})
}

// attemptEnded handles the end of an attempt; that of an earlier one is ignored.
func (s *scheduler) attemptEnded(now time.Time, running *stream, attempt uint32, finish engine.Finish, err error) {
	if !s.isCurrent(running, attempt) {
		return
	}
	suspended := err == nil && finish.Reason == finishSuspended
	if suspended && s.keepSuspended(now, running) {
		return
	}
	s.endRunning(now, running)
	switch {
	case running.revoked:
		s.remove(running)
	case suspended || err != nil && running.moving:
		s.requeue(now, running)
	case err == nil:
		s.succeeded(now, running, finish)
	default:
		s.failed(now, running, err)
	}
}

// keepSuspended keeps a stream that was suspended at the policy's request and
// can resume at its engine. It reports whether the stream was kept.
func (s *scheduler) keepSuspended(now time.Time, running *stream) bool {
	home, ok := s.engines[running.engine]
	if !ok || home.leaving || s.draining || !running.suspending || running.moving || running.revoked {
		return false
	}
	s.modelQueue(running.task.model).running--
	running.state = streamSuspended
	s.stepPolicy(now, batch.Event{
		Kind: batch.EventBatchEnded, Engine: running.engine, Stream: running.id, Suspended: true,
	})
	return true
}

func (s *scheduler) succeeded(now time.Time, finished *stream, finish engine.Finish) {
	s.remove(finished)
	result := newResult(finished.task)
	result.Status = jobs.ItemSucceeded
	result.HTTPStatus = http.StatusOK
	result.CompletionTokens = uint32(max(finish.CompletionTokens, finished.task.tokens))
	result.Body = completionJSON(now, finished, finish)
	if len(result.Body) > maxResponseBytes {
		result.Status, result.HTTPStatus = jobs.ItemFailed, http.StatusInsufficientStorage
		result.Body = errorJSON(codeResponseTooLarge, "the answer is too large to be kept")
	}
	s.emit(action{kind: actionReport, result: result})
}

// failed requeues an item whose attempt failed or reports the failure.
func (s *scheduler) failed(now time.Time, running *stream, err error) {
	failure := asEngineError(err)
	s.block(now, running.engine, failure)
	if failure.Fate == engine.FateNotRun && running.task.item.Repeatable && !isInvalidRequest(failure.Status) {
		s.requeue(now, running)
		return
	}
	s.remove(running)
	result := newResult(running.task)
	switch {
	case failure.Fate == engine.FateNotRun && !isInvalidRequest(failure.Status):
		result.HTTPStatus = machine.ReturnNotRun
	case isRejection(failure.Status):
		result.Status, result.HTTPStatus = jobs.ItemFailed, uint16(failure.Status)
		result.Body = errorJSON(codeEngineFailed, failure.Error())
	case failure.Fate == engine.FateFailed || failure.Status != 0:
		result.HTTPStatus = statusOr(failure.Status, http.StatusInternalServerError)
		result.Body = errorJSON(codeEngineFailed, failure.Error())
		if !running.task.item.Repeatable {
			result.Status = jobs.ItemFailed
		}
	case running.task.item.Repeatable:
		result.HTTPStatus = machine.ReturnLost
		result.Body = errorJSON(codeEngineLost, failure.Error())
	default:
		result.Status = jobs.ItemOutcomeUnknown
		result.Body = errorJSON(codeOutcomeUnknown, failure.Error())
	}
	kind := actionReport
	if result.Status == jobs.ItemOpen {
		kind = actionHandBack
	}
	s.emit(action{kind: kind, result: result})
}

// statusOr returns status, or fallback if status is unset or would be read as
// machine.ReturnLost.
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

// isRejection reports whether the status rejects the item itself, so that a
// retry can't succeed.
func isRejection(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError &&
		status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

// isInvalidRequest reports whether the status rejects the request whatever engine gets it and
// whenever. Other rejections may be of the one engine, which may lack the model.
func isInvalidRequest(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	}
	return false
}

// block starts the backoff of an engine that refused or lost an item.
func (s *scheduler) block(now time.Time, name string, failure *engine.Error) {
	home, ok := s.engines[name]
	if !ok || failure.Fate == engine.FateFailed || isRejection(failure.Status) {
		return
	}
	home.blockedUntil = now.Add(max(minRefusalBackoff, failure.RetryAfter))
}
