package forward

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
)

// TestLoadIsRefreshedBeforeAnEngineIsChosen: what Refresh brings decides, and the
// choice is told right after.
func TestLoadIsRefreshedBeforeAnEngineIsChosen(t *testing.T) {
	g := gomega.NewWithT(t)
	engines := []catalog.Engine{{ID: "a", Service: "s", Slots: 4}, {ID: "b", Service: "s", Slots: 4}}
	snapshot := catalog.NewSnapshot(nil, engines)
	balancer := balance.New(func() *catalog.Snapshot { return snapshot })
	var told balance.Report
	fl := &flight{
		Forwarder: &Forwarder{
			Balancer: balancer,
			Refresh: func(context.Context) {
				balancer.PeerLoad("others", balance.Report{balance.KeyOf("a"): {Counts: balance.Counts{4, 0}}})
			},
			Chosen: func() { told = balancer.Own() },
		},
		request: &Request{Arrived: time.Now()}, route: &catalog.Route{}, service: "s", attempts: NewAttempts(&catalog.Route{}),
	}
	lease, err := fl.acquire(context.Background())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(lease.Engine.ID).To(gomega.Equal("b"))
	g.Expect(told).To(gomega.HaveKeyWithValue(balance.KeyOf("b"), balance.Load{Counts: balance.Counts{1, 0}}))
}
