package main

import (
	"flag"
	"fmt"
	"os"

	"chutelock.dev/chutelock/internal/commandline"
	"chutelock.dev/chutelock/internal/lab/experiment"
)

func init() {
	subcommands = append(subcommands, commandline.Subcommand{
		Name:    "report",
		Summary: "summarise the recorded results of an experiment",
		Run:     runReport,
	})
}

func runReport(arguments []string) int {
	flags := flag.NewFlagSet("report", flag.ContinueOnError)
	reference := flags.String("reference", "controller", "policy that the others are compared with")
	htmlPath := flags.String("html", "", "write an HTML page to this file")
	if err := flags.Parse(arguments); err != nil {
		return exitUsage
	}
	if flags.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "usage: chutelock-lab report [flags] RESULTS.csv")
		return exitUsage
	}
	outcome, err := readResults(flags.Arg(0), *reference)
	if err != nil {
		fmt.Fprintln(os.Stderr, "report:", err)
		return exitUsage
	}
	outcome.WriteText(os.Stdout)
	if *htmlPath == "" {
		return 0
	}
	if err := createFile(*htmlPath, outcome.WriteHTML); err != nil {
		fmt.Fprintln(os.Stderr, "report:", err)
		return exitFailure
	}
	return 0
}

func readResults(path, reference string) (*experiment.Outcome, error) {
	in, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = in.Close() }()
	return experiment.ReadCSV(in, reference)
}
