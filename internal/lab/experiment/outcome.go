package experiment

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidence is the level of all confidence intervals.
const confidence = 0.95

// Outcome is the result of an experiment.
type Outcome struct {
	Name        string
	Description string
	// Reference names the policy that all others are compared with, seed by seed.
	Reference string
	// Samples has a slice per seed: the run without batch work, then a run per policy.
	Samples [][]Sample
}

// Estimate is a mean over seeds and the half-width of its confidence interval
// (Student's t).
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

// policies returns the number of policies, including the run without batch work.
func (o *Outcome) policies() int {
	if len(o.Samples) == 0 {
		return 0
	}
	return len(o.Samples[0])
}

func (o *Outcome) policyName(index int) string { return o.Samples[0][index].Policy }

// column returns a measure of one policy for all seeds.
func (o *Outcome) column(policy, measure int) []float64 {
	values := make([]float64, len(o.Samples))
	for i, samples := range o.Samples {
		values[i] = samples[policy].Values[measure]
	}
	return values
}

func (o *Outcome) estimate(policy, measure int) Estimate { return estimate(o.column(policy, measure)) }

// difference estimates policy − reference, paired by seed.
func (o *Outcome) difference(policy, measure int) Estimate {
	values := o.column(policy, measure)
	reference := o.column(o.referenceIndex(), measure)
	for i := range values {
		values[i] -= reference[i]
	}
	return estimate(values)
}

func (o *Outcome) referenceIndex() int {
	for index := range o.policies() {
		if o.policyName(index) == o.Reference {
			return index
		}
	}
	return 0
}

// Estimate returns the estimate of a measure, and whether policy and measure exist.
func (o *Outcome) Estimate(policy, name string) (Estimate, bool) {
	measure, known := measureIndex(name)
	for index := range o.policies() {
		if known && o.policyName(index) == policy {
			return o.estimate(index, measure), true
		}
	}
	return Estimate{}, false
}
