package main

import (
	"flag"
	"fmt"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"chutelock.dev/chutelock/internal/commandline"
	"chutelock.dev/chutelock/internal/fleet/query"
	"chutelock.dev/chutelock/internal/telemetry"
)

func init() {
	subcommands = append(subcommands, commandline.Subcommand{Name: "events", Summary: "show what a node decided lately, and why", Run: runEvents})
}

const eventsUsage = `usage: chutelockctl events [flags]

Shows the newest numbered events of the node behind -server, an operator port,
oldest first. docs/EVENTS.md explains each number. Homes, leaving engines and
the readers of the store are 7000 to 7999, members 6000 to 6999, settings 5000
to 5999, the ledger 4000 to 4999, jobs 3000 to 3999.

  chutelockctl events -server http://127.0.0.1:9080 -from 7000 -to 7999`

func runEvents(arguments []string) int {
	flags := flag.NewFlagSet("events", flag.ContinueOnError)
	var conn connection
	conn.register(flags)
	from := flags.Int("from", 0, "lowest event `number`")
	to := flags.Int("to", 9999, "highest event `number`")
	limit := flags.Int("limit", 50, "largest `count` of events")
	flags.Usage = func() {
		fmt.Fprintln(flags.Output(), eventsUsage)
		flags.PrintDefaults()
	}
	if code, ok := conn.parse(flags, arguments); !ok {
		return code
	}
	var records []telemetry.Record
	response, err := conn.client().R().SetResult(&records).SetQueryParams(map[string]string{
		"from": strconv.Itoa(*from), "to": strconv.Itoa(*to), "limit": strconv.Itoa(*limit),
	}).Get(query.PathEvents)
	if code := responseExitCode("events", response, err); code != exitOK {
		return code
	}
	var rows []string
	for _, record := range records {
		rows = append(rows, fmt.Sprintf("%s\t%d\t%s\t%s", record.At.Format(time.TimeOnly+".000"),
			record.Number, record.Name, detailText(record)))
	}
	if err := conn.print(os.Stdout, records, "AT\tNUMBER\tEVENT\tDETAILS", rows); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return exitOK
}

// detailText formats an event's nonzero details and its error in one line.
func detailText(record telemetry.Record) string {
	var parts []string
	for key, value := range record.Details {
		if value != "" && value != "[]" && value != "0" {
			parts = append(parts, key+"="+value)
		}
	}
	sort.Strings(parts)
	if record.Error != "" {
		parts = append(parts, "error="+record.Error)
	}
	return strings.Join(parts, " ")
}
