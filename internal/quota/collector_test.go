package quota

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/transport"
)

func admitted(count float64) Counts { return Counts{1: {Admitted: count}} }

// sumOf is what a front node that let nothing through would hear.
func sumOf(c *Collector, now time.Time) Sum {
	return c.Sum("another", func(Key) float64 { return 300 }, now)
}

// A data node that is back at its address in a new life leaves what it told before
// beside its share, less what front nodes report again.
func TestADataNodeThatRestartsForgetsNothingElsewhere(t *testing.T) {
	g := gomega.NewWithT(t)
	c := NewCollector("a", bounds.Window, 1)
	c.Share("b0", Share{Life: 7, Zone: "b", Counts: admitted(100)}, start)
	now := start.Add(600 * time.Millisecond)
	c.Share("b0", Share{Life: 8, Zone: "b"}, now)
	g.Expect(sumOf(c, now).Counts[1].Admitted).To(gomega.BeNumerically("~", 100, 1e-9))
	now = now.Add(reportEach)
	c.Share("b0", Share{Life: 8, Zone: "b", Counts: admitted(40)}, now)
	g.Expect(sumOf(c, now).Counts[1].Admitted).To(gomega.BeNumerically("~", 100, 1e-9))
}

// Front nodes that go over to another data node of their zone count once, also if the
// one before tells of them once more, and if it is lost.
func TestFrontNodesThatGoOverCountOnceAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	c := NewCollector("a", bounds.Window, 1)
	total := func(now time.Time) float64 { return sumOf(c, now).Counts[1].Admitted }
	c.Share("a1", Share{Life: 7, Zone: "a", Counts: admitted(100)}, start)
	now := start.Add(20 * time.Millisecond)
	c.Report("front0", Report{Life: 3, Counts: admitted(30)}, now)
	g.Expect(total(now)).To(gomega.BeNumerically("~", 100, 1e-9))
	now = now.Add(5 * time.Millisecond)
	c.Share("a1", Share{Life: 7, Zone: "a", Counts: admitted(100)}, now)
	g.Expect(total(now)).To(gomega.BeNumerically("~", 100, 1e-9), "sent before the front node left")
	now = now.Add(reportEach)
	c.Share("a1", Share{Life: 7, Zone: "a", Counts: admitted(70)}, now)
	g.Expect(total(now)).To(gomega.BeNumerically("~", 100, 1e-9))
	now = now.Add(shareFresh)
	for front := range 7 {
		c.Report(transport.Address(rune('1'+front)), Report{Life: 4, Counts: admitted(10)}, now)
	}
	g.Expect(total(now)).To(gomega.BeNumerically("~", 100, 1e-9), "a1 is lost")
}

// The same as a data node of another zone sees it.
func TestAZoneWhoseRelayIsLostCountsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	c := NewCollector("a", bounds.Window, 1)
	c.Share("b0", Share{Life: 7, Zone: "b", Counts: admitted(100)}, start)
	for n := range 5 {
		now := start.Add(time.Duration(4+n) * reportEach)
		c.Share("b1", Share{Life: 8, Zone: "b", Counts: admitted(20 * float64(n))}, now)
		g.Expect(sumOf(c, now).Counts[1].Admitted).To(gomega.BeNumerically("~", 100, 1e-9))
	}
}

// Room for zones that aren't heard is told beside the counts, and never remembered as
// requests: each change of the data node would add it once more.
func TestRoomThatIsKeptDoesNotPileUp(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := Limit{Rate: 50, Burst: 50}
	front := NewLimiter(bounds)
	now := start
	relays := map[transport.Address]*Collector{"a0": NewCollector("a", bounds.Window, 1), "a1": NewCollector("a", bounds.Window, 2)}
	unheard := Unheard{2, 3}
	for turn := range 12 {
		to := transport.Address([]string{"a0", "a1"}[turn%2])
		report, left := front.Report(5, to, now)
		if relay := relays[left]; relay != nil {
			relay.Report("front0", Report{Life: 5, Gone: true}, now)
		}
		relays[to].Report("front0", report, now)
		sum := relays[to].Sum("front0", func(Key) float64 { return bounds.Of(limit) }, now)
		if turn == 0 {
			sum = Sum{Life: 1, Counts: admitted(60), Unheard: unheard}
		}
		g.Expect(sum.Unheard).To(gomega.Equal(unheard), "told by the front node")
		front.Heard(to, sum, now)
		now = now.Add(3 * reportEach)
		d := front.Check(1, limit, true, now, func() float64 { return 0 })
		g.Expect(d.Verdict).To(gomega.Equal(Admitted))
		g.Expect(d.Others).To(gomega.BeNumerically("<=", 60+2*d.Bound/3+1e-9))
		g.Expect(d.Others).To(gomega.BeNumerically(">=", 2*d.Bound/3-1e-9))
	}
}

// A zone counts as unheard if it leaves unanswered what it is told, not if there is
// nothing to tell, and not for ever.
func TestAZoneThatAnswersNothingIsUnheardForAWhile(t *testing.T) {
	g := gomega.NewWithT(t)
	c := NewCollector("a", bounds.Window, 1)
	_, some := c.ShareFor("b", start)
	g.Expect(some).To(gomega.BeFalse())
	g.Expect(sumOf(c, start.Add(10*time.Second)).Unheard.Zones).To(gomega.BeZero(), "nothing was told")
	begin, now := start.Add(10*time.Second), start
	unheard := func(until time.Duration, answers bool) int {
		for ; now.Sub(begin) < until; now = now.Add(reportEach) {
			c.Report("front0", Report{Life: 3, Counts: admitted(30)}, now)
			_, some := c.ShareFor("b", now)
			g.Expect(some).To(gomega.BeTrue())
			if answers {
				c.Share("b0", Share{Life: 7, Zone: "b"}, now)
			}
		}
		return int(sumOf(c, now).Unheard.Zones)
	}
	now = begin
	g.Expect(unheard(2*time.Second, true)).To(gomega.BeZero())
	g.Expect(unheard(2*time.Second+shareFresh/2, false)).To(gomega.BeZero())
	g.Expect(unheard(3*time.Second, false)).To(gomega.Equal(1))
	g.Expect(unheard(2*time.Second+sharerMemory-time.Second, false)).To(gomega.Equal(1))
	g.Expect(unheard(2*time.Second+sharerMemory+time.Second, false)).To(gomega.BeZero())
	g.Expect(unheard(3*time.Second+sharerMemory, true)).To(gomega.BeZero())
}

// A zone that is gone for good isn't waited for again after each pause of the load: of a
// load that comes for 40 s of each 57, only the first 30 s keep room for it.
func TestRoomForAZoneThatIsGoneIsKeptOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	c := NewCollector("a", bounds.Window, 1)
	c.Share("b0", Share{Life: 7, Zone: "b", Counts: admitted(30)}, start)
	sums, withRoom := 0, 0
	for now := start; now.Sub(start) < 10*time.Minute; now = now.Add(reportEach) {
		if now.Sub(start)%(57*time.Second) >= 40*time.Second {
			continue
		}
		c.Report("front0", Report{Life: 3, Counts: admitted(30)}, now)
		c.ShareFor("b", now)
		sums++
		if sumOf(c, now).Unheard.Zones > 0 {
			withRoom++
		}
	}
	t.Logf("%d of %d sums keep room", withRoom, sums)
	g.Expect(withRoom).To(gomega.BeNumerically("<=", int(sharerMemory/reportEach)))
	c.Share("b0", Share{Life: 8, Zone: "b"}, start.Add(10*time.Minute))
	for now := start.Add(10 * time.Minute); now.Sub(start) < 10*time.Minute+5*time.Second; now = now.Add(reportEach) {
		c.Report("front0", Report{Life: 3, Counts: admitted(30)}, now)
		c.ShareFor("b", now)
	}
	g.Expect(sumOf(c, start.Add(10*time.Minute+5*time.Second)).Unheard.Zones).NotTo(gomega.BeZero(), "it came back and is gone again")
}

// What only front nodes remember uses the room of unheard zones, and isn't added to it.
func TestRememberedRequestsUseTheRoomOfUnheardZones(t *testing.T) {
	g := gomega.NewWithT(t)
	c := NewCollector("a", bounds.Window, 1)
	c.Report("front0", Report{Life: 3, Counts: admitted(10), Others: admitted(60), Unheard: Unheard{2, 3}}, start)
	sum := sumOf(c, start)
	g.Expect(sum.Counts[1].Admitted).To(gomega.BeNumerically("~", 60, 1e-9))
	g.Expect(sum.Within[1].Admitted).To(gomega.BeNumerically("~", 50, 1e-9), "of 60, 10 are reported")
}
