package main

import (
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"chutelock.dev/chutelock/internal/commandline"
	"chutelock.dev/chutelock/internal/logstory"
)

func init() {
	subcommands = append(subcommands, commandline.Subcommand{
		Name: "explain-span", Summary: "what happened in each second, from log files or standard input", Run: runExplainSpan,
	})
}

const explainSpanUsage = `usage: chutelockctl explain-span [flags] [FILE ...]

Sums up, for each second, the requests by outcome, the refusals by cause, what
batch work ran and gave up, and the zones whose engines were out as drained.
With -by-tenant, it tells for each second and tenant what the tenant asked for,
which rule refused how much of it, and what was late.

  chutelockctl explain-span -since 2026-07-31T07:51:10Z front-*.log data-*.log
  chutelockctl explain-span -by-tenant -each 10s front-*.log`

func runExplainSpan(arguments []string) int {
	flags := flag.NewFlagSet("explain-span", flag.ContinueOnError)
	format := flags.String("o", "table", "`format`: table or json")
	length := flags.Duration("each", time.Second, "length of a row")
	byTenant := flags.Bool("by-tenant", false, "one row for each tenant, in a table")
	most := flags.Int("tenants", 10, "rows of tenants in a span; the others follow as one")
	var since, until time.Time
	flags.Func("since", "first `time` (RFC 3339)", parseTime(&since))
	flags.Func("until", "`time` (RFC 3339) from which on nothing is told", parseTime(&until))
	setUsage(flags, explainSpanUsage)
	if flags.Parse(arguments) != nil {
		return exitUsage
	}
	if *length <= 0 || *most < 1 || (*format != "table" && *format != "json") {
		flags.Usage()
		return exitUsage
	}
	entries, err := readLogs(flags.Args())
	if err != nil {
		fmt.Fprintln(os.Stderr, "chutelockctl:", err)
		return exitReadFailure
	}
	spans := logstory.Spans(entries, since, until, *length)
	if len(spans) == 0 {
		fmt.Fprintln(os.Stderr, "chutelockctl: no line tells of requests or items")
		return exitNotFound
	}
	write := func() error { return writeSpans(os.Stdout, *format, spans) }
	if *byTenant && *format == "table" {
		write = func() error { return writeTenants(os.Stdout, spans, *most) }
	}
	if err := write(); err != nil {
		fmt.Fprintln(os.Stderr, "chutelockctl:", err)
		return exitReadFailure
	}
	return 0
}

func parseTime(into *time.Time) func(string) error {
	return func(text string) (err error) {
		*into, err = time.Parse(time.RFC3339Nano, text)
		return err
	}
}

func writeSpans(out io.Writer, format string, spans []logstory.Span) error {
	if format == "json" {
		return json.NewEncoder(out).Encode(spans)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "FROM\tSERVED\tLATE\tREFUSED\tHELD MOST\tABORTED\tLEFT\tFAILED ATTEMPTS\tITEMS OPEN\tRUNNING\tSENT\tCUT\tDRAINED ZONES\tREFUSALS BY CAUSE")
	for i := range spans {
		s := &spans[i]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", formatFrom(s.From), s.Served, s.Late,
			s.RefusedTotal(), s.MaxHeld, s.Aborted, s.Left, s.Failed, s.ItemsOpen, s.ItemsRunning, s.ItemsSent, s.ItemsPreempted, cmp.Or(strings.Join(s.Drained, " "), "-"), formatCauses(s.Refused))
	}
	return table.Flush()
}

// otherTenants is the row of the tenants that have no row of their own.
const otherTenants = "(others)"

// omittedRequests is the row of the requests whose lines the rate limit of logs left out.
const omittedRequests = "(omitted)"

// writeTenants writes a table of the tenants of each span, those that asked most first.
func writeTenants(out io.Writer, spans []logstory.Span, most int) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "FROM\tTENANT\tASKED\tIN SHARE\tSERVED\tLATE\tFAILED\tLEFT\tOVER SHARE\tOVER LIMIT\tSHARE/S\tDEMAND/S\tREFUSALS BY CAUSE")
	for i := range spans {
		largest, others := spans[i].LargestTenants(most)
		for _, tenant := range largest {
			writeTenant(table, spans[i].From, tenant, spans[i].Tenants[tenant])
		}
		if others.Asked > 0 {
			writeTenant(table, spans[i].From, otherTenants, others)
		}
		if omitted := spans[i].Omitted; omitted > 0 {
			fmt.Fprintf(table, "%s\t%s\t%d\n", formatFrom(spans[i].From), omittedRequests, omitted)
		}
	}
	return table.Flush()
}

func writeTenant(table io.Writer, from time.Time, name string, s *logstory.TenantSpan) {
	fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", formatFrom(from), name, s.Asked, s.InShare, s.Served, s.Late,
		s.Failed, s.Left, s.OverShare, s.Limited, formatRate(s.Share), formatRate(s.Demand), formatCauses(s.Refused))
}

func formatFrom(from time.Time) string { return from.Format("15:04:05.000") }

// formatRate formats a rate, or "-" if no line gave it.
func formatRate(rate float64) string {
	if rate == 0 {
		return "-"
	}
	return strconv.FormatFloat(rate, 'f', 1, 64)
}

// formatCauses lists counts by cause in descending order.
func formatCauses(counts map[string]int) string {
	causes := make([]string, 0, len(counts))
	for cause := range counts {
		causes = append(causes, cause)
	}
	slices.SortFunc(causes, func(a, b string) int {
		if counts[a] != counts[b] {
			return counts[b] - counts[a]
		}
		return strings.Compare(a, b)
	})
	parts := make([]string, 0, len(causes))
	for _, cause := range causes {
		parts = append(parts, fmt.Sprintf("%d %s", counts[cause], cause))
	}
	return strings.Join(parts, "; ")
}
