package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcomes of a request. Error responses are counted as "http_STATUS_CODE" or,
// within a stream, "stream_CODE".
const (
	OutcomeOK        = "ok"
	OutcomeWrongText = "wrong_text" // a complete response with an unexpected text
	OutcomeTruncated = "truncated"  // a response that ended early
	OutcomeTimeout   = "timeout"
	OutcomeTransport = "transport_error"
	OutcomeNotSent   = "not_sent" // Config.MaxInFlight was reached
)

// Range, in nanoseconds, and significant digits of the histograms.
const (
	lowestLatency  = int64(time.Microsecond)
	highestLatency = int64(10 * time.Minute)
	latencyDigits  = 3
)

// maxExamples is the maximum number of examples in a summary.
const maxExamples = 20

// Quantiles holds quantiles of a latency, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Example describes a request that did not end with OutcomeOK.
type Example struct {
	RequestID string `json:"request_id"`
	Target    string `json:"target"`
	Outcome   string `json:"outcome"`
	Detail    string `json:"detail"`
}

// Summary is the result of a run. Its latencies are of requests with OutcomeOK.
type Summary struct {
	Seed     uint64         `json:"seed"`
	Requests int            `json:"requests"`
	Outcomes map[string]int `json:"outcomes"`
	// Failovers counts failovers to another target.
	Failovers        int       `json:"moved"`
	Tokens           int64     `json:"tokens"`
	Seconds          float64   `json:"seconds"`
	Checked          bool      `json:"answers_checked"`
	TimeToFirstToken Quantiles `json:"time_to_first_token"`
	BetweenTokens    Quantiles `json:"between_tokens"`
	Total            Quantiles `json:"total"`
	Examples         []Example `json:"examples,omitempty"`
}

// recorder collects results and is safe for concurrent use. No other lock is
// acquired while its mutex is held.
type recorder struct {
	mutex         sync.Mutex
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
	total         *hdrhistogram.Histogram
	outcomes      map[string]int
	tokens        int64
	failovers     int
	examples      []Example
}

func newRecorder() *recorder {
	return &recorder{
		firstToken:    hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		betweenTokens: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		total:         hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		outcomes:      map[string]int{},
	}
}

func (r *recorder) record(result callResult) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.outcomes[result.outcome]++
	r.failovers += result.failovers
	if result.outcome != OutcomeOK {
		r.addExample(result)
		return
	}
	r.tokens += int64(len(result.tokenTimes))
	recordLatency(r.total, result.ended.Sub(result.scheduled))
	for i, at := range result.tokenTimes {
		if i == 0 {
			recordLatency(r.firstToken, at.Sub(result.scheduled))
			continue
		}
		recordLatency(r.betweenTokens, at.Sub(result.tokenTimes[i-1]))
	}
}

func (r *recorder) addExample(result callResult) {
	if len(r.examples) >= maxExamples || result.outcome == OutcomeNotSent {
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
	_ = histogram.RecordValue(value) // clamped to the range above
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
		Failovers:        r.failovers,
		TimeToFirstToken: quantiles(r.firstToken),
		BetweenTokens:    quantiles(r.betweenTokens),
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
