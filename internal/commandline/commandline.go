// Package commandline dispatches to the verbs (subcommands) of a program, each of
// which parses its own flags.
package commandline

import (
	"fmt"
	"io"
)

// ExitUsage is the exit code for an invalid command line.
const ExitUsage = 2

// Verb is a subcommand. Run takes the arguments that follow its name and returns
// the exit code.
type Verb struct {
	Name    string
	Summary string
	Run     func(arguments []string) int
}

// Dispatch runs the verb named by the first argument and returns its exit code.
// If there is none, it writes the usage and all verbs to help and returns ExitUsage.
func Dispatch(program string, verbs []Verb, arguments []string, help io.Writer) int {
	if len(arguments) > 0 {
		for _, verb := range verbs {
			if verb.Name == arguments[0] {
				return verb.Run(arguments[1:])
			}
		}
	}
	fmt.Fprintf(help, "usage: %s VERB [flags]; -h after a verb lists its flags\n", program)
	for _, verb := range verbs {
		fmt.Fprintf(help, "  %-10s %s\n", verb.Name, verb.Summary)
	}
	return ExitUsage
}
