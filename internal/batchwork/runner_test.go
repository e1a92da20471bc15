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

// crowdedRunner leads a shard with many open items, before engines with room for
// all of them that let no connection in.
func crowdedRunner(g *gomega.WithT, settle time.Duration) *Runner {
	shard := &failingShard{machine: NewMachine(), store: memoryStore{}}
	job := testJob("a", 10*startsMost, 0)
	job.Submitted, job.Completion, job.Retention = time.Now(), time.Hour, time.Hour
	apply(g, shard.machine, shard.store, encodeSubmit(job))
	engine := catalog.Engine{ID: "e", Service: "s", Address: "127.0.0.1:1", Slots: 1000}
	snapshot := catalog.NewSnapshot(nil, []catalog.Engine{engine})
	route := &catalog.Route{Name: "r", Kind: catalog.KindBatch, Backends: []catalog.Backend{{Service: "s", Weight: 1}}}
	return NewRunner(RunnerOptions{
		Shard: shard, Machine: shard.machine, Settle: settle, Pool: upstream.NewPool(nil),
		Balancer: balance.New(func() *catalog.Snapshot { return snapshot }),
		Route:    func(_, _ string) *catalog.Route { return route },
		// No engine may be used, so that no run gets beyond its start.
		Usable: func(_, _ string) bool { return false },
	})
}

func TestALookStartsAFewRunsOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	runner := crowdedRunner(g, 0)
	open := runner.options.Machine.openItems()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.Expect(runner.startOpen(ctx, open, time.Now())).To(gomega.HaveLen(startsMost))
	g.Expect(runner.startOpen(ctx, open, time.Now())).To(gomega.HaveLen(startsMost), "others than before")
	g.Expect(runner.Running()).To(gomega.Equal(2 * startsMost))
	runner.limit.most = 2*startsMost + 3
	g.Expect(runner.startOpen(ctx, open, time.Now())).To(gomega.HaveLen(3), "no more than the leader bears")
}

// A new leader doesn't know the engines' load yet.
func TestANewLeaderStartsNothingAtFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	runner := crowdedRunner(g, time.Hour)
	runner.plan(context.Background())
	g.Expect(runner.Leading()).To(gomega.BeTrue())
	g.Expect(runner.formers).To(gomega.BeEmpty(), "no item has been to an engine")
	runner.since = time.Now().Add(-2 * time.Hour)
	runner.plan(context.Background())
	runner.Stop()
	g.Expect(runner.formers).To(gomega.HaveLen(startsMost))
	g.Expect(runner.Running()).To(gomega.BeZero())
}

// A run that has to make way counts no more from that moment on, not only once
// its text is committed.
func TestACutRunGivesItsSlotUpAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	runner := crowdedRunner(g, 0)
	started := runner.startOpen(context.Background(), runner.options.Machine.openItems(), time.Now())
	batch := func() int { return runner.options.Balancer.All()[balance.KeyOf("e")].Counts[balance.ClassBatch] }
	g.Expect(batch()).To(gomega.Equal(startsMost))
	online := func(count int) {
		load := balance.Load{Counts: balance.Counts{balance.ClassOnline: count}}
		runner.options.Balancer.PeerLoad("front", balance.Report{balance.KeyOf("e"): load})
	}
	online(1000 - startsMost)
	runner.Yield()
	g.Expect(batch()).To(gomega.Equal(startsMost), "the slots suffice")
	online(1000 - startsMost + 4)
	runner.yieldAt = time.Time{}
	runner.Yield()
	g.Expect(batch()).To(gomega.Equal(startsMost - 4))
	cut := 0
	for _, next := range started {
		if next.ctx.Err() != nil {
			cut++
		}
	}
	g.Expect(cut).To(gomega.Equal(4))
}
