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
	codeAnswerTooLarge = "answer_too_large"
)

// maxAnswer is the largest answer that is kept, in bytes: one that the ledger
// can't take would keep all others from being reported.
const maxAnswer = 8 << 20

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
	suspended := err == nil && finish.Reason == finishSuspended
	if suspended && s.park(now, running) {
		return
	}
	s.left(now, running)
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

// park keeps a stream that was suspended as the policy wanted, if it can go on
// at its engine.
func (s *scheduler) park(now time.Time, parked *stream) bool {
	at, ok := s.engines[parked.engine]
	if !ok || at.leaving || s.draining || !parked.suspending || parked.moving || parked.revoked {
		return false
	}
	s.supply(parked.task.model).running--
	parked.state = streamSuspended
	s.step(now, batch.Event{
		Kind: batch.EventBatchEnded, Engine: parked.engine, Stream: parked.id, Suspended: true,
	})
	return true
}

func (s *scheduler) succeeded(now time.Time, finished *stream, finish engine.Finish) {
	s.remove(finished)
	result := resultOf(finished.task)
	result.Status = jobs.ItemSucceeded
	result.HTTPStatus = http.StatusOK
	result.CompletionTokens = uint32(max(finish.CompletionTokens, finished.task.tokens))
	result.Body = wholeAnswer(now, finished, finish)
	if len(result.Body) > maxAnswer {
		result.Status, result.HTTPStatus = jobs.ItemFailed, http.StatusInsufficientStorage
		result.Body = errorAnswer(codeAnswerTooLarge, "the answer is too large to be kept")
	}
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
