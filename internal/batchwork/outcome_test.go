package batchwork

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"chutelock.dev/chutelock/internal/transport"
)

func TestMachineAnswersOutcomeOfEachUpdate(t *testing.T) {
	g := gomega.NewWithT(t)
	m, store := NewMachine(), memoryStore{}
	apply(g, m, store, encodeSubmit(testJob("a", 3, 0)))
	apply(g, m, store, encodeSubmit(testJob("ended", 1, 0)))
	apply(g, m, store, encodeEnd(jobName{job: "ended"}, submitted))
	answer, err := m.Apply(store, 1, encodeAdvance([]itemUpdate{
		{job: "a", to: 2, text: []byte("x")},
		{job: "a", to: 2, text: []byte("y")},
		{job: "a", index: 1, to: 1, text: []byte("x"), state: StateSucceeded},
		{job: "a", index: 1, from: 1, to: 2, text: []byte("y")},
		{job: "a", index: 3},
		{job: "ended"},
		{job: "unknown"},
	}, submitted))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	content, err := decodeAnswer(answer)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	outcomes, err := decodeOutcomes(content, 7)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(outcomes).To(gomega.Equal([]updateOutcome{
		updateApplied, updateSuperseded, updateApplied, updateClosed, updateClosed, updateClosed, updateClosed,
	}))
	_, err = decodeOutcomes(content, 6)
	g.Expect(err).To(gomega.MatchError(errOutcomeCount))
}

func TestUpdatesReplyOfOlderLeaderCountsAsApplied(t *testing.T) {
	g := gomega.NewWithT(t)
	outcomes, err := decodeUpdatesReply(nil, 2)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(outcomes).To(gomega.Equal([]updateOutcome{updateApplied, updateApplied}))
	sent := []updateOutcome{updateClosed, updateSuperseded, updateApplied}
	outcomes, err = decodeUpdatesReply(encodeUpdatesReply(sent), 3)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(outcomes).To(gomega.Equal(sent))
	_, err = decodeUpdatesReply(encodeUpdatesReply(sent), 2)
	g.Expect(err).To(gomega.MatchError(errOutcomeCount))
	_, err = decodeUpdatesReply([]byte{0}, 1)
	g.Expect(err).To(gomega.HaveOccurred())
}

// An executor of an older version doesn't read the outcomes of its updates.
func TestLeaderRejectsFurtherUpdatesOfSupersededRun(t *testing.T) {
	g := gomega.NewWithT(t)
	runner := newRunnerWithManyItems(g, 0)
	runner.term = 1
	started := runner.startOpen(context.Background(), runner.options.Machine.openItems(), time.Now())
	item := started[0].item
	current := runner.runs[itemKey{item.job, item.index}]
	current.executor = "executor"
	update := func(from transport.Address, first, last uint64) updateOutcome {
		u := itemUpdate{job: item.job, index: item.index, from: first, to: last, text: []byte("x")}
		reply, err := runner.handleUpdates(context.Background(), from, marshal(fixedUpdates{}, encodeUpdate(u)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		outcomes, err := decodeUpdatesReply(reply, 1)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return outcomes[0]
	}
	g.Expect(update("executor", 0, 2)).To(gomega.Equal(updateApplied))
	g.Expect(update("other", 2, 3)).To(gomega.Equal(updateSuperseded), "another node runs the item")
	g.Expect(current.ctx.Err()).NotTo(gomega.HaveOccurred())
	g.Expect(update("executor", 1, 3)).To(gomega.Equal(updateSuperseded))
	g.Expect(current.ctx.Err()).To(gomega.HaveOccurred(), "the run was cut")
	g.Expect(update("executor", 2, 3)).To(gomega.Equal(updateSuperseded))
	state, _ := runner.options.Machine.item(item.job, item.index)
	g.Expect(state.lastEvent).To(gomega.BeEquivalentTo(2))
}

func TestSupersededEndIsNeitherRetriedNorCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	shard := &failingShard{machine: NewMachine(), store: memoryStore{}}
	apply(g, shard.machine, shard.store, encodeSubmit(testJobForAnHour("a", 1)))
	registry := prometheus.NewRegistry()
	runner := NewRunner(RunnerOptions{Shard: shard, Machine: shard.machine, Metrics: NewMetrics(registry)})
	runner.addPendingEnd(itemUpdate{job: "a", to: 5, text: []byte("x"), state: StateSucceeded})
	open := shard.machine.openItems()
	due, dueTimes := runner.dueEnds(open, time.Now())
	g.Expect(due).To(gomega.HaveLen(1))
	apply(g, shard.machine, shard.store, encodeAdvance([]itemUpdate{{job: "a", to: 3, text: []byte("y")}}, submitted))
	outcomes, err := runner.propose(context.Background(), due)
	runner.finishPendingEnds(due, dueTimes, outcomes, err)
	g.Expect(runner.pendingEnds).To(gomega.BeEmpty())
	g.Expect(shard.machine.openItems()).To(gomega.HaveLen(1), "the item resumes")
	families, err := registry.Gather()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(families).To(gomega.HaveLen(1), "no item counts as ended")
	g.Expect(families[0].String()).To(gomega.And(gomega.ContainSubstring(`"superseded"`), gomega.ContainSubstring("value:1")))
}
