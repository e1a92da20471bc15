package batchwork

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A tenant's job takes as long as what its tenant has open and as much of the others' work as
// their weights allow.
func TestForecastDelaysBurstByItsOwnWork(t *testing.T) {
	g := gomega.NewWithT(t)
	forecast := jobForecast{slots: 2, weight: equalWeights, work: map[string]time.Duration{"burst": 100 * time.Second, "calm": 4 * time.Second}}
	g.Expect(forecast.completion("calm", 2*time.Second, time.Second)).To(gomega.Equal(6 * time.Second))
	g.Expect(forecast.completion("burst", 2*time.Second, time.Second)).To(gomega.Equal(53 * time.Second))
	g.Expect(forecast.completion("new", 100*time.Millisecond, time.Second)).To(gomega.Equal(time.Second), "an item takes its time")
	g.Expect(forecast.share("burst", 2*time.Second, 10*time.Second)).To(gomega.Equal(16 * time.Second))
	forecast.weight = func(tenant string) float64 { return map[string]float64{"burst": 1, "calm": 3}[tenant] }
	g.Expect(forecast.completion("calm", 2*time.Second, time.Second)).To(gomega.Equal(4 * time.Second))
}

// With next to no room a job is late, not in time by an overflow.
func TestForecastWithoutRoomIsLate(t *testing.T) {
	g := gomega.NewWithT(t)
	forecast := jobForecast{slots: 1e-12, weight: equalWeights, work: map[string]time.Duration{"a": time.Minute}}
	g.Expect(forecast.completion("a", time.Second, time.Second)).To(gomega.Equal(maxForecast))
	g.Expect(newReturns().refuse("1", "a", time.Second, time.Minute, forecast, submitted)).To(gomega.Equal(time.Minute))
}

// Jobs that are refused one after another return one after another, each at most after the
// limit; one that asks again keeps its place.
func TestRefusedJobsReturnInTurn(t *testing.T) {
	g := gomega.NewWithT(t)
	forecast := jobForecast{slots: 2, weight: equalWeights, work: map[string]time.Duration{"a": 40 * time.Second}}
	r := newReturns()
	limit := 18 * time.Second
	refuse := func(job, tenant string, now time.Time) time.Duration {
		return r.refuse(job, tenant, 4*time.Second, limit, forecast, now)
	}
	g.Expect(refuse("1", "a", submitted)).To(gomega.Equal(4 * time.Second))
	g.Expect(refuse("2", "a", submitted)).To(gomega.Equal(6 * time.Second))
	g.Expect(refuse("1", "a", submitted)).To(gomega.Equal(6 * time.Second))
	g.Expect(refuse("3", "b", submitted)).To(gomega.Equal(minJobRetryAfter), "another tenant's returns don't count")
	for range 20 {
		g.Expect(refuse(time.Now().String(), "a", submitted)).To(gomega.BeNumerically("<=", limit))
	}
	g.Expect(refuse("4", "a", submitted.Add(limit))).To(gomega.Equal(4*time.Second), "those that have returned don't count")
}

// The room covers bursts and valleys of online work, and lapses if it isn't renewed.
func TestRoomCoversBurstsAndValleys(t *testing.T) {
	g := gomega.NewWithT(t)
	var m roomMeter
	now := submitted
	observe := func(slots float64) {
		for range 10 {
			now = now.Add(roomInterval)
			m.observe(slots, now)
		}
	}
	m.observe(50, now)
	_, known := m.slots(now)
	g.Expect(known).To(gomega.BeFalse())
	for range 20 {
		observe(90)
		observe(10)
	}
	slots, known := m.slots(now)
	g.Expect(known).To(gomega.BeTrue())
	g.Expect(slots).To(gomega.BeNumerically("~", 50, 5), "in a burst")
	observe(90)
	slots, _ = m.slots(now)
	g.Expect(slots).To(gomega.BeNumerically(">", 75), "in a valley")
	now = now.Add(maxRoomAge + time.Second)
	_, known = m.slots(now)
	g.Expect(known).To(gomega.BeFalse())
	m.observe(5, now)
	_, known = m.slots(now)
	g.Expect(known).To(gomega.BeFalse(), "what was known before is too old")
}

// Time in which runs hold slots without producing events counts.
func TestEventTimeIncludesCutRuns(t *testing.T) {
	g := gomega.NewWithT(t)
	var m roomMeter
	for range minRuns {
		_, known := m.eventTime()
		g.Expect(known).To(gomega.BeFalse())
		m.observeRun(time.Second, 20)
	}
	perEvent, known := m.eventTime()
	g.Expect(known).To(gomega.BeTrue())
	g.Expect(time.Duration(perEvent)).To(gomega.BeNumerically("~", 50*time.Millisecond, time.Millisecond))
	for range 500 {
		m.observeRun(time.Second, 20)
		m.observeRun(time.Second, 0)
	}
	perEvent, _ = m.eventTime()
	g.Expect(time.Duration(perEvent)).To(gomega.BeNumerically("~", 100*time.Millisecond, 3*time.Millisecond))
}

func TestCutOrderLosesLeast(t *testing.T) {
	g := gomega.NewWithT(t)
	const start = 200 * time.Millisecond
	ago := func(age time.Duration, begun bool) *run { return &run{started: submitted.Add(-age), begun: begun} }
	older, fresh, reading, begun := ago(2*time.Second, true), ago(10*time.Millisecond, false), ago(150*time.Millisecond, false), ago(time.Second, true)
	order := cutOrder([]*run{older, begun, reading, fresh}, start, submitted)
	for i, want := range []*run{fresh, reading, begun, older} {
		g.Expect(order[i]).To(gomega.BeIdenticalTo(want), "%d", i)
	}
}

// Guards against jobs that are refused for good, as no run ends any more that would correct the estimate.
func TestJobsAcceptedAgainOnceNoRunHasEndedForLong(t *testing.T) {
	g := gomega.NewWithT(t)
	load := newOverload().service("s")
	now := time.Now()
	pass := func(duration time.Duration) {
		for range duration / roomInterval {
			now = now.Add(roomInterval)
			load.room.observe(10, now)
		}
	}
	refuses := func() bool {
		forecast, itemWork, known := load.forecast(newItemEstimator(), func(string) float64 { return 1 }, now)
		return known && forecast.completion("t", itemWork, itemWork) > 20*time.Second
	}
	pass(minRoomTime + roomInterval)
	for range minRuns {
		load.room.observeRun(10*time.Second, 20)
	}
	g.Expect(refuses()).To(gomega.BeTrue(), "items take 100 s")
	pass(roomWindow / 2)
	g.Expect(refuses()).To(gomega.BeTrue())
	pass(roomWindow)
	g.Expect(refuses()).To(gomega.BeFalse())
	for range minRuns {
		load.room.observeRun(time.Second, 20)
	}
	g.Expect(refuses()).To(gomega.BeFalse(), "items take 10 s now")
}
