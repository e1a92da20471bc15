package batch

import (
	"math"
	"time"
)

// price is how many batch streams one online stream's wait outweighs. It rises
// while online's slow steps are more than allowed, and falls otherwise.
type price struct {
	initial float64
	value   float64
	updated time.Time
}

// How the price moves. The share of slow steps is only known after minutes, so
// the price moves slowly, and no further than priceRange from where it starts.
const (
	halfSharePrice = 5.0 // start at a Share of one half
	lowestShare    = 0.05
	priceRange     = 2.0
	priceEvery     = 500 * time.Millisecond
	priceSpeed     = 0.01
	// largestExcess bounds one update.
	largestExcess = 2.0
)

// newPrice starts lower the more throughput weighs.
func newPrice(share float64) price {
	start := halfSharePrice * 0.5 / max(lowestShare, share)
	return price{initial: start, value: start}
}

// update compares the share of slow steps with the allowed share.
func (p *price) update(now time.Time, slow, allowed float64) {
	if now.Sub(p.updated) < priceEvery {
		return
	}
	p.updated = now
	excess := min(slow/allowed-1, largestExcess)
	moved := p.value * math.Exp(priceSpeed*excess)
	p.value = min(max(moved, p.initial/priceRange), p.initial*priceRange)
}
