package batch

import (
	"math"
	"time"
)

// fillRatio is the share of the free slots that batch may fill while the engine has
// online requests. It falls while online's times to first token exceed the limit
// too often: a request that arrives during a step must wait for its end, which
// suspending streams can't shorten.
type fillRatio struct {
	value   float64
	updated time.Time
}

// Parameters of the fill ratio.
const (
	// firstTokenShare is the Config.Share below which the fill ratio is adjusted.
	firstTokenShare   = 0.5
	maxFillRatio      = 1.0
	minFillRatio      = 0.1
	fillRatioInterval = 500 * time.Millisecond
	fillRatioGain     = 0.02
)

// update adjusts the fill ratio by the ratio of the long to the allowed share of waits.
func (r *fillRatio) update(now time.Time, long, allowed float64) {
	if now.Sub(r.updated) < fillRatioInterval {
		return
	}
	r.updated = now
	excess := min(long/allowed-1, maxExcess)
	r.value = min(max(r.value*math.Exp(-fillRatioGain*excess), minFillRatio), maxFillRatio)
}
