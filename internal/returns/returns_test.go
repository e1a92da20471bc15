package returns

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var start = time.Unix(1_000_000, 0)

const meanRun = 600 * time.Millisecond

func refusalAt(now time.Time) Refusal {
	return Refusal{Deadline: now.Add(6 * time.Second), MeanRun: meanRun}
}

// refuseFor plays refusals at an interval and returns the outlook of the last one.
func refuseFor(p *Planner, from time.Time, length, interval time.Duration) (last time.Time, outlook Outlook) {
	for since := time.Duration(0); since <= length; since += interval {
		last = from.Add(since)
		_, outlook = p.Plan(refusalAt(last), last, 0.5)
	}
	return last, outlook
}

// Callers must wait as long as they can while the overload may end, and not all the same time.
func TestPlannerTellsLongestWait(t *testing.T) {
	g := gomega.NewWithT(t)
	p := &Planner{}
	for _, draw := range []float64{0, 0.5, 0.999} {
		wait, outlook := p.Plan(refusalAt(start), start, draw)
		g.Expect(outlook).To(gomega.Equal(OutlookEnd))
		g.Expect(wait).To(gomega.BeNumerically("~", 2*time.Second*time.Duration(1000-50*draw)/1000, 2*time.Millisecond))
		g.Expect(wait).To(gomega.BeNumerically("<=", 2*time.Second))
	}
}

// In overload that goes on, callers must be spread as elsewhere.
func TestPlannerExpectsNoEndOfOldOverload(t *testing.T) {
	g := gomega.NewWithT(t)
	p := &Planner{}
	last, outlook := refuseFor(p, start, 12*time.Second, 100*time.Millisecond)
	g.Expect(outlook).To(gomega.Equal(OutlookEnd))
	now := last.Add(10 * time.Millisecond)
	wait, outlook := p.Plan(refusalAt(now), now, 0.25)
	g.Expect(outlook).To(gomega.Equal(OutlookNoEnd))
	g.Expect(wait).To(gomega.Equal(Spread(refusalAt(now), now, 0.25)))
}

// An overload ends when requests have found room for a while: neither a gap nor a few
// requests served in between end it, but a node without requests forgets it.
func TestPlannerNoticesEndOfOverload(t *testing.T) {
	for _, test := range []struct {
		name    string
		pause   time.Duration
		served  int
		outlook Outlook
	}{
		{"gap", 2 * time.Second, calmServed - 1, OutlookNoEnd},
		{"row of served", calmGap / 2, 100, OutlookNoEnd},
		{"calm", 2 * time.Second, calmServed, OutlookEnd},
		{"no requests", idleGap + time.Second, 0, OutlookEnd},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			p := &Planner{}
			last, outlook := refuseFor(p, start, 13*time.Second, 100*time.Millisecond)
			g.Expect(outlook).To(gomega.Equal(OutlookNoEnd))
			for range test.served {
				p.Served()
			}
			now := last.Add(test.pause)
			_, outlook = p.Plan(refusalAt(now), now, 0.5)
			g.Expect(outlook).To(gomega.Equal(test.outlook))
		})
	}
}

// A restarted node knows no overload.
func TestPlannerWithoutHistory(t *testing.T) {
	g := gomega.NewWithT(t)
	_, outlook := (&Planner{}).Plan(refusalAt(start), start, 0)
	g.Expect(outlook).To(gomega.Equal(OutlookEnd))
}

// A later admission that is known must be told, also beyond the deadline.
func TestPlannerTellsKnownAdmission(t *testing.T) {
	for _, test := range []struct {
		earliest, wait time.Duration
		outlook        Outlook
	}{
		{-time.Second, 2 * time.Second, OutlookEnd}, {time.Second, 2 * time.Second, OutlookEnd},
		{3 * time.Second, 3 * time.Second, OutlookTold}, {10 * time.Second, 10 * time.Second, OutlookTold},
		{time.Hour, maxWait, OutlookTold}, {1 << 62, maxWait, OutlookTold},
	} {
		refusal := refusalAt(start)
		refusal.Earliest = start.Add(test.earliest)
		wait, outlook := (&Planner{}).Plan(refusal, start, 0)
		g := gomega.NewWithT(t)
		g.Expect(wait).To(gomega.Equal(test.wait))
		g.Expect(outlook).To(gomega.Equal(test.outlook))
	}
}

// Deadlines that have passed, are unknown or far away, and times that go back must give waits
// within bounds.
func TestPlannerBoundsWaits(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, refusal := range []Refusal{
		{}, {MeanRun: meanRun}, {MeanRun: -meanRun}, {MeanRun: -meanRun, Deadline: start.Add(time.Second)},
		{Deadline: start}, {Deadline: start.Add(-time.Hour), MeanRun: meanRun}, {Deadline: start.Add(time.Millisecond), MeanRun: meanRun},
		{Deadline: start.Add(1 << 62), MeanRun: meanRun}, {Deadline: time.Unix(1<<40, 0), MeanRun: meanRun},
		{Deadline: start.Add(time.Second), MeanRun: 1 << 62},
	} {
		p := &Planner{}
		for _, now := range []time.Time{start, start.Add(-time.Minute), start.Add(time.Hour)} {
			for _, draw := range []float64{0, 0.5, 0.999999} {
				wait, _ := p.Plan(refusal, now, draw)
				g.Expect(wait).To(gomega.BeNumerically(">=", 0))
				g.Expect(wait).To(gomega.BeNumerically("<=", maxWait))
			}
		}
	}
	wait, outlook := (&Planner{}).Plan(Refusal{Deadline: start.Add(-time.Second), MeanRun: meanRun}, start, 0.5)
	g.Expect(wait).To(gomega.BeZero())
	g.Expect(outlook).To(gomega.Equal(OutlookUnknown))
}

// Callers with deadlines far away must not be told the same time.
func TestPlannerSpreadsLongWaits(t *testing.T) {
	g := gomega.NewWithT(t)
	p := &Planner{}
	for _, test := range []struct {
		age     time.Duration
		outlook Outlook
		least   time.Duration // of the difference between two draws
	}{{0, OutlookEnd, time.Second}, {time.Hour, OutlookNoEnd, 20 * time.Second}} {
		now := start.Add(test.age)
		for since := time.Duration(0); since < test.age; since += idleGap {
			p.Plan(refusalAt(start), start.Add(since), 0)
		}
		refusal := Refusal{Deadline: now.Add(24 * time.Hour), MeanRun: meanRun}
		one, outlook := p.Plan(refusal, now, 0.25)
		other, _ := p.Plan(refusal, now, 0.75)
		g.Expect(outlook).To(gomega.Equal(test.outlook))
		g.Expect((one - other).Abs()).To(gomega.BeNumerically(">=", test.least))
		g.Expect(max(one, other)).To(gomega.BeNumerically("<", maxWait))
	}
}
