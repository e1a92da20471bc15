package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sort"
	"strings"
	"syscall"
	"time"

	"chutelock.dev/chutelock/internal/commandline"
	"chutelock.dev/chutelock/internal/lab/arrivals"
	"chutelock.dev/chutelock/internal/lab/load"
)

func init() {
	subcommands = append(subcommands, commandline.Subcommand{
		Name:    "load",
		Summary: "send open-loop online traffic to nodes or engines and check every answer",
		Run:     runLoad,
	})
}

// Defaults of the load subcommand.
const (
	defaultDuration    = 10 * time.Second
	defaultTimeout     = 30 * time.Second
	defaultMaxInFlight = 2000
)

// listFlag is a repeatable flag with comma-separated values.
type listFlag []string

// String implements flag.Value.
func (l *listFlag) String() string { return strings.Join(*l, ",") }

// Set implements flag.Value.
func (l *listFlag) Set(value string) error {
	*l = append(*l, strings.Split(value, ",")...)
	return nil
}

type loadFlags struct {
	config       load.Config
	json         string
	outputTokens int
	ownTokens    int
	check        bool
	strict       bool
}

func parseLoadFlags(arguments []string) (loadFlags, error) {
	var parsed loadFlags
	config := &parsed.config
	prompts := &config.Online.Prompts
	flags := flag.NewFlagSet("load", flag.ContinueOnError)
	flags.Var((*listFlag)(&config.Targets), "target", "base URL, e.g. http://127.0.0.1:8080; repeat or separate by commas for several")
	flags.StringVar(&config.Key, "key", "", "bearer key")
	flags.StringVar(&config.Model, "model", "", "model to ask for")
	flags.Float64Var(&config.Online.Rate, "rate", 10, "mean requests per second (Poisson)")
	flags.DurationVar(&config.Duration, "duration", defaultDuration, "how long requests are sent")
	flags.IntVar(&config.MaxRequests, "requests", 0, "stop after this many requests; 0 means no bound but -duration")
	flags.IntVar(&config.MaxInFlight, "max-in-flight", defaultMaxInFlight, "requests in flight; one more is counted as not_sent")
	flags.DurationVar(&config.Timeout, "timeout", defaultTimeout, "longest time for one request")
	flags.BoolVar(&config.Stream, "stream", true, "ask for server-sent events")
	flags.BoolVar(&config.Chat, "chat", false, "use chat completions")
	flags.IntVar(&prompts.Families, "prompt-families", 8, "families of prompts that share a prefix")
	flags.IntVar(&prompts.SharedTokens, "shared-tokens", 64, "tokens of the shared prefix")
	flags.IntVar(&parsed.ownTokens, "own-tokens", 32, "tokens of a prompt's own part")
	flags.IntVar(&parsed.outputTokens, "max-tokens", 32, "tokens asked for")
	flags.Uint64Var(&config.Seed, "seed", 1, "seed of the traffic")
	flags.StringVar(&config.Label, "label", "", "keeps the prompts of this run apart from other runs; default from the seed")
	flags.BoolVar(&parsed.check, "check", true, "compare each answer with the stand-in engine's text")
	flags.BoolVar(&parsed.strict, "strict", false, "exit with 3 unless every request was answered whole")
	flags.BoolVar(&config.Failover, "failover", false, "go on to the next target when one can't be reached or says not_run")
	flags.StringVar(&parsed.json, "json", "", "write the summary as JSON to this file; - is standard output")
	if err := flags.Parse(arguments); err != nil {
		return loadFlags{}, err
	}
	prompts.OwnTokens = arrivals.Span{Min: parsed.ownTokens, Max: parsed.ownTokens}
	prompts.OutputTokens = arrivals.Span{Min: parsed.outputTokens, Max: parsed.outputTokens}
	if config.Label == "" {
		config.Label = fmt.Sprintf("s%d", config.Seed)
	}
	if parsed.check {
		config.Expected = expectedText
	}
	return parsed, nil
}

func runLoad(arguments []string) int {
	parsed, err := parseLoadFlags(arguments)
	if err != nil {
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	summary, err := load.Run(ctx, parsed.config)
	if err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		return exitFailure
	}
	printLoadSummary(os.Stdout, summary, parsed.json == "-")
	if err := writeLoadSummary(parsed.json, summary); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		return exitFailure
	}
	if summary.Outcomes[load.OutcomeWrongText]+summary.Outcomes[load.OutcomeTruncated] > 0 {
		return exitBadAnswers
	}
	if parsed.strict && summary.Outcomes[load.OutcomeOK] != summary.Requests {
		return exitBadAnswers
	}
	return exitOK
}

func writeLoadSummary(path string, summary load.Summary) error {
	if path == "" {
		return nil
	}
	encoded, err := json.MarshalIndent(summary, "", "  ")
	if err != nil {
		return err
	}
	encoded = append(encoded, '\n')
	if path == "-" {
		_, err = os.Stdout.Write(encoded)
		return err
	}
	return os.WriteFile(path, encoded, 0o644)
}

func printLoadSummary(out io.Writer, summary load.Summary, quiet bool) {
	if quiet {
		return
	}
	fmt.Fprintf(out, "requests %d in %.1f s, %d tokens, answers checked: %t\n",
		summary.Requests, summary.Seconds, summary.Tokens, summary.Checked)
	names := make([]string, 0, len(summary.Outcomes))
	for name := range summary.Outcomes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(out, "  %-28s %d\n", name, summary.Outcomes[name])
	}
	printQuantiles(out, "time to first token", summary.TimeToFirstToken)
	printQuantiles(out, "between tokens", summary.BetweenTokens)
	printQuantiles(out, "total", summary.Total)
	for _, example := range summary.Examples {
		fmt.Fprintf(out, "  %s at %s, request %s: %s\n", example.Outcome, example.Target, example.RequestID, example.Detail)
	}
}

func printQuantiles(out io.Writer, name string, values load.Quantiles) {
	fmt.Fprintf(out, "%-20s p50 %.1f  p95 %.1f  p99 %.1f  p99.9 %.1f  max %.1f ms\n",
		name, values.P50, values.P95, values.P99, values.P999, values.Max)
}
