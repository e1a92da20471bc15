package main

import (
	"flag"
	"fmt"
	"os"

	"chutelock.dev/chutelock/internal/commandline"
	"chutelock.dev/chutelock/internal/settings/command"
	"chutelock.dev/chutelock/internal/settings/operator"
)

func init() {
	subcommands = append(subcommands, commandline.Subcommand{Name: "delete", Summary: "delete nodes of the settings tree", Run: runDelete})
}

const deleteUsage = `usage: chutelockctl delete [flags] PATH [PATH ...]

Deletes nodes of the settings tree. A node with others below it is deleted only
together with them: -r does that. To make one field inherit again, apply the
node without that field instead.

  chutelockctl delete -dry-run -r fleet/iceland/petitions/pilot`

func runDelete(arguments []string) int {
	flags := flag.NewFlagSet("delete", flag.ContinueOnError)
	var change changeFlags
	change.register(flags)
	recursive := flags.Bool("r", false, "delete all below the paths as well")
	setUsage(flags, deleteUsage)
	if code, ok := change.parse(flags, arguments); !ok {
		return code
	}
	if flags.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "delete: name the paths; `chutelockctl delete -h` explains")
		return exitUsage
	}
	return change.apply(operator.ApplyRequest{Change: command.Change{Delete: flags.Args(), Recursive: *recursive}})
}
