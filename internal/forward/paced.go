package forward

import (
	"errors"
	"math/rand/v2"
	"time"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/clock"
)

// noEngineBack is the least time after which a caller is told to ask again where the service
// has no engine that may be used. How long that lasts isn't known; a change is known at all
// nodes within some 0.1 s of the store's answer in calm times, and an engine takes seconds
// to start.
const noEngineBack = time.Second

// comeBackFrom is when a caller whose request has not run for a cause should ask again.
// A request under which engines ended may do so once it is held back no more. Where all
// engines are cold it is when their pace allows more, and later by up to as long as
// requests take, as others are told the same; where there are none, after noEngineBack.
func (fl *flight) comeBackFrom(cause error) time.Duration {
	if errors.Is(cause, balance.ErrNoEngine) {
		return noEngineBack + rand.N(noEngineBack)
	}
	var held *heldBackError
	if errors.As(cause, &held) {
		return held.Left
	}
	var paced *balance.PaceError
	if errors.As(cause, &paced) && paced.After > 0 {
		return paced.After + rand.N(max(1, fl.Balancer.Ran()))
	}
	return fl.admission().comeBack(fl.Balancer.Ran(), clock.Now(), rand.Float64())
}
