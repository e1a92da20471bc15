package forward

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/returns"
)

// noEngineRetryAfter is the minimum Retry-After while a service has no usable engine; an
// engine takes seconds to start.
const noEngineRetryAfter = time.Second

// retryAfter is when the caller of a request that has not run because of cause should
// retry: a held request when it is released, one refused by the pace of cold engines when
// the pace allows more, plus a random delay, one without any engine after
// noEngineRetryAfter, and one that found no room as Returns plans. It is 0 if the request
// continues a stream that can't go on.
func (fl *inflight) retryAfter(cause error) time.Duration {
	if fl.cannotContinue(cause) {
		return 0
	}
	if errors.Is(cause, balance.ErrNoEngine) {
		return noEngineRetryAfter + rand.N(noEngineRetryAfter)
	}
	var held *heldError
	if errors.As(cause, &held) {
		return held.Left
	}
	var paced *balance.PaceError
	if errors.As(cause, &paced) && paced.RetryAfter > 0 {
		return paced.RetryAfter + rand.N(max(1, fl.Balancer.MeanHold()))
	}
	meanRun, now, draw := fl.Balancer.MeanHold(), clock.Now(), rand.Float64()
	if isNoRoom(cause) {
		refusal := returns.Refusal{Tenant: fl.request.Tenant, Deadline: fl.deadline, MeanRun: meanRun}
		if wait, planned := fl.Returns.plan(fl.service, refusal, now, draw); planned {
			return wait
		}
	}
	return fl.waitPolicy().retryAfter(meanRun, now, draw)
}

// isNoRoom reports whether a request has not run because no engine had room, as the balancer
// or the engines themselves said. Engines that can't be reached are no sign of overload.
func isNoRoom(cause error) bool {
	var status statusError
	if errors.As(cause, &status) {
		return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	}
	return errors.Is(cause, balance.ErrNoRoom)
}
