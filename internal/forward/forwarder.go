package forward

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
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
	// waitShare is the share of the latency target that a request waits for
	// an engine with room before it is refused.
	waitShare = 0.24
	// waitDefault holds for routes without a target.
	waitDefault = 100 * time.Millisecond
	// patience is how long an engine may stay silent before a request that
	// may run again goes to another one. Callers give a stream up after 2 s.
	patience = 1100 * time.Millisecond
	// comeBack is told to callers whose request has not run.
	comeBack = 150 * time.Millisecond
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
	Zone   string
	// Observe is told of each finished request; may be nil.
	Observe func(Result)
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
	tries    int

	begun     bool // the head of a stream is out
	lastEvent uint64
	engine    string        // of the last exchange
	waited    time.Duration // for engines with room
	first     time.Time
	verdict   string
}

// Serve takes a request to engines until its sink has an answer. ctx ends when
// the caller leaves.
func (f *Forwarder) Serve(ctx context.Context, request *Request, route *catalog.Route, sink Sink) {
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
		ctx, cancel = context.WithDeadline(ctx, fl.deadline)
		defer cancel()
	}
	fl.run(ctx)
	fl.observe()
}

func (fl *flight) run(ctx context.Context) {
	for {
		asked := time.Now()
		lease, err := fl.acquire(ctx)
		fl.waited += time.Since(asked)
		if err != nil {
			fl.withoutEngine(ctx, err)
			return
		}
		fl.tries++
		engine := lease.Engine
		fl.engine = engine.ID
		outcome, done := fl.try(ctx, lease)
		lease.Release()
		if done {
			return
		}
		if fl.stopped(ctx) {
			return
		}
		step := fl.attempts.After(outcome.kind)
		if step == StepRetry && !fl.timeLeft() {
			step = fl.attempts.GiveUp(outcome.kind)
		}
		eventAttemptFailed.Info("request", fl.request.ID, "route", fl.route.Name, "engine", engine.ID,
			"outcome", outcome.kind, "cause", outcome.cause, "attempt", fl.tries, "last_event", fl.lastEvent, "retry", step == StepRetry)
		fl.note(engine, outcome)
		if step != StepRetry {
			fl.finish(step, outcome)
			return
		}
		fl.avoid = append(fl.avoid, engine.ID)
	}
}

// acquire waits for an engine: of the route's chosen service, or of another
// one of the route if that has none.
func (fl *flight) acquire(ctx context.Context) (*balance.Lease, error) {
	wish := balance.Wish{
		Service: fl.service, Zone: fl.Zone, Class: balance.ClassOnline,
		Prefix: fl.request.Prefix, PrefixTokens: fl.request.PrefixTokens, PromptTokens: fl.request.PromptTokens,
		Avoid: fl.avoid,
	}
	lease, err := fl.Balancer.Acquire(ctx, wish, fl.route.Priority, fl.patienceForRoom())
	if !errors.Is(err, balance.ErrNoEngine) {
		return lease, err
	}
	for _, service := range fl.route.Services() {
		wish.Service = service
		if lease, err := fl.Balancer.Acquire(ctx, wish, fl.route.Priority, 0); err == nil {
			return lease, nil
		}
	}
	return nil, err
}

func (fl *flight) patienceForRoom() time.Duration {
	wait := waitDefault
	if fl.route.Target > 0 {
		wait = time.Duration(waitShare * float64(fl.route.Target))
	}
	return max(0, wait-time.Since(fl.request.Arrived))
}

func (fl *flight) timeLeft() bool {
	return fl.deadline.IsZero() || time.Until(fl.deadline) > leastTime
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
		fl.verdict = verdictLeft
		eventCallerLeft.Info("request", fl.request.ID, "route", fl.route.Name, "engine", fl.engine, "attempts", fl.tries,
			"held", time.Since(fl.request.Arrived), "last_event", fl.lastEvent)
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

func (fl *flight) finish(step Step, outcome outcome) {
	switch step {
	case StepNotRun:
		fl.refuse(VerdictNotRun, outcome.cause)
	case StepUnknown:
		fl.refuse(VerdictUnknown, outcome.cause)
	case StepPass:
		fl.verdict = verdictFailed
		_ = fl.sink.Whole(outcome.answer.Status, outcome.answer.Header, outcome.body)
	default:
		fl.abort(outcome.cause)
	}
}

func (fl *flight) refuse(verdict Verdict, cause error) {
	fl.verdict = verdict.String()
	eventRefused.Info("request", fl.request.ID, "route", fl.route.Name, "verdict", verdict, "cause", cause,
		"attempts", fl.tries, "held", time.Since(fl.request.Arrived))
	after := time.Duration(0)
	if verdict == VerdictNotRun {
		after = comeBack
	}
	_ = fl.sink.Refuse(verdict, after)
}

func (fl *flight) abort(cause error) {
	fl.verdict = verdictAborted
	eventAborted.Info("request", fl.request.ID, "route", fl.route.Name, "cause", cause, "last_event", fl.lastEvent,
		"attempts", fl.tries, "held", time.Since(fl.request.Arrived))
	fl.sink.Abort()
}

// note tells the balancer how the engine did.
func (fl *flight) note(engine catalog.Engine, outcome outcome) {
	switch {
	case outcome.kind == OutcomeRefused && !outcome.elsewhere:
		fl.Balancer.Refused(engine.ID)
	case outcome.kind == OutcomeFailed:
	default:
		fl.Balancer.Failed(engine.ID, outcome.cause)
	}
}

func (fl *flight) observe() {
	result := Result{
		Route: fl.route, Verdict: fl.verdict, Attempts: fl.tries, Waited: fl.waited, Total: time.Since(fl.request.Arrived),
	}
	if !fl.first.IsZero() {
		result.First = fl.first.Sub(fl.request.Arrived)
	}
	if fl.verdict == verdictServed {
		eventServed.Info("request", fl.request.ID, "route", fl.route.Name, "engine", fl.engine, "attempts", fl.tries,
			"waited", fl.waited, "first", result.First, "total", result.Total, "late", result.First > fl.route.Target)
	}
	if fl.Observe != nil {
		fl.Observe(result)
	}
}

// outcome is an Outcome with what it came from.
type outcome struct {
	kind      Outcome
	cause     error
	elsewhere bool
	answer    *upstream.Answer
	body      []byte
}

// try runs one exchange. done says that the sink has its answer.
func (fl *flight) try(ctx context.Context, lease *balance.Lease) (outcome, bool) {
	engine := lease.Engine
	if !fl.Usable(engine.ID, engine.Service) {
		return outcome{kind: OutcomeNotSent, cause: errors.New("the engine is leaving")}, false
	}
	call := fl.call(engine)
	watch, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := fl.watchSilence(cancel)
	defer silence.Stop()
	answer, err := fl.Pool.Exchange(watch, engine.Address, call)
	if err != nil {
		return fl.exchangeFailed(watch, err), false
	}
	defer answer.Close()
	if answer.Load != nil {
		fl.Balancer.Reported(engine.ID, *answer.Load)
	}
	switch {
	case answer.NotRun:
		return outcome{kind: OutcomeRefused, cause: errStatus(answer.Status), elsewhere: answer.Elsewhere}, false
	case answer.Status >= 300:
		return fl.failed(answer)
	case !answer.Signed:
		return outcome{kind: OutcomeUnknown, cause: errUnsigned}, false
	case fl.route.Kind == catalog.KindStream:
		return fl.stream(watch, lease, answer, silence)
	}
	return fl.whole(engine, answer)
}

func (fl *flight) call(engine catalog.Engine) *upstream.Call {
	return &upstream.Call{
		ID: fl.request.ID, Method: fl.request.Method, URI: fl.request.URI, Host: fl.request.Host,
		Header: fl.request.Header, Body: fl.request.Body, Instance: engine.ID, Deadline: fl.deadline,
		Resume: fl.begun, ResumeAfter: fl.lastEvent,
	}
}

var (
	errSilent   = errors.New("the engine is silent")
	errUnsigned = errors.New("a success without the engine's signature")
)

type errStatus int

// Error implements error.
func (e errStatus) Error() string { return "status " + strconv.Itoa(int(e)) }

// silenceTimer ends an exchange whose engine says nothing for too long. The
// zero value never does.
type silenceTimer struct{ timer *time.Timer }

func (fl *flight) watchSilence(cancel context.CancelCauseFunc) silenceTimer {
	if !fl.route.MayRunAgain() || fl.attempts.runs+1 >= fl.route.Attempts {
		return silenceTimer{}
	}
	return silenceTimer{time.AfterFunc(patience, func() { cancel(errSilent) })}
}

// Stop ends the watch.
func (s silenceTimer) Stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

// Heard starts the time anew.
func (s silenceTimer) Heard() {
	if s.timer != nil {
		s.timer.Reset(patience)
	}
}

func (fl *flight) exchangeFailed(ctx context.Context, err error) outcome {
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
		return outcome{kind: fl.unknown(), cause: errSilent}
	}
	var failure *upstream.Error
	if errors.As(err, &failure) && failure.Fate == upstream.FateNotSent {
		return outcome{kind: OutcomeNotSent, cause: err}
	}
	return outcome{kind: fl.unknown(), cause: err}
}

// unknown is the outcome of an exchange that broke: once a stream has begun,
// the caller's answer can only go on or be broken off.
func (fl *flight) unknown() Outcome {
	if fl.begun {
		return OutcomeBroken
	}
	return OutcomeUnknown
}

// failed takes an engine's own failure, which ran.
func (fl *flight) failed(answer *upstream.Answer) (outcome, bool) {
	body, err := io.ReadAll(io.LimitReader(answer, wholeMost))
	if err != nil {
		return outcome{kind: fl.unknown(), cause: err}, false
	}
	if fl.begun {
		return outcome{kind: OutcomeBroken, cause: errStatus(answer.Status)}, false
	}
	result := outcome{kind: OutcomeFailed, cause: errStatus(answer.Status), answer: answer, body: body}
	if retryableStatus(answer.Status) {
		return result, false
	}
	fl.finish(StepPass, result)
	return result, true
}

func (fl *flight) whole(engine catalog.Engine, answer *upstream.Answer) (outcome, bool) {
	body, err := io.ReadAll(io.LimitReader(answer, wholeMost))
	if err != nil {
		return outcome{kind: OutcomeUnknown, cause: err}, false
	}
	fl.Balancer.Succeeded(engine.ID)
	fl.first = time.Now()
	fl.verdict = verdictServed
	_ = fl.sink.Whole(answer.Status, answer.Header, body)
	return outcome{}, true
}

// stream passes whole events on as they come.
func (fl *flight) stream(ctx context.Context, lease *balance.Lease, answer *upstream.Answer, silence silenceTimer) (outcome, bool) {
	events := NewEventReader(answer)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			fl.Balancer.Succeeded(lease.Engine.ID)
			return fl.endStream(answer), true
		}
		if err != nil {
			if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
				err = cause
			}
			return outcome{kind: fl.unknown(), cause: err}, false
		}
		silence.Heard()
		lease.Read()
		if event.HasID && fl.begun && event.ID <= fl.lastEvent {
			continue
		}
		if err := fl.pass(answer, event); err != nil {
			fl.verdict = verdictLeft
			fl.sink.Abort()
			return outcome{}, true
		}
	}
}

func (fl *flight) pass(answer *upstream.Answer, event Event) error {
	if !fl.begun {
		fl.begun = true
		fl.first = time.Now()
		if err := fl.sink.Begin(answer.Status, answer.Header); err != nil {
			return err
		}
	}
	if event.HasID {
		fl.lastEvent = event.ID
	}
	return fl.sink.Event(event.Raw)
}

func (fl *flight) endStream(answer *upstream.Answer) outcome {
	fl.verdict = verdictServed
	if !fl.begun {
		_ = fl.sink.Whole(answer.Status, answer.Header, nil)
		return outcome{}
	}
	_ = fl.sink.End()
	return outcome{}
}
