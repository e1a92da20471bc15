package forward

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/upstream"
)

// outcome is an Outcome with what it came from.
type outcome struct {
	kind      Outcome
	cause     error
	elsewhere bool
	// unwanted: the engine may get nothing new since it was chosen, or not this soon; it
	// is sound.
	unwanted bool
	answer   *upstream.Answer
	body     []byte
}

// notThere says that the engine could not be reached, or that another one has its address.
func (o outcome) notThere() bool {
	return o.elsewhere || o.kind == OutcomeNotSent && !o.unwanted
}

// try runs one exchange. done says that the sink has its answer.
func (fl *flight) try(ctx context.Context, lease *balance.Lease) (outcome, bool) {
	engine := lease.Engine
	fl.answering, fl.framed = false, false
	if err := fl.mayProceed(lease); err != nil {
		return outcome{kind: OutcomeNotSent, cause: err, unwanted: true}, false
	}
	call := fl.call(engine)
	call.Proceed = func() error { return fl.mayProceed(lease) }
	watch, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := fl.watchSilence(cancel)
	defer silence.Stop()
	answer, err := fl.Pool.Exchange(watch, engine.Address, call)
	if err != nil {
		return fl.exchangeFailed(watch, err), false
	}
	defer answer.Close()
	fl.framed = answer.Framed
	if answer.Load != nil {
		fl.Balancer.Reported(engine.ID, *answer.Load)
	}
	switch {
	case answer.NotRun:
		return outcome{kind: OutcomeRefused, cause: errStatus(answer.Status), elsewhere: answer.Elsewhere}, false
	case answer.Status >= 300:
		return fl.failed(answer)
	case !answer.Signed:
		return outcome{kind: OutcomeUnknown, cause: upstream.ErrUnsigned}, false
	case fl.route.Kind == catalog.KindStream:
		return fl.stream(watch, lease, answer, silence)
	}
	return fl.whole(engine, answer)
}

// mayProceed says whether the request may be sent to its engine now. It is asked before a
// connection is opened, and once more after that, as it may have taken long.
func (fl *flight) mayProceed(lease *balance.Lease) error {
	if !fl.Usable(lease.Engine.ID, lease.Engine.Service) {
		return upstream.ErrUnwanted
	}
	if !fl.regions().Allow(lease.Engine.Region) {
		return errRegions
	}
	if left, held := fl.Guard.Held(fl.fingerprint); held {
		return &heldBackError{left}
	}
	return lease.MaySend()
}

func (fl *flight) call(engine catalog.Engine) *upstream.Call {
	return &upstream.Call{
		ID: fl.request.ID, Method: fl.request.Method, URI: fl.request.URI, Host: fl.request.Host,
		Header: fl.request.Header, Body: fl.request.Body, Tenant: fl.request.Tenant, Engine: engine.ID, Deadline: fl.deadline,
		Resume: fl.begun, ResumeAfter: fl.lastEvent,
	}
}

var (
	errSilent  = errors.New("the engine is silent")
	errRegions = errors.New("the engine is in none of the request's regions any more")
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
		return outcome{kind: OutcomeNotSent, cause: err, unwanted: isUnwanted(err)}
	}
	return outcome{kind: fl.unknown(), cause: err}
}

// isUnwanted says whether a request was kept back right before it was sent, for a reason
// that says nothing of its engine's health.
func isUnwanted(err error) bool {
	var held *heldBackError
	return errors.As(err, &held) || errors.Is(err, upstream.ErrUnwanted) || errors.Is(err, errRegions) || errors.Is(err, balance.ErrPermitVoid)
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

// falsePromise says whether an engine's failure must not be passed on as it is: the engine
// didn't say that it has not run the request, its status says so, and the caller would send
// a request again that may run once only.
func (fl *flight) falsePromise(status int) bool {
	return promisesNotRun(status) && !fl.route.MayRunAgain()
}

func (fl *flight) whole(engine catalog.Engine, answer *upstream.Answer) (outcome, bool) {
	body, err := io.ReadAll(io.LimitReader(answer, wholeMost))
	if err != nil {
		return outcome{kind: OutcomeUnknown, cause: err}, false
	}
	fl.Balancer.Succeeded(engine.ID)
	fl.first = clock.Now()
	fl.passed(fl.sink.Whole(answer.Status, answer.Header, body))
	return outcome{}, true
}

// passed ends a request whose answer was passed on whole, if the caller was there
// to take it.
func (fl *flight) passed(err error) {
	fl.verdict = verdictServed
	if err != nil {
		fl.left(err)
	}
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
		fl.answering = true
		if event.HasID && fl.begun && event.ID <= fl.lastEvent {
			continue
		}
		if err := fl.pass(answer, event); err != nil {
			fl.left(err)
			fl.sink.Abort()
			return outcome{}, true
		}
	}
}

func (fl *flight) pass(answer *upstream.Answer, event Event) error {
	if !fl.begun {
		fl.begun = true
		fl.first = clock.Now()
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
	if !fl.begun {
		fl.passed(fl.sink.Whole(answer.Status, answer.Header, nil))
		return outcome{}
	}
	fl.passed(fl.sink.End())
	return outcome{}
}
