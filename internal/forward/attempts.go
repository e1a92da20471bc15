package forward

import (
	"net/http"

	"chutelock.dev/chutelock/internal/catalog"
)

// Outcome is the result of one exchange with an engine.
type Outcome uint8

// Outcomes.
const (
	// OutcomeNotSent: nothing was sent to the engine.
	OutcomeNotSent Outcome = iota
	// OutcomeRefused: the engine said that it did not run the request.
	OutcomeRefused
	// OutcomeUnknown: the exchange failed; the engine may have run the request.
	OutcomeUnknown
	// OutcomeFailed: the engine ran the request and responded with an error.
	OutcomeFailed
	// OutcomeBroken: the stream broke after the caller had received part of it.
	OutcomeBroken
)

// String returns the name used in logs.
func (o Outcome) String() string {
	return [...]string{"not-sent", "refused", "unknown", "failed", "broken"}[o]
}

// Step is the action that follows an exchange.
type Step uint8

// Steps.
const (
	// StepRetry: send the request to another engine.
	StepRetry Step = iota
	// StepNotRun: refuse the request as not run.
	StepNotRun
	// StepUnknown: refuse the request as one that may have run.
	StepUnknown
	// StepForwardFailure: forward the engine's error response.
	StepForwardFailure
	// StepAbort: abort the response to the caller.
	StepAbort
)

// Bounds on exchanges that did not run the request. A stream of which its caller has a part has none, as it
// can't be refused any more: refusals make their engine count as full for a while, and for the rest see
// PauseDue.
const (
	maxNotSent = 4
	maxRefused = 5
)

// Attempts counts the exchanges of one request and decides on retries. It has no side
// effects.
type Attempts struct {
	route   *catalog.Route
	runs    int // exchanges that may have run the request
	notSent int
	refused int
	// streamStarted: the caller has part of a stream, which can only be continued or aborted.
	streamStarted bool
}

// NewAttempts returns the counts of a request that was not sent yet.
func NewAttempts(route *catalog.Route) *Attempts { return &Attempts{route: route} }

// MayHaveRun reports whether any engine may have run the request.
func (a *Attempts) MayHaveRun() bool { return a.runs > 0 }

// CanRunAgain reports whether the request may be run once more.
func (a *Attempts) CanRunAgain() bool {
	return a.runs == 0 || (a.route.MayRunAgain() && a.runs < a.route.Attempts)
}

// Next records the outcome of an exchange and returns the next step.
func (a *Attempts) Next(outcome Outcome) Step {
	switch outcome {
	case OutcomeNotSent:
		a.notSent++
		if a.notSent < maxNotSent || a.streamStarted {
			return StepRetry
		}
	case OutcomeRefused:
		a.refused++
		if a.refused < maxRefused || a.streamStarted {
			return StepRetry
		}
	default:
		a.runs++
		a.streamStarted = a.streamStarted || outcome == OutcomeBroken
		if a.CanRunAgain() {
			return StepRetry
		}
	}
	return a.GiveUp(outcome)
}

// PauseDue reports whether so many exchanges were not sent that the next one should wait for a change.
func (a *Attempts) PauseDue() bool { return a.notSent >= maxNotSent }

// GiveUp returns the final step of a request that is not retried after the outcome.
func (a *Attempts) GiveUp(outcome Outcome) Step {
	switch {
	case outcome == OutcomeBroken || a.streamStarted:
		return StepAbort
	case outcome == OutcomeFailed:
		return StepForwardFailure
	case a.runs > 0:
		return StepUnknown
	}
	return StepNotRun
}

// impliesNotRun reports whether a status tells a caller that its request has not run and
// will not.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// retryableStatus reports whether another engine may succeed after a response with status.
func retryableStatus(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable:
		return true
	}
	return false
}
