package loadshare

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/transport"
)

// chooser is a front node that chooses engines in virtual time, by what one
// relay tells it.
type chooser struct {
	address  transport.Address
	table    *balance.Table
	reported balance.Report
}

// fullest plays 50 front nodes that send 200 requests a second to 26 engines of 8
// slots, each for 700 ms, and returns the most requests that an engine had.
func fullest(t *testing.T, asks bool) int {
	const (
		fronts, engines, slots = 50, 26, 8
		length                 = 4 * time.Second
		each                   = 5 * time.Millisecond
		hold                   = 700 * time.Millisecond
	)
	var listed []catalog.Engine
	for i := range engines {
		listed = append(listed, catalog.Engine{ID: fmt.Sprintf("e%d", i), Service: "s", Zone: "a", Slots: slots})
	}
	snapshot := catalog.NewSnapshot(nil, listed)
	random := rand.New(rand.NewPCG(1, 2))
	relay := balance.NewTable()
	choosers := make([]*chooser, fronts)
	for i := range choosers {
		choosers[i] = &chooser{address: transport.Address(fmt.Sprint(i)), table: balance.NewTable()}
	}
	report := func(c *chooser, now time.Time) {
		c.reported = c.table.Own(now)
		relay.PeerLoad(string(c.address), c.reported, now)
		c.table.PeerLoad("others", relay.All(now).Without(c.reported), now)
	}
	type request struct {
		front  *chooser
		engine string
		until  time.Time
	}
	var running []request
	count := map[string]int{}
	most := 0
	for now := start; now.Sub(start) < length; now = now.Add(each) {
		for len(running) > 0 && !now.Before(running[0].until) {
			ended := running[0]
			running = running[1:]
			ended.front.table.End(ended.engine, balance.ClassOnline, now)
			ended.front.table.Took(hold)
			count[ended.engine]--
		}
		if now.Sub(start)%ReportInterval == 0 {
			for _, c := range choosers {
				report(c, now)
			}
		}
		c := choosers[random.IntN(fronts)]
		if asks {
			report(c, now)
		}
		engine, found := c.table.Choose(snapshot, balance.Wish{Service: "s", Zone: "a"}, now, random.Float64)
		if !found {
			t.Fatal("no engine has room")
		}
		c.table.Begin(engine.ID, balance.ClassOnline, 0, now)
		if asks {
			report(c, now)
		}
		running = append(running, request{c, engine.ID, now.Add(hold)})
		count[engine.ID]++
		most = max(most, count[engine.ID])
	}
	return most
}

// TestFrontNodesThatAskFirstFillEnginesEvenly: 5.4 requests an engine are the
// mean; by sums that are up to a report's interval old some engine gets more than
// it has slots.
func TestFrontNodesThatAskFirstFillEnginesEvenly(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(fullest(t, true)).To(gomega.BeNumerically("<=", 8))
	g.Expect(fullest(t, false)).To(gomega.BeNumerically(">", 8))
}
