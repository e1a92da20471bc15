package forward

import (
	"errors"
	"math/rand/v2"
	"time"

	"chutelock.dev/chutelock/internal/balance"
)

// comeBackFrom is when a caller whose request has not run for a cause should ask again.
// Where all engines are cold it is when their pace allows more, and later by up to as long as
// requests take, as others are told the same.
func (fl *flight) comeBackFrom(cause error) time.Duration {
	var paced *balance.PaceError
	if errors.As(cause, &paced) && paced.After > 0 {
		return paced.After + rand.N(max(1, fl.Balancer.Ran()))
	}
	return fl.admission().comeBack(fl.Balancer.Ran(), time.Now(), rand.Float64())
}
