package fairshare

import (
	"testing"
	"time"
)

// crowd is all traffic at 2.5 times the usual, and the largest tenant at 12 times that.
func crowd(tenant int, since time.Duration) float64 {
	switch {
	case since < playWarmUp || since >= playWarmUp+playCrowd:
		return 1
	case tenant == 0:
		return 2.5 * 12
	}
	return 2.5
}

func TestTry(t *testing.T) {
	for _, load := range []float64{0.3, 0.36, 0.8} {
		for w := noShares; w <= sharesByZone; w++ {
			p := newPlayer(w, load, 1)
			p.factor = crowd
			begun := time.Now()
			p.play()
			t.Logf("%v %v: hot %+v %.2f others %+v %.3f worst tenth %.3f bytes %d took %v", load, w, p.outcomes[0], p.outcomes[0].share(),
				p.sum(func(i int) bool { return i != 0 }), p.sum(func(i int) bool { return i != 0 }).share(), p.worstTenth(), p.bytes, time.Since(begun))
		}
	}
}
