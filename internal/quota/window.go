package quota

import (
	"math"
	"time"
)

const (
	// buckets is the number of buckets in a window. The ring holds one more, as the newest
	// is incomplete; the oldest counts in part, so the error is below its count.
	buckets  = 20
	ringSize = buckets + 1
	// rateTimeConstant is the time constant of the demand's average: short against the
	// window, long against the delay between nodes.
	rateTimeConstant = 500 * time.Millisecond
)

// window counts the events of a sliding span of time.
type window struct {
	span   time.Duration
	counts [ringSize]int32
	// epoch is the start of bucket 0. Buckets follow the monotonic clock of the times
	// passed in.
	epoch  time.Time
	newest int64 // number of the newest bucket
}

func (w *window) bucketAt(now time.Time) (number int64, fraction float64) {
	length := int64(w.span / buckets)
	if w.epoch.IsZero() {
		w.epoch = now
	}
	elapsed := max(0, int64(now.Sub(w.epoch)))
	return elapsed / length, float64(elapsed%length) / float64(length)
}

// advance clears the buckets that have begun since the last call.
func (w *window) advance(number int64) {
	if number <= w.newest {
		return // counts are kept if the clock goes back
	}
	for n := max(w.newest+1, number-ringSize+1); n <= number; n++ {
		w.counts[n%ringSize] = 0
	}
	w.newest = number
}

func (w *window) add(now time.Time) { w.addCount(1, now) }

func (w *window) addCount(count int32, now time.Time) {
	number, _ := w.bucketAt(now)
	w.advance(number)
	w.counts[max(number, w.newest)%ringSize] += count
}

// chronological returns the counts of the buckets, the oldest first.
func (w *window) chronological(now time.Time) (counts [ringSize]int32) {
	number, _ := w.bucketAt(now)
	w.advance(number)
	for i := range counts {
		counts[i] = w.counts[(w.newest+1+int64(i))%ringSize]
	}
	return counts
}

// remove takes back an event that was added at the given time.
func (w *window) remove(added, now time.Time) {
	number, _ := w.bucketAt(now)
	w.advance(number)
	addedNumber, _ := w.bucketAt(added)
	if w.newest-addedNumber < ringSize && w.counts[addedNumber%ringSize] > 0 {
		w.counts[addedNumber%ringSize]--
	}
}

// count returns the number of events within the span, with those of the oldest bucket
// taken as evenly spread.
func (w *window) count(now time.Time) float64 {
	number, fraction := w.bucketAt(now)
	w.advance(number)
	total := 0.0
	for _, count := range w.counts {
		total += float64(count)
	}
	oldest := w.counts[(w.newest+1)%ringSize]
	return total - float64(oldest)*fraction
}

// rate is an exponentially decaying average of events per second.
type rate struct {
	updatedAt time.Time
	value     float64
}

func (r *rate) add(now time.Time) {
	r.value = r.current(now) + 1/rateTimeConstant.Seconds()
	r.updatedAt = now
}

func (r *rate) current(now time.Time) float64 { return decayedRate(r.value, now.Sub(r.updatedAt)) }

// decayedRate is a rate after the given time without events.
func decayedRate(value float64, age time.Duration) float64 {
	return value * math.Exp(-max(0, age.Seconds())/rateTimeConstant.Seconds())
}

// rateNoise is three standard deviations of the average of steady events at a rate.
func rateNoise(perSecond float64) float64 {
	return 3 * math.Sqrt(perSecond/(2*rateTimeConstant.Seconds()))
}
