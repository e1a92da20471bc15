package quota

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// limitPlay is what callers of one tenant get who have 5 s and return once, after the time
// that they are told, up to a third of what is left.
type limitPlay struct {
	*fleet
	asked, served, refusedAgain int
	answers                     []time.Duration // of refused callers, from the first try
}

const callersTime = 5 * time.Second

func (p *limitPlay) ask(asked time.Time, returned bool) {
	front := p.anyRunning()
	decision := front.limiter.Check(1, p.limit, false, p.now, p.random.Float64)
	if decision.Verdict != Unsure {
		p.decide(decision, asked, returned)
		return
	}
	p.sendReport(front)
	p.pending = append(p.pending, delivery{p.now.Add(5 * time.Millisecond), func() {
		p.decide(front.limiter.Check(1, p.limit, true, p.now, p.random.Float64), asked, returned)
	}})
}

func (p *limitPlay) decide(decision Decision, asked time.Time, returned bool) {
	if decision.Verdict == Refused && !returned {
		wait := min(decision.RetryAfter, asked.Add(callersTime).Sub(p.now)/3)
		p.pending = append(p.pending, delivery{p.now.Add(wait), func() { p.ask(asked, true) }})
		return
	}
	if decision.Verdict == Admitted {
		p.served++
	} else {
		p.refusedAgain++
	}
	if returned {
		p.answers = append(p.answers, p.now.Sub(asked))
	}
}

// playLimit plays a load in multiples of the limit.
func playLimit(planned bool, load func(time.Duration) float64) *limitPlay {
	p := &limitPlay{fleet: newFleet(1, 24, 3, Limit{100, 100})}
	for _, front := range p.fronts {
		front.limiter.PlanReturns = planned
	}
	arrivals := rand.New(rand.NewPCG(1, 9))
	for since := time.Duration(0); since < 30*time.Second; since += time.Millisecond {
		p.run(time.Millisecond, nil)
		for expected := load(since) * p.limit.Rate / 1000; expected > 0; expected-- {
			if arrivals.Float64() < expected {
				p.asked++
				p.ask(p.now, false)
			}
		}
	}
	p.run(callersTime, nil)
	slices.Sort(p.answers)
	return p
}

// Planned returns of a tenant over its limit must not be refused more often, and the limit
// must hold.
func TestPlannedReturnsAtLimit(t *testing.T) {
	for name, load := range map[string]func(time.Duration) float64{
		"steady": func(time.Duration) float64 { return 1.4 },
		"jump": func(since time.Duration) float64 {
			if since > 6*time.Second && since < 12*time.Second {
				return 10
			}
			return 0.5
		},
		"bursts": func(since time.Duration) float64 {
			if since%(5800*time.Millisecond) < 3400*time.Millisecond {
				return 0.6
			}
			return 3
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			before, planned := playLimit(false, load), playLimit(true, load)
			for way, p := range map[string]*limitPlay{"queued": before, "planned": planned} {
				t.Logf("%s: %d asked, %d served, %d second refusals, final answer of refused callers %v, 99 in 100 %v",
					way, p.asked, p.served, p.refusedAgain, p.answers[len(p.answers)/2], p.answers[len(p.answers)*99/100])
			}
			again, asked := float64(before.refusedAgain), float64(before.asked)
			chance := 2 * math.Sqrt(again*(1-again/asked)) // two standard deviations
			g.Expect(float64(planned.refusedAgain)).To(gomega.BeNumerically("<=", again+chance))
			if name == "steady" {
				g.Expect(float64(planned.refusedAgain)).To(gomega.BeNumerically("<", again-chance))
			}
			g.Expect(float64(planned.maxInWindow(1))).To(gomega.BeNumerically("<=", bounds.maxTolerated(planned.limit)))
		})
	}
}

// Callers are told the longest wait only where returns are planned and the tenant is known to
// ask for more than its limit admits, which a node that lost its relay doesn't know.
func TestPlannedRetryAfter(t *testing.T) {
	for _, test := range []struct {
		planned   bool
		demand    float64
		age       time.Duration // of the sum
		isLongest bool
	}{{false, 150, 0, false}, {true, 150, 0, true}, {true, 1, 0, false}, {true, 150, isolationAge, true}, {true, 150, time.Minute, false}} {
		g := gomega.NewWithT(t)
		l := NewLimiter(bounds)
		l.PlanReturns = test.planned
		limit := Limit{Rate: 100, Burst: 0}
		l.ReceiveSum("", Sum{Counts: Counts{1: {Admitted: 1000, Demand: test.demand}}}, start)
		now := start.Add(test.age)
		middle := func() float64 { return 0.5 }
		l.Check(1, limit, false, now, middle) // counts the demand
		l.Check(1, limit, true, now, middle)  // an isolated node admits one
		decision := l.Check(1, limit, true, now, middle)
		g.Expect(decision.Verdict).To(gomega.Equal(Refused))
		g.Expect(decision.RetryAfter == maxRetryAfter).To(gomega.Equal(test.isLongest))
	}
}

// Guards against refusing a steady tenant below its limit because its average demand is high by
// chance while room is kept for a silent zone; a jump must still be paced.
func TestNoiseOfDemandDoesNotRefuseSteadyTenant(t *testing.T) {
	g := gomega.NewWithT(t)
	highestDraw := func() float64 { return 0.99 }
	check := func(demand float64) Verdict {
		l := NewLimiter(bounds)
		l.ReceiveSum("", Sum{
			Counts: Counts{1: {Admitted: 38, Demand: demand}}, SilentZones: SilentZones{1, 3}, InReserve: Counts{1: {Admitted: 9}},
		}, start)
		return l.Check(1, Limit{Rate: 8, Burst: 8}, false, start, highestDraw).Verdict
	}
	g.Expect(check(8)).To(gomega.Equal(Admitted))
	g.Expect(check(80)).To(gomega.Equal(Refused))
}
