package main

import (
	"flag"
	"fmt"
	"os"

	"chutelock.dev/chutelock/internal/commandline"
)

func init() {
	subcommands = append(subcommands, commandline.Subcommand{Name: "cancel", Summary: "cancel a batch job", Run: runCancel})
}

func runCancel(arguments []string) int {
	var conn connection
	flags := flag.NewFlagSet("cancel", flag.ContinueOnError)
	conn.register(flags)
	if code, ok := conn.parse(flags, arguments); !ok {
		return code
	}
	if flags.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "usage: chutelockctl cancel [flags] JOB")
		return exitUsage
	}
	var cancelled batchObject
	response, err := conn.client().R().SetResult(&cancelled).SetPathParam("id", flags.Arg(0)).
		Post(pathBatches + "/{id}/cancel")
	if code := responseExitCode("cancel", response, err); code != exitOK {
		return code
	}
	return printBatches(&conn, cancelled, cancelled)
}
