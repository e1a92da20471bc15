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

// Items start while there is room, and it is known when there is none for more.
func TestStartsTellWhenRoomEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	runner := newSharedRunner(g)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.Expect(runner.startOpen(ctx, runner.options.Machine.openItems(), time.Now())).To(gomega.HaveLen(maxStartsPerPlan))
	g.Expect(runner.overload.service("s").full).To(gomega.BeFalse(), "there is more room")

	// 1000 slots, of which 20 are the balancer's reserve: 32 remain.
	online := balance.Load{Counts: balance.Counts{balance.ClassOnline: 1000 - 20 - maxStartsPerPlan - 32}}
	runner.options.Balancer.SetPeerLoad("front", balance.Report{balance.KeyOf("e"): online})
	g.Expect(runner.startOpen(ctx, runner.options.Machine.openItems(), time.Now())).To(gomega.HaveLen(32))
	g.Expect(runner.leasedBatch()).To(gomega.Equal(maxStartsPerPlan + 32))
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

// A new leader starts without the estimates of an earlier term.
func TestEstimatesEndWithTerm(t *testing.T) {
	g := gomega.NewWithT(t)
	runner := newSharedRunner(g)
	runner.overload.service("s")
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
	assigned := assignSpeeds(items, leases, previous, newItemEstimator().eventsLeft, func(engine catalog.Engine) float64 { return speeds[engine.ID] })
	var engines []string
	for _, l := range assigned {
		engines = append(engines, l.Engine.ID)
	}
	g.Expect(engines).To(gomega.Equal([]string{"slow", "faster", "fast"}))
}
