package batchwork

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/upstream"
)

// newRunnerWithManyItems leads a shard with many open items; its engine has room for all of
// them but accepts no connections.
func newRunnerWithManyItems(g *gomega.WithT, settle time.Duration) *Runner {
	shard := &failingShard{machine: NewMachine(), store: memoryStore{}}
	job := testJob("a", 10*maxStartsPerPlan, 0)
	job.Submitted, job.Completion, job.Retention = time.Now(), time.Hour, time.Hour
	apply(g, shard.machine, shard.store, encodeSubmit(job))
	engine := catalog.Engine{ID: "e", Service: "s", Address: "127.0.0.1:1", Slots: 1000}
	snapshot := catalog.NewSnapshot(nil, []catalog.Engine{engine})
	route := &catalog.Route{Name: "r", Kind: catalog.KindBatch, Backends: []catalog.Backend{{Service: "s", Weight: 1}}}
	return NewRunner(RunnerOptions{
		Shard: shard, Machine: shard.machine, Settle: settle, Pool: upstream.NewPool(nil),
		Balancer: balance.New(func() *catalog.Snapshot { return snapshot }),
		Route:    func(_, _ string) *catalog.Route { return route },
		// No engine is usable, so that no run gets past its start.
		Usable: func(_, _ string) bool { return false },
	})
}

func TestRunnerBoundsStartsPerPlan(t *testing.T) {
	g := gomega.NewWithT(t)
	runner := newRunnerWithManyItems(g, 0)
	open := runner.options.Machine.openItems()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.Expect(runner.startOpen(ctx, open, time.Now())).To(gomega.HaveLen(maxStartsPerPlan))
	g.Expect(runner.startOpen(ctx, open, time.Now())).To(gomega.HaveLen(maxStartsPerPlan), "starts other items")
	g.Expect(runner.Running()).To(gomega.Equal(2 * maxStartsPerPlan))
	runner.runLimit.maxRuns = 2*maxStartsPerPlan + 3
	g.Expect(runner.startOpen(ctx, open, time.Now())).To(gomega.HaveLen(3), "limited by the run limit")
}

// A new leader doesn't know the engines' load yet.
func TestNewLeaderWaitsForSettleTime(t *testing.T) {
	g := gomega.NewWithT(t)
	runner := newRunnerWithManyItems(g, time.Hour)
	runner.plan(context.Background())
	g.Expect(runner.Leading()).To(gomega.BeTrue())
	g.Expect(runner.previousEngines).To(gomega.BeEmpty(), "no item was sent to an engine")
	runner.since = time.Now().Add(-2 * time.Hour)
	runner.plan(context.Background())
	runner.Stop()
	g.Expect(runner.previousEngines).To(gomega.HaveLen(maxStartsPerPlan))
	g.Expect(runner.Running()).To(gomega.BeZero())
}

// A preempted run releases its slot before its text is committed.
func TestPreemptedRunReleasesSlotImmediately(t *testing.T) {
	g := gomega.NewWithT(t)
	runner := newRunnerWithManyItems(g, 0)
	started := runner.startOpen(context.Background(), runner.options.Machine.openItems(), time.Now())
	batch := func() int {
		return runner.options.Balancer.TotalReport()[balance.KeyOf("e")].Counts[balance.ClassBatch]
	}
	g.Expect(batch()).To(gomega.Equal(maxStartsPerPlan))
	online := func(count int) {
		load := balance.Load{Counts: balance.Counts{balance.ClassOnline: count}}
		runner.options.Balancer.SetPeerLoad("front", balance.Report{balance.KeyOf("e"): load})
	}
	online(1000 - maxStartsPerPlan)
	runner.Preempt()
	g.Expect(batch()).To(gomega.Equal(maxStartsPerPlan), "the slots are sufficient")
	online(1000 - maxStartsPerPlan + 4)
	runner.nextPreemption = time.Time{}
	runner.Preempt()
	g.Expect(batch()).To(gomega.Equal(maxStartsPerPlan - 4))
	cut := 0
	for _, next := range started {
		if next.ctx.Err() != nil {
			cut++
		}
	}
	g.Expect(cut).To(gomega.Equal(4))
}
