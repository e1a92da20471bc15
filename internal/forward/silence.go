package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
)

const (
	// silenceTimeout is how long an engine may send no whole response or event before a repeatable
	// request looks for another one. Callers abandon a stream after a pause of 2 s.
	silenceTimeout = 1100 * time.Millisecond
	// searchInterval is the interval of the first looks for a place at another engine; it doubles up to
	// maxSearchDoublings times, as a look considers all engines and room may be short for long.
	searchInterval     = 20 * time.Millisecond
	maxSearchDoublings = 3
	// minMoveTime is the time that must remain for a request to leave a silent engine, which may go on
	// at any moment.
	minMoveTime = 250 * time.Millisecond
)

// errEngineSilent ends an exchange whose request goes on at another engine.
var errEngineSilent = errors.New("no data from the engine within the silence timeout")

// silenceWatch moves a request to another engine while its own one is silent. A silent engine may be
// sound, or its connection dead, so the run ends only once a place elsewhere is reserved and a
// connection to it is open; until then the engine may go on.
type silenceWatch struct {
	fl     *inflight
	ctx    context.Context // of the request
	engine catalog.Engine
	cancel context.CancelCauseFunc

	mutex  sync.Mutex // guards the fields below; acquired before the balancer's and the guard's
	wish   balance.Wish
	timer  *time.Timer // of the next look for a place
	looks  int         // since an event was received
	events int
	ended  bool           // the request doesn't move any more; always set if it may not
	next   *balance.Lease // where the request moves
}

// startSilenceWatch watches an attempt. The last allowed attempt isn't watched, as the request could
// not be sent again.
func (fl *inflight) startSilenceWatch(ctx context.Context, engine catalog.Engine, cancel context.CancelCauseFunc) *silenceWatch {
	w := &silenceWatch{fl: fl, ctx: ctx, engine: engine, cancel: cancel}
	if !fl.route.MayRunAgain() || fl.attempts.runs+1 >= fl.route.Attempts {
		w.ended = true
		return w
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.wish = fl.wish(0)
	w.wish.Service = engine.Service
	w.timer = time.AfterFunc(silenceTimeout, w.look)
	return w
}

// event records a whole event of a stream; other bytes received don't count. Until it is passed on, the
// engine isn't waited for. Without an ID the stream can't be resumed after the event, so it doesn't move
// any more.
func (w *silenceWatch) event(hasID bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.ended = w.ended || !hasID
	if w.ended {
		return
	}
	w.events++
	w.looks = 0
	w.wish.Release = w.engine.Release()
	w.timer.Stop()
}

// passedOn records that the last event was passed on to the caller, who may be slow to read.
func (w *silenceWatch) passedOn() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.ended {
		w.timer.Reset(silenceTimeout)
	}
}

// look moves the request if a place elsewhere is free, and else looks again later.
func (w *silenceWatch) look() {
	w.mutex.Lock()
	events, wish, ended := w.events, w.wish, w.ended
	w.mutex.Unlock()
	if ended {
		return
	}
	lease := w.reserve(wish)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	isCurrent := !w.ended && w.events == events // checkSend reads what the exchange changes at events
	if lease != nil && isCurrent && w.fl.checkSend(lease) == nil {
		w.next, w.ended = lease, true
		w.cancel(errEngineSilent)
		return
	}
	if lease != nil {
		lease.Cancel()
	}
	if isCurrent {
		w.timer.Reset(searchInterval << min(w.looks, maxSearchDoublings))
		w.looks++
	}
}

// reserve reserves a place elsewhere to which a connection can be opened; nil if there is none.
func (w *silenceWatch) reserve(wish balance.Wish) *balance.Lease {
	fl := w.fl
	if !fl.deadline.IsZero() && clock.Until(fl.deadline) < minMoveTime {
		return nil
	}
	if fl.Refresh != nil {
		fl.Refresh(w.ctx)
	}
	wish.Regions, wish.Left = fl.regions(), fl.left()
	lease, found := fl.Balancer.Elsewhere(w.ctx, w.engine, wish, fl.request.Priority)
	if !found {
		return nil
	}
	if !fl.prepare(w.ctx, lease) {
		lease.Cancel()
		return nil
	}
	return lease
}

// prepare reports whether there is a connection to the engine of a reserved place.
func (fl *inflight) prepare(ctx context.Context, lease *balance.Lease) bool {
	err := fl.Pool.Prepare(ctx, lease.Engine.Address, lease.Engine.ID)
	if err != nil && ctx.Err() == nil {
		fl.Balancer.RecordFailure(lease.Engine.ID, err)
	}
	return err == nil
}

// stop ends the watch and returns the place where the request moves, if any.
func (w *silenceWatch) stop() *balance.Lease {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.next
}
