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

// bytesPerToken is used to estimate the number of prompt tokens.
const bytesPerToken = 4

// errTimedOut is the cause of failure of an attempt without a token in time.
var errTimedOut = errors.New("no token came in time")

// exchange runs the attempts of one admitted request and writes its response. serve
// runs on the handler's goroutine; each attempt runs on its own goroutine and
// writes its tokens to the caller with mutex held.
type exchange struct {
	gateway      *Gateway
	id           string
	path         string
	tenant       string
	priority     engine.Priority
	completion   *Completion
	routeRequest routing.Request
	deadline     time.Time
	started      time.Time
	// firstTokenLimit and nextTokenLimit are the waits for tokens after which an attempt moves to an engine
	// with a free place.
	firstTokenLimit, nextTokenLimit time.Duration
	slots                           int // of an engine

	// ends has capacity for all attempts that are not received from it, so that senders never
	// block: relay.MaxAttempts, as one counts as refused only once it is received.
	ends chan ended

	// mutex guards the fields below, routeRequest and the live attempts. The
	// locks of placement and the observer are acquired while it is held.
	mutex      sync.Mutex
	answer     answer // writes the response
	call       *relay.Call
	attempts   map[uint32]*attempt
	lastToken  time.Time
	callerLeft bool
	hedged     bool
	code       string // code of the final response, empty until it is determined
}

// attempt is a live attempt at one engine.
type attempt struct {
	number   uint32
	decision routing.Decision
	cancel   context.CancelFunc
	began    time.Time
	progress time.Time // time of the last token, zero before the first
	highest  int       // highest token index received, -1 before the first
	tokens   int
	looked   time.Time // last time that no other engine had a place for it
}

// lookInterval is the time between two looks for a place for a silent attempt.
const lookInterval = 100 * time.Millisecond

// ended is the result of an attempt.
type ended struct {
	attempt *attempt
	finish  engine.Finish
	err     error
}

// serve runs the exchange until the final response is written or the caller
// disconnects, and returns the response code.
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
			x.leave(context.Cause(ctx))
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

// leave ends the exchange because the caller disconnected, or with a response because the node has no
// time left for it.
func (x *exchange) leave(cause error) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.code != "" {
		return
	}
	if errors.Is(cause, apierror.ErrStopping) {
		x.respondError(x.call.GiveUp(time.Now()))
		return
	}
	x.code = codeCallerLeft
}

// launch begins an attempt. If no engine can take it and no other attempt is live,
// it ends the exchange.
func (x *exchange) launch(ctx context.Context) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.launchLocked(ctx)
}

func (x *exchange) launchLocked(ctx context.Context) {
	now := time.Now()
	decision, err := x.gateway.placement.pick(now, x.routeRequest)
	if err != nil {
		if len(x.attempts) == 0 {
			x.giveUp(now, err)
		}
		return
	}
	x.begin(ctx, now, decision)
}

// begin begins an attempt at the engine that was picked.
func (x *exchange) begin(ctx context.Context, now time.Time, decision routing.Decision) {
	number, resumeFrom := x.call.Begin()
	attemptContext, cancel := context.WithCancel(ctx)
	begun := &attempt{number: number, decision: decision, cancel: cancel, began: now, highest: -1}
	x.attempts[number] = begun
	x.routeRequest.Tried = append(x.routeRequest.Tried, decision.Endpoint.Name)
	x.routeRequest.Slots = 0 // retries of an admitted request may use a full engine
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
		ResumeFrom: engine.ResumePoint(x.completion.Body, resumeFrom),
		Tenant:     x.tenant,
	}
	go x.run(attemptContext, begun, request)
}

// run executes an attempt and sends its result to ends.
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
		return x.receive(running, chunk)
	})
}

// receive is the sink of an attempt.
func (x *exchange) receive(from *attempt, chunk engine.Chunk) error {
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
		x.recordProgress(now, from, chunk.Index)
	}
	if !deliver {
		return nil
	}
	x.observeToken(now)
	if err := x.answer.token(chunk.Text); err != nil {
		x.callerLeft = true
		return trace.Wrap(err, "writing to the caller")
	}
	return nil
}

func (x *exchange) recordProgress(now time.Time, from *attempt, index int) {
	if from.progress.IsZero() {
		x.gateway.placement.observe(now, routing.Outcome{Attempt: from.decision.Attempt, Kind: routing.OutcomeFirstToken})
		x.dropOthers(now, from)
	}
	from.highest = index
	from.progress = now
	from.tokens++
}

func (x *exchange) observeToken(now time.Time) {
	if x.lastToken.IsZero() {
		x.gateway.metrics.firstToken.Observe(now.Sub(x.started).Seconds())
	} else {
		x.gateway.metrics.betweenToken.Observe(now.Sub(x.lastToken).Seconds())
	}
	x.lastToken = now
}

// dropOthers cancels all live attempts except kept, which may be nil.
func (x *exchange) dropOthers(now time.Time, kept *attempt) {
	for _, other := range x.attempts {
		if other != kept {
			x.call.Abandon(other.number)
			x.release(now, other, routing.Outcome{Attempt: other.decision.Attempt, Kind: routing.OutcomeCancelled}, "lost")
		}
	}
}

// dropAll cancels all live attempts.
func (x *exchange) dropAll() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.dropOthers(time.Now(), nil)
}

// release cancels an attempt and reports its end to routing, observer and metrics.
func (x *exchange) release(now time.Time, ending *attempt, outcome routing.Outcome, label string) {
	delete(x.attempts, ending.number)
	ending.cancel()
	x.gateway.placement.observe(now, outcome)
	x.gateway.observer.OnlineFinished(ending.decision.Endpoint, x.id)
	x.gateway.metrics.attempts.WithLabelValues(label).Inc()
}

// handleEnd processes the result of an attempt.
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

// asEngineError returns the engine's error, or wraps any other with FateUnknown.
func asEngineError(end ended) *engine.Error {
	var failure *engine.Error
	if errors.As(end.err, &failure) {
		return failure
	}
	return &engine.Error{Engine: end.attempt.decision.Endpoint.Name, Step: "relaying", Fate: engine.FateUnknown, Err: end.err}
}

// fail ends a failed attempt, then waits, retries or ends the exchange as relay.Call
// decides.
func (x *exchange) fail(ctx context.Context, now time.Time, failed *attempt, failure *engine.Error, timedOut bool) {
	x.endFailed(now, failed, failure, timedOut)
	next := x.call.Fail(now, failed.number, failure)
	switch {
	case next.Wait:
	case next.Retry:
		x.countRetry()
		x.launchLocked(ctx)
	default:
		x.respondError(next.Failure)
	}
}

// endFailed logs and releases a failed attempt.
func (x *exchange) endFailed(now time.Time, failed *attempt, failure *engine.Error, timedOut bool) {
	eventAttemptFailed.Error(failure, "request", x.id, "attempt", failed.number, "fate", fateName(failure.Fate), "tokens", failed.tokens)
	outcome := routing.FailureOutcome(failed.decision.Attempt, failure, timedOut)
	x.release(now, failed, outcome, fateName(failure.Fate))
}

func (x *exchange) countRetry() {
	kind := retryPlain
	if x.call.Delivered() > 0 {
		kind = retryResume
	}
	x.gateway.metrics.retries.WithLabelValues(kind).Inc()
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

// giveUp ends the exchange because routing found no engine.
func (x *exchange) giveUp(now time.Time, cause error) {
	failure := x.call.GiveUp(now)
	var none *routing.NoEndpointError
	if failure.Code == apierror.CodeNotRun && failure.Cause == nil && errors.As(cause, &none) {
		failure = apierror.NotRun(http.StatusServiceUnavailable, failure.RetryAfter, "%s; the request was not run", none.Reason)
	}
	x.respondError(failure)
}

func (x *exchange) respondError(failure *apierror.Error) {
	x.code = string(failure.Code)
	eventAnswerGivenUp.Error(failure, "request", x.id, "attempts", x.call.Attempts(), "tokens", x.call.Delivered())
	x.answer.fail(failure)
}

// checkTimes enforces the deadline and the token timeouts, and begins a hedged
// attempt when it is due.
func (x *exchange) checkTimes(ctx context.Context) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	now := time.Now()
	if x.code != "" {
		return
	}
	if !now.Before(x.deadline) {
		x.respondError(x.call.GiveUp(now))
		return
	}
	for _, live := range x.attempts {
		if now.Before(x.expiry(live)) {
			continue
		}
		x.handleSilence(ctx, now, live)
		return // the timer fires again at once for further attempts
	}
	if at := x.hedgeAt(); !at.IsZero() && !now.Before(at) {
		x.hedged = true
		x.gateway.metrics.retries.WithLabelValues(retryHedge).Inc()
		x.launchLocked(ctx)
	}
}

// handleSilence moves a silent attempt to an engine with a free place. If there is none, the attempt goes
// on, as its engine may, unless another attempt is live or the longest wait is over.
func (x *exchange) handleSilence(ctx context.Context, now time.Time, live *attempt) {
	failure := &engine.Error{Engine: live.decision.Endpoint.Name, Step: "waiting for a token", Fate: engine.FateUnknown, Err: errTimedOut}
	if len(x.attempts) > 1 || !now.Before(x.lastWait(live)) {
		x.fail(ctx, now, live, failure, true)
		return
	}
	live.looked = now
	if !x.call.MayReplace(now) {
		return
	}
	request := x.routeRequest
	request.Slots, request.Ready = x.slots, true
	decision, err := x.gateway.placement.pick(now, request)
	if err != nil {
		return
	}
	if !x.call.Replace(now, live.number, failure) {
		x.gateway.placement.observe(now, routing.Outcome{Attempt: decision.Attempt, Kind: routing.OutcomeCancelled})
		return
	}
	x.endFailed(now, live, failure, true)
	x.countRetry()
	x.begin(ctx, now, decision)
}

// expiry returns the time at which an attempt counts as silent unless it sends a token.
func (x *exchange) expiry(live *attempt) time.Time {
	at := live.began.Add(x.firstTokenLimit)
	if !live.progress.IsZero() {
		at = live.progress.Add(x.nextTokenLimit)
	}
	if next := live.looked.Add(lookInterval); !live.looked.IsZero() && next.After(at) {
		return next
	}
	return at
}

// lastWait returns the time at which a silent attempt fails, even if no other engine has a place.
func (x *exchange) lastWait(live *attempt) time.Time {
	if live.progress.IsZero() {
		return live.began.Add(x.gateway.config.FirstTokenTimeout)
	}
	return live.progress.Add(x.gateway.config.NextTokenTimeout)
}

// hedgeAt returns the time to begin a second attempt beside one without tokens, or
// the zero time for never.
func (x *exchange) hedgeAt() time.Time {
	after := x.gateway.config.HedgeAfter
	if after <= 0 || x.hedged || !x.routeRequest.Repeatable || len(x.attempts) != 1 || x.call.Attempts() >= relay.MaxAttempts {
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

// noObserver is used if no observer is configured.
type noObserver struct{}

func (noObserver) OnlineStarted(*fleet.Endpoint, string, int) {}
func (noObserver) OnlineFinished(*fleet.Endpoint, string)     {}
