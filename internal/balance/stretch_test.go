package balance

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/upstream"
)

// An engine where work takes four times as long as usual counts as that much fuller, idle
// or not, and fewer requests may wait there; but only for as long as it is news.
func TestAnEngineWhereWorkTakesLongerIsChosenLater(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot, table := engines(3, 8), NewTable() // a near, b far, c near
	table.Reported("a", upstream.Load{Slots: 8, Stretch: 4}, start)
	wish := Wish{Service: "s", Zone: "near"}
	chosen, found := table.Choose(snapshot, wish, start, quiet)
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(chosen.ID).To(gomega.Equal("c"))
	later := start.Add(2 * stretchLife)
	g.Expect(table.score(snapshot.Serving("s")[0], wish, "", later)).To(gomega.BeZero())
	for range 9 {
		table.Begin("a", ClassOnline, 0, start)
		table.Begin("c", ClassOnline, 0, start)
	}
	prediction := table.predict(snapshot.Serving("s"), Wish{Service: "s", Zone: "near", Wait: 200 * time.Millisecond}, start)
	g.Expect(prediction.hasRoom(snapshot.Serving("s")[2])).To(gomega.BeTrue(), "one waits at c")
	g.Expect(prediction.hasRoom(snapshot.Serving("s")[0])).To(gomega.BeFalse(), "none may wait at a")
}
