package forward

import (
	"context"
	"errors"
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
)

const (
	// originInterval is the interval at which the origin of a long stream is recorded again; see
	// origin.RecordTTL.
	originInterval = 10 * time.Second
	// originCheckInterval is the interval of the checks whether an origin that other nodes didn't
	// need has to be recorded now. It adds little to the time in which nodes learn of an engine.
	originCheckInterval = 100 * time.Millisecond
)

var (
	errOriginUnknown = errors.New("it is not known which release of the engines began the stream")
	errServiceMoved  = errors.New("the route no longer leads to the service that began the stream")
)

// findOrigin determines which engines may serve a request that continues a stream: those of the
// release that began it. If that is unknown, it refuses the request and returns false.
func (fl *inflight) findOrigin(ctx context.Context) bool {
	if fl.Origin == nil || !fl.request.Continues() || fl.route.Kind != catalog.KindStream || !fl.route.Resumable {
		return true
	}
	release, found := fl.Origin(ctx, fl.request, fl.route)
	switch {
	case fl.contextEnded(ctx, OutcomeNotSent):
		return false
	case !found:
		fl.refuse(VerdictNotRun, errOriginUnknown)
		return false
	case !slices.Contains(fl.route.Services(), release.Service):
		fl.refuse(VerdictNotRun, errServiceMoved)
		return false
	}
	fl.began, fl.service = release, release.Service
	return true
}

// cannotContinue reports whether cause means that the request continues a stream for which no
// engine is fit. Waiting doesn't change that.
func (fl *inflight) cannotContinue(cause error) bool {
	if errors.Is(cause, errOriginUnknown) || errors.Is(cause, errServiceMoved) {
		return true
	}
	return fl.began != (catalog.Release{}) && errors.Is(cause, balance.ErrNoEngine)
}

// recordOrigin records the release that began the stream, before an event is passed on to the
// caller, who may then continue it elsewhere.
func (fl *inflight) recordOrigin(engine catalog.Engine) {
	if !fl.streamStarted && fl.began == (catalog.Release{}) {
		fl.began, fl.service = engine.Release(), engine.Service
	}
	now := clock.Now()
	if fl.Began == nil || !fl.route.Resumable || now.Before(fl.recordAt) {
		return
	}
	fl.recordAt = now.Add(originCheckInterval)
	if fl.Began(fl.request, fl.route, fl.began) {
		fl.recordAt = now.Add(originInterval)
	}
}
