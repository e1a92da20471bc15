package sim

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chutelock.dev/chutelock/internal/lab/arrivals"
	"chutelock.dev/chutelock/internal/standin/engine/scheduler"
)

// Bounds of the histograms, in nanoseconds.
const (
	lowestLatency  = int64(time.Microsecond)
	highestLatency = int64(5 * time.Minute)
	latencyDigits  = 3
)

// Result is what a run measured between the warm-up and its end.
type Result struct {
	Policy string
	Seed   uint64

	FirstToken    *hdrhistogram.Histogram // client's time to first token
	BetweenTokens *hdrhistogram.Histogram
	Total         *hdrhistogram.Histogram

	OnlineDone    int
	OnlineFailed  int // no engine left to send it to
	OnlineRetried int
	OnlineWrong   int // tokens out of order; must be 0
	OnlineTokens  int
	PromptTokens  int // of finished online requests
	CachedTokens  int

	BatchItems      int
	BatchDone       int
	BatchDuplicates int // second results of an item, dropped
	// BatchTokens is the output tokens that stand at the end, less those that
	// stood at the end of the warm-up.
	BatchTokens    int
	BatchComputed  int // output tokens computed, lost ones included
	DeadlineItems  int
	DeadlineMissed int

	Suspensions       int
	Cancellations     int
	EnginePreemptions int
	Steps             int
	Prefilled         int

	Recording *Recording

	measuring bool
	retained  int
	baseline  int
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
	r.baseline = r.retained
}

func (r *Result) stopMeasuring() {
	r.measuring = false
	r.BatchTokens = r.retained - r.baseline
}

func (r *Result) retain(tokens int) { r.retained += tokens }

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

func (r *Result) firstToken(sent, at time.Duration) {
	if r.measuring {
		recordLatency(r.FirstToken, at-sent)
	}
}

func (r *Result) nextToken(_, previous, at time.Duration) {
	if r.measuring {
		recordLatency(r.BetweenTokens, at-previous)
	}
}

func (r *Result) onlineDone(request arrivals.Request, at time.Duration, cached, prompt int) {
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
	_ = histogram.RecordValue(value) // in range by the line above
}
