package batch

import (
	"math"
	"time"
)

// stepHistogram is a weighted histogram of step lengths with exponential decay:
// weights fall to 1/e in timeConstant. New entries get larger weights instead of
// old ones smaller, so that adding costs O(1).
type stepHistogram struct {
	timeConstant time.Duration // defaultTimeConstant if zero
	weights      [histogramBins]float64
	total        float64
	scale        float64
	rescaled     time.Time
}

// The lengths of the bins grow by the factor binGrowth, starting at minBinLength.
const (
	minBinLength        = 500 * time.Microsecond
	binGrowth           = 1.01
	histogramBins       = 780 // up to more than a second
	defaultTimeConstant = 5 * time.Minute
	rescaleInterval     = time.Second
	maxScale            = 1e9
)

var logBinGrowth = math.Log(binGrowth)

func (h *stepHistogram) add(now time.Time, length time.Duration, weight float64) {
	h.rescale(now)
	position := int(math.Log(float64(length)/float64(minBinLength)) / logBinGrowth)
	position = min(max(position, 0), histogramBins-1)
	h.weights[position] += weight * h.scale
	h.total += weight * h.scale
}

func (h *stepHistogram) rescale(now time.Time) {
	if h.scale == 0 {
		h.scale = 1
		h.rescaled = now
	}
	elapsed := now.Sub(h.rescaled)
	if elapsed < rescaleInterval {
		return
	}
	timeConstant := h.timeConstant
	if timeConstant == 0 {
		timeConstant = defaultTimeConstant
	}
	h.scale *= math.Exp(elapsed.Seconds() / timeConstant.Seconds())
	h.rescaled = now
	if h.scale > maxScale {
		for i := range h.weights {
			h.weights[i] /= h.scale
		}
		h.total /= h.scale
		h.scale = 1
	}
}

// quantile returns the length below which the share of the weight lies, or zero
// if the histogram is empty.
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

// binLength returns the geometric center of a bin.
func binLength(position int) time.Duration {
	return time.Duration(float64(minBinLength) * math.Exp(logBinGrowth*(float64(position)+0.5)))
}

// shareAbove returns the share of the weight above a length.
func (h *stepHistogram) shareAbove(length time.Duration) float64 {
	if h.total <= 0 {
		return 0
	}
	weight := 0.0
	for i := histogramBins - 1; i >= 0 && binLength(i) > length; i-- {
		weight += h.weights[i]
	}
	return weight / h.total
}
