// Command chutelock-lab runs the stand-ins of the platform and of an engine,
// drives load, and runs experiments in virtual time.
package main

import (
	"fmt"
	"os"
)

// subcommand is one verb of the program; run returns the exit code.
type subcommand struct {
	name    string
	summary string
	run     func(arguments []string) int
}

// Exit codes of all verbs.
const (
	exitOK         = 0
	exitFailure    = 1 // the run itself failed
	exitUsage      = 2 // wrong command line
	exitBadAnswers = 3 // a wrong or truncated answer was seen
)

// subcommands is filled by the init functions of this package's other files.
var subcommands []subcommand

func main() {
	if len(os.Args) < 2 {
		usage()
		os.Exit(exitUsage)
	}
	for _, candidate := range subcommands {
		if candidate.name == os.Args[1] {
			os.Exit(candidate.run(os.Args[2:]))
		}
	}
	usage()
	os.Exit(exitUsage)
}

func usage() {
	fmt.Fprintln(os.Stderr, "usage: chutelock-lab VERB [flags]; -h after a verb explains it")
	for _, candidate := range subcommands {
		fmt.Fprintf(os.Stderr, "  %-10s %s\n", candidate.name, candidate.summary)
	}
}
