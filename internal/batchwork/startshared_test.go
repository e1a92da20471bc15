package batchwork

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
)

// newSharedRunner is newRunnerWithManyItems under overload.
func newSharedRunner(g *gomega.WithT) *Runner {
	runner := newRunnerWithManyItems(g, 0)
	runner.options.Overload.Active = func() bool { return true }
	return runner
}

func (r *Runner) leasedBatch() int {
	return r.options.Balancer.TotalReport()[balance.KeyOf("e")].Counts[balance.ClassBatch]
}

// Slots that online work takes back soon stay free, and so do the leases that were reserved to
// find out about them.
func TestRunsLeaveReserveFree(t *testing.T) {
	g := gomega.NewWithT(t)
	runner := newSharedRunner(g)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.Expect(runner.startOpen(ctx, runner.options.Machine.openItems(), time.Now())).To(gomega.HaveLen(maxStartsPerPlan))
	g.Expect(runner.overload.service("s").full).To(gomega.BeFalse(), "there is more room")

	// 1000 slots, of which 20 are the balancer's reserve: 32 remain.
	online := balance.Load{Counts: balance.Counts{balance.ClassOnline: 1000 - 20 - maxStartsPerPlan - 32}}
	runner.options.Balancer.SetPeerLoad("front", balance.Report{balance.KeyOf("e"): online})
	now := time.Now()
	for range 25 {
		runner.overload.service("s").gate.observeCut(0, now)
	}
	g.Expect(runner.startOpen(ctx, runner.options.Machine.openItems(), now)).To(gomega.HaveLen(7))
	g.Expect(runner.leasedBatch()).To(gomega.Equal(maxStartsPerPlan + 7))
	g.Expect(runner.overload.service("s").full).To(gomega.BeTrue())
}

// A leader at its run limit takes no room for its items to be free.
func TestRunLimitCountsAsNoRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	runner := newSharedRunner(g)
	runner.runLimit.maxRuns = 5
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.Expect(runner.startOpen(ctx, runner.options.Machine.openItems(), time.Now())).To(gomega.HaveLen(5))
	g.Expect(runner.overload.service("s").full).To(gomega.BeTrue())
	g.Expect(runner.startOpen(ctx, runner.options.Machine.openItems(), time.Now())).To(gomega.BeEmpty())
}

// A run that is cut before it was of use is counted against further starts; one whose executor
// was lost is not.
func TestOnlyCutsForOnlineWorkHoldStartsBack(t *testing.T) {
	g := gomega.NewWithT(t)
	runner := newSharedRunner(g)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	runner.startOpen(ctx, runner.options.Machine.openItems(), time.Now())
	for _, run := range runner.runs {
		run.executor = "lost"
	}
	runner.executors.begin("lost", time.Now().Add(-time.Minute))
	runner.dropSilentExecutors(time.Now())
	g.Expect(runner.overload.service("s").gate.reserve(time.Now())).To(gomega.BeZero())

	runner.options.Balancer.SetPeerLoad("front", balance.Report{balance.KeyOf("e"): balance.Load{Counts: balance.Counts{balance.ClassOnline: 1000 - maxStartsPerPlan + 4}}})
	runner.Preempt()
	g.Expect(runner.overload.service("s").gate.reserve(time.Now())).To(gomega.Equal(4))
	g.Expect(runner.leasedBatch()).To(gomega.Equal(maxStartsPerPlan - 4))
}

// A new leader starts without the estimates of an earlier term.
func TestEstimatesEndWithTerm(t *testing.T) {
	g := gomega.NewWithT(t)
	runner := newSharedRunner(g)
	runner.overload.service("s").gate.observeCut(0, time.Now())
	runner.setTerm(2)
	g.Expect(runner.overload.services).To(gomega.BeEmpty())
}

func TestLongItemsGetFastEngines(t *testing.T) {
	g := gomega.NewWithT(t)
	lease := func(engine string) *balance.Lease { return &balance.Lease{Engine: catalog.Engine{ID: engine}} }
	items := []openItem{{job: "short", lastEvent: 100}, {job: "kept", lastEvent: 50}, {job: "long"}}
	leases := []*balance.Lease{lease("fast"), lease("faster"), lease("slow")}
	speeds := map[string]float64{"slow": 0.5, "fast": 1, "faster": 2}
	previous := func(item openItem) string { return map[string]string{"kept": "faster"}[item.job] }
	assigned := assignSpeeds(items, leases, previous, newItemEstimator().eventsLeft, func(engine string) float64 { return speeds[engine] })
	var engines []string
	for _, l := range assigned {
		engines = append(engines, l.Engine.ID)
	}
	g.Expect(engines).To(gomega.Equal([]string{"slow", "faster", "fast"}))
}
