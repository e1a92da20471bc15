package relay

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/gateway/apierror"
)

const (
	// MaxAttempts is the maximum number of attempts of one call without those that an engine
	// refused, which cost it nothing; the budget limits these.
	MaxAttempts = 4
	// retryAfterNoEngine is the retry delay if no engine suggested one.
	retryAfterNoEngine = time.Second
)

// ErrStale means that an attempt must stop because it ended or isn't the owner.
var ErrStale = errors.New("relay: the attempt no longer owns the call")

// GapError reports that an engine skipped tokens.
type GapError struct {
	Attempt uint32
	Want    int
	Got     int
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("relay: attempt %d sent token %d, want %d", e.Attempt, e.Got, e.Want)
}

// Call is the state of one caller's request across its attempts.
type Call struct {
	repeatable bool
	deadline   time.Time // zero means none
	budget     *Budget

	attempts  uint32
	refused   uint32         // attempts that certainly did not run
	live      map[uint32]int // first token of each live attempt
	owner     uint32         // attempt that delivers tokens; 0 if none
	delivered int            // number of tokens delivered to the caller

	mayHaveRun bool // an ended attempt may have run
	finished   bool
	lastError  *engine.Error
	retryAfter time.Duration
}

// NewCall returns a call without attempts and counts it in budget, which the calls
// of a service share. A zero deadline means none.
func NewCall(repeatable bool, deadline time.Time, budget *Budget) *Call {
	budget.Earn()
	return &Call{repeatable: repeatable, deadline: deadline, budget: budget, live: make(map[uint32]int, 1)}
}

// Delivered returns the number of tokens delivered to the caller.
func (c *Call) Delivered() int { return c.delivered }

// Attempts returns the number of attempts begun.
func (c *Call) Attempts() int { return int(c.attempts) }

// Finished reports whether the final response was determined.
func (c *Call) Finished() bool { return c.finished }

// MayHaveRun reports whether an engine may have run an attempt that ended.
func (c *Call) MayHaveRun() bool { return c.mayHaveRun }

// Begin starts an attempt and returns its number and the index of its first token.
func (c *Call) Begin() (attempt uint32, resumeFrom int) {
	c.attempts++
	c.live[c.attempts] = c.delivered
	return c.attempts, c.delivered
}

// Accept reports whether a token of an attempt is the next one to deliver. A token
// delivered before is ignored without an error. An error means that the attempt
// must be stopped: *GapError is a failure of the engine, ErrStale is not.
func (c *Call) Accept(attempt uint32, index int) (deliver bool, err error) {
	if _, live := c.live[attempt]; !live || c.finished {
		return false, ErrStale
	}
	if c.owner != 0 && c.owner != attempt {
		return false, ErrStale
	}
	if index < c.delivered {
		return false, nil
	}
	if index > c.delivered {
		return false, &GapError{Attempt: attempt, Want: c.delivered, Got: index}
	}
	c.owner = attempt
	c.delivered++
	return true, nil
}

// Owner returns the attempt that delivers tokens, or 0 if none does.
func (c *Call) Owner() uint32 { return c.owner }

// Succeed ends an attempt that the engine finished and reports whether this
// completes the call. An attempt that isn't the owner ends without effect. It is
// an error if the engine's token count differs from the number delivered.
func (c *Call) Succeed(attempt uint32, finish engine.Finish) (bool, error) {
	if _, live := c.live[attempt]; !live || c.finished {
		return false, nil
	}
	if c.owner != 0 && c.owner != attempt {
		delete(c.live, attempt)
		return false, nil
	}
	if finish.Reason == "" || finish.Reason == "suspended" {
		return false, fmt.Errorf("relay: attempt %d ended with reason %q", attempt, finish.Reason)
	}
	if finish.CompletionTokens > 0 && finish.CompletionTokens != c.delivered {
		return false, &GapError{Attempt: attempt, Want: finish.CompletionTokens, Got: c.delivered}
	}
	delete(c.live, attempt)
	c.finished = true
	return true, nil
}

// Next is the action to take after a failed attempt.
type Next struct {
	// Wait means to wait for another live attempt or that the call has ended.
	Wait bool
	// Retry means to begin another attempt, at another engine.
	Retry bool
	// Failure is the final error response if neither Wait nor Retry is set.
	Failure *apierror.Error
}

// Fail ends a failed attempt and returns the action to take.
func (c *Call) Fail(now time.Time, attempt uint32, failure *engine.Error) Next {
	if _, live := c.live[attempt]; !live || c.finished {
		return Next{Wait: true}
	}
	delete(c.live, attempt)
	c.recordFailure(attempt, failure)
	if len(c.live) > 0 {
		return Next{Wait: true}
	}
	if c.mayRetry(now, failure) {
		return Next{Retry: true}
	}
	return Next{Failure: c.GiveUp(now)}
}

func (c *Call) recordFailure(attempt uint32, failure *engine.Error) {
	if failure.Fate == engine.FateNotRun && c.owner != attempt {
		c.refused++
	}
	if c.owner == attempt {
		c.owner = 0
	}
	if failure.Fate != engine.FateNotRun || c.delivered > 0 {
		c.mayHaveRun = true
	}
	c.lastError = failure
	c.retryAfter = max(c.retryAfter, failure.RetryAfter)
}

// mayRetry reports whether another attempt is safe and within the limits, and if
// so takes it from the budget.
func (c *Call) mayRetry(now time.Time, failure *engine.Error) bool {
	if c.mayHaveRun && !c.repeatable {
		return false
	}
	if isInvalidRequest(failure) {
		return false
	}
	if c.attempts-c.refused >= MaxAttempts || c.expired(now) {
		return false
	}
	return c.budget.Spend()
}

// isInvalidRequest reports whether the engine rejected the request as invalid, so
// that other engines would reject it too.
func isInvalidRequest(failure *engine.Error) bool {
	switch failure.Status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	}
	return false
}

func (c *Call) expired(now time.Time) bool {
	return !c.deadline.IsZero() && !now.Before(c.deadline)
}

// MayReplace reports whether another attempt may begin in place of the only live one, which may have run.
// It takes nothing from the budget.
func (c *Call) MayReplace(now time.Time) bool {
	return !c.finished && len(c.live) == 1 && c.repeatable && c.attempts-c.refused < MaxAttempts && !c.expired(now)
}

// Replace ends the only live attempt, which sends nothing, in favour of another that begins at once. It
// reports false, and changes nothing, if none may begin.
func (c *Call) Replace(now time.Time, attempt uint32, failure *engine.Error) bool {
	if _, live := c.live[attempt]; !live || !c.MayReplace(now) || !c.budget.Spend() {
		return false
	}
	delete(c.live, attempt)
	c.recordFailure(attempt, failure)
	return true
}

// Abandon ends a live attempt without a result, because the caller disconnected or
// another attempt became the owner.
func (c *Call) Abandon(attempt uint32) {
	delete(c.live, attempt)
}

// GiveUp ends a call that can't be finished, because no engine is left or its
// deadline passed, and returns the final response. Every attempt still live counts
// as one that may have run.
func (c *Call) GiveUp(now time.Time) *apierror.Error {
	if len(c.live) > 0 {
		c.mayHaveRun = true
		clear(c.live)
	}
	c.finished = true
	var cause error
	if c.lastError != nil {
		cause = c.lastError
	}
	switch {
	case c.lastError != nil && isInvalidRequest(c.lastError) && c.delivered == 0 && !c.mayHaveRun:
		return invalidRequest(c.lastError)
	case !c.mayHaveRun:
		return apierror.NotRun(http.StatusServiceUnavailable, c.retryDelay(), "no engine could take the request; it was not run")
	case c.lastError != nil && c.lastError.Fate == engine.FateFailed && c.delivered == 0:
		return engineFailed(cause, c.repeatable)
	case !c.repeatable:
		return apierror.OutcomeUnknown(cause)
	case c.delivered > 0:
		return apierror.StreamBroken(cause)
	case c.expired(now):
		return apierror.DeadlineExceeded(cause)
	default:
		return retryableUnknown(cause)
	}
}

func (c *Call) retryDelay() time.Duration {
	if c.retryAfter > 0 {
		return c.retryAfter
	}
	return retryAfterNoEngine
}

func invalidRequest(failure *engine.Error) *apierror.Error {
	answer := apierror.Invalid("", "the engine refused the request: %v", failure.Err)
	answer.Cause = failure
	return answer
}

func engineFailed(cause error, repeatable bool) *apierror.Error {
	answer := apierror.EngineFailed(cause)
	answer.NoRetry = !repeatable
	return answer
}

// retryableUnknown returns the response to a repeatable request, which the client
// may retry.
func retryableUnknown(cause error) *apierror.Error {
	answer := apierror.OutcomeUnknown(cause)
	answer.NoRetry = false
	return answer
}
