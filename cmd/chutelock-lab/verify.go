package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"chutelock.dev/chutelock/internal/commandline"
	"chutelock.dev/chutelock/internal/lab/verify"
	"chutelock.dev/chutelock/internal/standin/truth"
)

func init() {
	subcommands = append(subcommands, commandline.Subcommand{
		Name:    "verify",
		Summary: "compare a job's input with its results and the engines' truth logs",
		Run:     runVerify,
	})
}

func runVerify(arguments []string) int {
	flags := flag.NewFlagSet("verify", flag.ContinueOnError)
	input := flags.String("input", "", "the job's input `file`")
	output := flags.String("output", "", "the job's output `file`")
	errorsFile := flags.String("errors", "", "the job's error `file`, if it has one")
	flags.Usage = func() {
		fmt.Fprintln(flags.Output(), "usage: chutelock-lab verify -input F -output F [-errors F] [TRUTH-LOG ...]\n"+
			"Prints counts as JSON; exit code 0 only if every item has exactly one right result.")
		flags.PrintDefaults()
	}
	if err := flags.Parse(arguments); errors.Is(err, flag.ErrHelp) {
		return exitOK
	} else if err != nil {
		return exitUsage
	}
	summary, err := verifyFiles(*input, flags.Args(), *output, *errorsFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "verify:", err)
		return exitFailure
	}
	_ = json.NewEncoder(os.Stdout).Encode(summary)
	if !summary.Correct() {
		return exitBadAnswers
	}
	return exitOK
}

func verifyFiles(input string, logs []string, outputs ...string) (verify.Summary, error) {
	in, err := os.Open(input)
	if err != nil {
		return verify.Summary{}, err
	}
	defer in.Close()
	var readers []io.Reader
	for _, path := range outputs {
		if path == "" {
			continue
		}
		file, err := os.Open(path)
		if err != nil {
			return verify.Summary{}, err
		}
		defer file.Close()
		readers = append(readers, file)
	}
	summary, err := verify.Job(in, readers...)
	if err != nil || len(logs) == 0 {
		return summary, err
	}
	entries, err := truth.ReadFiles(logs...)
	summary.Repeated = verify.CountRepeated(entries, "batch_")
	return summary, err
}
