package sim

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chutelock.dev/chutelock/internal/lab/arrivals"
	"chutelock.dev/chutelock/internal/standin/engine/scheduler"
)

// Range, in nanoseconds, and significant digits of the histograms.
const (
	lowestLatency  = int64(time.Microsecond)
	highestLatency = int64(5 * time.Minute)
	latencyDigits  = 3
)

// Result holds the measurements of a run after its warm-up.
type Result struct {
	Policy string
	Seed   uint64

	FirstToken    *hdrhistogram.Histogram // time to first token, at the client
	BetweenTokens *hdrhistogram.Histogram
	Total         *hdrhistogram.Histogram

	OnlineDone       int
	OnlineFailed     int // no engine could accept the request
	OnlineRetried    int
	OnlineOutOfOrder int // tokens out of order; must be 0
	OnlineTokens     int
	PromptTokens     int // of finished online requests
	CachedTokens     int

	BatchItems      int
	BatchDone       int
	BatchDuplicates int // dropped results of items already done
	// BatchTokens is the number of output tokens retained at the end, minus those
	// retained at the end of the warm-up.
	BatchTokens    int
	BatchComputed  int // output tokens computed, including lost ones
	DeadlineItems  int
	DeadlineMissed int

	Suspensions       int
	Cancellations     int
	EnginePreemptions int
	Steps             int
	Prefilled         int

	Recording *Recording

	measuring       bool
	retained        int
	retainedAtStart int
}

func newResult(policy string, seed uint64) *Result {
	return &Result{
		Policy:        policy,
		Seed:          seed,
		FirstToken:    hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		BetweenTokens: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		Total:         hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
	}
}

func (r *Result) startMeasuring() {
	r.measuring = true
	r.retainedAtStart = r.retained
}

func (r *Result) stopMeasuring() {
	r.measuring = false
	r.BatchTokens = r.retained - r.retainedAtStart
}

func (r *Result) addRetained(tokens int) { r.retained += tokens }

func (r *Result) countStep(step scheduler.StepResult) {
	if r.measuring {
		r.Steps++
		r.Prefilled += step.Prefilled
	}
}

func (r *Result) countToken(batch bool) {
	if !r.measuring {
		return
	}
	if batch {
		r.BatchComputed++
	} else {
		r.OnlineTokens++
	}
}

func (r *Result) recordFirstToken(sent, at time.Duration) {
	if r.measuring {
		recordLatency(r.FirstToken, at-sent)
	}
}

func (r *Result) recordNextToken(_, previous, at time.Duration) {
	if r.measuring {
		recordLatency(r.BetweenTokens, at-previous)
	}
}

func (r *Result) recordOnlineDone(request arrivals.Request, at time.Duration, cached, prompt int) {
	if !r.measuring {
		return
	}
	r.OnlineDone++
	r.PromptTokens += prompt
	r.CachedTokens += cached
	recordLatency(r.Total, at-request.At)
}

func recordLatency(histogram *hdrhistogram.Histogram, latency time.Duration) {
	value := min(max(int64(latency), lowestLatency), highestLatency)
	_ = histogram.RecordValue(value) // clamped to the range above
}
