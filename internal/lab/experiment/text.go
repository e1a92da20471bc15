package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// textMeasures are the columns of the text summary.
var textMeasures = []string{
	"ttft_p99_ms", "harm_ttft_p50", "harm_ttft_p99", "harm_ttft_p999",
	"harm_tbt_p50", "harm_tbt_p99", "harm_tbt_p999",
	"harvest", "deadline_missed", "prefix_hits", "suspensions", "preemptions",
}

// WriteText writes a summary table for terminals.
func (o *Outcome) WriteText(out io.Writer) {
	fmt.Fprintf(out, "%s: %d seeds, mean ± half width of the 95%% interval\n",
		o.Name, len(o.Samples))
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprint(table, "policy")
	for _, name := range textMeasures {
		fmt.Fprintf(table, "\t%s", name)
	}
	fmt.Fprintln(table)
	for index := range o.policies() {
		fmt.Fprint(table, o.policyName(index))
		for _, name := range textMeasures {
			value, _ := o.Estimate(o.policyName(index), name)
			fmt.Fprintf(table, "\t%s", formatEstimate(value))
		}
		fmt.Fprintln(table)
	}
	_ = table.Flush()
}

func formatEstimate(value Estimate) string {
	if value.Mean >= 100 || value.Mean <= -100 {
		return fmt.Sprintf("%.0f±%.0f", value.Mean, value.HalfWidth)
	}
	return fmt.Sprintf("%.3f±%.3f", value.Mean, value.HalfWidth)
}
