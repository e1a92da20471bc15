package forward

import (
	"context"
	"errors"
	"time"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/poison"
	"chutelock.dev/chutelock/internal/telemetry"
	"chutelock.dev/chutelock/internal/upstream"
)

// Events of requests that did not go the plain way.
var (
	eventAttemptFailed = telemetry.Define(2201, "attempt-failed", "An engine did not answer a request well; says what happens next.")
	eventRefused       = telemetry.Define(2202, "request-refused", "A request got an answer of the system's own.")
	eventAborted       = telemetry.Define(2203, "stream-aborted", "A stream was broken off at the caller.")
	eventServed        = telemetry.Define(2205, "request-served", "A request was answered by an engine; says where its time went.")
	eventCallerLeft    = telemetry.Define(2204, "caller-left", "A caller closed its connection before the answer was complete.")
)

const (
	// patience is how long an engine may stay silent before a request that
	// may run again goes to another one. Callers give a stream up after 2 s.
	patience = 1100 * time.Millisecond
	// leastTime is the time that must be left to send a request once more.
	leastTime = 30 * time.Millisecond
	// wholeMost bounds the body of an answer that is no stream.
	wholeMost = 64 << 20
)

// Forwarder may be used concurrently.
type Forwarder struct {
	Pool     *upstream.Pool
	Balancer *balance.Balancer
	// Usable says whether an engine may still get requests of a service.
	Usable func(id, service string) bool
	// Regions are where a request may be served by the newest configuration known
	// here; nil if those that the request came with hold.
	Regions func(request *Request, route *catalog.Route) catalog.Regions
	// Zone and Region are where the node is.
	Zone, Region string
	// Observe is told of each finished request; may be nil.
	Observe func(Result)
	// Refresh brings what the balancer knows of other nodes up to date before an
	// engine is chosen, and Chosen tells them of the choice; may be nil.
	Refresh func(ctx context.Context)
	Chosen  func()
	// Guard holds requests back under which engines ended; nil holds none.
	Guard *poison.Guard
}

// Result sums a request up, for metrics.
type Result struct {
	Route    *catalog.Route
	Verdict  string
	Attempts int
	// Waited is the time spent waiting for engines with room.
	Waited time.Duration
	// First is the time to the answer's head or first event, Total to its end.
	First, Total time.Duration
}

// How requests end, beside the names of verdicts.
const (
	verdictServed  = "served"
	verdictLeft    = "caller-left"
	verdictFailed  = "engine-failed"
	verdictAborted = "aborted"
)

// flight is one request on its way.
type flight struct {
	*Forwarder
	request  *Request
	route    *catalog.Route
	sink     Sink
	attempts *Attempts
	deadline time.Time
	service  string
	avoid    []string
	leave    []string // zones whose engines were not there
	tries    int

	begun     bool // the head of a stream is out
	lastEvent uint64
	engine    string        // of the last exchange
	waited    time.Duration // for engines with room
	first     time.Time
	answering bool // an event came in the last exchange
	framed    bool // the last answer told its end
	verdict   string
	print     *poison.Fingerprint // nil until it is needed
}

// Serve takes a request to engines until its sink has an answer. ctx ends when
// the caller leaves. It returns whether any engine may have seen the request.
func (f *Forwarder) Serve(ctx context.Context, request *Request, route *catalog.Route, sink Sink) (sent bool) {
	fl := &flight{
		Forwarder: f, request: request, route: route, sink: sink, attempts: NewAttempts(route),
		deadline: request.Deadline, service: f.Balancer.Service(route), lastEvent: request.LastEvent,
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
	fl.run(ctx)
	fl.observe()
	return fl.tries > 0
}

func (fl *flight) run(ctx context.Context) {
	for {
		if left, held := fl.Guard.Held(fl.fingerprint); held {
			fl.heldBack(left)
			return
		}
		asked := clock.Now()
		lease, err := fl.acquire(ctx)
		fl.waited += clock.Since(asked)
		if err != nil {
			fl.withoutEngine(ctx, err)
			return
		}
		fl.tries++
		engine := lease.Engine
		fl.engine = engine.ID
		outcome, done := fl.try(ctx, lease)
		if done || fl.stopped(ctx) {
			lease.Release()
			return
		}
		fl.release(lease, outcome)
		fl.blame(ctx, engine, outcome)
		step := fl.attempts.After(outcome.kind)
		if step == StepRetry && !fl.timeLeft() {
			step = fl.attempts.GiveUp(outcome.kind)
		}
		eventAttemptFailed.Info("request", fl.request.ID, "route", fl.route.Name, "engine", engine.ID,
			"outcome", outcome.kind, "cause", outcome.cause, "attempt", fl.tries, "last_event", fl.lastEvent, "retry", step == StepRetry,
			"fingerprint", fl.fingerprint())
		fl.note(engine, outcome)
		if step != StepRetry {
			fl.finish(step, outcome)
			return
		}
		fl.avoid = append(fl.avoid, engine.ID)
		if outcome.notThere() {
			fl.leave = append(fl.leave, engine.Zone)
		}
	}
}

// release gives up the place at an engine that did not answer well.
func (fl *flight) release(lease *balance.Lease, outcome outcome) {
	switch outcome.kind {
	case OutcomeFailed, OutcomeUnknown, OutcomeBroken:
		lease.ReleaseFailed()
	default:
		lease.Release()
	}
}

// acquire waits for an engine: of the route's chosen service, or of another
// one of the route if that has none.
func (fl *flight) acquire(ctx context.Context) (*balance.Lease, error) {
	door := fl.admission()
	wish := fl.wish(door.waitAtEngine(clock.Now()))
	if fl.Refresh != nil {
		fl.Refresh(ctx)
	}
	lease, err := fl.Balancer.Acquire(ctx, wish, fl.request.Priority, door.patience(clock.Now()), fl.Refresh)
	if err == nil && fl.Chosen != nil {
		fl.Chosen()
	}
	if !errors.Is(err, balance.ErrNoEngine) {
		return lease, err
	}
	return fl.acquireElsewhere(ctx, wish, err)
}

// acquireElsewhere takes an engine of the route's other services. It waits for one that
// has engines for the request: where regions restrict it, the chosen service may have
// none there for good, and a request must not be refused for whose turn it was.
func (fl *flight) acquireElsewhere(ctx context.Context, wish balance.Wish, failure error) (*balance.Lease, error) {
	waiting := ""
	for _, service := range fl.route.Services() {
		wish.Service = service
		lease, err := fl.Balancer.Acquire(ctx, wish, fl.request.Priority, 0, nil)
		if err == nil {
			return lease, nil
		}
		if waiting == "" && !errors.Is(err, balance.ErrNoEngine) {
			waiting = service
		}
	}
	if waiting == "" {
		return nil, failure
	}
	wish.Service = waiting
	return fl.Balancer.Acquire(ctx, wish, fl.request.Priority, fl.admission().patience(clock.Now()), fl.Refresh)
}

// regions are where the request may be served now.
func (fl *flight) regions() catalog.Regions {
	if fl.Regions == nil {
		return fl.request.Regions
	}
	return fl.Regions(fl.request, fl.route)
}

// wish is what the request wants of an engine if it may wait there so long.
func (fl *flight) wish(wait time.Duration) balance.Wish {
	return balance.Wish{
		Request: fl.request.ID, Service: fl.service, Zone: fl.Zone, Region: fl.Region, Class: balance.ClassOnline,
		Prefix: fl.request.Prefix, PrefixTokens: fl.request.PrefixTokens, PromptTokens: fl.request.PromptTokens,
		Regions: fl.regions(), Avoid: fl.avoid, Leave: fl.leave, Wait: wait,
	}
}

// admission is what decides how long the request may look for an engine.
func (fl *flight) admission() admission {
	return admission{
		target: fl.route.Target, arrived: fl.request.Arrived, deadline: fl.deadline, committed: fl.attempts.MayHaveRun() || fl.begun,
	}
}

func (fl *flight) timeLeft() bool {
	return fl.deadline.IsZero() || clock.Until(fl.deadline) > leastTime
}

// withoutEngine ends a request that no engine has room for.
func (fl *flight) withoutEngine(ctx context.Context, err error) {
	if fl.stopped(ctx) {
		return
	}
	outcome := outcome{kind: OutcomeNotSent, cause: err}
	if fl.begun {
		outcome.kind = OutcomeBroken
	}
	fl.finish(fl.attempts.GiveUp(outcome.kind), outcome)
}

// stopped ends a request whose caller left or whose time is over.
func (fl *flight) stopped(ctx context.Context) bool {
	switch {
	case ctx.Err() == nil:
		return false
	case !errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		fl.left(context.Cause(ctx))
		fl.sink.Abort()
	case fl.begun:
		fl.abort(ctx.Err())
	case !fl.attempts.MayHaveRun() && fl.tries == 0:
		fl.refuse(VerdictNotRun, ctx.Err())
	default:
		fl.refuse(VerdictTimeout, ctx.Err())
	}
	return true
}

// left notes that the caller closed its connection before it had its answer.
func (fl *flight) left(cause error) {
	fl.verdict = verdictLeft
	eventCallerLeft.Info("request", fl.request.ID, "route", fl.route.Name, "engine", fl.engine, "attempts", fl.tries,
		"held", clock.Since(fl.request.Arrived), "last_event", fl.lastEvent, "cause", cause)
}

func (fl *flight) finish(step Step, outcome outcome) {
	switch step {
	case StepNotRun:
		fl.refuse(VerdictNotRun, outcome.cause)
	case StepUnknown:
		fl.refuse(VerdictUnknown, outcome.cause)
	case StepPass:
		if fl.falsePromise(outcome.answer.Status) {
			fl.refuse(VerdictUnknown, outcome.cause)
			return
		}
		fl.verdict = verdictFailed
		if err := fl.sink.Whole(outcome.answer.Status, outcome.answer.Header, outcome.body); err != nil {
			fl.left(err)
		}
	default:
		fl.abort(outcome.cause)
	}
}

func (fl *flight) refuse(verdict Verdict, cause error) {
	fl.verdict = verdict.String()
	eventRefused.Info("request", fl.request.ID, "route", fl.route.Name, "verdict", verdict, "cause", cause,
		"attempts", fl.tries, "held", clock.Since(fl.request.Arrived))
	after := time.Duration(0)
	if verdict == VerdictNotRun {
		after = fl.comeBackFrom(cause)
	}
	if err := fl.sink.Refuse(verdict, after); err != nil {
		fl.left(err)
	}
}

func (fl *flight) abort(cause error) {
	fl.verdict = verdictAborted
	eventAborted.Info("request", fl.request.ID, "route", fl.route.Name, "cause", cause, "last_event", fl.lastEvent,
		"attempts", fl.tries, "held", clock.Since(fl.request.Arrived))
	fl.sink.Abort()
}

// note tells the balancer how the engine did.
func (fl *flight) note(engine catalog.Engine, outcome outcome) {
	switch {
	case outcome.unwanted:
	case outcome.kind == OutcomeRefused && !outcome.elsewhere:
		fl.Balancer.Refused(engine.ID)
	default:
		fl.Balancer.Failed(engine.ID, outcome.cause)
	}
}

func (fl *flight) observe() {
	result := Result{
		Route: fl.route, Verdict: fl.verdict, Attempts: fl.tries, Waited: fl.waited, Total: clock.Since(fl.request.Arrived),
	}
	if !fl.first.IsZero() {
		result.First = fl.first.Sub(fl.request.Arrived)
	}
	if fl.verdict == verdictServed {
		if fl.framed {
			fl.Guard.Served(fl.fingerprint)
		}
		eventServed.Info("request", fl.request.ID, "route", fl.route.Name, "engine", fl.engine, "attempts", fl.tries,
			"waited", fl.waited, "first", result.First, "total", result.Total, "late", result.First > fl.route.Target)
	}
	if fl.Observe != nil {
		fl.Observe(result)
	}
}
