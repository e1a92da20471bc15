package main

import (
	"bytes"
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/lab/load"
)

// summary returns the summary of a run whose requests all succeeded.
func summary(requests int, tokens int64, p50, p99 float64) load.Summary {
	return load.Summary{
		Requests:         requests,
		Tokens:           tokens,
		Outcomes:         map[string]int{load.OutcomeOK: requests},
		TimeToFirstToken: load.Quantiles{P50: p50, P99: p99},
	}
}

// Guards against wrong overhead figures, and against missed goals that pass.
func TestMeasureOverhead(t *testing.T) {
	g := gomega.NewWithT(t)
	direct := []load.Summary{summary(100, 1000, 5, 9), summary(100, 1000, 5, 9), summary(100, 1000, 5, 9)}
	gateway := []load.Summary{summary(100, 1000, 5.25, 10), summary(100, 1000, 9, 90), summary(100, 1000, 5.5, 11)}
	// 100 µs per request and 3 µs per token.
	runs := []cpuRun{
		{summary(1000, 10_000, 0, 0), 0.1, 0.03},
		{summary(500, 40_000, 0, 0), 0.1, 0.07},
		{summary(1000, 10_000, 0, 0), 0.06, 0.07},
	}
	measured := measureOverhead(direct, gateway, runs)
	g.Expect(measured.addedP50).To(gomega.BeNumerically("~", 0.5, 1e-9))
	g.Expect(measured.addedP99).To(gomega.BeNumerically("~", 2, 1e-9))
	g.Expect(measured.cpuPerRequest).To(gomega.BeNumerically("~", 100, 1e-6))
	g.Expect(measured.cpuPerToken).To(gomega.BeNumerically("~", 3, 1e-6))
	var out bytes.Buffer
	g.Expect(reportOverhead(&out, direct, gateway, runs)).To(gomega.Equal(exitOK), out.String())
	g.Expect(reportOverhead(&out, direct, gateway, runs[:1])).To(gomega.Equal(exitGoalMissed), "one run doesn't separate request and token cost")
	direct[1].Outcomes[load.OutcomeOK]--
	g.Expect(reportOverhead(&out, direct, gateway, runs)).To(gomega.Equal(exitGoalMissed), "a request failed")
}
