package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"chutelock.dev/chutelock/internal/commandline"
	"chutelock.dev/chutelock/internal/lab/experiment"
)

func init() {
	subcommands = append(subcommands, commandline.Subcommand{
		Name:    "run",
		Summary: "run an experiment file in virtual time and write its results",
		Run:     runExperiment,
	})
}

// defaultParallel is the number of seeds that run concurrently.
const defaultParallel = 4

func runExperiment(arguments []string) int {
	flags := flag.NewFlagSet("run", flag.ContinueOnError)
	outputFolder := flags.String("out", "", "folder for NAME.csv and NAME.html; empty writes no files")
	parallel := flags.Int("parallel", defaultParallel, "seeds that run at once")
	seeds := flags.Int("seeds", 0, "number of seeds; 0 takes the file's")
	if err := flags.Parse(arguments); err != nil {
		return exitUsage
	}
	if flags.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "usage: chutelock-lab run [flags] EXPERIMENT.yaml")
		return exitUsage
	}
	file, err := experiment.Load(flags.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, "run:", err)
		return exitUsage
	}
	if *seeds > 0 {
		file.Seeds.Count = *seeds
	}
	outcome, err := experiment.Run(file, *parallel)
	if err != nil {
		fmt.Fprintln(os.Stderr, "run:", err)
		return exitFailure
	}
	outcome.WriteText(os.Stdout)
	if *outputFolder == "" {
		return 0
	}
	if err := writeOutcome(outcome, filepath.Join(*outputFolder, file.Name)); err != nil {
		fmt.Fprintln(os.Stderr, "run:", err)
		return exitFailure
	}
	return 0
}

func writeOutcome(outcome *experiment.Outcome, base string) error {
	if err := createFile(base+".csv", outcome.WriteCSV); err != nil {
		return err
	}
	return createFile(base+".html", outcome.WriteHTML)
}

func createFile(path string, write func(io.Writer) error) error {
	out, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(out); err != nil {
		_ = out.Close()
		return err
	}
	return out.Close()
}
