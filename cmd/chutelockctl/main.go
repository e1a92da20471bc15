// Command chutelockctl manages settings and batch jobs, and shows the fleet's state.
package main

import (
	"os"

	"chutelock.dev/chutelock/internal/commandline"
)

// exitUsage is the exit code for an invalid command line.
const exitUsage = commandline.ExitUsage

// subcommands is filled by the init functions of this package's other files.
var subcommands []commandline.Subcommand

func main() {
	os.Exit(commandline.Dispatch("chutelockctl", subcommands, os.Args[1:], os.Stderr))
}
