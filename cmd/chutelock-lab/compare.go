package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"chutelock.dev/chutelock/internal/commandline"
	"chutelock.dev/chutelock/internal/lab/load"
)

func init() {
	subcommands = append(subcommands, commandline.Subcommand{
		Name:    "compare",
		Summary: "show summaries of load runs side by side",
		Run:     runCompare,
	})
}

func runCompare(arguments []string) int {
	flags := flag.NewFlagSet("compare", flag.ContinueOnError)
	flags.Usage = func() {
		fmt.Fprintln(flags.Output(), "usage: chutelock-lab compare SUMMARY.json ...\nLatencies in milliseconds; ratios are to the first run.")
	}
	if err := flags.Parse(arguments); errors.Is(err, flag.ErrHelp) {
		return exitOK
	} else if err != nil || flags.NArg() == 0 {
		return exitUsage
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "  ONLINE TRAFFIC\tREQUESTS\tWHOLE\tMOVED\tFIRST TOKEN p50\tp99\tRATIO p99\tBETWEEN TOKENS p50\tp99\tRATIO p99")
	var first load.Summary
	for i, path := range flags.Args() {
		summary, err := readLoadSummary(path)
		if err != nil {
			fmt.Fprintln(os.Stderr, "compare:", err)
			return exitFailure
		}
		if i == 0 {
			first = summary
		}
		fmt.Fprintf(table, "  %s\t%d\t%d\t%d\t%.1f\t%.1f\t%.2f\t%.1f\t%.1f\t%.2f\n",
			strings.TrimSuffix(filepath.Base(path), ".json"), summary.Requests, summary.Outcomes[load.OutcomeOK], summary.Failovers,
			summary.TimeToFirstToken.P50, summary.TimeToFirstToken.P99, ratio(summary.TimeToFirstToken.P99, first.TimeToFirstToken.P99),
			summary.BetweenTokens.P50, summary.BetweenTokens.P99, ratio(summary.BetweenTokens.P99, first.BetweenTokens.P99))
	}
	_ = table.Flush()
	return exitOK
}

func ratio(value, reference float64) float64 {
	if reference == 0 {
		return 0
	}
	return value / reference
}

func readLoadSummary(path string) (load.Summary, error) {
	var summary load.Summary
	content, err := os.ReadFile(path)
	if err != nil {
		return summary, err
	}
	return summary, json.Unmarshal(content, &summary)
}
