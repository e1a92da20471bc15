package forward

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/poison"
)

// heldError reports a request that is held because too many engines crashed while running it, or
// requests that share a part of its prompt.
type heldError struct {
	// Left is how long the request remains held.
	Left time.Duration
	// Part is the ID of the part; empty if the request itself is held.
	Part string
}

// Error implements error.
func (e *heldError) Error() string {
	what := "this request"
	if e.Part != "" {
		what = "prompts with the part " + strconv.Quote(e.Part)
	}
	return fmt.Sprintf("engines crashed while running %s; it is held for another %v", what, e.Left.Round(time.Second))
}

// checkHeld returns a heldError if the request must not reach an engine.
func (fl *inflight) checkHeld() error {
	if left, held := fl.Guard.Held(fl.fingerprint); held {
		return &heldError{Left: left}
	}
	if part, held := fl.Guard.PromptHeld(fl.prompt); held {
		return &heldError{part.Left, part.ID}
	}
	return nil
}

// admit is checkHeld, but makes the request the trial of a held part of its prompt if one is due.
func (fl *inflight) admit(ctx context.Context) error {
	if left, held := fl.Guard.Held(fl.fingerprint); held {
		return &heldError{Left: left}
	}
	if part, held := fl.Guard.AdmitPrompt(ctx, fl.prompt); held {
		return &heldError{part.Left, part.ID}
	}
	return nil
}

// refuseHeld ends a request that must not reach another engine. If it has not run, its
// caller is told so and when to retry.
func (fl *inflight) refuseHeld(cause error) {
	result := attemptResult{kind: OutcomeNotSent, cause: cause}
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
	fl.Guard.ConnectionLost(ctx, poison.LostConnection{Engine: engine, Request: fl.request.ID, Answering: fl.receivedEvent, Fingerprint: fl.fingerprint, Prompt: fl.prompt})
}
