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

// engineChooser is a simulated front node that chooses engines by the sums of a relay.
type engineChooser struct {
	address  transport.Address
	table    *balance.Table
	reported balance.Report
}

// peakLoad simulates 50 front nodes that send 200 requests a second of 700 ms each to 26
// engines of 8 slots, and returns the maximum number of requests on an engine.
func peakLoad(t *testing.T, reportFirst bool) int {
	const (
		fronts, engines, slots = 50, 26, 8
		length                 = 4 * time.Second
		step                   = 5 * time.Millisecond
		hold                   = 700 * time.Millisecond
	)
	var listed []catalog.Engine
	for i := range engines {
		listed = append(listed, catalog.Engine{ID: fmt.Sprintf("e%d", i), Service: "s", Zone: "a", Slots: slots})
	}
	snapshot := catalog.NewSnapshot(nil, listed)
	random := rand.New(rand.NewPCG(1, 2))
	relay := balance.NewTable()
	choosers := make([]*engineChooser, fronts)
	for i := range choosers {
		choosers[i] = &engineChooser{address: transport.Address(fmt.Sprint(i)), table: balance.NewTable()}
	}
	report := func(c *engineChooser, now time.Time) {
		c.reported = c.table.OwnReport(now)
		relay.SetPeerLoad(string(c.address), c.reported, now)
		c.table.SetPeerLoad("others", relay.TotalReport(now).Without(c.reported), now)
	}
	type request struct {
		front  *engineChooser
		engine string
		until  time.Time
	}
	var running []request
	count := map[string]int{}
	peak := 0
	for now := start; now.Sub(start) < length; now = now.Add(step) {
		for len(running) > 0 && !now.Before(running[0].until) {
			ended := running[0]
			running = running[1:]
			ended.front.table.End(ended.engine, balance.ClassOnline, now)
			ended.front.table.RecordResidence(hold)
			count[ended.engine]--
		}
		if now.Sub(start)%ReportInterval == 0 {
			for _, c := range choosers {
				report(c, now)
			}
		}
		c := choosers[random.IntN(fronts)]
		if reportFirst {
			report(c, now)
		}
		engine, found := c.table.Choose(snapshot, balance.Wish{Service: "s", Zone: "a"}, now, random.Float64)
		if !found {
			t.Fatal("no engine has a free slot")
		}
		c.table.Begin(engine.ID, balance.ClassOnline, 0, now)
		if reportFirst {
			report(c, now)
		}
		running = append(running, request{c, engine.ID, now.Add(hold)})
		count[engine.ID]++
		peak = max(peak, count[engine.ID])
	}
	return peak
}

// Choosing by sums up to a ReportInterval old overloads engines at a mean of 5.4 requests;
// a report before each choice must avoid that.
func TestReportingBeforeChoosingAvoidsOverload(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(peakLoad(t, true)).To(gomega.BeNumerically("<=", 8))
	g.Expect(peakLoad(t, false)).To(gomega.BeNumerically(">", 8))
}
