package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"chutelock.dev/chutelock/internal/commandline"
	"chutelock.dev/chutelock/internal/lab/load"
)

func init() {
	subcommands = append(subcommands, commandline.Subcommand{
		Name:    "overhead",
		Summary: "show what the gateway adds to engines called directly",
		Run:     runOverhead,
	})
}

// Upper limits of the gateway's overhead.
const (
	goalAddedP50        = 0.5 // milliseconds
	goalAddedP99        = 2.0 // milliseconds
	goalCPUMicroseconds = 5.0 // per relayed token
)

// exitGoalMissed is the exit code if a goal is missed, as for load -strict.
const exitGoalMissed = 3

// overhead is the latency and processor time that the gateway adds.
type overhead struct {
	// addedP50 and addedP99 are medians over rounds of the time added to the
	// first token, in milliseconds.
	addedP50 float64
	addedP99 float64
	// cpuPerRequest and cpuPerToken are processor times of the node, in microseconds.
	cpuPerRequest float64
	cpuPerToken   float64
	// failed counts incomplete requests, direct and through the gateway.
	failed int
}

// cpuRun holds a run's summary and the node's processor times, in seconds.
type cpuRun struct {
	summary load.Summary
	user    float64
	system  float64
}

func runOverhead(arguments []string) int {
	flags := flag.NewFlagSet("overhead", flag.ContinueOnError)
	direct := flags.String("direct", "", "summaries of `load` to the engines, separated by commas")
	gateway := flags.String("gateway", "", "summaries of `load` through the gateway, one for each of -direct")
	cpu := flags.String("cpu", "", "`file` with a line for each run through the gateway: summary, user and system time of the node in clock ticks; the runs must differ in tokens a request")
	ticksPerSecond := flags.Float64("ticks-per-second", 100, "clock ticks a second")
	if err := flags.Parse(arguments); errors.Is(err, flag.ErrHelp) {
		return exitOK
	} else if err != nil {
		return exitUsage
	}
	directRuns, directErr := readLoadSummaries(*direct)
	gatewayRuns, gatewayErr := readLoadSummaries(*gateway)
	cpuRuns, cpuErr := readCPURuns(*cpu, *ticksPerSecond)
	err := errors.Join(directErr, gatewayErr, cpuErr)
	if err == nil && len(directRuns) != len(gatewayRuns) {
		err = errors.New("-direct and -gateway name different numbers of summaries")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "overhead:", err)
		return exitFailure
	}
	return reportOverhead(os.Stdout, directRuns, gatewayRuns, cpuRuns)
}

func readLoadSummaries(paths string) ([]load.Summary, error) {
	var summaries []load.Summary
	for _, path := range strings.Split(paths, ",") {
		summary, err := readLoadSummary(path)
		if err != nil {
			return nil, err
		}
		summaries = append(summaries, summary)
	}
	return summaries, nil
}

func readCPURuns(path string, ticksPerSecond float64) ([]cpuRun, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var runs []cpuRun
	for line := range strings.Lines(string(content)) {
		var summaryPath string
		var run cpuRun
		if _, err := fmt.Sscan(line, &summaryPath, &run.user, &run.system); err != nil {
			return nil, fmt.Errorf("%s: %q: %w", path, line, err)
		}
		run.user /= ticksPerSecond
		run.system /= ticksPerSecond
		if run.summary, err = readLoadSummary(summaryPath); err != nil {
			return nil, err
		}
		runs = append(runs, run)
	}
	return runs, nil
}

// measureOverhead compares direct and gateway runs pairwise by round.
func measureOverhead(direct, gateway []load.Summary, runs []cpuRun) overhead {
	var measured overhead
	var added50, added99 []float64
	for i := range direct {
		added50 = append(added50, gateway[i].TimeToFirstToken.P50-direct[i].TimeToFirstToken.P50)
		added99 = append(added99, gateway[i].TimeToFirstToken.P99-direct[i].TimeToFirstToken.P99)
		for _, summary := range []load.Summary{direct[i], gateway[i]} {
			measured.failed += summary.Requests - summary.Outcomes[load.OutcomeOK]
		}
	}
	measured.addedP50, measured.addedP99 = median(added50), median(added99)
	measured.cpuPerRequest, measured.cpuPerToken = splitCPU(runs)
	return measured
}

// splitCPU fits processor time by least squares to a cost per request and a
// cost per token, in microseconds. It returns NaN if the runs don't determine them.
func splitCPU(runs []cpuRun) (perRequest, perToken float64) {
	var rr, rt, tt, rc, tc float64
	for _, run := range runs {
		requests, tokens := float64(run.summary.Requests), float64(run.summary.Tokens)
		cpu := (run.user + run.system) * 1e6
		rr += requests * requests
		rt += requests * tokens
		tt += tokens * tokens
		rc += requests * cpu
		tc += tokens * cpu
	}
	determinant := rr*tt - rt*rt
	if determinant == 0 {
		return math.NaN(), math.NaN()
	}
	return (rc*tt - tc*rt) / determinant, (tc*rr - rc*rt) / determinant
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// reportOverhead prints each round and each goal, and returns the exit code.
func reportOverhead(out io.Writer, direct, gateway []load.Summary, runs []cpuRun) int {
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "ROUND\tWAY\tREQUESTS\tWHOLE\tFIRST TOKEN p50 ms\tp99 ms\tBETWEEN TOKENS p50 ms\tp99 ms")
	row := func(round int, route string, summary load.Summary) {
		fmt.Fprintf(table, "%d\t%s\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\n", round, route, summary.Requests, summary.Outcomes[load.OutcomeOK],
			summary.TimeToFirstToken.P50, summary.TimeToFirstToken.P99, summary.BetweenTokens.P50, summary.BetweenTokens.P99)
	}
	for i := range direct {
		row(i+1, "direct", direct[i])
		row(i+1, "gateway", gateway[i])
	}
	fmt.Fprintln(table, "\nPROCESSOR TIME OF THE NODE\t\tREQUESTS\tTOKENS\tUSER s\tSYSTEM s")
	for _, run := range runs {
		fmt.Fprintf(table, "\t\t%d\t%d\t%.2f\t%.2f\n", run.summary.Requests, run.summary.Tokens, run.user, run.system)
	}
	_ = table.Flush()
	return reportGoals(out, measureOverhead(direct, gateway, runs))
}

func reportGoals(out io.Writer, measured overhead) int {
	code := exitOK
	for _, goal := range []struct {
		name  string
		value float64
		limit float64
		unit  string
	}{
		{"added to the first token, p50, median of the rounds", measured.addedP50, goalAddedP50, "ms"},
		{"added to the first token, p99, median of the rounds", measured.addedP99, goalAddedP99, "ms"},
		{"processor time a relayed token", measured.cpuPerToken, goalCPUMicroseconds, "µs"},
		{"requests not answered whole", float64(measured.failed), 0, ""},
	} {
		status := "met"
		if !(goal.value <= goal.limit) { // true for NaN
			status, code = "MISSED", exitGoalMissed
		}
		fmt.Fprintf(out, "%s: %.2f %s (goal %.1f, %s)\n", goal.name, goal.value, goal.unit, goal.limit, status)
	}
	fmt.Fprintf(out, "processor time a request beside its tokens: %.2f µs\n", measured.cpuPerRequest)
	return code
}
