package experiment

import (
	"encoding/csv"
	"io"
	"math"
	"strconv"

	"github.com/gravitational/trace"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidence is the level of all intervals.
const confidence = 0.95

// Outcome is an experiment's runs: a row for each seed and policy, the run
// without batch work first.
type Outcome struct {
	File File
	Rows [][]Row
}

// Estimate is a mean over seeds with the half width of its confidence
// interval (Student's t).
type Estimate struct{ Mean, HalfWidth float64 }

func estimate(values []float64) Estimate {
	if len(values) < 2 {
		return Estimate{Mean: stat.Mean(values, nil), HalfWidth: math.Inf(1)}
	}
	mean, deviation := stat.MeanStdDev(values, nil)
	student := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(values) - 1)}
	quantile := student.Quantile(0.5 + confidence/2)
	return Estimate{Mean: mean, HalfWidth: quantile * deviation / math.Sqrt(float64(len(values)))}
}

// policies is the number of policies, the run without batch included.
func (o *Outcome) policies() int { return len(o.File.Policies) + 1 }

func (o *Outcome) policyName(index int) string { return o.Rows[0][index].Policy }

// column is a measure of one policy on each seed.
func (o *Outcome) column(policy int, of func(Row) float64) []float64 {
	values := make([]float64, len(o.Rows))
	for i, rows := range o.Rows {
		values[i] = of(rows[policy])
	}
	return values
}

// difference estimates policy − reference on the same seeds.
func (o *Outcome) difference(policy int, of func(Row) float64) Estimate {
	values := o.column(policy, of)
	reference := o.column(o.referenceIndex(), of)
	for i := range values {
		values[i] -= reference[i]
	}
	return estimate(values)
}

func (o *Outcome) referenceIndex() int {
	for index := range o.policies() {
		if o.policyName(index) == o.File.Reference {
			return index
		}
	}
	return 0
}

// Estimate is a measure's estimate by policy and measure name.
func (o *Outcome) Estimate(policy, name string) (Estimate, bool) {
	for index := range o.policies() {
		for _, measure := range measures {
			if o.policyName(index) == policy && measure.name == name {
				return estimate(o.column(index, measure.of)), true
			}
		}
	}
	return Estimate{}, false
}

// WriteCSV writes a line for each run.
func (o *Outcome) WriteCSV(out io.Writer) error {
	writer := csv.NewWriter(out)
	header := []string{"experiment", "policy", "seed", "bound_tokens"}
	for _, measure := range measures {
		header = append(header, measure.name)
	}
	if err := writer.Write(header); err != nil {
		return trace.Wrap(err)
	}
	for _, rows := range o.Rows {
		for _, row := range rows {
			record := []string{o.File.Name, row.Policy, strconv.FormatUint(row.Seed, 10), formatNumber(row.Bound)}
			for _, measure := range measures {
				record = append(record, formatNumber(measure.of(row)))
			}
			if err := writer.Write(record); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	writer.Flush()
	return trace.Wrap(writer.Error())
}

// significantDigits of numbers in tables.
const significantDigits = 5

func formatNumber(value float64) string {
	if value == math.Trunc(value) {
		return strconv.FormatFloat(value, 'f', 0, 64)
	}
	return strconv.FormatFloat(value, 'g', significantDigits, 64)
}
