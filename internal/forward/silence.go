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
	// darkTimeout is the silence from which on a request leaves its engine for a place in the queue of
	// another one, too. A sound engine may be silent for a second or so.
	darkTimeout = 2500 * time.Millisecond
	// minMoveTime is the time that must remain for a request to leave a silent engine, which may go on
	// at any moment.
	minMoveTime = 250 * time.Millisecond
	// retryPause is the pause after a place was found that the request may not use.
	retryPause = 50 * time.Millisecond
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

	mutex      sync.Mutex // guards the fields below; acquired before the balancer's and the guard's
	wish       balance.Wish
	timer      *time.Timer // starts the search
	stopSearch context.CancelFunc
	isPaused   bool           // an event is being written
	ended      bool           // the request doesn't move any more; always set if it may not
	next       *balance.Lease // where the request moves
}

// startSilenceWatch watches an attempt. The last allowed attempt isn't watched, as the request could
// not be sent again.
func (fl *inflight) startSilenceWatch(ctx context.Context, engine catalog.Engine, cancel context.CancelCauseFunc) *silenceWatch {
	w := &silenceWatch{fl: fl, ctx: ctx, engine: engine, cancel: cancel, stopSearch: func() {}}
	if !fl.route.MayRunAgain() || fl.attempts.runs+1 >= fl.route.Attempts {
		w.ended = true
		return w
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.wish = fl.wish(0)
	w.wish.Service, w.wish.Stream = engine.Service, fl.isStream()
	w.timer = time.AfterFunc(silenceTimeout, w.search)
	return w
}

// event records a whole event of a stream; other bytes received don't count. Nothing is watched until
// await is called, as the caller may be slow to read the event. Without an ID the stream can't be resumed
// after the event, so it doesn't move any more.
func (w *silenceWatch) event(hasID bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopSearch()
	w.ended = w.ended || !hasID
	if w.ended {
		return
	}
	w.timer.Stop()
	w.isPaused = true
	w.wish.Release = w.engine.Release()
}

// await goes on to watch a stream after an event was written.
func (w *silenceWatch) await() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.isPaused = false
	if !w.ended {
		w.timer.Reset(silenceTimeout)
	}
}

// search moves the request once a place elsewhere is free, unless an event comes first.
func (w *silenceWatch) search() {
	w.mutex.Lock()
	if w.ended || w.isPaused {
		w.mutex.Unlock()
		return
	}
	ctx, stop := w.searchContext()
	w.stopSearch = stop
	wish, queueFrom := w.wish, clock.Now().Add(darkTimeout-silenceTimeout)
	w.mutex.Unlock()
	defer stop()
	for ctx.Err() == nil {
		lease := w.reserve(ctx, wish, queueFrom)
		if lease == nil {
			continue
		}
		if w.move(ctx, lease) {
			return
		}
		lease.Cancel()
		clock.Sleep(ctx, retryPause)
	}
}

// searchContext returns the context of a search, which ends while there is still time to move.
func (w *silenceWatch) searchContext() (context.Context, context.CancelFunc) {
	if w.fl.deadline.IsZero() {
		return context.WithCancel(w.ctx)
	}
	return context.WithTimeout(w.ctx, clock.Until(w.fl.deadline)-minMoveTime)
}

// move ends the exchange if the request may go on at the reserved place, and reports whether it does.
func (w *silenceWatch) move(ctx context.Context, lease *balance.Lease) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	// The context ends before the exchange changes, at an event, what checkSend reads.
	if w.ended || ctx.Err() != nil || w.fl.checkSend(lease) != nil {
		return false
	}
	w.next, w.ended = lease, true
	w.cancel(errEngineSilent)
	return true
}

// reserve reserves a place elsewhere to which a connection can be opened; nil if that fails.
func (w *silenceWatch) reserve(ctx context.Context, wish balance.Wish, queueFrom time.Time) *balance.Lease {
	fl := w.fl
	wish.Regions, wish.Left = fl.regions(), fl.left()
	wish.Wait = max(0, fl.route.Target-clock.Since(fl.request.Arrived))
	lease := fl.Balancer.Elsewhere(ctx, w.engine, wish, fl.request.Priority, queueFrom, fl.Refresh)
	if lease == nil {
		return nil
	}
	if !fl.prepare(ctx, lease) {
		lease.Cancel()
		return nil
	}
	return lease
}

// prepare reports whether there is a connection to the engine of a reserved place.
func (fl *inflight) prepare(ctx context.Context, lease *balance.Lease) bool {
	err := fl.Pool.Prepare(ctx, lease.Engine.Address, lease.Engine.ID, fl.request.ID)
	if err != nil && ctx.Err() == nil {
		fl.Balancer.RecordFailure(lease.Engine.ID, err)
	}
	return err == nil
}

// stop ends the watch and returns the place where the request moves, if any. It may be called again.
func (w *silenceWatch) stop() *balance.Lease {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopSearch()
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.next
}
