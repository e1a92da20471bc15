package forward

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/poison"
	"chutelock.dev/chutelock/internal/telemetry"
	"chutelock.dev/chutelock/internal/upstream"
)

// Events of forwarded requests.
var (
	eventAttemptFailed = telemetry.Define(2201, "attempt-failed", "An attempt to run a request at an engine failed; tells whether it is retried.")
	eventRefused       = telemetry.Define(2202, "request-refused", "A request was refused by this node instead of being answered by an engine.")
	eventAborted       = telemetry.Define(2203, "stream-aborted", "A stream to a caller was aborted before its end.")
	eventServed        = telemetry.Define(2205, "request-served", "A request was answered by an engine; gives the time to the first output and in total.")
	eventResumed       = telemetry.Define(2208, "stream-resumed", "A stream that already has events continues at an engine: within its response, or in a request that continues an earlier one.")
	eventMisnumbered   = telemetry.Define(2216, "stream-misnumbered", "An engine's stream has an event that doesn't follow the one before, or the event after which it was asked to continue: events are missing or repeated. The answer ends there, and the stream is continued elsewhere or aborted.")
	eventCallerLeft    = telemetry.Define(2204, "caller-left", "A caller closed its connection before the response was complete.")
)

const (
	// notSentPause is the pause between attempts of a stream that can be sent to no engine.
	notSentPause = 50 * time.Millisecond
	// minAttemptTime is the time that must remain for another attempt.
	minAttemptTime = 30 * time.Millisecond
	// maxBodyBytes bounds the body of a response that is not a stream, and so what one response takes of the
	// node's memory. A longer one fails.
	maxBodyBytes = 64 << 20
	// maxCommentBytes bounds the comments before a stream's first event. Engines send some to keep idle
	// connections open, of a few bytes each.
	maxCommentBytes = 8 << 10
)

// Forwarder forwards requests to engines. Its methods may be called concurrently.
type Forwarder struct {
	Pool     *upstream.Pool
	Balancer *balance.Balancer
	// Usable reports whether an engine may get requests of a service.
	Usable func(id, service string) bool
	// Regions returns where a request may be served by the newest known configuration; nil
	// means the request's own Regions.
	Regions func(request *Request, route *catalog.Route) catalog.Regions
	// Zone and Region locate this node.
	Zone, Region string
	// Observe is called for each finished request; may be nil.
	Observe func(Result)
	// Refresh updates the balancer with the load reported by other nodes before an engine is
	// chosen, and Chosen reports the choice to them; either may be nil.
	Refresh func(ctx context.Context)
	Chosen  func()
	// Origin returns the release that began the stream which a request continues, or false if
	// that is unknown; nil means that no request does. Began records the release that began a
	// request's stream, if other nodes need the record, and reports whether it did; it is called
	// before the first event is passed on, and again while the stream lasts. It must not block and
	// may be nil.
	Origin func(ctx context.Context, request *Request, route *catalog.Route) (catalog.Release, bool)
	Began  func(request *Request, route *catalog.Route, release catalog.Release) (recorded bool)
	// Resumed is called when a stream that already has events is sent to an engine, with the
	// release that began it, zero if unknown, and the engine's; may be nil.
	Resumed func(began, next catalog.Release)
	// Guard holds requests suspected of crashing engines; nil holds none.
	Guard *poison.Guard
	// Memory bounds the memory held for responses.
	Memory Memory
	// Returns tells callers of requests that found no room when to return; may be nil.
	Returns *ReturnTimes
	// Misnumbered is the number of answers that were ended because of the number of an event.
	Misnumbered atomic.Int64
}

// Result summarizes a request for metrics.
type Result struct {
	Route    *catalog.Route
	Tenant   string // empty if callers need no key
	Verdict  string // name of a Verdict, or one of the constants below
	Attempts int
	// Waited is the time spent waiting for an engine.
	Waited time.Duration
	// First is the time to the first event, or to a whole response; Total the time to the end.
	First, Total time.Duration
	// RetryAfter is when the caller was told to retry; 0 if it wasn't.
	RetryAfter time.Duration
}

// Late reports whether the request was served after its route's target.
func (r Result) Late() bool { return r.Verdict == verdictServed && r.First > r.Route.Target }

// Values of Result.Verdict besides the names of Verdicts.
const (
	verdictServed     = "served"
	verdictCallerLeft = "caller-left"
	verdictFailed     = "engine-failed"
	verdictAborted    = "aborted"
)

// inflight is the state of one request while it is forwarded.
type inflight struct {
	*Forwarder
	request      *Request
	route        *catalog.Route
	sink         Sink
	attempts     *Attempts
	deadline     time.Time
	service      string
	avoidEngines []string
	avoidZones   []string // zones of unreachable engines
	attemptCount int

	streamStarted bool // the head of a stream was sent to the caller
	lastEvent     uint64
	// unnumbered: pieces without a number were passed on since lastEvent. The next run would repeat them.
	unnumbered bool
	// began is the release that began the stream, which all of its engines must have; zero until
	// it has begun. It is next recorded with the first event from recordAt on.
	began         catalog.Release
	recordAt      time.Time
	engineID      string        // of the last attempt
	waited        time.Duration // for an engine
	firstEventAt  time.Time
	receivedEvent bool // in the last attempt
	framed        bool // the last response had a length or was chunked
	answered      bool // the last response was whole and not empty
	toldRetry     time.Duration
	verdict       string
	comments      []byte              // before the first event of a stream that has not begun
	body          buffer              // of the last response that is no stream
	next          *balance.Lease      // reserved for the next attempt; nil if none is
	print         *poison.Fingerprint // of the request; nil until first used
	prompt        *poison.Prompt
}

// Serve forwards a request until its sink has a response. ctx ends when the caller leaves.
// It reports whether an attempt was made, so that an engine may have seen the request.
func (f *Forwarder) Serve(ctx context.Context, request *Request, route *catalog.Route, sink Sink) (sent bool) {
	fl := &inflight{
		Forwarder: f, request: request, route: route, sink: sink, attempts: NewAttempts(route),
		deadline: request.Deadline, service: f.Balancer.Service(route), lastEvent: request.LastEvent,
		prompt: poison.NewPrompt(request.SharedParts), body: buffer{memory: f.Memory},
	}
	if route.Timeout > 0 {
		limit := request.Arrived.Add(route.Timeout)
		if fl.deadline.IsZero() || limit.Before(fl.deadline) {
			fl.deadline = limit
		}
	}
	if !fl.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, clock.Until(fl.deadline))
		defer cancel()
	}
	defer fl.body.free()
	if fl.findOrigin(ctx) {
		fl.run(ctx)
	}
	fl.observe()
	return fl.attemptCount > 0
}

func (fl *inflight) run(ctx context.Context) {
	defer func() {
		if fl.next != nil {
			fl.next.Cancel()
		}
	}()
	for {
		if err := fl.admit(ctx); err != nil {
			fl.refuseHeld(err)
			return
		}
		waitStart := clock.Now()
		lease, err := fl.acquire(ctx)
		fl.waited += clock.Since(waitStart)
		if err != nil {
			fl.acquireFailed(ctx, err)
			return
		}
		fl.Returns.served(fl.service)
		fl.attemptCount++
		engine := lease.Engine
		fl.engineID = engine.ID
		result, done := fl.attempt(ctx, lease)
		if result.kind != OutcomeNotSent {
			fl.prompt.EndTrial()
		}
		if done || fl.contextEnded(ctx, result.kind) {
			lease.Release()
			return
		}
		fl.release(lease, result)
		if !result.moved() && !result.misnumbered() {
			fl.reportLostConnection(ctx, engine, result)
		}
		step := fl.attempts.Next(result.kind)
		if step == StepRetry && (fl.unnumbered || !fl.timeLeft()) {
			step = fl.attempts.GiveUp(result.kind)
		}
		eventAttemptFailed.Info("request", fl.request.ID, "route", fl.route.Name, "engine", engine.ID, "version", engine.Version,
			"outcome", result.kind, "cause", result.cause, "attempt", fl.attemptCount, "last_event", fl.lastEvent, "retry", step == StepRetry,
			"fingerprint", fl.fingerprint(), "parts", fl.request.SharedParts)
		fl.reportToBalancer(engine, result)
		if step != StepRetry {
			fl.finish(step, result)
			return
		}
		if result.kind == OutcomeNotSent && fl.attempts.PauseDue() {
			clock.Sleep(ctx, notSentPause)
		}
		fl.avoidEngines = append(fl.avoidEngines, engine.ID)
		if result.unreachable() {
			fl.avoidZones = append(fl.avoidZones, engine.Zone)
		}
	}
}

// release releases the lease after an attempt that did not succeed.
func (fl *inflight) release(lease *balance.Lease, result attemptResult) {
	switch result.kind {
	case OutcomeFailed, OutcomeUnknown, OutcomeBroken:
		lease.ReleaseFailed()
	default:
		lease.Release()
	}
}

// acquire returns the reserved place if there is one. Else it waits for an engine of the chosen
// service, or of another service of the route if the chosen one has no engine.
func (fl *inflight) acquire(ctx context.Context) (*balance.Lease, error) {
	if lease := fl.next; lease != nil {
		fl.next = nil
		if fl.Chosen != nil {
			fl.Chosen()
		}
		return lease, nil
	}
	policy := fl.waitPolicy()
	wish := fl.wish(policy.waitAtEngine(clock.Now()))
	wish.Stream = fl.isStream()
	if fl.Refresh != nil {
		fl.Refresh(ctx)
	}
	lease, err := fl.Balancer.Acquire(ctx, wish, fl.request.Priority, policy.acquireTimeout(clock.Now()), fl.Refresh)
	if err == nil && fl.Chosen != nil {
		fl.Chosen()
	}
	if !errors.Is(err, balance.ErrNoEngine) || fl.began != (catalog.Release{}) {
		return lease, err
	}
	return fl.acquireFromOtherService(ctx, wish, err)
}

// acquireFromOtherService acquires an engine of any service of the route, and waits for the
// first service that has engines for the request. The chosen service may have none in the
// request's regions, which must not fail the request.
func (fl *inflight) acquireFromOtherService(ctx context.Context, wish balance.Wish, noEngine error) (*balance.Lease, error) {
	waitService := ""
	for _, service := range fl.route.Services() {
		wish.Service = service
		lease, err := fl.Balancer.Acquire(ctx, wish, fl.request.Priority, 0, nil)
		if err == nil {
			return lease, nil
		}
		if waitService == "" && !errors.Is(err, balance.ErrNoEngine) {
			waitService = service
		}
	}
	if waitService == "" {
		return nil, noEngine
	}
	wish.Service = waitService
	return fl.Balancer.Acquire(ctx, wish, fl.request.Priority, fl.waitPolicy().acquireTimeout(clock.Now()), fl.Refresh)
}

// regions returns where the request may be served now.
func (fl *inflight) regions() catalog.Regions {
	if fl.Regions == nil {
		return fl.request.Regions
	}
	return fl.Regions(fl.request, fl.route)
}

// wish returns the conditions for choosing an engine; wait bounds the time in the engine's queue.
func (fl *inflight) wish(wait time.Duration) balance.Wish {
	return balance.Wish{
		Request: fl.request.ID, Service: fl.service, Release: fl.began, Zone: fl.Zone, Region: fl.Region, Class: balance.ClassOnline,
		Prefix: fl.request.Prefix, PrefixTokens: fl.request.PrefixTokens, PromptTokens: fl.request.PromptTokens,
		Regions: fl.regions(), Avoid: fl.avoidEngines, AvoidZones: fl.avoidZones, Wait: wait, Left: fl.left(),
	}
}

// isStream reports whether the request's answer comes in pieces.
func (fl *inflight) isStream() bool { return fl.route.Kind == catalog.KindStream }

// left returns the time until the request's deadline; 0 if it has none.
func (fl *inflight) left() time.Duration {
	if fl.deadline.IsZero() {
		return 0
	}
	return max(1, clock.Until(fl.deadline))
}

func (fl *inflight) waitPolicy() waitPolicy {
	return waitPolicy{
		target: fl.route.Target, arrived: fl.request.Arrived, deadline: fl.deadline, mayHaveRun: fl.attempts.MayHaveRun() || fl.streamStarted || fl.request.Continues(),
		begun: fl.streamStarted,
	}
}

func (fl *inflight) timeLeft() bool {
	return fl.deadline.IsZero() || clock.Until(fl.deadline) > minAttemptTime
}

// acquireFailed ends a request that got no engine.
func (fl *inflight) acquireFailed(ctx context.Context, err error) {
	if fl.contextEnded(ctx, OutcomeNotSent) {
		return
	}
	result := attemptResult{kind: OutcomeNotSent, cause: err}
	if fl.streamStarted {
		result.kind = OutcomeBroken
	}
	fl.finish(fl.attempts.GiveUp(result.kind), result)
}

// ErrStopping is the cause with which a request's context ends if its node has no time left for it.
var ErrStopping = errors.New("forward: the node is stopping")

// contextEnded reports whether ctx has ended, and ends the request if so. outcome is that of the last
// attempt.
func (fl *inflight) contextEnded(ctx context.Context, outcome Outcome) bool {
	switch {
	case ctx.Err() == nil:
		return false
	case errors.Is(context.Cause(ctx), ErrStopping):
		fl.endStopped(outcome)
	case !errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		fl.callerLeft(context.Cause(ctx))
		fl.sink.Abort()
	case fl.streamStarted:
		fl.abort(ctx.Err())
	case !fl.attempts.MayHaveRun() && fl.attemptCount == 0:
		fl.refuse(VerdictNotRun, ctx.Err())
	default:
		fl.refuse(VerdictTimeout, ctx.Err())
	}
	return true
}

// endStopped ends a request whose node stops: it is told what is known of it, but for a stream that has
// begun, which is aborted.
func (fl *inflight) endStopped(outcome Outcome) {
	step := fl.attempts.GiveUp(outcome)
	switch {
	case fl.streamStarted:
		step = StepAbort
	case outcome == OutcomeUnknown || outcome == OutcomeFailed:
		step = StepUnknown
	}
	fl.finish(step, attemptResult{kind: outcome, cause: ErrStopping})
}

// callerLeft records that the caller disconnected before the response was complete.
func (fl *inflight) callerLeft(cause error) {
	fl.verdict = verdictCallerLeft
	eventCallerLeft.Info("request", fl.request.ID, "route", fl.route.Name, "tenant", fl.request.Tenant, "engine", fl.engineID, "attempts", fl.attemptCount,
		"held", clock.Since(fl.request.Arrived), "last_event", fl.lastEvent, "cause", cause)
}

func (fl *inflight) finish(step Step, result attemptResult) {
	switch step {
	case StepNotRun:
		fl.refuse(VerdictNotRun, result.cause)
	case StepUnknown:
		fl.refuse(VerdictUnknown, result.cause)
	case StepForwardFailure:
		if fl.misleadingStatus(result.response.Status) {
			fl.refuse(VerdictUnknown, result.cause)
			return
		}
		fl.verdict = verdictFailed
		if err := fl.sink.WriteResponse(result.response.Status, result.response.Header, result.body); err != nil {
			fl.callerLeft(err)
		}
	default:
		fl.abort(result.cause)
	}
}

func (fl *inflight) refuse(verdict Verdict, cause error) {
	fl.verdict = verdict.String()
	if verdict == VerdictNotRun {
		fl.toldRetry = fl.retryAfter(cause)
	}
	eventRefused.Info("request", fl.request.ID, "route", fl.route.Name, "tenant", fl.request.Tenant, "verdict", verdict, "cause", cause,
		"attempts", fl.attemptCount, "held", clock.Since(fl.request.Arrived), "retry_after", fl.toldRetry)
	if err := fl.sink.Refuse(verdict, fl.toldRetry); err != nil {
		fl.callerLeft(err)
	}
}

func (fl *inflight) abort(cause error) {
	fl.verdict = verdictAborted
	eventAborted.Info("request", fl.request.ID, "route", fl.route.Name, "tenant", fl.request.Tenant, "cause", cause, "last_event", fl.lastEvent,
		"attempts", fl.attemptCount, "held", clock.Since(fl.request.Arrived))
	fl.sink.Abort()
}

// reportToBalancer reports an attempt that did not succeed.
func (fl *inflight) reportToBalancer(engine catalog.Engine, result attemptResult) {
	switch {
	case result.withheld, result.moved():
	case errors.Is(result.cause, errEngineSilent):
		fl.Balancer.RecordSilence(engine.ID, result.cause)
	case result.kind == OutcomeRefused && !result.addressReused:
		fl.Balancer.RecordRefusal(engine.ID)
	default:
		fl.Balancer.RecordFailure(engine.ID, result.cause)
	}
}

func (fl *inflight) observe() {
	result := Result{
		Route: fl.route, Tenant: fl.request.Tenant, Verdict: fl.verdict, Attempts: fl.attemptCount, Waited: fl.waited, Total: clock.Since(fl.request.Arrived),
		RetryAfter: fl.toldRetry,
	}
	if !fl.firstEventAt.IsZero() {
		result.First = fl.firstEventAt.Sub(fl.request.Arrived)
	}
	if fl.verdict == verdictServed {
		if fl.framed {
			fl.Guard.Served(fl.fingerprint)
		}
		if fl.answered {
			fl.Guard.PromptAnswered(fl.prompt)
		}
		eventServed.Info("request", fl.request.ID, "route", fl.route.Name, "tenant", fl.request.Tenant, "engine", fl.engineID, "attempts", fl.attemptCount,
			"waited", fl.waited, "first", result.First, "total", result.Total, "late", result.Late(), "parts", fl.request.SharedParts)
	}
	if fl.Observe != nil {
		fl.Observe(result)
	}
}
