package forward

import (
	"context"
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/telemetry"
)

var eventStreamMoved = telemetry.Define(2207, "stream-moved", "A stream's engine stopped keeping its pace, and the stream continues at a faster one.")

// errEnginePace ends an exchange whose stream continues at another engine.
var errEnginePace = errors.New("the engine stopped keeping its pace")

const (
	// pauseShare is the part of a route's target for the time between events after which a
	// stream may move: the rest is for connecting and for reading the prompt there.
	pauseShare = 0.5
	// paceCheckEvents is the number of events between two predictions of a stream's end.
	paceCheckEvents = 8
	// maxCheckDoublings bounds the interval between two checks of a pause to 8 times the pause
	// after which a stream may move.
	maxCheckDoublings = 4
)

// streamPace follows the events of one exchange. It has no side effects.
type streamPace struct {
	events           int
	first, last      time.Time
	checkedAt        time.Time
	recentlyPerEvent time.Duration // mean between the last two checks
}

// add records an event and reports whether a prediction of the stream's end is due.
func (p *streamPace) add(now time.Time) (due bool) {
	p.events++
	p.last = now
	switch {
	case p.events == 1:
		p.first, p.checkedAt = now, now
	case p.events%paceCheckEvents == 1:
		p.recentlyPerEvent = now.Sub(p.checkedAt) / paceCheckEvents
		p.checkedAt = now
		return true
	}
	return false
}

// endsLate predicts whether the stream ends after its deadline at its recent pace.
func (p *streamPace) endsLate(eventsLeft float64, left time.Duration) bool {
	return eventsLeft*float64(p.recentlyPerEvent) > float64(left)
}

// paceWatch moves a stream to a faster engine when its own pauses or gets too slow.
type paceWatch struct {
	pace     streamPace
	fl       *inflight
	ctx      context.Context // of the exchange
	engine   catalog.Engine
	wish     balance.Wish
	cancel   context.CancelCauseFunc
	maxPause time.Duration
	timer    *time.Timer  // fires when a pause gets too long; nil if pauses aren't watched
	checks   atomic.Int32 // of the current pause
	ended    atomic.Bool  // the stream ended or moves; always set if it isn't watched

	mutex sync.Mutex     // guards next; acquired before the balancer's
	next  *balance.Lease // where the stream moves
}

// startPaceWatch watches a stream that may be resumed. The last allowed attempt isn't
// watched, as it could not be continued.
func (fl *inflight) startPaceWatch(ctx context.Context, engine catalog.Engine, cancel context.CancelCauseFunc) *paceWatch {
	w := &paceWatch{fl: fl, ctx: ctx, engine: engine, cancel: cancel}
	if !fl.route.Resumable || fl.attempts.runs+1 >= fl.route.Attempts || !fl.Balancer.FollowsSpeeds() {
		w.ended.Store(true)
		return w
	}
	w.wish = fl.wish(0)
	w.wish.Service, w.wish.Release, w.wish.Stream = engine.Service, engine.Release(), true
	if w.maxPause = time.Duration(pauseShare * float64(fl.route.GapTarget)); w.maxPause > 0 {
		// The first event starts the timer.
		w.timer = time.AfterFunc(math.MaxInt64, w.checkPause)
	}
	return w
}

// event records an event of the stream. Without an ID it can't be resumed after the event, so
// it doesn't move any more.
func (w *paceWatch) event(hasID bool) {
	now := clock.Now()
	due := w.pace.add(now)
	if !hasID {
		w.ended.Store(true)
	}
	if w.ended.Load() {
		return
	}
	if w.timer != nil {
		w.checks.Store(0)
		w.timer.Reset(w.maxPause)
	}
	if due && !w.fl.deadline.IsZero() {
		eventsLeft := w.fl.Balancer.ExpectedEvents(w.engine.Service) - float64(w.fl.lastEvent)
		if w.pace.endsLate(eventsLeft, w.fl.deadline.Sub(now)) {
			w.moveIfFaster(w.pace.recentlyPerEvent)
		}
	}
}

// checkPause is called when no event came for maxPause, and less and less often while the pause
// lasts: a check looks at all engines, and many streams pause when room is short.
func (w *paceWatch) checkPause() {
	if w.ended.Load() {
		return
	}
	w.moveIfFaster(w.maxPause)
	w.timer.Reset(w.maxPause / 2 << min(w.checks.Add(1)-1, maxCheckDoublings))
}

// moveIfFaster ends the exchange if a much faster engine has room, where the stream is then
// resumed as after a lost connection. The place there is reserved first: else all streams that
// pause at an engine would leave it for the same free slot. A connection to it is opened, too, as the
// present engine may go on.
func (w *paceWatch) moveIfFaster(perEvent time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.ended.Load() || !w.fl.timeLeft() {
		return
	}
	wish := w.wish
	wish.Regions = w.fl.regions()
	next, slowness := w.fl.Balancer.AcquireFaster(w.engine, wish, perEvent)
	if next == nil {
		return
	}
	if w.fl.checkPlace(next) != nil || !w.fl.prepare(w.ctx, next) {
		next.Cancel()
		return
	}
	w.next = next
	w.ended.Store(true)
	eventStreamMoved.Info("request", w.fl.request.ID, "engine", w.engine.ID, "to", next.Engine.ID, "slowdown", slowness.Value, "age", slowness.Age, "per_event", perEvent)
	w.fl.Balancer.StreamsMoved.Add(1)
	w.cancel(errEnginePace)
}

// stop ends the watch, records the run in the lease and returns the place where the stream
// moves, if any.
func (w *paceWatch) stop(lease *balance.Lease) *balance.Lease {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.ended.Store(true)
	if w.timer != nil {
		w.timer.Stop()
	}
	lease.RecordEvents(w.pace.events, w.pace.last.Sub(w.pace.first))
	return w.next
}
