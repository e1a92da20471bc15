package forward

import (
	"context"
	"fmt"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/poison"
)

// heldError reports a request that is held because too many engines crashed while running it.
type heldError struct {
	// Left is how long the request remains held.
	Left time.Duration
}

// Error implements error.
func (e *heldError) Error() string {
	return fmt.Sprintf("engines crashed while running this request; it is held for another %v", e.Left.Round(time.Second))
}

// refuseHeld ends a request that must not reach another engine. If it has not run, its
// caller is told so and when to retry.
func (fl *inflight) refuseHeld(left time.Duration) {
	result := attemptResult{kind: OutcomeNotSent, cause: &heldError{left}}
	fl.finish(fl.attempts.GiveUp(result.kind), result)
}

// fingerprint returns the request's fingerprint, computed on first use.
func (fl *inflight) fingerprint() poison.Fingerprint {
	if fl.print == nil {
		print := fl.request.Fingerprint()
		fl.print = &print
	}
	return *fl.print
}

// reportLostConnection reports a broken exchange to the guard, which determines whether the
// engine crashed, before the request is retried.
func (fl *inflight) reportLostConnection(ctx context.Context, engine catalog.Engine, result attemptResult) {
	if result.kind != OutcomeUnknown && result.kind != OutcomeBroken {
		return
	}
	fl.Guard.ConnectionLost(ctx, poison.LostConnection{Engine: engine, Request: fl.request.ID, Answering: fl.receivedEvent, Fingerprint: fl.fingerprint, Parts: fl.request.SharedParts})
}
