package balance

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
)

// An engine that fails requests at once must not look idle.
func TestReleaseFailedKeepsSlotCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := newSnapshot(1, 6)
	balancer := New(func() *catalog.Snapshot { return snapshot })
	for range 600 {
		balancer.table.RecordHold(time.Hour)
	}
	for range 3 {
		lease, err := balancer.Acquire(context.Background(), Wish{Service: "s", PromptTokens: 100}, 0, 0, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		lease.ReleaseFailed()
		lease.Release()
	}
	own := balancer.OwnReport()[KeyOf("a")]
	g.Expect(own.Counts).To(gomega.Equal(Counts{3, 0}))
	g.Expect(own.Pending).To(gomega.BeZero(), "no prompt tokens are pending")
}

// The place of a failed request must be free after the mean hold time.
func TestReleaseFailedFreesSlotAfterMeanHold(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := newSnapshot(1, 6)
	balancer := New(func() *catalog.Snapshot { return snapshot })
	balancer.table.meanHold = time.Millisecond
	lease, err := balancer.Acquire(context.Background(), Wish{Service: "s"}, 0, 0, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	lease.ReleaseFailed()
	g.Eventually(func() Report { return balancer.OwnReport() }, 10*time.Second).Should(gomega.BeEmpty())
}
