package batchwork

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"chutelock.dev/chutelock/internal/ledger"
)

// failingShard applies entries to a machine; the first proposals fail.
type failingShard struct {
	mutex   sync.Mutex
	machine *Machine
	store   memoryStore
	failing int
	entries int
}

func (s *failingShard) Propose(_ context.Context, entry []byte) ([]byte, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.entries++
	if s.entries <= s.failing {
		return nil, ledger.ErrUnavailable
	}
	return s.machine.Apply(s.store, uint64(s.entries), entry)
}

func (s *failingShard) Read(_ context.Context, query func(ledger.Reader) error) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return query(s.store)
}

// FollowerRead implements ledger.Shard.
func (s *failingShard) FollowerRead(ctx context.Context, query func(ledger.Reader) error) error {
	return s.Read(ctx, query)
}

func (s *failingShard) Leading() (bool, uint64) { return true, 1 }

// A failed commit of an item's end is retried, and the item isn't sent to an engine
// meanwhile.
func TestUncommittedEndIsRetried(t *testing.T) {
	g := gomega.NewWithT(t)
	shard := &failingShard{machine: NewMachine(), store: memoryStore{}, failing: 2}
	job := testJob("a", 2, 0)
	job.Retention = time.Hour
	job.Submitted = time.Now()
	apply(g, shard.machine, shard.store, encodeSubmit(job))
	runner := NewRunner(RunnerOptions{Shard: shard, Machine: shard.machine})
	commitCtx, stop := context.WithCancel(context.Background())
	defer stop()
	go runner.committer.run(commitCtx)
	open := shard.machine.openItems()
	run := &itemRun{node: runner.node, item: open[0], id: "a-0"}
	run.giveUp(context.Background(), "the engine can never run it")
	g.Expect(run.result.end).NotTo(gomega.BeNil())
	runner.addPendingEnd(*run.result.end)
	g.Expect(shard.machine.openItems()).To(gomega.HaveLen(2), "the commit failed")
	now := time.Now()
	for range 2 {
		runner.commitPendingEnds(shard.machine.openItems(), now)
		runner.tasks.Wait()
		now = now.Add(time.Minute) // past failurePause
	}
	left := shard.machine.openItems()
	g.Expect(left).To(gomega.HaveLen(1))
	g.Expect(left[0].index).To(gomega.BeEquivalentTo(1))
	g.Expect(runner.isIdle(&open[0], time.Now())).To(gomega.BeTrue())
	g.Expect(runner.pendingEnds).To(gomega.BeEmpty())
}

func TestExpiredItemsAreGivenUpInOneEntry(t *testing.T) {
	g := gomega.NewWithT(t)
	shard := &failingShard{machine: NewMachine(), store: memoryStore{}}
	job := testJob("a", 5, 0)
	job.Retention = time.Second
	job.Submitted = time.Now().Add(-time.Minute)
	apply(g, shard.machine, shard.store, encodeSubmit(job))
	registry := prometheus.NewRegistry()
	runner := NewRunner(RunnerOptions{Shard: shard, Machine: shard.machine, Metrics: NewMetrics(registry)})
	runner.commitPendingEnds(shard.machine.openItems(), time.Now())
	runner.tasks.Wait()
	g.Expect(shard.machine.openItems()).To(gomega.BeEmpty())
	g.Expect(shard.entries).To(gomega.Equal(1))
	families, err := registry.Gather()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(families).To(gomega.HaveLen(1))
	g.Expect(families[0].String()).To(gomega.And(gomega.ContainSubstring(`"given-up"`), gomega.ContainSubstring("value:5")))
}
