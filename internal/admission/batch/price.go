package batch

import (
	"math"
	"time"
)

// price is the number of batch streams that one waiting online stream outweighs.
// It rises while more of online's steps are slow than allowed, and falls otherwise.
type price struct {
	initial float64
	value   float64
	updated time.Time
}

// Parameters of the price. It changes slowly, and by at most the factor priceRange
// from its initial value, as the share of slow steps is known only after minutes.
const (
	halfSharePrice = 5.0 // initial price for a Share of one half
	minShare       = 0.05
	priceRange     = 2.0
	priceInterval  = 500 * time.Millisecond
	priceGain      = 0.01
	// maxExcess limits the change by one update.
	maxExcess = 2.0
)

// newPrice returns the initial price, which is inversely proportional to Share.
func newPrice(share float64) price {
	start := halfSharePrice * 0.5 / max(minShare, share)
	return price{initial: start, value: start}
}

// update adjusts the price by the ratio of the slow to the allowed share of steps.
func (p *price) update(now time.Time, slow, allowed float64) {
	if now.Sub(p.updated) < priceInterval {
		return
	}
	p.updated = now
	excess := min(slow/allowed-1, maxExcess)
	adjusted := p.value * math.Exp(priceGain*excess)
	p.value = min(max(adjusted, p.initial/priceRange), p.initial*priceRange)
}
