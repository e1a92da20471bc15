package logstory

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const spanLines = `
 front-1 {"ts":"2026-01-01T00:00:01.1Z","msg":"request-served","request":"r1","late":false}
 front-2 {"ts":"2026-01-01T00:00:01.9Z","msg":"request-served","request":"r2","late":true}
 front-1 {"ts":"2026-01-01T00:00:03.2Z","msg":"request-refused","request":"r3","cause":"balance: no engine has room","held":"2.5ms"}
 front-2 {"ts":"2026-01-01T00:00:03.2Z","msg":"request-refused","request":"r5","cause":"balance: no engine has room","held":"21ms"}
 front-1 {"ts":"2026-01-01T00:00:03.3Z","msg":"request-rejected","reason":"no configuration is known yet"}
 data-1 {"ts":"2026-01-01T00:00:03.4Z","msg":"batch-yielded","engine":"e1","runs":4,"cut":3}
 data-1 {"ts":"2026-01-01T00:00:03.5Z","msg":"batch-state","open":20,"running":7}
 data-1 {"ts":"2026-01-01T00:00:03.6Z","msg":"item-sent","item":"i1"}
 front-1 {"ts":"2026-01-01T00:00:05Z","msg":"caller-left","request":"r4"}
 front-1 {"ts":"2026-01-01T00:00:05.2Z","msg":"zone-drains-changed","zones":[]}
 front-1 {"ts":"2026-01-01T00:00:06Z","msg":"caller-left","request":"r5"}
 front-1 {"ts":"2026-01-01T00:00:03Z","msg":"zone-drains-changed","zones":["hall-b","hall-a"]}
 front-2 {"ts":"2026-01-01T00:00:03Z","msg":"zone-drains-changed","zones":["hall-c"]}
`

func TestSpansAggregateEvents(t *testing.T) {
	g := gomega.NewWithT(t)
	entries, err := Read(strings.NewReader(spanLines), "file")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	at := func(second int) time.Time { return time.Date(2026, 1, 1, 0, 0, second, 0, time.UTC) }
	g.Expect(Spans(entries, time.Time{}, time.Time{}, time.Second)).To(gomega.Equal([]Span{
		{From: at(1), Served: 2, Late: 1},
		{
			From: at(3), Refused: map[string]int{"balance: no engine has room": 2, "no configuration is known yet": 1},
			MaxHeld:        21 * time.Millisecond,
			ItemsPreempted: 3, ItemsOpen: 20, ItemsRunning: 7, ItemsSent: 1, Drained: []string{"hall-a", "hall-b", "hall-c"},
		},
		{From: at(5), Left: 1, Drained: []string{"hall-a", "hall-b"}},
		{From: at(6), Left: 1},
	}))
	g.Expect(Spans(entries, at(3), at(5), time.Second)).To(gomega.HaveLen(1))
	g.Expect(Spans(nil, at(3), at(5), time.Second)).To(gomega.BeEmpty())
}
