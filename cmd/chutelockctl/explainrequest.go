package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"

	"chutelock.dev/chutelock/internal/commandline"
	"chutelock.dev/chutelock/internal/logstory"
)

func init() {
	subcommands = append(subcommands, commandline.Subcommand{
		Name: "explain-request", Summary: "the story of a request, item or job from log files or standard input", Run: runExplainRequest,
	})
}

// Exit codes of explain-request and explain-span, besides exitUsage.
const (
	exitReadFailure = 1 // a file can't be read, or the output can't be written
	exitNotFound    = 3 // no log line matches
)

func runExplainRequest(arguments []string) int {
	flags := flag.NewFlagSet("explain-request", flag.ContinueOnError)
	format := flags.String("o", "table", "`format`: table or json")
	flags.Usage = func() {
		fmt.Fprintln(flags.Output(), "usage: chutelockctl explain-request [-o table|json] ID [FILE ...]")
		flags.PrintDefaults()
	}
	if flags.Parse(arguments) != nil || flags.NArg() == 0 || (*format != "table" && *format != "json") {
		flags.Usage()
		return exitUsage
	}
	entries, err := readLogs(flags.Args()[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "chutelockctl:", err)
		return exitReadFailure
	}
	story := logstory.Select(entries, flags.Arg(0))
	if len(story) == 0 {
		fmt.Fprintf(os.Stderr, "chutelockctl: no line names %q\n", flags.Arg(0))
		return exitNotFound
	}
	if err := writeStory(os.Stdout, *format, story); err != nil {
		fmt.Fprintln(os.Stderr, "chutelockctl:", err)
		return exitReadFailure
	}
	return 0
}

func writeStory(out io.Writer, format string, story []logstory.Entry) error {
	if format == "json" {
		return json.NewEncoder(out).Encode(story)
	}
	return logstory.Write(out, story)
}

// readLogs reads log files, or standard input if paths is empty.
func readLogs(paths []string) ([]logstory.Entry, error) {
	if len(paths) == 0 {
		return logstory.Read(os.Stdin, "stdin")
	}
	var all []logstory.Entry
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		entries, err := logstory.Read(file, path)
		file.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, entries...)
	}
	return all, nil
}
