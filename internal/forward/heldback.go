package forward

import (
	"context"
	"fmt"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/poison"
)

// heldBackError says that a request gets to no engine, as too many ended under it.
type heldBackError struct {
	// Left is how long that lasts.
	Left time.Duration
}

// Error implements error.
func (e *heldBackError) Error() string {
	return fmt.Sprintf("engines ended under this request; it is held back for %v", e.Left.Round(time.Second))
}

// heldBack ends a request that must not reach a further engine, at once: none can
// serve it. One that has run nowhere under this id is told so, and when to come back.
func (fl *flight) heldBack(left time.Duration) {
	outcome := outcome{kind: OutcomeNotSent, cause: &heldBackError{left}}
	fl.finish(fl.attempts.GiveUp(outcome.kind), outcome)
}

// fingerprint is the request's, computed once.
func (fl *flight) fingerprint() poison.Fingerprint {
	if fl.print == nil {
		print := fl.request.Fingerprint()
		fl.print = &print
	}
	return *fl.print
}

// blame has it noted if the engine ended while it had the request, before the request
// goes on to another one.
func (fl *flight) blame(ctx context.Context, engine catalog.Engine, outcome outcome) {
	if outcome.kind != OutcomeUnknown && outcome.kind != OutcomeBroken {
		return
	}
	fl.Guard.Broke(ctx, poison.Break{Engine: engine, Request: fl.request.ID, Answering: fl.answering, Fingerprint: fl.fingerprint})
}
