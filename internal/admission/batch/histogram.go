package batch

import (
	"math"
	"time"
)

// stepHistogram is a weighted histogram of step lengths that forgets: weights
// fall by 1/e in histogramMemory. Instead of lowering all old weights it
// raises those of new entries, so that adding costs O(1).
type stepHistogram struct {
	memory  time.Duration // histogramMemory if zero
	weights [histogramBins]float64
	total   float64
	scale   float64
	scaled  time.Time
}

// Shape of the histogram: bins grow by binGrowth from smallestBin on.
const (
	smallestBin     = 500 * time.Microsecond
	binGrowth       = 1.01
	histogramBins   = 780 // up to more than a second
	histogramMemory = 5 * time.Minute
	rescaleEvery    = time.Second
	largestScale    = 1e9
)

var logBinGrowth = math.Log(binGrowth)

func (h *stepHistogram) add(now time.Time, length time.Duration, weight float64) {
	h.grow(now)
	position := int(math.Log(float64(length)/float64(smallestBin)) / logBinGrowth)
	position = min(max(position, 0), histogramBins-1)
	h.weights[position] += weight * h.scale
	h.total += weight * h.scale
}

func (h *stepHistogram) grow(now time.Time) {
	if h.scale == 0 {
		h.scale = 1
		h.scaled = now
	}
	elapsed := now.Sub(h.scaled)
	if elapsed < rescaleEvery {
		return
	}
	memory := h.memory
	if memory == 0 {
		memory = histogramMemory
	}
	h.scale *= math.Exp(elapsed.Seconds() / memory.Seconds())
	h.scaled = now
	if h.scale > largestScale {
		for i := range h.weights {
			h.weights[i] /= h.scale
		}
		h.total /= h.scale
		h.scale = 1
	}
}

// quantile is the length below which share of the weight lies; zero while the
// histogram is empty.
func (h *stepHistogram) quantile(share float64) time.Duration {
	above := h.total * (1 - share)
	if h.total <= 0 {
		return 0
	}
	for i := histogramBins - 1; i > 0; i-- {
		above -= h.weights[i]
		if above < 0 {
			return binLength(i)
		}
	}
	return binLength(0)
}

// binLength is the middle of a bin.
func binLength(position int) time.Duration {
	return time.Duration(float64(smallestBin) * math.Exp(logBinGrowth*(float64(position)+0.5)))
}

// above is the share of the weight beyond a length.
func (h *stepHistogram) above(length time.Duration) float64 {
	if h.total <= 0 {
		return 0
	}
	weight := 0.0
	for i := histogramBins - 1; i >= 0 && binLength(i) > length; i-- {
		weight += h.weights[i]
	}
	return weight / h.total
}
