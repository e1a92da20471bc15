package batchwork

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/forward"
	"chutelock.dev/chutelock/internal/poison"
	"chutelock.dev/chutelock/internal/upstream"
)

// itemRun is one run of an item at one engine.
type itemRun struct {
	node   *runNode
	hooks  runHooks
	item   openItem
	engine catalog.Engine
	// maxFailures is how many internal server errors of engines end the item.
	maxFailures int
	// origin has the release of the run's engine, and the restarts of the item's text. It is zero
	// for a leader of an older version.
	origin textOrigin
	// startsOver is set until the run has committed text, if that replaces the item's: the text
	// can't be continued at this engine.
	startsOver bool

	id        string
	prompt    *poison.Prompt
	committed uint64 // last committed event of the text that the run continues or has begun
	last      uint64 // last received event
	text      []byte // of the events after committed
	commitAt  time.Time
	answering bool // this run has received an event
	result    runResult
}

// run sends the item to its engine and commits the output until the stream or ctx ends.
func (r *itemRun) run(ctx context.Context, read *Item) runResult {
	r.id = read.ID
	r.prompt = poison.NewPrompt(r.node.sharedParts(read.Header))
	if !r.startsOver {
		r.committed, r.last = r.item.lastEvent, r.item.lastEvent
	}
	r.result.pause = r.exchange(ctx, read)
	r.result.last = r.last
	return r.result
}

// exchange returns the pause before the item may run again, if it is still open.
func (r *itemRun) exchange(ctx context.Context, read *Item) time.Duration {
	if !r.node.mayRun(&r.item, r.engine) {
		return refusalPause
	}
	eventItemSent.Info("job", r.item.job, "item", r.id, "engine", r.engine.ID, "version", r.engine.Version, "after", r.last, "failures", r.item.failures)
	silence := make(chan struct{})
	exchangeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(engineSilenceTimeout, sync.OnceFunc(func() { close(silence); cancel() }))
	defer timer.Stop()
	response, err := r.node.pool.Exchange(exchangeCtx, r.engine.Address, r.newCall(read))
	if errors.Is(err, upstream.ErrEngineExcluded) {
		return refusalPause
	}
	if err != nil {
		return r.handleInterruption(ctx, r.lossOf(exchangeCtx, err), err, isClosed(silence))
	}
	defer response.Close()
	return r.handleResponse(ctx, exchangeCtx, response, timer, silence)
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

func (r *itemRun) newCall(item *Item) *upstream.Call {
	header := http.Header{}
	for i := 0; i+1 < len(item.Header); i += 2 {
		header.Add(item.Header[i], item.Header[i+1])
	}
	return &upstream.Call{
		ID: item.ID, Method: http.MethodPost, URI: item.Path, Host: r.item.host, Header: header, Body: item.Body,
		Tenant: r.item.tenant, Engine: r.engine.ID, Deadline: r.item.giveUp, Resume: r.last > 0, ResumeAfter: r.last,
		Proceed: r.proceed,
	}
}

// proceed repeats the check before the request is sent: it may have changed while the
// connection was opened.
func (r *itemRun) proceed() error {
	if !r.node.mayRun(&r.item, r.engine) {
		return upstream.ErrEngineExcluded
	}
	return nil
}

// handleResponse reads the engine's response. exchangeCtx ends with ctx or when the engine times
// out.
func (r *itemRun) handleResponse(ctx, exchangeCtx context.Context, response *upstream.Response, timer *time.Timer, silence <-chan struct{}) time.Duration {
	r.hooks.callReported(response.Load)
	switch {
	case response.NotRun && response.AddressReused:
		r.reportOutcome(engineFailed, errAddressReused)
		return refusalPause
	case response.NotRun:
		r.reportOutcome(engineRefused, nil)
		return refusalPause
	case response.Status >= http.StatusMultipleChoices:
		// A failure that breaks off tells nothing of the item.
		if err := r.skipFailure(exchangeCtx, response); err != nil {
			return r.handleInterruption(ctx, r.lossOf(exchangeCtx, err), err, isClosed(silence))
		}
		return r.handleErrorStatus(ctx, response.Status)
	case !response.Signed:
		return r.handleInterruption(ctx, engineFailed, upstream.ErrUnsigned, false)
	}
	return r.stream(ctx, exchangeCtx, response, timer, silence)
}

// maxFailureBytes bounds the body of an engine's failure.
const maxFailureBytes = 256 << 10

// skipFailure reads a failure to its end. It returns an error if the failure broke off.
func (r *itemRun) skipFailure(ctx context.Context, response *upstream.Response) error {
	skipped, err := io.Copy(io.Discard, io.LimitReader(response, maxFailureBytes+1))
	switch {
	case err != nil:
		return err
	case skipped > maxFailureBytes:
		return errFailureTooLong
	case !response.Framed && skipped > 0 && !r.node.guard.EngineServes(ctx, r.engine):
		return io.ErrUnexpectedEOF
	}
	return nil
}

var (
	errFailureTooLong = errors.New("the engine's failure is too long")
	errAddressReused  = errors.New("the address belongs to another engine")
	errNoNumber       = errors.New("the engine's stream has an event without a number")
)

// reportOutcome records the run's outcome for its engine.
func (r *itemRun) reportOutcome(outcome engineOutcome, cause error) {
	r.result.engine = outcome
	if cause != nil {
		r.result.cause = cause.Error()
	}
	r.hooks.callOutcome(r.result)
}

func (r *itemRun) stream(ctx, exchangeCtx context.Context, response *upstream.Response, timer *time.Timer, silence <-chan struct{}) time.Duration {
	r.node.streams.Add(1)
	defer r.node.streams.Add(-1)
	started, first := clock.Now(), r.last
	r.commitAt = started.Add(firstCommitDelay)
	defer func() { r.result.took, r.result.events = clock.Since(started), r.last-first }()
	events := forward.NewEventReader(&pacedReader{ctx: ctx, stream: response, start: r.node.readStart, interval: r.node.readInterval}, forward.Memory{})
	defer events.Close()
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) && !response.Framed {
			err = r.checkEnd(exchangeCtx)
		}
		if errors.Is(err, io.EOF) {
			r.result.done = true
			if r.answering {
				r.node.guard.PromptAnswered(r.prompt)
			}
			r.reportOutcome(engineSucceeded, nil)
			r.hooks.callEnded()
			return r.commitSuccess(ctx)
		}
		if err != nil {
			response.Close()
			r.hooks.callEnded()
			return r.handleInterruption(ctx, r.lossOf(exchangeCtx, err), err, isClosed(silence))
		}
		if err := r.checkNumber(&event); err != nil {
			response.Close()
			r.hooks.callEnded()
			return r.handleInterruption(ctx, engineFailed, err, false)
		}
		r.node.guard.EventReceived(r.prompt)
		if !event.HasID {
			continue // no progress
		}
		timer.Reset(engineSilenceTimeout)
		if r.last == first {
			r.hooks.callBegun()
			r.answering = true
		}
		r.add(event)
		if clock.Now().After(r.commitAt) {
			timer.Stop() // a slow commit isn't silence of the engine
			if err := r.commitText(ctx, StateOpen, 0); err != nil {
				return failurePause
			}
			timer.Reset(engineSilenceTimeout)
		}
	}
}

// checkNumber returns an error unless an event has no data or is the next one of the text.
func (r *itemRun) checkNumber(event *forward.Event) error {
	err := event.CheckNumber(r.last)
	if !event.HasID && event.HasData {
		err = errNoNumber
	}
	if err != nil {
		r.node.countMisnumbered()
		eventMisnumbered.Info("job", r.item.job, "item", r.id, "engine", r.engine.ID, "version", r.engine.Version, "expected", r.last+1, "seen", event.ID, "cause", err)
	}
	return err
}

// checkEnd returns io.EOF if a response that ended with its connection seems whole. It was probably cut
// off if the item has no text or its engine may have crashed.
func (r *itemRun) checkEnd(ctx context.Context) error {
	if r.last == 0 || !r.node.guard.EngineServes(ctx, r.engine) {
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}

// add appends an event's data, separated as the store separates committed parts.
func (r *itemRun) add(event forward.Event) {
	if r.last > r.committed {
		r.text = append(r.text, eventSeparator)
	}
	r.text = append(r.text, event.Data...)
	r.last = event.ID
}

// commitText commits the text since the last commit, with a state. After an error the run must
// not commit again, as the item may have other text.
func (r *itemRun) commitText(ctx context.Context, state State, failures uint8) error {
	r.commitAt = clock.Now().Add(commitInterval)
	if r.last == r.committed && state == StateOpen && failures == 0 {
		return nil
	}
	next := r.nextUpdate(state, failures)
	err := r.node.commit(ctx, next)
	switch {
	case err == nil:
		r.committed, r.text = r.last, nil
		if next.fresh {
			r.startsOver, r.origin = false, next.nextOrigin()
		}
	case errors.Is(err, errItemClosed):
	case errors.Is(err, errSuperseded):
		eventItemRetried.Info("job", r.item.job, "item", r.id, "engine", r.engine.ID, "cause", err, "last_event", r.last)
	default:
		eventCommitLost.Error(err, "job", r.item.job, "item", r.id, "last_event", r.last)
		if state != StateOpen {
			r.result.end = &next
		}
	}
	return err
}

// nextUpdate returns the update with the text since the last commit.
func (r *itemRun) nextUpdate(state State, failures uint8) itemUpdate {
	u := itemUpdate{
		job: r.item.job, index: r.item.index, from: r.committed, to: r.last,
		failures: failures, state: state, origin: r.origin, text: r.text,
	}
	switch {
	case r.startsOver && r.last > 0:
		u.from, u.fresh = r.item.lastEvent, true
	case r.startsOver:
		u.from, u.to = r.item.lastEvent, r.item.lastEvent // no text
	}
	return u
}

func (r *itemRun) commitSuccess(ctx context.Context) time.Duration {
	if r.last == 0 {
		return r.handleInterruption(ctx, engineFailed, errNoText, false)
	}
	if r.commitText(ctx, StateSucceeded, 0) != nil {
		return failurePause
	}
	return 0
}

func (r *itemRun) giveUp(ctx context.Context, cause string) time.Duration {
	eventItemDead.Info("job", r.item.job, "item", r.id, "engine", r.engine.ID, "cause", cause)
	if r.commitText(ctx, StateDead, 0) != nil {
		return failurePause
	}
	return 0
}

// handleErrorStatus handles an error status; an internal server error counts as a failure of
// the item.
func (r *itemRun) handleErrorStatus(ctx context.Context, status int) time.Duration {
	switch status {
	case http.StatusUnprocessableEntity:
		return r.giveUp(ctx, "the engine can never run it")
	case http.StatusInternalServerError:
	default:
		return r.handleInterruption(ctx, engineFailed, errors.New(http.StatusText(status)), false)
	}
	r.reportOutcome(engineFailed, errors.New(http.StatusText(status)))
	if int(r.item.failures)+1 >= r.maxFailures {
		return r.giveUp(ctx, "it failed on every attempt")
	}
	_ = r.commitText(ctx, StateOpen, 1)
	return failurePause
}

// lossOf returns the outcome of a run whose exchange failed: engineLost if the engine lost the
// connection while it had the item. If ctx has ended, this side closed the connection.
func (r *itemRun) lossOf(ctx context.Context, cause error) engineOutcome {
	var failure *upstream.Error
	notSent := errors.As(cause, &failure) && failure.Fate == upstream.FateNotSent
	if notSent || ctx.Err() != nil {
		return engineFailed
	}
	return engineLost
}

// handleInterruption commits the text received so far, so that the item can resume elsewhere.
func (r *itemRun) handleInterruption(ctx context.Context, outcome engineOutcome, cause error, silent bool) time.Duration {
	if ctx.Err() == nil || silent {
		r.reportOutcome(outcome, cause)
		eventItemRetried.Info("job", r.item.job, "item", r.id, "engine", r.engine.ID, "cause", cause,
			"silent", silent, "last_event", r.last, "parts", r.prompt.IDs())
	}
	if r.node.open(r.item.job, r.item.index) {
		_ = r.commitText(ctx, StateOpen, 0)
	}
	return refusalPause
}
