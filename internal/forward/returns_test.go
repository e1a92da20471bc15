package forward

import (
	"context"
	"errors"
	"math"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/returns"
)

// returnLoad is a load under which callers are refused, in multiples of what engines bear.
type returnLoad struct {
	name    string
	highest float64
	at      func(time.Duration) float64
	// recurs and steady say that overloads end within the longest wait, or don't end.
	recurs, steady bool
}

var (
	steadyOverload  = returnLoad{name: "steady", highest: 1.5, steady: true, at: func(time.Duration) float64 { return 1.5 }}
	recurringBursts = returnLoad{name: "bursts", highest: 1.87, recurs: true, at: func(since time.Duration) float64 { return inBursts(since, 0.38, 1.87) }}
	mildBursts      = returnLoad{name: "mild bursts", highest: 1.35, recurs: true, at: func(since time.Duration) float64 { return inBursts(since, 0.3, 1.35) }}
	oneJump         = returnLoad{name: "jump", highest: 3, at: func(since time.Duration) float64 {
		if since > 4*time.Second && since < 10*time.Second {
			return 3
		}
		return 0.6
	}}
	returnLoads = []returnLoad{steadyOverload, recurringBursts, mildBursts, oneJump}
)

const (
	valleyLength, burstLength = 3400 * time.Millisecond, 2400 * time.Millisecond
	// returnLoadLength is the length of a load; callers that ask in the last period aren't
	// counted, as their returns meet its end.
	returnLoadLength = 5 * (valleyLength + burstLength)
)

func inBursts(since time.Duration, valley, burst float64) float64 {
	if since%(valleyLength+burstLength) < valleyLength {
		return valley
	}
	return burst
}

// returnPlay is what callers get who return a number of times after the wait that they are
// told, up to a third of their remaining time.
type returnPlay struct {
	*simulation
	returnLoad
	returns, planners int // returns a caller, planners a front node
	// wait is what a refused caller is told.
	wait  func(*returnPlay, *returns.Planner, *simAttempt) time.Duration
	plans map[*simFront][]*returns.Planner
	// reserved counts the foreseen returns by slot.
	reserved map[time.Duration]float64

	firstInTime, served, refusedAgain int
	answers, answersOfRefused         []time.Duration // times from the first try to the final answer
}

func newReturnPlay(load returnLoad, wait func(*returnPlay, *returns.Planner, *simAttempt) time.Duration) *returnPlay {
	p := &returnPlay{
		simulation: newSimulation(true, 0), returnLoad: load, returns: 1, planners: 1, wait: wait,
		plans: map[*simFront][]*returns.Planner{}, reserved: map[time.Duration]float64{},
	}
	p.found = func(front *simFront) { p.planner(front).Served() }
	p.refuses = p.refused
	p.answered = func(attempt *simAttempt) {
		if !attempt.isRetry && p.counts(attempt) && p.Now().Sub(attempt.arrived) <= simTarget {
			p.firstInTime++
		}
		p.finish(attempt, &p.served)
	}
	return p
}

// planner returns one of the planners that share a front node's requests.
func (p *returnPlay) planner(front *simFront) *returns.Planner {
	for len(p.plans[front]) < p.planners {
		p.plans[front] = append(p.plans[front], &returns.Planner{})
	}
	return p.plans[front][p.random.IntN(p.planners)]
}

func (p *returnPlay) refused(front *simFront, attempt *simAttempt) {
	wait := min(p.wait(p, p.planner(front), attempt), attempt.deadline.Sub(p.Now())/3)
	if attempt.returned == p.returns {
		p.finish(attempt, &p.refusedAgain)
		return
	}
	p.After(wait, func() {
		front := p.fronts[p.random.IntN(len(p.fronts))]
		policy := waitPolicy{target: simTarget, arrived: p.Now(), deadline: attempt.deadline}
		p.acquire(front, &simAttempt{waitPolicy: policy, zone: front.zone, isRetry: true, returned: attempt.returned + 1})
	})
}

func (p *returnPlay) counts(attempt *simAttempt) bool {
	return attempt.deadline.Add(-simDeadline).Sub(start) < returnLoadLength-valleyLength-burstLength
}

// finish counts a caller's final answer.
func (p *returnPlay) finish(attempt *simAttempt, count *int) {
	if !p.counts(attempt) {
		return
	}
	*count++
	answer := p.Now().Sub(attempt.deadline.Add(-simDeadline))
	p.answers = append(p.answers, answer)
	if attempt.isRetry {
		p.answersOfRefused = append(p.answersOfRefused, answer)
	}
}

func (p *returnPlay) play() *returnPlay {
	p.offerVarying(p.at, p.highest, returnLoadLength)
	p.Run(returnLoadLength + 2*simDeadline)
	slices.Sort(p.answers)
	slices.Sort(p.answersOfRefused)
	return p
}

func (p *returnPlay) share(count int) float64 { return float64(count) / float64(len(p.answers)) }

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)))].Round(time.Millisecond)
}

func (p *returnPlay) log(t *testing.T, way string) {
	t.Logf("%s, %s: %d asked, first tries in time %.3f, served %.3f, second refusals %.3f, final answer %v, 99 in 100 %v, of refused callers %v",
		p.name, way, len(p.answers), p.share(p.firstInTime), p.share(p.served), p.share(p.refusedAgain),
		quantile(p.answers, 0.5), quantile(p.answers, 0.99), quantile(p.answersOfRefused, 0.5))
}

func waitSpread(p *returnPlay, _ *returns.Planner, attempt *simAttempt) time.Duration {
	return attempt.retryAfter(simMeanRun, p.Now(), p.random.Float64())
}

func waitAnyTime(p *returnPlay, _ *returns.Planner, attempt *simAttempt) time.Duration {
	left := attempt.deadline.Sub(p.Now())
	return simMeanRun + time.Duration(p.random.Float64()*float64(left-simMeanRun-simTarget))
}

// waitForeseen knows the load to come and the returns of all nodes: a bound for what ledgers
// of returns can reach.
func waitForeseen(p *returnPlay, _ *returns.Planner, attempt *simAttempt) time.Duration {
	const slot = 50 * time.Millisecond
	now, longest := p.Now().Sub(start), attempt.deadline.Sub(p.Now())/3
	for at := (now + simMeanRun/2).Truncate(slot) + slot; at+slot < now+longest; at += slot {
		if p.reserved[at]+1 <= (1-p.at(at))*p.capacity*slot.Seconds() {
			p.reserved[at]++
			return at - now + time.Duration(p.random.Float64()*float64(slot))
		}
	}
	p.reserved[(now+longest).Truncate(slot)]++
	return longest
}

func waitPlanned(p *returnPlay, planner *returns.Planner, attempt *simAttempt) time.Duration {
	wait, _ := planner.Plan(returns.Refusal{Deadline: attempt.deadline, MeanRun: simMeanRun}, p.Now(), p.random.Float64())
	return wait
}

// chance is two standard deviations of a share of the callers.
func (p *returnPlay) chance(share float64) float64 {
	return 2 * math.Sqrt(share*(1-share)/float64(len(p.answers)))
}

// expectNotWorse checks that fewer callers are refused again and more are served than in
// another play, up to chance.
func (p *returnPlay) expectNotWorse(g *gomega.WithT, other *returnPlay) {
	refusedAgain, served, firstInTime := other.share(other.refusedAgain), other.share(other.served), other.share(other.firstInTime)
	g.Expect(p.share(p.refusedAgain)).To(gomega.BeNumerically("<=", refusedAgain+p.chance(refusedAgain)))
	g.Expect(p.share(p.served)).To(gomega.BeNumerically(">=", served-p.chance(served)))
	g.Expect(p.share(p.firstInTime)).To(gomega.BeNumerically(">=", firstInTime-p.chance(firstInTime)))
}

// Planned returns must not be refused more often than spread ones, and less where overload
// ends while callers wait. Nobody may hear later than after the longest wait, and callers in
// steady overload before.
func TestPlannedReturns(t *testing.T) {
	for _, load := range returnLoads {
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			spread, planned := newReturnPlay(load, waitSpread).play(), newReturnPlay(load, waitPlanned).play()
			spread.log(t, "spread")
			planned.log(t, "planned")
			newReturnPlay(load, waitAnyTime).play().log(t, "any time left")
			newReturnPlay(load, waitForeseen).play().log(t, "room foreseen")
			planned.expectNotWorse(g, spread)
			g.Expect(quantile(planned.answers, 0.99)).To(gomega.BeNumerically("<=", simDeadline/3+simTarget))
			if load.recurs {
				refusedAgain := spread.share(spread.refusedAgain)
				g.Expect(planned.share(planned.refusedAgain)).To(gomega.BeNumerically("<", refusedAgain-planned.chance(refusedAgain)))
			}
			if load.steady {
				g.Expect(quantile(planned.answersOfRefused, 0.5)).To(gomega.BeNumerically("<", simDeadline/3))
			}
		})
	}
}

// The same where callers return twice, a node has few requests, all nodes lose their state
// in turn, as on restart, or one gets no load of others.
func TestPlannedReturnsInOtherCases(t *testing.T) {
	for name, prepare := range map[string]func(*returnPlay){
		"two returns":  func(p *returnPlay) { p.returns = 2 },
		"few requests": func(p *returnPlay) { p.planners = 8 },
		"no sums":      func(p *returnPlay) { p.fronts[0].cutOff = true },
		"restarts": func(p *returnPlay) {
			for i, front := range p.fronts {
				p.After(returnLoadLength/2+time.Duration(i)*100*time.Millisecond, func() { delete(p.plans, front) })
			}
		},
	} {
		for _, load := range []returnLoad{steadyOverload, recurringBursts} {
			t.Run(name+", "+load.name, func(t *testing.T) {
				t.Parallel()
				spread, planned := newReturnPlay(load, waitSpread), newReturnPlay(load, waitPlanned)
				prepare(spread)
				prepare(planned)
				spread.play().log(t, "spread")
				planned.play().log(t, "planned")
				planned.expectNotWorse(gomega.NewWithT(t), spread)
			})
		}
	}
}

func newReturnTimes(active bool, observed *[]returns.Outlook) *ReturnTimes {
	return &ReturnTimes{Active: func() bool { return active }, Observe: func(outlook returns.Outlook) { *observed = append(*observed, outlook) }}
}

// Only refusals for lack of room may be planned, and only where this is active.
func TestReturnTimesOfOtherRefusals(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, active := range []bool{false, true} {
		var observed []returns.Outlook
		fl := &inflight{
			Forwarder: &Forwarder{
				Balancer: balance.New(func() *catalog.Snapshot { return catalog.NewSnapshot(nil, nil) }),
				Returns:  newReturnTimes(active, &observed),
			},
			route: &catalog.Route{}, request: &Request{}, attempts: NewAttempts(&catalog.Route{}), deadline: time.Now().Add(30 * time.Second),
		}
		g.Expect(fl.retryAfter(balance.ErrNoEngine)).To(gomega.BeNumerically(">=", noEngineRetryAfter))
		g.Expect(fl.retryAfter(&heldError{Left: time.Hour})).To(gomega.Equal(time.Hour))
		g.Expect(fl.retryAfter(&balance.PaceError{RetryAfter: time.Hour})).To(gomega.BeNumerically(">=", time.Hour))
		for _, cause := range []error{errors.New("connection refused"), context.DeadlineExceeded, statusError(http.StatusMisdirectedRequest)} {
			fl.retryAfter(cause)
		}
		g.Expect(observed).To(gomega.BeEmpty())
		wait := fl.retryAfter(balance.ErrNoRoom)
		g.Expect(wait).To(gomega.BeNumerically("<=", 10*time.Second))
		if !active {
			g.Expect(observed).To(gomega.BeEmpty())
		}
		if active {
			g.Expect(wait).To(gomega.BeNumerically(">=", 9*time.Second))
			fl.retryAfter(statusError(http.StatusServiceUnavailable))
			g.Expect(observed).To(gomega.Equal([]returns.Outlook{returns.OutlookEnd, returns.OutlookEnd}))
		}
	}
}

// Services beyond a number aren't planned, so that memory is bounded, until others are idle.
func TestReturnTimesBoundServices(t *testing.T) {
	g := gomega.NewWithT(t)
	var observed []returns.Outlook
	times := newReturnTimes(true, &observed)
	for i := range 2 * maxPlannedServices {
		_, planned := times.plan(strconv.Itoa(i), returns.Refusal{Deadline: start.Add(time.Second)}, start, 0.5)
		g.Expect(planned).To(gomega.Equal(i < maxPlannedServices))
		times.served(strconv.Itoa(i))
	}
	g.Expect(times.planners).To(gomega.HaveLen(maxPlannedServices))
	_, planned := times.plan("later", returns.Refusal{}, start.Add(time.Minute), 0.5)
	g.Expect(planned).To(gomega.BeTrue())
	g.Expect(times.planners).To(gomega.HaveLen(1))
	var none *ReturnTimes
	none.served("s")
	_, planned = none.plan("s", returns.Refusal{}, start, 0)
	g.Expect(planned).To(gomega.BeFalse())
}
