// Package commandline dispatches to the subcommands of a program, each of which
// parses its own flags.
package commandline

import (
	"fmt"
	"io"
)

// ExitUsage is the exit code for an invalid command line.
const ExitUsage = 2

// Subcommand is an action of a program, named by its first argument. Run takes the
// arguments that follow the name and returns the exit code.
type Subcommand struct {
	Name    string
	Summary string
	Run     func(arguments []string) int
}

// Dispatch runs the subcommand named by the first argument and returns its exit code.
// If there is none, it writes the usage and all subcommands to help and returns ExitUsage.
func Dispatch(program string, subcommands []Subcommand, arguments []string, help io.Writer) int {
	if len(arguments) > 0 {
		for _, subcommand := range subcommands {
			if subcommand.Name == arguments[0] {
				return subcommand.Run(arguments[1:])
			}
		}
	}
	fmt.Fprintf(help, "usage: %s VERB [flags]; -h after a verb lists its flags\n", program)
	for _, subcommand := range subcommands {
		fmt.Fprintf(help, "  %-10s %s\n", subcommand.Name, subcommand.Summary)
	}
	return ExitUsage
}
