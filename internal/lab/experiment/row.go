package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chutelock.dev/chutelock/internal/lab/sim"
)

// Latency is one latency's quantiles, in milliseconds.
type Latency struct{ P50, P99, P999 float64 }

func latencyOf(histogram *hdrhistogram.Histogram) Latency {
	at := func(percent float64) float64 {
		return float64(histogram.ValueAtQuantile(percent)) / float64(time.Millisecond)
	}
	return Latency{P50: at(50), P99: at(99), P999: at(99.9)}
}

// over divides quantile by quantile.
func (l Latency) over(reference Latency) Latency {
	return Latency{
		P50:  ratio(l.P50, reference.P50),
		P99:  ratio(l.P99, reference.P99),
		P999: ratio(l.P999, reference.P999),
	}
}

func ratio(value, reference float64) float64 {
	if reference == 0 {
		return 0
	}
	return value / reference
}

// Row is the measures of one run.
type Row struct {
	Policy string
	Seed   uint64

	FirstToken    Latency
	BetweenTokens Latency
	Total         Latency
	// Harm is each latency divided by that without batch on the same traffic.
	HarmFirstToken    Latency
	HarmBetweenTokens Latency
	HarmTotal         Latency

	// Bound is sim.FluidBound, and Harvest the share of it that was reached.
	Bound   float64
	Harvest float64
	// FeasibleDeadlines is sim.FeasibleDeadlines.
	FeasibleDeadlines int

	Result *sim.Result
}

func newRow(result *sim.Result, alone *reference) Row {
	row := Row{
		Policy:        result.Policy,
		Seed:          result.Seed,
		FirstToken:    latencyOf(result.FirstToken),
		BetweenTokens: latencyOf(result.BetweenTokens),
		Total:         latencyOf(result.Total),
		Bound:         alone.bound,
		Harvest:       ratio(float64(result.BatchTokens), alone.bound),
		Result:        result,

		FeasibleDeadlines: alone.feasible,
	}
	row.HarmFirstToken = row.FirstToken.over(latencyOf(alone.result.FirstToken))
	row.HarmBetweenTokens = row.BetweenTokens.over(latencyOf(alone.result.BetweenTokens))
	row.HarmTotal = row.Total.over(latencyOf(alone.result.Total))
	return row
}

// sample takes the row's measures.
func (r Row) sample() Sample {
	values := make([]float64, len(measures))
	for i, measure := range measures {
		values[i] = measure.of(r)
	}
	return Sample{Policy: r.Policy, Seed: r.Seed, Bound: r.Bound, Values: values}
}

// Sample is the measures of one run, in the order of the table of measures.
type Sample struct {
	Policy string
	Seed   uint64
	Bound  float64
	Values []float64
}

// prefixHits is the share of prompt tokens found in a prefix cache.
func (r Row) prefixHits() float64 {
	return ratio(float64(r.Result.CachedTokens), float64(r.Result.PromptTokens))
}

// missed is the number of items that missed their deadline beyond those that
// nobody could have met.
func (r Row) missed() float64 {
	met := r.Result.DeadlineItems - r.Result.DeadlineMissed
	return float64(max(0, r.FeasibleDeadlines-met))
}

// measure is a column that is averaged over seeds.
type measure struct {
	name  string
	title string
	of    func(Row) float64
}

// measures are all columns.
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
	{"deadline_missed", "feasible deadlines missed", Row.missed},
	{"prefix_hits", "online prefix hits", Row.prefixHits},
	{"online_done", "online done", func(r Row) float64 { return float64(r.Result.OnlineDone) }},
	{"online_failed", "online failed", func(r Row) float64 { return float64(r.Result.OnlineFailed) }},
	{"online_retried", "online retried", func(r Row) float64 { return float64(r.Result.OnlineRetried) }},
	{"online_wrong", "online tokens out of order", func(r Row) float64 { return float64(r.Result.OnlineWrong) }},
	{"suspensions", "suspensions", func(r Row) float64 { return float64(r.Result.Suspensions) }},
	{"cancellations", "cancellations", func(r Row) float64 { return float64(r.Result.Cancellations) }},
	{"preemptions", "engine preemptions", func(r Row) float64 { return float64(r.Result.EnginePreemptions) }},
}

// measureIndex finds a measure by its name.
func measureIndex(name string) (int, bool) {
	for index, candidate := range measures {
		if candidate.name == name {
			return index, true
		}
	}
	return 0, false
}
