package balance

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/upstream"
)

// An engine that reports a slowdown must count as fuller and queue fewer requests, until the
// report expires.
func TestSlowEngineRanksLowerAndQueuesLess(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot, table := newSnapshot(3, 8), NewTable() // a near, b far, c near
	table.RecordReport("a", upstream.Load{Slots: 8, Slowdown: 4}, start)
	wish := Wish{Service: "s", Zone: "near"}
	chosen, found := table.Choose(snapshot, wish, start, zeroDraw)
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(chosen.ID).To(gomega.Equal("c"))
	later := start.Add(2 * slowdownTTL)
	g.Expect(table.score(snapshot.Serving("s")[0], wish, "", later)).To(gomega.BeZero())
	for range 9 {
		table.Begin("a", ClassOnline, 0, start)
		table.Begin("c", ClassOnline, 0, start)
	}
	prediction := table.predict(snapshot.Serving("s"), Wish{Service: "s", Zone: "near", Wait: 200 * time.Millisecond}, start)
	g.Expect(prediction.hasRoom(snapshot.Serving("s")[2])).To(gomega.BeTrue(), "one request may queue at c")
	g.Expect(prediction.hasRoom(snapshot.Serving("s")[0])).To(gomega.BeFalse(), "no request may queue at a")
}
