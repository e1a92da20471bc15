package relay

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/gateway/apierror"
)

// Limits of a call.
const (
	// MaxAttempts bounds the attempts of one call.
	MaxAttempts = 4
	// retryAfterNoEngine is when to come back if the engines gave no hint.
	retryAfterNoEngine = time.Second
)

// ErrStale is returned to an attempt whose chunks are no longer wanted.
var ErrStale = errors.New("relay: the attempt no longer owns the call")

// GapError says that an engine skipped tokens.
type GapError struct {
	Attempt uint32
	Want    int
	Got     int
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("relay: attempt %d sent token %d, want %d", e.Attempt, e.Got, e.Want)
}

// Call is one caller's request over all its attempts.
type Call struct {
	repeatable bool
	deadline   time.Time // zero means none
	budget     *Budget

	attempts  uint32
	live      map[uint32]int // resume point of each live attempt
	owner     uint32         // 0 while no attempt brought a token
	delivered int            // tokens that the caller has

	mayHaveRun bool // some ended attempt may have run
	finished   bool
	lastError  *engine.Error
	retryAfter time.Duration
}

// NewCall returns a call without attempts. The budget is shared with the
// other calls of the service.
func NewCall(repeatable bool, deadline time.Time, budget *Budget) *Call {
	budget.Earn()
	return &Call{repeatable: repeatable, deadline: deadline, budget: budget, live: make(map[uint32]int, 1)}
}

// Delivered is the number of tokens that the caller has.
func (c *Call) Delivered() int { return c.delivered }

// Attempts is the number of attempts begun.
func (c *Call) Attempts() int { return int(c.attempts) }

// Finished says that the final answer was given.
func (c *Call) Finished() bool { return c.finished }

// MayHaveRun says that some attempt that ended may have run at an engine.
func (c *Call) MayHaveRun() bool { return c.mayHaveRun }

// Begin starts an attempt and tells from which token it is to go on.
func (c *Call) Begin() (attempt uint32, resumeFrom int) {
	c.attempts++
	c.live[c.attempts] = c.delivered
	return c.attempts, c.delivered
}

// Accept judges a chunk of an attempt: deliver says that it is the caller's
// next token. A duplicate or a token that the caller has already is neither
// delivered nor an error. An error means that the attempt is to be stopped;
// *GapError is the engine's failure, ErrStale is not.
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

// Owner is the attempt that delivers, 0 while none does.
func (c *Call) Owner() uint32 { return c.owner }

// Succeed ends an attempt that the engine finished. It returns true when this
// is the call's final answer; an attempt that lost ends silently. An engine
// that finishes with fewer tokens than the caller must have got is an error.
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

// Next is what to do after a failed attempt.
type Next struct {
	// Wait: another attempt is still live.
	Wait bool
	// Retry: begin another attempt, at another engine.
	Retry bool
	// Answer is the final answer when neither holds.
	Answer *apierror.Error
}

// Fail ends an attempt that failed and says what to do next.
func (c *Call) Fail(now time.Time, attempt uint32, failure *engine.Error) Next {
	if _, live := c.live[attempt]; !live || c.finished {
		return Next{Wait: true}
	}
	delete(c.live, attempt)
	c.note(attempt, failure)
	if len(c.live) > 0 {
		return Next{Wait: true}
	}
	if c.mayRetry(now, failure) {
		return Next{Retry: true}
	}
	return Next{Answer: c.GiveUp(now)}
}

func (c *Call) note(attempt uint32, failure *engine.Error) {
	if c.owner == attempt {
		c.owner = 0
	}
	if failure.Fate != engine.FateNotRun || c.delivered > 0 {
		c.mayHaveRun = true
	}
	c.lastError = failure
	c.retryAfter = max(c.retryAfter, failure.RetryAfter)
}

// mayRetry says whether another attempt is safe and allowed.
func (c *Call) mayRetry(now time.Time, failure *engine.Error) bool {
	if c.mayHaveRun && !c.repeatable {
		return false
	}
	if isRefusal(failure) {
		return false
	}
	if c.attempts >= MaxAttempts || c.expired(now) {
		return false
	}
	return c.budget.Spend()
}

// isRefusal says that the engine found the request itself to be wrong, so
// that another engine would as well.
func isRefusal(failure *engine.Error) bool {
	switch failure.Status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	}
	return false
}

func (c *Call) expired(now time.Time) bool {
	return !c.deadline.IsZero() && !now.Before(c.deadline)
}

// Abandon ends a live attempt without judging it: the caller left or another
// attempt won.
func (c *Call) Abandon(attempt uint32) {
	delete(c.live, attempt)
}

// GiveUp gives the final answer of a call that can't be finished: no engine is
// left, or its time passed. It says only what is known. Every attempt still
// live counts as one that may have run.
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
	case c.lastError != nil && isRefusal(c.lastError) && c.delivered == 0 && !c.mayHaveRun:
		return refused(c.lastError)
	case !c.mayHaveRun:
		return apierror.NotRun(http.StatusServiceUnavailable, c.comeBack(), "no engine could take the request; it was not run")
	case c.lastError != nil && c.lastError.Fate == engine.FateFailed && c.delivered == 0:
		return failed(cause, c.repeatable)
	case !c.repeatable:
		return apierror.OutcomeUnknown(cause)
	case c.delivered > 0:
		return apierror.StreamBroken(cause)
	case c.expired(now):
		return apierror.DeadlineExceeded(cause)
	default:
		return unknown(cause)
	}
}

func (c *Call) comeBack() time.Duration {
	if c.retryAfter > 0 {
		return c.retryAfter
	}
	return retryAfterNoEngine
}

func refused(failure *engine.Error) *apierror.Error {
	answer := apierror.Invalid("", "the engine refused the request: %v", failure.Err)
	answer.Cause = failure
	return answer
}

func failed(cause error, repeatable bool) *apierror.Error {
	answer := apierror.EngineFailed(cause)
	answer.NoRetry = !repeatable
	return answer
}

// unknown is the answer to a repeatable request, which the client may resend.
func unknown(cause error) *apierror.Error {
	answer := apierror.OutcomeUnknown(cause)
	answer.NoRetry = false
	return answer
}
