package quota

import (
	"math"
	"time"
)

const (
	// buckets are the parts of a window. The newest is not over; so there is one more,
	// the oldest, of which the part counts that is still inside: a count is off by
	// less than that bucket.
	buckets = 20
	kept    = buckets + 1
	// rateMemory is the time over which the rate of asking is averaged: short
	// against a window, long against the age of what nodes know of each other.
	rateMemory = 500 * time.Millisecond
)

// window counts events within a span of time that ends now.
type window struct {
	span   time.Duration
	counts [kept]int32
	// epoch is when bucket 0 began: buckets go by the clock that passed times are of,
	// which doesn't jump as a date does.
	epoch  time.Time
	newest int64 // number of the newest bucket
}

func (w *window) bucket(now time.Time) (number int64, into float64) {
	length := int64(w.span / buckets)
	if w.epoch.IsZero() {
		w.epoch = now
	}
	at := max(0, int64(now.Sub(w.epoch)))
	return at / length, float64(at%length) / float64(length)
}

// advance empties the buckets that have begun since the last call.
func (w *window) advance(number int64) {
	if number <= w.newest {
		return // also where the clock went back: what is counted stays
	}
	for n := max(w.newest+1, number-kept+1); n <= number; n++ {
		w.counts[n%kept] = 0
	}
	w.newest = number
}

func (w *window) add(now time.Time) {
	number, _ := w.bucket(now)
	w.advance(number)
	w.counts[max(number, w.newest)%kept]++
}

// remove takes back an event that was added at a time.
func (w *window) remove(added, now time.Time) {
	number, _ := w.bucket(now)
	w.advance(number)
	at, _ := w.bucket(added)
	if w.newest-at < kept && w.counts[at%kept] > 0 {
		w.counts[at%kept]--
	}
}

// count is the number of events within the span, taking those of the oldest bucket
// as spread evenly.
func (w *window) count(now time.Time) float64 {
	number, into := w.bucket(now)
	w.advance(number)
	total := 0.0
	for _, count := range w.counts {
		total += float64(count)
	}
	oldest := w.counts[(w.newest+1)%kept]
	return total - float64(oldest)*into
}

// rate is the events a second lately.
type rate struct {
	at    time.Time
	value float64
}

func (r *rate) add(now time.Time) {
	r.value = r.now(now) + 1/rateMemory.Seconds()
	r.at = now
}

func (r *rate) now(now time.Time) float64 { return faded(r.value, now.Sub(r.at)) }

// faded is a rate of asking after so much time without news of it.
func faded(value float64, age time.Duration) float64 {
	return value * math.Exp(-max(0, age.Seconds())/rateMemory.Seconds())
}
