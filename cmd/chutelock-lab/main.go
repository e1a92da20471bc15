// Command chutelock-lab runs stand-ins of the platform and of engines,
// generates load, and runs experiments in virtual time.
package main

import (
	"os"

	"chutelock.dev/chutelock/internal/commandline"
)

// Exit codes of all subcommands.
const (
	exitOK         = 0
	exitFailure    = 1 // the run itself failed
	exitUsage      = commandline.ExitUsage
	exitBadAnswers = 3 // an answer was wrong or truncated
)

// subcommands is filled by the init functions of this package's other files.
var subcommands []commandline.Subcommand

func main() {
	os.Exit(commandline.Dispatch("chutelock-lab", subcommands, os.Args[1:], os.Stderr))
}
