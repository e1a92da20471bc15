package balance

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
)

// An engine that fails what it gets at once looks no idler than one that works.
func TestAFailingEngineDoesNotLookIdle(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := engines(1, 6)
	balancer := New(func() *catalog.Snapshot { return snapshot })
	for range 600 {
		balancer.table.Ran(time.Hour)
	}
	for range 3 {
		lease, err := balancer.Acquire(context.Background(), Wish{Service: "s", PromptTokens: 100}, 0, 0, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		lease.ReleaseFailed()
		lease.Release()
	}
	own := balancer.Own()[KeyOf("a")]
	g.Expect(own.Counts).To(gomega.Equal(Counts{3, 0}))
	g.Expect(own.Pending).To(gomega.BeZero(), "nothing of it is still to be read")
}

// The place is free once a good request would have ended.
func TestAFailedRequestsPlaceGetsFree(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := engines(1, 6)
	balancer := New(func() *catalog.Snapshot { return snapshot })
	balancer.table.ran = time.Millisecond
	lease, err := balancer.Acquire(context.Background(), Wish{Service: "s"}, 0, 0, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	lease.ReleaseFailed()
	g.Eventually(func() Report { return balancer.Own() }, 10*time.Second).Should(gomega.BeEmpty())
}
