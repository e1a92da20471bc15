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
