package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chutelock.dev/chutelock/internal/lab/sim"
)

// Latency holds quantiles of a latency, in milliseconds.
type Latency struct{ P50, P99, P999 float64 }

func newLatency(histogram *hdrhistogram.Histogram) Latency {
	at := func(percent float64) float64 {
		return float64(histogram.ValueAtQuantile(percent)) / float64(time.Millisecond)
	}
	return Latency{P50: at(50), P99: at(99), P999: at(99.9)}
}

// dividedBy returns the ratio of each quantile to that of base.
func (l Latency) dividedBy(base Latency) Latency {
	return Latency{
		P50:  ratio(l.P50, base.P50),
		P99:  ratio(l.P99, base.P99),
		P999: ratio(l.P999, base.P999),
	}
}

func ratio(numerator, denominator float64) float64 {
	if denominator == 0 {
		return 0
	}
	return numerator / denominator
}

// Row holds the measures of one run.
type Row struct {
	Policy string
	Seed   uint64

	FirstToken    Latency
	BetweenTokens Latency
	Total         Latency
	// Quantiles divided by those of the baseline, which has the same traffic.
	HarmFirstToken    Latency
	HarmBetweenTokens Latency
	HarmTotal         Latency

	// Bound is sim.FluidBound, and Harvest the fraction of it that was reached.
	Bound   float64
	Harvest float64
	// FeasibleDeadlines is the result of sim.FeasibleDeadlines.
	FeasibleDeadlines int

	Result *sim.Result
}

func newRow(result *sim.Result, base *baseline) Row {
	row := Row{
		Policy:        result.Policy,
		Seed:          result.Seed,
		FirstToken:    newLatency(result.FirstToken),
		BetweenTokens: newLatency(result.BetweenTokens),
		Total:         newLatency(result.Total),
		Bound:         base.bound,
		Harvest:       ratio(float64(result.BatchTokens), base.bound),
		Result:        result,

		FeasibleDeadlines: base.feasible,
	}
	row.HarmFirstToken = row.FirstToken.dividedBy(newLatency(base.result.FirstToken))
	row.HarmBetweenTokens = row.BetweenTokens.dividedBy(newLatency(base.result.BetweenTokens))
	row.HarmTotal = row.Total.dividedBy(newLatency(base.result.Total))
	return row
}

// newSample returns the row's values for the table of measures.
func (r Row) newSample() Sample {
	values := make([]float64, len(measures))
	for i, measure := range measures {
		values[i] = measure.value(r)
	}
	return Sample{Policy: r.Policy, Seed: r.Seed, Bound: r.Bound, Values: values}
}

// Sample holds the measures of one run; Values has the order of measures.
type Sample struct {
	Policy string
	Seed   uint64
	Bound  float64
	Values []float64
}

// prefixHitRate returns the fraction of prompt tokens found in a prefix cache.
func (r Row) prefixHitRate() float64 {
	return ratio(float64(r.Result.CachedTokens), float64(r.Result.PromptTokens))
}

// missedDeadlines returns how many fewer items met their deadline than was
// feasible.
func (r Row) missedDeadlines() float64 {
	met := r.Result.DeadlineItems - r.Result.DeadlineMissed
	return float64(max(0, r.FeasibleDeadlines-met))
}

// measure is a result column, averaged over seeds.
type measure struct {
	name  string
	title string
	value func(Row) float64
}

// measures lists all measures in CSV column order.
var measures = []measure{
	{"ttft_p50_ms", "TTFT p50, ms", func(r Row) float64 { return r.FirstToken.P50 }},
	{"ttft_p99_ms", "TTFT p99, ms", func(r Row) float64 { return r.FirstToken.P99 }},
	{"ttft_p999_ms", "TTFT p99.9, ms", func(r Row) float64 { return r.FirstToken.P999 }},
	{"tbt_p50_ms", "between tokens p50, ms", func(r Row) float64 { return r.BetweenTokens.P50 }},
	{"tbt_p99_ms", "between tokens p99, ms", func(r Row) float64 { return r.BetweenTokens.P99 }},
	{"tbt_p999_ms", "between tokens p99.9, ms", func(r Row) float64 { return r.BetweenTokens.P999 }},
	{"total_p99_ms", "whole answer p99, ms", func(r Row) float64 { return r.Total.P99 }},
	{"harm_ttft_p50", "harm TTFT p50", func(r Row) float64 { return r.HarmFirstToken.P50 }},
	{"harm_ttft_p99", "harm TTFT p99", func(r Row) float64 { return r.HarmFirstToken.P99 }},
	{"harm_ttft_p999", "harm TTFT p99.9", func(r Row) float64 { return r.HarmFirstToken.P999 }},
	{"harm_tbt_p50", "harm between tokens p50", func(r Row) float64 { return r.HarmBetweenTokens.P50 }},
	{"harm_tbt_p99", "harm between tokens p99", func(r Row) float64 { return r.HarmBetweenTokens.P99 }},
	{"harm_tbt_p999", "harm between tokens p99.9", func(r Row) float64 { return r.HarmBetweenTokens.P999 }},
	{"harm_total_p99", "harm whole answer p99", func(r Row) float64 { return r.HarmTotal.P99 }},
	{"harvest", "harvest of the fluid bound", func(r Row) float64 { return r.Harvest }},
	{"batch_tokens", "batch tokens", func(r Row) float64 { return float64(r.Result.BatchTokens) }},
	{"batch_lost", "batch tokens computed and lost", func(r Row) float64 { return float64(r.Result.BatchComputed - r.Result.BatchTokens) }},
	{"batch_done", "items done", func(r Row) float64 { return float64(r.Result.BatchDone) }},
	{"batch_duplicates", "second results dropped", func(r Row) float64 { return float64(r.Result.BatchDuplicates) }},
	{"deadline_items", "items with a deadline in the run", func(r Row) float64 { return float64(r.Result.DeadlineItems) }},
	{"deadline_missed", "feasible deadlines missed", Row.missedDeadlines},
	{"prefix_hits", "online prefix hits", Row.prefixHitRate},
	{"online_done", "online done", func(r Row) float64 { return float64(r.Result.OnlineDone) }},
	{"online_failed", "online failed", func(r Row) float64 { return float64(r.Result.OnlineFailed) }},
	{"online_retried", "online retried", func(r Row) float64 { return float64(r.Result.OnlineRetried) }},
	{"online_wrong", "online tokens out of order", func(r Row) float64 { return float64(r.Result.OnlineOutOfOrder) }},
	{"suspensions", "suspensions", func(r Row) float64 { return float64(r.Result.Suspensions) }},
	{"cancellations", "cancellations", func(r Row) float64 { return float64(r.Result.Cancellations) }},
	{"preemptions", "engine preemptions", func(r Row) float64 { return float64(r.Result.EnginePreemptions) }},
}

// measureIndex returns the index of a measure, and whether it exists.
func measureIndex(name string) (int, bool) {
	for index, candidate := range measures {
		if candidate.name == name {
			return index, true
		}
	}
	return 0, false
}
