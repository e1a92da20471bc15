package batchwork

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/upstream"
)

// BenchmarkPlanWithoutRoom plans 2,000 open items of 200 jobs while all engines are full,
// with 1,400 routes.
func BenchmarkPlanWithoutRoom(b *testing.B) {
	g := gomega.NewWithT(b)
	shard := &failingShard{machine: NewMachine(), store: memoryStore{}}
	for i := range 200 {
		job := testJob(fmt.Sprint("job", i), 10, 0)
		job.Submitted, job.Completion, job.Retention = time.Now(), time.Hour, time.Hour
		apply(g, shard.machine, shard.store, encodeSubmit(job))
	}
	configuration := &catalog.Configuration{}
	for i := range 1400 {
		configuration.Routes = append(configuration.Routes, catalog.Route{
			Name: fmt.Sprint("r", i), Host: fmt.Sprint("h", i, ".example"), Prefix: "/x/", Kind: catalog.KindBatch,
		})
	}
	last := &configuration.Routes[1399]
	last.Host, last.Prefix, last.Backends = "h", "/p/", []catalog.Backend{{Service: "s", Weight: 1}}
	var engines []catalog.Engine
	for i := range 130 {
		engines = append(engines, catalog.Engine{ID: fmt.Sprint("e", i), Service: "s", Zone: "z", Slots: 8})
	}
	snapshot := catalog.NewSnapshot(configuration, engines)
	balancer := balance.New(func() *catalog.Snapshot { return snapshot })
	load := balance.Report{}
	for _, engine := range engines {
		load[balance.KeyOf(engine.ID)] = balance.Load{Counts: balance.Counts{8, 0}}
	}
	runner := NewRunner(RunnerOptions{
		Shard: shard, Machine: shard.machine, Pool: upstream.NewPool(nil), Balancer: balancer,
		Route:  func(host, path string) *catalog.Route { return configuration.Match(host, path) },
		Usable: func(_, _ string) bool { return true },
	})
	var _ ledger.Shard = shard
	b.ReportAllocs()
	for b.Loop() {
		balancer.SetPeerLoad("fronts", load)
		runner.plan(context.Background())
	}
}
