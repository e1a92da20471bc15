package main

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/logstory"
)

// Guards against a row that misplaces columns or omits causes of refusals.
func TestWriteSpansListsRefusalsByCause(t *testing.T) {
	g := gomega.NewWithT(t)
	var out strings.Builder
	g.Expect(writeSpans(&out, "table", []logstory.Span{{
		From: time.Date(2026, 1, 1, 7, 51, 10, 0, time.UTC), Served: 94, Late: 29,
		Refused: map[string]int{"no engine": 2, "no configuration": 7}, ItemsOpen: 43,
	}})).To(gomega.Succeed())
	g.Expect(strings.Split(out.String(), "\n")[1]).To(gomega.MatchRegexp(`^07:51:10.000 +94 +29 +9 .* 43 .*7 no configuration; 2 no engine$`))
}

// Tenants that asked most have rows of their own, the others one together.
func TestWriteTenantsListsLargestFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	var out strings.Builder
	g.Expect(writeTenants(&out, []logstory.Span{{
		From: time.Date(2026, 1, 1, 7, 51, 10, 0, time.UTC),
		Tenants: map[string]*logstory.TenantSpan{
			"a": {Asked: 5, InShare: 5, Served: 5},
			"b": {Asked: 90, InShare: 10, Served: 10, OverShare: 80, Share: 12, Demand: 90.4, Refused: map[string]int{"over": 80}},
			"c": {Asked: 7, InShare: 7, Late: 1, Refused: map[string]int{"no room": 2}},
			"d": {Asked: 1, InShare: 1, Refused: map[string]int{"no room": 1}},
		},
		Omitted: 34,
	}}, 2)).To(gomega.Succeed())
	lines := strings.Split(out.String(), "\n")
	g.Expect(lines).To(gomega.HaveLen(6))
	g.Expect(lines[1]).To(gomega.MatchRegexp(`^07:51:10.000 +b +90 +10 +10 +0 +0 +0 +80 +0 +12.0 +90.4 +80 over$`))
	g.Expect(lines[2]).To(gomega.MatchRegexp(`^07:51:10.000 +c +7 +7 +0 +1 .* - +- +2 no room$`))
	g.Expect(lines[3]).To(gomega.MatchRegexp(`^07:51:10.000 +\(others\) +6 +6 +5 .*1 no room$`))
	g.Expect(lines[4]).To(gomega.MatchRegexp(`^07:51:10.000 +\(omitted\) +34$`))
}
