package main

import (
	"flag"
	"fmt"
	"os"

	"chutelock.dev/chutelock/internal/commandline"
	"chutelock.dev/chutelock/internal/settings/operator"
	"chutelock.dev/chutelock/internal/settings/tree"
)

func init() {
	subcommands = append(subcommands, commandline.Subcommand{Name: "explain", Summary: "show a node's effective settings and where each comes from", Run: runExplain})
}

const explainUsage = `usage: chutelockctl explain [flags] PATH

Shows the effective settings of a node, and the node that each value comes
from: the node itself, an ancestor, or "default" for a built-in value.

  chutelockctl explain fleet/ulaanbaatar/placement/drafting/caseworkers`

func runExplain(arguments []string) int {
	flags := flag.NewFlagSet("explain", flag.ContinueOnError)
	var conn connection
	conn.register(flags)
	setUsage(flags, explainUsage)
	if code, ok := conn.parse(flags, arguments); !ok {
		return code
	}
	if flags.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "explain: name one path; `chutelockctl explain -h` explains")
		return exitUsage
	}
	var explanation tree.Explanation
	response, err := conn.client().R().SetQueryParam("path", flags.Arg(0)).SetResult(&explanation).Get(operator.PathExplain)
	if err != nil || !response.IsSuccess() {
		return settingsFailure(response, err, "")
	}
	var rows []string
	for _, value := range explanation.Values {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s", value.Field, value.Value, value.From))
	}
	if err := conn.print(os.Stdout, explanation, "FIELD\tVALUE\tFROM", rows); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return exitOK
}
