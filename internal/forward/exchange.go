package forward

import (
	"context"
	"errors"
	"io"
	"strconv"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/upstream"
)

// attemptResult is the outcome of one attempt with its cause.
type attemptResult struct {
	kind          Outcome
	cause         error
	addressReused bool
	// withheld: the request was not sent for a reason other than the engine's health.
	withheld bool
	response *upstream.Response
	body     []byte
}

// unreachable reports whether the engine could not be reached or has lost its address to
// another one.
func (r attemptResult) unreachable() bool {
	return r.addressReused || r.kind == OutcomeNotSent && !r.withheld
}

// moved reports whether the exchange ended for a stream to move to a faster engine, which
// says nothing about the engine's health.
func (r attemptResult) moved() bool { return errors.Is(r.cause, errEnginePace) }

// misnumbered reports whether the exchange was ended because of the number of an event.
func (r attemptResult) misnumbered() bool {
	var wrong *NumberError
	return errors.As(r.cause, &wrong)
}

// attempt runs one exchange. done reports whether the sink has its response.
func (fl *inflight) attempt(ctx context.Context, lease *balance.Lease) (result attemptResult, done bool) {
	fl.receivedEvent, fl.framed, fl.answered = false, false, false
	fl.body.free()
	fl.prompt.BeginAttempt()
	if err := fl.checkSend(lease); err != nil {
		return attemptResult{kind: OutcomeNotSent, cause: err, withheld: true}, false
	}
	exchangeCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := fl.startSilenceWatch(ctx, lease.Engine, cancel)
	defer func() { fl.setNext(silence.stop()) }()
	result, done = fl.exchange(exchangeCtx, lease, silence, cancel)
	if cause := context.Cause(exchangeCtx); !done && result.ranInVain() && (errors.Is(cause, errEngineSilent) || errors.Is(cause, errEnginePace)) {
		result.cause = cause
	}
	return result, done
}

// ranInVain reports whether the exchange ended before the engine's response did.
func (r attemptResult) ranInVain() bool { return r.kind == OutcomeUnknown || r.kind == OutcomeBroken }

// setNext notes a place reserved for the next attempt, unless there is one.
func (fl *inflight) setNext(lease *balance.Lease) {
	switch {
	case lease == nil:
	case fl.next == nil:
		fl.next = lease
	default:
		lease.Cancel()
	}
}

// exchange sends the request to an engine and passes its response on.
func (fl *inflight) exchange(ctx context.Context, lease *balance.Lease, silence *silenceWatch, cancel context.CancelCauseFunc) (attemptResult, bool) {
	engine := lease.Engine
	call := fl.newCall(engine)
	call.Proceed = func() error { return fl.checkSend(lease) }
	fl.reportResumed(engine)
	response, err := fl.Pool.Exchange(ctx, engine.Address, call)
	if err != nil {
		return fl.classifyError(ctx, err), false
	}
	defer response.Close()
	lease.Heard()
	fl.framed = response.Framed
	if response.Load != nil {
		fl.Balancer.RecordReport(engine.ID, *response.Load)
	}
	switch {
	case response.NotRun:
		return attemptResult{kind: OutcomeRefused, cause: statusError(response.Status), addressReused: response.AddressReused}, false
	case response.Status >= 300:
		return fl.handleFailure(ctx, engine, response)
	case !response.Signed:
		return attemptResult{kind: OutcomeUnknown, cause: upstream.ErrUnsigned}, false
	case fl.route.Kind == catalog.KindStream:
		watch := fl.startPaceWatch(ctx, engine, cancel)
		defer func() { fl.setNext(watch.stop(lease)) }()
		return fl.sendStream(ctx, lease, response, silence, watch)
	}
	return fl.sendResponse(ctx, engine, response, silence)
}

// reportResumed reports that a stream which already has events is sent to an engine.
func (fl *inflight) reportResumed(engine catalog.Engine) {
	if !fl.streamStarted && !fl.request.Continues() {
		return
	}
	eventResumed.Info("request", fl.request.ID, "continues", fl.request.Resumes, "route", fl.route.Name, "last_event", fl.lastEvent,
		"began", fl.began.Version, "engine", engine.ID, "version", engine.Version)
	if fl.Resumed != nil {
		fl.Resumed(fl.began, engine.Release())
	}
}

// checkSend returns an error if the request may not be sent to its engine now. It is called
// before a connection is opened and again afterwards, as opening one may take long.
func (fl *inflight) checkSend(lease *balance.Lease) error {
	if fl.began != (catalog.Release{}) && lease.Engine.Release() != fl.began {
		return errRelease
	}
	return fl.checkPlace(lease)
}

// checkPlace is checkSend but for the release that began the stream. It may be called at any time.
func (fl *inflight) checkPlace(lease *balance.Lease) error {
	if !fl.Usable(lease.Engine.ID, lease.Engine.Service) {
		return upstream.ErrEngineExcluded
	}
	if !fl.regions().Allow(lease.Engine.Region) {
		return errRegions
	}
	if err := fl.checkHeld(); err != nil {
		return err
	}
	return lease.MaySend()
}

func (fl *inflight) newCall(engine catalog.Engine) *upstream.Call {
	return &upstream.Call{
		ID: fl.request.ID, Method: fl.request.Method, URI: fl.request.URI, Host: fl.request.Host,
		Header: fl.request.Header, Body: fl.request.Body, Tenant: fl.request.Tenant, Engine: engine.ID, Deadline: fl.deadline,
		Resume: fl.streamStarted, ResumeAfter: fl.lastEvent,
	}
}

var (
	errEmptyResponse = errors.New("the connection ended where the response has neither a length nor content")
	errNoEvent       = errors.New("the stream has comments and no event")
	errBodyTooLong   = errors.New("the response's body is too long")
	errEngineGone    = errors.New("the engine takes no connections after its response ended with the connection")
	errRegions       = errors.New("the engine's region is no longer allowed for the request")
	errRelease       = errors.New("the engine's software isn't of the release that began the stream")
)

type statusError int

// Error implements error.
func (e statusError) Error() string { return "status " + strconv.Itoa(int(e)) }

func (fl *inflight) classifyError(ctx context.Context, err error) attemptResult {
	if cause := context.Cause(ctx); errors.Is(cause, errEngineSilent) {
		return attemptResult{kind: fl.brokenOutcome(), cause: errEngineSilent}
	}
	var failure *upstream.Error
	if errors.As(err, &failure) && failure.Fate == upstream.FateNotSent {
		return attemptResult{kind: OutcomeNotSent, cause: err, withheld: isWithheld(err)}
	}
	return attemptResult{kind: fl.brokenOutcome(), cause: err}
}

// isWithheld reports whether err kept a request from being sent for a reason other than its
// engine's health.
func isWithheld(err error) bool {
	var held *heldError
	return errors.As(err, &held) || errors.Is(err, upstream.ErrEngineExcluded) || errors.Is(err, errRegions) || errors.Is(err, errRelease) || errors.Is(err, balance.ErrPermitVoid)
}

// brokenOutcome is the outcome of an exchange that broke: a started stream can only be
// continued or aborted.
func (fl *inflight) brokenOutcome() Outcome {
	if fl.streamStarted {
		return OutcomeBroken
	}
	return OutcomeUnknown
}

// handleFailure reads an error response of an engine that ran the request.
func (fl *inflight) handleFailure(ctx context.Context, engine catalog.Engine, response *upstream.Response) (attemptResult, bool) {
	err := fl.body.readAll(response, response.Length, maxBodyBytes)
	if err == nil && len(fl.body.bytes) > 0 { // a failure may have no content
		err = fl.checkEnd(ctx, engine, true)
	}
	if err != nil {
		return attemptResult{kind: fl.brokenOutcome(), cause: err}, false
	}
	if fl.streamStarted {
		return attemptResult{kind: OutcomeBroken, cause: statusError(response.Status)}, false
	}
	result := attemptResult{kind: OutcomeFailed, cause: statusError(response.Status), response: response, body: fl.body.bytes}
	if retryableStatus(response.Status) {
		return result, false
	}
	fl.finish(StepForwardFailure, result)
	return result, true
}

// misleadingStatus reports whether an engine's error response must not be forwarded: the
// engine may have run the request, but the status would make the caller repeat a request
// that must run once only.
func (fl *inflight) misleadingStatus(status int) bool {
	return impliesNotRun(status) && !fl.route.MayRunAgain()
}

func (fl *inflight) sendResponse(ctx context.Context, engine catalog.Engine, response *upstream.Response, silence *silenceWatch) (attemptResult, bool) {
	err := fl.body.readAll(response, response.Length, maxBodyBytes)
	body := fl.body.bytes
	if err == nil {
		err = fl.checkEnd(ctx, engine, len(body) > 0)
	}
	if err != nil {
		return attemptResult{kind: OutcomeUnknown, cause: err}, false
	}
	silence.stop() // the caller may be slow to read
	fl.Balancer.RecordSuccess(engine.ID)
	fl.answered = len(body) > 0
	fl.firstEventAt = clock.Now()
	fl.responseSent(fl.sink.WriteResponse(response.Status, response.Header, body))
	return attemptResult{}, true
}

// checkEnd returns an error if a response that ended with its connection was probably cut off: it has
// no content, not even from an earlier engine, or its engine may have crashed.
func (fl *inflight) checkEnd(ctx context.Context, engine catalog.Engine, hasContent bool) error {
	switch {
	case fl.framed:
		return nil
	case !hasContent:
		return errEmptyResponse
	case !fl.Guard.EngineServes(ctx, engine):
		return errEngineGone
	}
	return nil
}

// responseSent ends a request after its whole response was written to the caller; err is
// the result of the last write.
func (fl *inflight) responseSent(err error) {
	fl.verdict = verdictServed
	if err != nil {
		fl.callerLeft(err)
	}
}

// sendStream forwards whole events as they arrive.
func (fl *inflight) sendStream(ctx context.Context, lease *balance.Lease, response *upstream.Response, silence *silenceWatch, watch *paceWatch) (attemptResult, bool) {
	events := NewEventReader(response, fl.Memory)
	defer events.Close()
	fl.comments = nil
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return fl.streamEnded(ctx, lease.Engine, response, silence)
		}
		if err == nil && event.isComment() && !fl.streamStarted {
			if err = fl.keepComment(event); err == nil {
				continue
			}
		}
		if err != nil {
			return attemptResult{kind: fl.brokenOutcome(), cause: err}, false
		}
		if err := fl.checkNumber(lease.Engine, &event); err != nil {
			return attemptResult{kind: fl.brokenOutcome(), cause: err}, false
		}
		if err := fl.passOn(lease, response, event, silence, watch); err != nil {
			fl.callerLeft(err)
			fl.sink.Abort()
			return attemptResult{}, true
		}
	}
}

// checkNumber returns an error unless an event is the one that the caller needs next. Where streams can't
// be resumed, the caller's number says nothing of an engine's first event.
func (fl *inflight) checkNumber(engine catalog.Engine, event *Event) error {
	if !fl.streamStarted && !fl.route.Resumable && fl.request.LastEvent > 0 {
		return nil
	}
	err := event.CheckNumber(fl.lastEvent)
	if err != nil {
		fl.Misnumbered.Add(1)
		eventMisnumbered.Info("request", fl.request.ID, "continues", fl.request.Resumes, "route", fl.route.Name, "engine", engine.ID, "version", engine.Version,
			"expected", fl.lastEvent+1, "seen", event.ID, "begun", fl.streamStarted)
	}
	return err
}

// streamEnded ends a stream whose engine ended it.
func (fl *inflight) streamEnded(ctx context.Context, engine catalog.Engine, response *upstream.Response, silence *silenceWatch) (attemptResult, bool) {
	if err := fl.checkEnd(ctx, engine, fl.receivedEvent || fl.lastEvent > 0); err != nil {
		return attemptResult{kind: fl.brokenOutcome(), cause: err}, false
	}
	silence.stop() // the caller may be slow to read
	fl.Balancer.RecordSuccess(engine.ID)
	fl.answered = fl.receivedEvent
	return fl.endStream(response), true
}

// passOn passes an event on to the caller. A comment isn't progress of its engine.
func (fl *inflight) passOn(lease *balance.Lease, response *upstream.Response, event Event, silence *silenceWatch, watch *paceWatch) error {
	if event.isComment() {
		return fl.sink.WriteEvent(event.Raw)
	}
	silence.event(event.HasID)
	lease.PrefillDone()
	fl.receivedEvent = true
	fl.Guard.EventReceived(fl.prompt)
	watch.event(event.HasID)
	if err := fl.sendEvent(lease.Engine, response, event); err != nil {
		return err
	}
	silence.await()
	return nil
}

// keepComment keeps a comment that comes before a stream's first event. The stream hasn't begun with it, as
// its engine may send nothing else.
func (fl *inflight) keepComment(event Event) error {
	if len(fl.comments)+len(event.Raw) > maxCommentBytes {
		return errNoEvent
	}
	fl.comments = append(fl.comments, event.Raw...)
	return nil
}

func (fl *inflight) sendEvent(engine catalog.Engine, response *upstream.Response, event Event) error {
	fl.recordOrigin(engine)
	if !fl.streamStarted {
		fl.streamStarted = true
		fl.firstEventAt = clock.Now()
		if err := fl.sink.BeginStream(response.Status, response.Header); err != nil {
			return err
		}
		event.Raw = append(fl.comments, event.Raw...)
	}
	if event.HasID {
		fl.lastEvent = event.ID
	}
	fl.unnumbered = !event.HasID && (fl.unnumbered || event.HasData)
	return fl.sink.WriteEvent(event.Raw)
}

func (fl *inflight) endStream(response *upstream.Response) attemptResult {
	if !fl.streamStarted {
		fl.responseSent(fl.sink.WriteResponse(response.Status, response.Header, fl.comments))
		return attemptResult{}
	}
	fl.responseSent(fl.sink.EndStream())
	return attemptResult{}
}
