package forward

import (
	"errors"
	"math/rand/v2"
	"time"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/clock"
)

// noEngineRetryAfter is the minimum Retry-After while a service has no usable engine; an
// engine takes seconds to start.
const noEngineRetryAfter = time.Second

// retryAfter is when the caller of a request that has not run because of cause should
// retry: a held request when it is released, one refused by the pace of cold engines when
// the pace allows more, plus a random delay, and one without any engine after
// noEngineRetryAfter.
func (fl *inflight) retryAfter(cause error) time.Duration {
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
	return fl.waitPolicy().retryAfter(fl.Balancer.MeanHold(), clock.Now(), rand.Float64())
}
