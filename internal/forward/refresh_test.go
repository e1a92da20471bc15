package forward

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
)

// An engine must be chosen by the load that Refresh brings, and the choice reported at once.
func TestAcquireRefreshesLoadBeforeChoice(t *testing.T) {
	g := gomega.NewWithT(t)
	engines := []catalog.Engine{{ID: "a", Service: "s", Slots: 4}, {ID: "b", Service: "s", Slots: 4}}
	snapshot := catalog.NewSnapshot(nil, engines)
	balancer := balance.New(func() *catalog.Snapshot { return snapshot })
	var reported balance.Report
	fl := &inflight{
		Forwarder: &Forwarder{
			Balancer: balancer,
			Refresh: func(context.Context) {
				balancer.SetPeerLoad("others", balance.Report{balance.KeyOf("a"): {Counts: balance.Counts{4, 0}}})
			},
			Chosen: func() { reported = balancer.OwnReport() },
		},
		request: &Request{Arrived: time.Now()}, route: &catalog.Route{}, service: "s", attempts: NewAttempts(&catalog.Route{}),
	}
	lease, err := fl.acquire(context.Background())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(lease.Engine.ID).To(gomega.Equal("b"))
	g.Expect(reported).To(gomega.HaveKeyWithValue(balance.KeyOf("b"), balance.Load{Counts: balance.Counts{1, 0}}))
}
