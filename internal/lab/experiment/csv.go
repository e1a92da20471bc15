package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"strconv"

	"github.com/gravitational/trace"
)

// leadingColumns are the CSV columns before the measures.
var leadingColumns = []string{"experiment", "policy", "seed", "bound_tokens"}

func header() []string {
	columns := append([]string{}, leadingColumns...)
	for _, measure := range measures {
		columns = append(columns, measure.name)
	}
	return columns
}

// WriteCSV writes one record per run.
func (o *Outcome) WriteCSV(out io.Writer) error {
	writer := csv.NewWriter(out)
	if err := writer.Write(header()); err != nil {
		return trace.Wrap(err)
	}
	for _, samples := range o.Samples {
		for _, sample := range samples {
			record := []string{o.Name, sample.Policy, strconv.FormatUint(sample.Seed, 10), formatNumber(sample.Bound)}
			for _, value := range sample.Values {
				record = append(record, formatNumber(value))
			}
			if err := writer.Write(record); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	writer.Flush()
	return trace.Wrap(writer.Error())
}

// significantDigits is the precision of fractional numbers in CSV files.
const significantDigits = 5

func formatNumber(value float64) string {
	if value == math.Trunc(value) {
		return strconv.FormatFloat(value, 'f', 0, 64)
	}
	return strconv.FormatFloat(value, 'g', significantDigits, 64)
}

// ReadCSV reads the output of WriteCSV; reference names the policy to compare with.
func ReadCSV(in io.Reader, reference string) (*Outcome, error) {
	lines, err := csv.NewReader(in).ReadAll()
	if err != nil {
		return nil, trace.Wrap(err, "read results")
	}
	if len(lines) < 2 {
		return nil, trace.BadParameter("results contain no runs")
	}
	if err := checkHeader(lines[0]); err != nil {
		return nil, err
	}
	outcome := &Outcome{Name: lines[1][0], Reference: reference}
	for number, line := range lines[1:] {
		sample, err := parseSample(line)
		if err != nil {
			return nil, trace.Wrap(err, "results, run %v", number+1)
		}
		outcome.add(sample)
	}
	return outcome, outcome.checkComplete()
}

func checkHeader(columns []string) error {
	for i, wanted := range header() {
		if i >= len(columns) || columns[i] != wanted {
			return trace.BadParameter("results: expected column %q at position %v", wanted, i+1)
		}
	}
	return nil
}

func parseSample(line []string) (Sample, error) {
	seed, err := strconv.ParseUint(line[2], 10, 64)
	if err != nil {
		return Sample{}, fmt.Errorf("seed: %w", err)
	}
	numbers := make([]float64, 0, len(line))
	for _, text := range line[3:] {
		number, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return Sample{}, err
		}
		numbers = append(numbers, number)
	}
	return Sample{Policy: line[1], Seed: seed, Bound: numbers[0], Values: numbers[1:]}, nil
}

// add appends a sample, grouping consecutive samples of the same seed.
func (o *Outcome) add(sample Sample) {
	last := len(o.Samples) - 1
	if last < 0 || o.Samples[last][0].Seed != sample.Seed {
		o.Samples = append(o.Samples, nil)
		last++
	}
	o.Samples[last] = append(o.Samples[last], sample)
}

// checkComplete returns an error unless all seeds have the same policies in the same order.
func (o *Outcome) checkComplete() error {
	for _, samples := range o.Samples {
		if len(samples) != o.policies() {
			return trace.BadParameter("seed %v has %v runs, others have %v", samples[0].Seed, len(samples), o.policies())
		}
		for i, sample := range samples {
			if sample.Policy != o.policyName(i) {
				return trace.BadParameter("seed %v has policy %q, want %q", sample.Seed, sample.Policy, o.policyName(i))
			}
		}
	}
	return nil
}
