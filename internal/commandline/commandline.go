// Package commandline runs programs that consist of verbs, each with flags of
// its own.
package commandline

import (
	"fmt"
	"io"
)

// ExitUsage is the exit code for a wrong command line.
const ExitUsage = 2

// Verb is one verb of a program; Run takes the arguments behind it and returns
// the exit code.
type Verb struct {
	Name    string
	Summary string
	Run     func(arguments []string) int
}

// Dispatch runs the verb that the first argument names and returns its exit
// code. Without a known verb it lists them all to help and returns ExitUsage.
func Dispatch(program string, verbs []Verb, arguments []string, help io.Writer) int {
	if len(arguments) > 0 {
		for _, verb := range verbs {
			if verb.Name == arguments[0] {
				return verb.Run(arguments[1:])
			}
		}
	}
	fmt.Fprintf(help, "usage: %s VERB [flags]; -h after a verb explains it\n", program)
	for _, verb := range verbs {
		fmt.Fprintf(help, "  %-10s %s\n", verb.Name, verb.Summary)
	}
	return ExitUsage
}
