package batchwork

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/transport"
)

// An executor of an older version takes each update without an error as applied.
func TestStaleRunOfOlderExecutorDoesNotCommitBehindTextOfAnother(t *testing.T) {
	g := gomega.NewWithT(t)
	runner := newRunnerWithManyItems(g, 0)
	runner.term = 1
	item := runner.startOpen(context.Background(), runner.options.Machine.openItems(), time.Now())[0].item
	k := itemKey{item.job, item.index}
	current := runner.runs[k]
	current.executor = "other"
	update := func(from transport.Address, first, last uint64) {
		u := itemUpdate{job: item.job, index: item.index, from: first, to: last, text: []byte("x")}
		_, err := runner.handleUpdates(context.Background(), from, marshal(fixedUpdates{}, encodeUpdate(u)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	// The leader has given up the older executor's run; two other runs end at events 1 and 2.
	update("other", 0, 1)
	delete(runner.runs, k)
	update("older", 0, 2)
	runner.runs[k] = current
	update("other", 1, 2)
	delete(runner.runs, k)
	update("older", 2, 3)
	state, _ := runner.options.Machine.item(item.job, item.index)
	g.Expect(state.lastEvent).To(gomega.BeEquivalentTo(2), "the stale run's text was applied")
}
