package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/gateway/apierror"
	"chutelock.dev/chutelock/internal/gateway/relay"
	"chutelock.dev/chutelock/internal/routing"
)

// bytesPerToken estimates the length of a prompt in tokens.
const bytesPerToken = 4

// errTimedOut is the cause of an attempt that brought no token in time.
var errTimedOut = errors.New("no token came in time")

// exchange carries one admitted request through its attempts to its one final
// answer. serve runs on the handler's goroutine; each attempt runs on its own
// and hands its tokens to the caller under the mutex.
type exchange struct {
	gateway    *Gateway
	id         string
	path       string
	tenant     string
	priority   engine.Priority
	completion *Completion
	placing    routing.Request
	deadline   time.Time
	started    time.Time
	// firstTokenLimit and nextTokenLimit bound the waits for tokens.
	firstTokenLimit, nextTokenLimit time.Duration

	ends chan ended // holds one for each possible attempt, so senders never wait

	mutex      sync.Mutex
	answer     answer
	call       *relay.Call
	attempts   map[uint32]*attempt
	lastToken  time.Time
	callerLeft bool
	hedged     bool
	code       string // of the final answer, empty until it is given
}

// attempt is a live attempt at one engine.
type attempt struct {
	number   uint32
	decision routing.Decision
	cancel   context.CancelFunc
	began    time.Time
	progress time.Time // newest token, zero before the first
	highest  int       // highest index seen, -1 before the first
	tokens   int
}

// ended is the end of an attempt.
type ended struct {
	attempt *attempt
	finish  engine.Finish
	err     error
}

// serve runs the exchange until its final answer is given or the caller left,
// and returns the answer's code.
func (x *exchange) serve(ctx context.Context) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x.launch(ctx)
	timer := time.NewTimer(x.untilNextCheck())
	defer timer.Stop()
	for x.finalCode() == "" {
		select {
		case end := <-x.ends:
			x.handleEnd(ctx, end)
		case <-timer.C:
			x.checkTimes(ctx)
		case <-ctx.Done():
			x.leave()
		}
		timer.Reset(x.untilNextCheck())
	}
	x.dropAll()
	return x.finalCode()
}

func (x *exchange) finalCode() string {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.code
}

// leave ends an exchange whose caller has gone.
func (x *exchange) leave() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.code = codeCallerLeft
}

// launch begins an attempt, or gives up if no engine can take it.
func (x *exchange) launch(ctx context.Context) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.launchLocked(ctx)
}

func (x *exchange) launchLocked(ctx context.Context) {
	now := time.Now()
	decision, err := x.gateway.placement.pick(now, x.placing)
	if err != nil {
		if len(x.attempts) == 0 {
			x.giveUp(now, err)
		}
		return
	}
	number, resumeFrom := x.call.Begin()
	attemptContext, cancel := context.WithCancel(ctx)
	begun := &attempt{number: number, decision: decision, cancel: cancel, began: now, highest: -1}
	x.attempts[number] = begun
	x.placing.Tried = append(x.placing.Tried, decision.Endpoint.Name)
	x.placing.Slots = 0 // once admitted, a retry must not fail for a full engine
	if resumeFrom > 0 {
		eventStreamResumed.Info("request", x.id, "attempt", number, "engine", decision.Endpoint.Name, "token", resumeFrom)
	}
	x.gateway.observer.OnlineStarted(decision.Endpoint, x.id, len(x.completion.Prompt)/bytesPerToken)
	request := engine.Request{
		ID:         x.id,
		Attempt:    number,
		Path:       x.path,
		Body:       x.completion.Body,
		Model:      x.completion.Model,
		Priority:   x.priority,
		ResumeFrom: resumeFrom,
		Tenant:     x.tenant,
	}
	go x.run(attemptContext, begun, request)
}

// run is the attempt's goroutine.
func (x *exchange) run(ctx context.Context, running *attempt, request engine.Request) {
	end := ended{attempt: running}
	defer func() {
		if fault := recover(); fault != nil {
			end.err = fmt.Errorf("panic: %v", fault)
			eventHandlerPanicked.Error(end.err, "request", x.id, "engine", running.decision.Endpoint.Name)
		}
		x.ends <- end
	}()
	client := x.gateway.clients.Client(running.decision.Endpoint)
	end.finish, end.err = client.Generate(ctx, request, func(chunk engine.Chunk) error {
		return x.take(running, chunk)
	})
}

// take is the sink of an attempt.
func (x *exchange) take(from *attempt, chunk engine.Chunk) error {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.code != "" {
		return relay.ErrStale
	}
	deliver, err := x.call.Accept(from.number, chunk.Index)
	if err != nil {
		return err
	}
	now := time.Now()
	if chunk.Index > from.highest {
		x.noteProgress(now, from, chunk.Index)
	}
	if !deliver {
		return nil
	}
	x.measure(now)
	if err := x.answer.token(chunk.Text); err != nil {
		x.callerLeft = true
		return trace.Wrap(err, "writing to the caller")
	}
	return nil
}

func (x *exchange) noteProgress(now time.Time, from *attempt, index int) {
	if from.progress.IsZero() {
		x.gateway.placement.observe(now, routing.Outcome{Attempt: from.decision.Attempt, Kind: routing.OutcomeFirstToken})
		x.dropOthers(now, from)
	}
	from.highest = index
	from.progress = now
	from.tokens++
}

func (x *exchange) measure(now time.Time) {
	if x.lastToken.IsZero() {
		x.gateway.metrics.firstToken.Observe(now.Sub(x.started).Seconds())
	} else {
		x.gateway.metrics.betweenToken.Observe(now.Sub(x.lastToken).Seconds())
	}
	x.lastToken = now
}

// dropOthers cancels the attempts that lost against the owner.
func (x *exchange) dropOthers(now time.Time, owner *attempt) {
	for _, other := range x.attempts {
		if other != owner {
			x.call.Abandon(other.number)
			x.release(now, other, routing.Outcome{Attempt: other.decision.Attempt, Kind: routing.OutcomeCancelled}, "lost")
		}
	}
}

// dropAll cancels what is still live once the final answer is given.
func (x *exchange) dropAll() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.dropOthers(time.Now(), nil)
}

// release ends an attempt towards its engine, routing and observer.
func (x *exchange) release(now time.Time, ending *attempt, outcome routing.Outcome, label string) {
	delete(x.attempts, ending.number)
	ending.cancel()
	x.gateway.placement.observe(now, outcome)
	x.gateway.observer.OnlineFinished(ending.decision.Endpoint, x.id)
	x.gateway.metrics.attempts.WithLabelValues(label).Inc()
}

// handleEnd takes in the end of an attempt's goroutine.
func (x *exchange) handleEnd(ctx context.Context, end ended) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	now := time.Now()
	if x.attempts[end.attempt.number] == nil || x.code != "" {
		return // dropped or timed out before
	}
	if x.callerLeft {
		x.code = codeCallerLeft
		return
	}
	if end.err != nil {
		x.fail(ctx, now, end.attempt, asEngineError(end), false)
		return
	}
	final, err := x.call.Succeed(end.attempt.number, end.finish)
	if err != nil {
		end.err = err
		x.fail(ctx, now, end.attempt, asEngineError(end), false)
		return
	}
	x.release(now, end.attempt, routing.Outcome{Attempt: end.attempt.decision.Attempt, Kind: routing.OutcomeFinished, Tokens: end.attempt.tokens}, codeOK)
	if final {
		x.succeed(end.finish)
	}
}

func (x *exchange) succeed(finish engine.Finish) {
	x.code = codeOK
	x.gateway.metrics.tokens.Add(float64(x.call.Delivered()))
	if err := x.answer.finish(finish, x.call.Delivered()); err != nil {
		x.code = codeCallerLeft
	}
}

// asEngineError keeps an engine's own error; any other leaves the fate open.
func asEngineError(end ended) *engine.Error {
	var failure *engine.Error
	if errors.As(end.err, &failure) {
		return failure
	}
	return &engine.Error{Engine: end.attempt.decision.Endpoint.Name, Step: "relaying", Fate: engine.FateUnknown, Err: end.err}
}

// fail ends a failed attempt and does what the call decides.
func (x *exchange) fail(ctx context.Context, now time.Time, failed *attempt, failure *engine.Error, timedOut bool) {
	eventAttemptFailed.Error(failure, "request", x.id, "attempt", failed.number, "fate", fateName(failure.Fate), "tokens", failed.tokens)
	outcome := routing.FailureOutcome(failed.decision.Attempt, failure, timedOut)
	x.release(now, failed, outcome, fateName(failure.Fate))
	next := x.call.Fail(now, failed.number, failure)
	switch {
	case next.Wait:
	case next.Retry:
		kind := retryPlain
		if x.call.Delivered() > 0 {
			kind = retryResume
		}
		x.gateway.metrics.retries.WithLabelValues(kind).Inc()
		x.launchLocked(ctx)
	default:
		x.conclude(next.Answer)
	}
}

func fateName(fate engine.Fate) string {
	switch fate {
	case engine.FateNotRun:
		return "not_run"
	case engine.FateFailed:
		return "failed"
	default:
		return "unknown"
	}
}

// giveUp ends an exchange for which no engine can be picked.
func (x *exchange) giveUp(now time.Time, cause error) {
	failure := x.call.GiveUp(now)
	var none *routing.NoEndpointError
	if failure.Code == apierror.CodeNotRun && failure.Cause == nil && errors.As(cause, &none) {
		failure = apierror.NotRun(http.StatusServiceUnavailable, failure.RetryAfter, "%s; the request was not run", none.Reason)
	}
	x.conclude(failure)
}

func (x *exchange) conclude(failure *apierror.Error) {
	x.code = string(failure.Code)
	eventAnswerGivenUp.Error(failure, "request", x.id, "attempts", x.call.Attempts(), "tokens", x.call.Delivered())
	x.answer.fail(failure)
}

// checkTimes ends attempts that bring no token and the whole exchange when its
// deadline passes, and hedges if that is on.
func (x *exchange) checkTimes(ctx context.Context) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	now := time.Now()
	if x.code != "" {
		return
	}
	if !now.Before(x.deadline) {
		x.conclude(x.call.GiveUp(now))
		return
	}
	for _, live := range x.attempts {
		if now.Before(x.expiry(live)) {
			continue
		}
		failure := &engine.Error{Engine: live.decision.Endpoint.Name, Step: "waiting for a token", Fate: engine.FateUnknown, Err: errTimedOut}
		x.fail(ctx, now, live, failure, true)
		return // the timer comes again at once if there is more
	}
	if at := x.hedgeAt(); !at.IsZero() && !now.Before(at) {
		x.hedged = true
		x.gateway.metrics.retries.WithLabelValues(retryHedge).Inc()
		x.launchLocked(ctx)
	}
}

// expiry is when an attempt counts as failed if no token comes.
func (x *exchange) expiry(live *attempt) time.Time {
	if live.progress.IsZero() {
		return live.began.Add(x.firstTokenLimit)
	}
	return live.progress.Add(x.nextTokenLimit)
}

// hedgeAt is when a second attempt begins beside a silent first one; zero
// means never.
func (x *exchange) hedgeAt() time.Time {
	after := x.gateway.config.HedgeAfter
	if after <= 0 || x.hedged || !x.placing.Repeatable || len(x.attempts) != 1 || x.call.Attempts() >= relay.MaxAttempts {
		return time.Time{}
	}
	for _, live := range x.attempts {
		if live.progress.IsZero() {
			return live.began.Add(after)
		}
	}
	return time.Time{}
}

func (x *exchange) untilNextCheck() time.Duration {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	next := x.deadline
	for _, live := range x.attempts {
		if at := x.expiry(live); at.Before(next) {
			next = at
		}
	}
	if at := x.hedgeAt(); !at.IsZero() && at.Before(next) {
		next = at
	}
	return max(time.Until(next), 0)
}

// noObserver is used when nobody wants to know of online requests.
type noObserver struct{}

func (noObserver) OnlineStarted(*fleet.Endpoint, string, int) {}
func (noObserver) OnlineFinished(*fleet.Endpoint, string)     {}
