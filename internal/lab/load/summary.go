package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcomes of a request. Refusals and errors of the server are counted as
// "http_STATUS_CODE" or, in a stream, "stream_CODE".
const (
	OutcomeOK        = "ok"
	OutcomeWrongText = "wrong_text" // a whole answer with another text than expected
	OutcomeTruncated = "truncated"  // an answer that ended without its end mark
	OutcomeTimeout   = "timeout"
	OutcomeTransport = "transport_error"
	OutcomeNotSent   = "not_sent" // the bound on requests in flight was reached
)

// Bounds of the histograms.
const (
	lowestLatency  = int64(time.Microsecond)
	highestLatency = int64(10 * time.Minute)
	latencyDigits  = 3
)

// examplesKept bounds the bad answers that a summary names.
const examplesKept = 20

// Quantiles of a latency, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Example names one bad answer.
type Example struct {
	RequestID string `json:"request_id"`
	Target    string `json:"target"`
	Outcome   string `json:"outcome"`
	Detail    string `json:"detail"`
}

// Summary is the result of a run. Latencies are of requests that ended OK.
type Summary struct {
	Seed     uint64         `json:"seed"`
	Requests int            `json:"requests"`
	Outcomes map[string]int `json:"outcomes"`
	// Moved counts the times that a request went on to another target.
	Moved            int       `json:"moved"`
	Tokens           int64     `json:"tokens"`
	Seconds          float64   `json:"seconds"`
	Checked          bool      `json:"answers_checked"`
	TimeToFirstToken Quantiles `json:"time_to_first_token"`
	BetweenTokens    Quantiles `json:"between_tokens"`
	Total            Quantiles `json:"total"`
	Examples         []Example `json:"examples,omitempty"`
}

// recorder collects results; it may be used concurrently. Its mutex is a leaf:
// no other lock is taken under it.
type recorder struct {
	mutex    sync.Mutex
	first    *hdrhistogram.Histogram
	between  *hdrhistogram.Histogram
	total    *hdrhistogram.Histogram
	outcomes map[string]int
	tokens   int64
	moved    int
	examples []Example
}

func newRecorder() *recorder {
	return &recorder{
		first:    hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		between:  hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		total:    hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		outcomes: map[string]int{},
	}
}

func (r *recorder) record(result answer) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.outcomes[result.outcome]++
	r.moved += result.moved
	if result.outcome != OutcomeOK {
		r.keepExample(result)
		return
	}
	r.tokens += int64(len(result.tokenTimes))
	recordLatency(r.total, result.ended.Sub(result.scheduled))
	for i, at := range result.tokenTimes {
		if i == 0 {
			recordLatency(r.first, at.Sub(result.scheduled))
			continue
		}
		recordLatency(r.between, at.Sub(result.tokenTimes[i-1]))
	}
}

func (r *recorder) keepExample(result answer) {
	if len(r.examples) >= examplesKept || result.outcome == OutcomeNotSent {
		return
	}
	r.examples = append(r.examples, Example{
		RequestID: result.requestID,
		Target:    result.target,
		Outcome:   result.outcome,
		Detail:    result.detail,
	})
}

func recordLatency(histogram *hdrhistogram.Histogram, latency time.Duration) {
	value := min(max(int64(latency), lowestLatency), highestLatency)
	_ = histogram.RecordValue(value) // in range by the line above
}

func (r *recorder) summary() Summary {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	requests := 0
	for _, count := range r.outcomes {
		requests += count
	}
	return Summary{
		Requests:         requests,
		Outcomes:         r.outcomes,
		Tokens:           r.tokens,
		Moved:            r.moved,
		TimeToFirstToken: quantiles(r.first),
		BetweenTokens:    quantiles(r.between),
		Total:            quantiles(r.total),
		Examples:         r.examples,
	}
}

func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	at := func(percent float64) float64 {
		return float64(histogram.ValueAtQuantile(percent)) / float64(time.Millisecond)
	}
	return Quantiles{
		Count: histogram.TotalCount(),
		P50:   at(50),
		P90:   at(90),
		P95:   at(95),
		P99:   at(99),
		P999:  at(99.9),
		Max:   float64(histogram.Max()) / float64(time.Millisecond),
	}
}
