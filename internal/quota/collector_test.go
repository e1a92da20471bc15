package quota

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/transport"
)

func admittedCounts(count float64) Counts { return Counts{1: {Admitted: count}} }

// sumOf is the answer to a front node without requests of its own.
func sumOf(c *Collector, now time.Time) Sum {
	return c.Sum("another", func(Key) float64 { return 300 }, now)
}

// A restarted data node must not erase the counts that it shared before.
func TestCollectorKeepsCountsOfRestartedDataNode(t *testing.T) {
	g := gomega.NewWithT(t)
	c := NewCollector("a", bounds.Window, 1)
	c.Share("b0", Share{Incarnation: 7, Zone: "b", Counts: admittedCounts(100)}, start)
	now := start.Add(600 * time.Millisecond)
	c.Share("b0", Share{Incarnation: 8, Zone: "b"}, now)
	g.Expect(sumOf(c, now).Counts[1].Admitted).To(gomega.BeNumerically("~", 100, 1e-9))
	now = now.Add(reportInterval)
	c.Share("b0", Share{Incarnation: 8, Zone: "b", Counts: admittedCounts(40)}, now)
	g.Expect(sumOf(c, now).Counts[1].Admitted).To(gomega.BeNumerically("~", 100, 1e-9))
}

// Front nodes that move to another relay of their zone must count once, also if the
// former relay repeats their counts or fails.
func TestCollectorCountsMovedFrontNodesOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	c := NewCollector("a", bounds.Window, 1)
	total := func(now time.Time) float64 { return sumOf(c, now).Counts[1].Admitted }
	c.Share("a1", Share{Incarnation: 7, Zone: "a", Counts: admittedCounts(100)}, start)
	now := start.Add(20 * time.Millisecond)
	c.Report("front0", Report{Incarnation: 3, Counts: admittedCounts(30)}, now)
	g.Expect(total(now)).To(gomega.BeNumerically("~", 100, 1e-9))
	now = now.Add(5 * time.Millisecond)
	c.Share("a1", Share{Incarnation: 7, Zone: "a", Counts: admittedCounts(100)}, now)
	g.Expect(total(now)).To(gomega.BeNumerically("~", 100, 1e-9), "sent before the front node left")
	now = now.Add(reportInterval)
	c.Share("a1", Share{Incarnation: 7, Zone: "a", Counts: admittedCounts(70)}, now)
	g.Expect(total(now)).To(gomega.BeNumerically("~", 100, 1e-9))
	now = now.Add(shareTimeout)
	for front := range 7 {
		c.Report(transport.Address(rune('1'+front)), Report{Incarnation: 4, Counts: admittedCounts(10)}, now)
	}
	g.Expect(total(now)).To(gomega.BeNumerically("~", 100, 1e-9), "a1 failed")
}

// Front nodes of another zone must count once when their relay fails.
func TestCollectorCountsZoneOnceAfterRelayLoss(t *testing.T) {
	g := gomega.NewWithT(t)
	c := NewCollector("a", bounds.Window, 1)
	c.Share("b0", Share{Incarnation: 7, Zone: "b", Counts: admittedCounts(100)}, start)
	for n := range 5 {
		now := start.Add(time.Duration(4+n) * reportInterval)
		c.Share("b1", Share{Incarnation: 8, Zone: "b", Counts: admittedCounts(20 * float64(n))}, now)
		g.Expect(sumOf(c, now).Counts[1].Admitted).To(gomega.BeNumerically("~", 100, 1e-9))
	}
}

// The reserve must not be remembered as requests, or each change of the relay would add
// it again.
func TestReserveDoesNotAccumulateAcrossRelayChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := Limit{Rate: 50, Burst: 50}
	front := NewLimiter(bounds)
	now := start
	relays := map[transport.Address]*Collector{"a0": NewCollector("a", bounds.Window, 1), "a1": NewCollector("a", bounds.Window, 2)}
	silentZones := SilentZones{2, 3} // two of three zones are silent
	for turn := range 12 {
		to := transport.Address([]string{"a0", "a1"}[turn%2])
		report, formerRelay := front.Report(5, to, now)
		if relay := relays[formerRelay]; relay != nil {
			relay.Report("front0", Report{Incarnation: 5, Gone: true}, now)
		}
		relays[to].Report("front0", report, now)
		sum := relays[to].Sum("front0", func(Key) float64 { return bounds.MaxAdmitted(limit) }, now)
		if turn == 0 {
			sum = Sum{Incarnation: 1, Counts: admittedCounts(60), SilentZones: silentZones}
		}
		g.Expect(sum.SilentZones).To(gomega.Equal(silentZones), "reported by the front node")
		front.ReceiveSum(to, sum, now)
		now = now.Add(3 * reportInterval)
		d := front.Check(1, limit, true, now, func() float64 { return 0 })
		g.Expect(d.Verdict).To(gomega.Equal(Admitted))
		g.Expect(d.Others).To(gomega.BeNumerically("<=", 60+2*d.Bound/3+1e-9))
		g.Expect(d.Others).To(gomega.BeNumerically(">=", 2*d.Bound/3-1e-9))
	}
}

// A zone must count as silent only if it leaves shares with counts unanswered, and not
// beyond silentZoneTimeout.
func TestUnansweringZoneIsSilentUntilTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	c := NewCollector("a", bounds.Window, 1)
	_, send := c.ShareFor("b", start)
	g.Expect(send).To(gomega.BeFalse())
	g.Expect(sumOf(c, start.Add(10*time.Second)).SilentZones.Silent).To(gomega.BeZero(), "no share with counts was sent")
	begin, now := start.Add(10*time.Second), start
	// reportUntil reports and shares at each interval up to a time after begin and returns
	// the number of silent zones.
	reportUntil := func(until time.Duration, answers bool) int {
		for ; now.Sub(begin) < until; now = now.Add(reportInterval) {
			c.Report("front0", Report{Incarnation: 3, Counts: admittedCounts(30)}, now)
			_, send := c.ShareFor("b", now)
			g.Expect(send).To(gomega.BeTrue())
			if answers {
				c.Share("b0", Share{Incarnation: 7, Zone: "b"}, now)
			}
		}
		return int(sumOf(c, now).SilentZones.Silent)
	}
	now = begin
	g.Expect(reportUntil(2*time.Second, true)).To(gomega.BeZero())
	g.Expect(reportUntil(2*time.Second+shareTimeout/2, false)).To(gomega.BeZero())
	g.Expect(reportUntil(3*time.Second, false)).To(gomega.Equal(1))
	g.Expect(reportUntil(2*time.Second+silentZoneTimeout-time.Second, false)).To(gomega.Equal(1))
	g.Expect(reportUntil(2*time.Second+silentZoneTimeout+time.Second, false)).To(gomega.BeZero())
	g.Expect(reportUntil(3*time.Second+silentZoneTimeout, true)).To(gomega.BeZero())
}

// Recurring bursts of load must not renew the reserve for a zone that is gone for good;
// a zone that returns and fails again must get a new one.
func TestReserveIsRenewedOnlyAfterZoneReturns(t *testing.T) {
	g := gomega.NewWithT(t)
	c := NewCollector("a", bounds.Window, 1)
	c.Share("b0", Share{Incarnation: 7, Zone: "b", Counts: admittedCounts(30)}, start)
	sums, withReserve := 0, 0
	for now := start; now.Sub(start) < 10*time.Minute; now = now.Add(reportInterval) {
		if now.Sub(start)%(57*time.Second) >= 40*time.Second {
			continue
		}
		c.Report("front0", Report{Incarnation: 3, Counts: admittedCounts(30)}, now)
		c.ShareFor("b", now)
		sums++
		if sumOf(c, now).SilentZones.Silent > 0 {
			withReserve++
		}
	}
	t.Logf("%d of %d sums have a reserve", withReserve, sums)
	g.Expect(withReserve).To(gomega.BeNumerically("<=", int(silentZoneTimeout/reportInterval)))
	c.Share("b0", Share{Incarnation: 8, Zone: "b"}, start.Add(10*time.Minute))
	for now := start.Add(10 * time.Minute); now.Sub(start) < 10*time.Minute+5*time.Second; now = now.Add(reportInterval) {
		c.Report("front0", Report{Incarnation: 3, Counts: admittedCounts(30)}, now)
		c.ShareFor("b", now)
	}
	g.Expect(sumOf(c, start.Add(10*time.Minute+5*time.Second)).SilentZones.Silent).NotTo(gomega.BeZero(), "the zone returned and failed again")
}

// Remembered requests must use the reserve instead of adding to it.
func TestRememberedCountsUseReserveOfSilentZones(t *testing.T) {
	g := gomega.NewWithT(t)
	c := NewCollector("a", bounds.Window, 1)
	c.Report("front0", Report{Incarnation: 3, Counts: admittedCounts(10), Remembered: admittedCounts(60), SilentZones: SilentZones{2, 3}}, start) // two of three zones are silent
	sum := sumOf(c, start)
	g.Expect(sum.Counts[1].Admitted).To(gomega.BeNumerically("~", 60, 1e-9))
	g.Expect(sum.InReserve[1].Admitted).To(gomega.BeNumerically("~", 50, 1e-9), "10 of the 60 are reported here")
}
