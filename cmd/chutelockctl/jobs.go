package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"

	"chutelock.dev/chutelock/internal/commandline"
)

func init() {
	subcommands = append(subcommands, commandline.Subcommand{Name: "jobs", Summary: "list batch jobs, or show or watch one", Run: runJobs})
}

const defaultListLimit = 20

func runJobs(arguments []string) int {
	var conn connection
	flags := flag.NewFlagSet("jobs", flag.ContinueOnError)
	conn.register(flags)
	limit := flags.Int("limit", defaultListLimit, "how many to list, 1 to 100")
	after := flags.String("after", "", "list those behind this job")
	wait := flags.Bool("wait", false, "with a job: wait until it is final, and show its progress")
	waitTimeout := flags.Duration("wait-timeout", defaultWaitTimeout, "longest wait with -wait")
	if code, ok := conn.parse(flags, arguments); !ok {
		return code
	}
	client := conn.client()
	switch {
	case flags.NArg() > 1 || (*wait && flags.NArg() == 0):
		fmt.Fprintln(os.Stderr, "usage: chutelockctl jobs [flags] [JOB]")
		return exitUsage
	case *wait:
		found, code := waitForBatch(client, flags.Arg(0), *waitTimeout)
		if printed := printBatches(&conn, found, found); printed != exitOK {
			return printed
		}
		return code
	case flags.NArg() == 1:
		found, code := getBatch(client, flags.Arg(0))
		if code != exitOK {
			return code
		}
		return printBatches(&conn, found, found)
	default:
		return listJobs(&conn, *limit, *after)
	}
}

func listJobs(conn *connection, limit int, after string) int {
	var list struct {
		Data    []batchObject `json:"data"`
		HasMore bool          `json:"has_more"`
		LastID  string        `json:"last_id,omitempty"`
	}
	request := conn.client().R().SetResult(&list).SetQueryParam("limit", strconv.Itoa(limit))
	if after != "" {
		request.SetQueryParam("after", after)
	}
	response, err := request.Get(pathBatches)
	if code := responseExitCode("list jobs", response, err); code != exitOK {
		return code
	}
	code := printBatches(conn, list, list.Data...)
	if list.HasMore && conn.output == outputTable {
		fmt.Fprintf(os.Stderr, "there are more: -after %s\n", list.LastID)
	}
	return code
}
