// Command chutelockctl is the command line of operators and clerks.
package main

import (
	"os"

	"chutelock.dev/chutelock/internal/commandline"
)

// exitUsage is the exit code for a wrong command line.
const exitUsage = commandline.ExitUsage

// subcommands is filled by the init functions of this package's other files.
var subcommands []commandline.Verb

func main() {
	os.Exit(commandline.Dispatch("chutelockctl", subcommands, os.Args[1:], os.Stderr))
}
