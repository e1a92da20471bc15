package batchwork

import (
	"context"
	"errors"
	"io"
	"net/http"
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
	// attempts is how many of an engine's own failures give the item up.
	attempts int

	id          string
	fingerprint poison.Fingerprint
	committed   uint64 // last event that is committed
	last        uint64 // last event that came
	text        []byte // of the events after committed
	commitAt    time.Time
	answering   bool // an event came in this run
	result      runResult
}

// run sends the item to its engine and commits what comes, until the stream ends
// or ctx does.
func (r *itemRun) run(ctx context.Context, read *Item) runResult {
	r.id = read.ID
	r.fingerprint = poison.FingerprintOf(r.item.tenant, r.item.host, http.MethodPost, read.Path, read.Body)
	r.committed, r.last = r.item.lastEvent, r.item.lastEvent
	r.result.pause = r.exchange(ctx, read)
	r.result.last = r.last
	return r.result
}

// exchange returns how long the item rests before it is run again, if it is open.
func (r *itemRun) exchange(ctx context.Context, read *Item) time.Duration {
	if !r.node.mayRun(&r.item, r.engine) {
		return refusalPause
	}
	if left, held := r.node.guard.Held(r.print); held {
		eventItemHeld.Info("job", r.item.job, "item", r.id, "fingerprint", r.fingerprint, "left", left)
		return min(left, heldPause)
	}
	eventItemSent.Info("job", r.item.job, "item", r.id, "engine", r.engine.ID, "after", r.last, "failures", r.item.failures)
	silence := make(chan struct{})
	watch, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(itemPatience, func() { close(silence); cancel() })
	defer timer.Stop()
	response, err := r.node.pool.Exchange(watch, r.engine.Address, r.call(read))
	if errors.Is(err, upstream.ErrEngineExcluded) {
		return refusalPause
	}
	if err != nil {
		r.blame(watch, err)
		return r.broken(ctx, err, isClosed(silence))
	}
	defer response.Close()
	return r.take(ctx, watch, response, timer, silence)
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

func (r *itemRun) call(item *Item) *upstream.Call {
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

// proceed looks once more before the item is sent: the engine may have become one that
// gets none while a connection to it was opened.
func (r *itemRun) proceed() error {
	if !r.node.mayRun(&r.item, r.engine) {
		return upstream.ErrEngineExcluded
	}
	if _, held := r.node.guard.Held(r.print); held {
		return upstream.ErrEngineExcluded
	}
	return nil
}

// print is the item's fingerprint.
func (r *itemRun) print() poison.Fingerprint { return r.fingerprint }

// take reads the answer of the engine. watch ends with ctx, or when the engine is silent.
func (r *itemRun) take(ctx, watch context.Context, response *upstream.Response, timer *time.Timer, silence <-chan struct{}) time.Duration {
	r.hooks.noteReported(response.Load)
	switch {
	case response.NotRun && response.AddressReused:
		r.judge(engineFailed, errElsewhere)
		return refusalPause
	case response.NotRun:
		r.judge(engineFull, nil)
		return refusalPause
	case response.Status == http.StatusUnprocessableEntity:
		return r.dead(ctx, "the engine can never run it")
	case response.Status >= http.StatusMultipleChoices:
		_, _ = io.Copy(io.Discard, io.LimitReader(response, pageBytes))
		return r.failed(ctx, response.Status)
	case !response.Signed:
		return r.broken(ctx, upstream.ErrUnsigned, false)
	}
	return r.stream(ctx, watch, response, timer, silence)
}

var (
	errElsewhere = errors.New("another engine has the address")
)

// judge notes what the run tells of its engine.
func (r *itemRun) judge(verdict engineVerdict, cause error) {
	r.result.engine = verdict
	if cause != nil {
		r.result.cause = cause.Error()
	}
	r.hooks.noteJudged(r.result)
}

func (r *itemRun) stream(ctx, watch context.Context, response *upstream.Response, timer *time.Timer, silence <-chan struct{}) time.Duration {
	r.node.streams.Add(1)
	defer r.node.streams.Add(-1)
	started, first := clock.Now(), r.last
	r.commitAt = started.Add(firstCommit)
	defer func() { r.result.took, r.result.events = clock.Since(started), r.last-first }()
	events := forward.NewEventReader(&pacedReader{ctx: ctx, stream: response, start: r.node.opened, interval: r.node.readInterval})
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			r.result.done = true
			if response.Framed && r.answering {
				r.node.guard.Served(r.print)
			}
			r.judge(engineSound, nil)
			r.hooks.noteEnded()
			return r.succeeded(ctx)
		}
		if err != nil {
			response.Close()
			r.hooks.noteEnded()
			r.blame(watch, err)
			return r.broken(ctx, err, isClosed(silence))
		}
		timer.Reset(itemPatience)
		if !event.HasID || event.ID <= r.last {
			continue
		}
		if r.last == first {
			r.hooks.noteBegun()
			r.answering = true
		}
		r.add(event)
		if clock.Now().After(r.commitAt) {
			if err := r.commitText(ctx, StateOpen, 0); err != nil {
				return failurePause
			}
		}
	}
}

// add appends an event's data; the store joins the committed parts the same way.
func (r *itemRun) add(event forward.Event) {
	if r.last > r.committed {
		r.text = append(r.text, '\n')
	}
	r.text = append(r.text, event.Data...)
	r.last = event.ID
}

// commitText commits what came since the last commit, with a state.
func (r *itemRun) commitText(ctx context.Context, state State, failures uint8) error {
	r.commitAt = clock.Now().Add(commitInterval)
	if r.last == r.committed && state == StateOpen && failures == 0 {
		return nil
	}
	next := step{
		job: r.item.job, index: r.item.index, from: r.committed, to: r.last,
		failures: failures, state: state, text: r.text,
	}
	err := r.node.commit(ctx, next)
	if err != nil {
		if state != StateOpen {
			r.result.end = &next
		}
		eventCommitLost.Error(err, "job", r.item.job, "item", r.id, "last_event", r.last)
		return err
	}
	r.committed, r.text = r.last, nil
	return nil
}

func (r *itemRun) succeeded(ctx context.Context) time.Duration {
	if r.last == 0 {
		return r.broken(ctx, errNoText, false)
	}
	if r.commitText(ctx, StateSucceeded, 0) != nil {
		return failurePause
	}
	return 0
}

func (r *itemRun) dead(ctx context.Context, cause string) time.Duration {
	eventItemDead.Info("job", r.item.job, "item", r.id, "engine", r.engine.ID, "cause", cause)
	if r.commitText(ctx, StateDead, 0) != nil {
		return failurePause
	}
	return 0
}

// failed counts an engine's own failure.
func (r *itemRun) failed(ctx context.Context, status int) time.Duration {
	if status != http.StatusInternalServerError {
		return r.broken(ctx, errors.New(http.StatusText(status)), false)
	}
	r.judge(engineFailed, errors.New(http.StatusText(status)))
	if int(r.item.failures)+1 >= r.attempts {
		return r.dead(ctx, "it failed at each run")
	}
	_ = r.commitText(ctx, StateOpen, 1)
	return failurePause
}

// blame has it noted if the engine ended while it had the item. ctx ends when the run is
// cut or the engine was silent for too long: then this side broke the connection.
func (r *itemRun) blame(ctx context.Context, cause error) {
	var failure *upstream.Error
	notSent := errors.As(cause, &failure) && failure.Fate == upstream.FateNotSent
	if notSent || ctx.Err() != nil {
		return
	}
	r.node.guard.ConnectionLost(ctx, poison.LostConnection{Engine: r.engine, Request: r.id, Answering: r.answering, Fingerprint: r.print})
}

// broken keeps what came and lets the item go on elsewhere.
func (r *itemRun) broken(ctx context.Context, cause error, silent bool) time.Duration {
	if ctx.Err() == nil || silent {
		r.judge(engineFailed, cause)
		eventItemRetried.Info("job", r.item.job, "item", r.id, "engine", r.engine.ID, "cause", cause,
			"silent", silent, "last_event", r.last, "fingerprint", r.fingerprint)
	}
	if r.node.open(r.item.job, r.item.index) {
		_ = r.commitText(ctx, StateOpen, 0)
	}
	return refusalPause
}
