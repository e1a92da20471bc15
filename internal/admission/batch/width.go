package batch

import (
	"math"
	"time"
)

// width is the share of the free slots that batch may fill while online has
// requests at the engine. It narrows while online's waits for the first token
// are longer, at the protected quantile, than allowed: a request that arrives
// in the middle of a step waits for its end, which no suspension can hasten.
type width struct {
	value   float64
	updated time.Time
}

// How the width moves.
const (
	// tailFirst is the share below which the width is in use.
	tailFirst  = 0.5
	widest     = 1.0
	narrowest  = 0.1
	widthEvery = 500 * time.Millisecond
	widthSpeed = 0.02
)

// update compares the share of long waits with the allowed share.
func (w *width) update(now time.Time, long, allowed float64) {
	if now.Sub(w.updated) < widthEvery {
		return
	}
	w.updated = now
	excess := min(long/allowed-1, largestExcess)
	w.value = min(max(w.value*math.Exp(-widthSpeed*excess), narrowest), widest)
}
