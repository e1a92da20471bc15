package forward

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
)

// inflightWithRegions returns a request on a route with two services whose engines are in
// different regions.
func inflightWithRegions(regions catalog.Regions) (*inflight, *balance.Balancer) {
	snapshot := catalog.NewSnapshot(nil, []catalog.Engine{
		{ID: "n", Service: "one", Region: "north", Slots: 1}, {ID: "o", Service: "one", Region: "east", Slots: 1}, {ID: "s", Service: "two", Region: "south", Slots: 1},
	})
	balancer := balance.New(func() *catalog.Snapshot { return snapshot })
	route := &catalog.Route{Name: "r", Backends: []catalog.Backend{{Service: "one", Weight: 1}, {Service: "two", Weight: 1}}}
	forwarder := &Forwarder{Balancer: balancer, Usable: func(string, string) bool { return true }}
	return &inflight{
		Forwarder: forwarder, request: &Request{Arrived: time.Now(), Regions: regions}, route: route,
		attempts: NewAttempts(route), service: "one",
	}, balancer
}

// A request must not be refused because the chosen service has no engine in its regions.
func TestAcquireUsesOtherServiceWithinRegions(t *testing.T) {
	g := gomega.NewWithT(t)
	fl, _ := inflightWithRegions(catalog.Regions{"south"})
	first, err := fl.acquire(context.Background())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(first.Engine.ID).To(gomega.Equal("s"))
	var second *balance.Lease
	for second == nil { // the engine's slot and one queued request
		lease, err := fl.acquire(context.Background())
		if err != nil {
			g.Expect(err).To(gomega.MatchError(balance.ErrNoRoom))
			break
		}
		g.Expect(lease.Engine.ID).To(gomega.Equal("s"))
	}
	time.AfterFunc(5*time.Millisecond, first.Release)
	fl.request.Arrived = time.Now().Add(time.Hour) // extends the wait of a request without a target
	waited, err := fl.acquire(context.Background())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(waited.Engine.ID).To(gomega.Equal("s"))
}

func TestAcquireReportsRegionsRule(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, regions := range []catalog.Regions{{}, {"west"}} {
		fl, _ := inflightWithRegions(regions)
		fl.route.Target = time.Hour
		_, err := fl.acquire(context.Background())
		g.Expect(err).To(gomega.MatchError(balance.ErrNoEngine))
		var noEngine *balance.NoEngineError
		g.Expect(errors.As(err, &noEngine)).To(gomega.BeTrue())
		g.Expect(noEngine.Rule).To(gomega.Equal(balance.RuleRegions))
	}
}

// A request must not be sent to an engine that a newer configuration excludes, and the
// engine must not be ejected for it.
func TestAttemptChecksNewestRegions(t *testing.T) {
	g := gomega.NewWithT(t)
	fl, balancer := inflightWithRegions(catalog.Regions{"north"})
	newest := catalog.Regions{"north"}
	fl.Forwarder.Regions = func(*Request, *catalog.Route) catalog.Regions { return newest }
	lease, err := fl.acquire(context.Background())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(lease.Engine.ID).To(gomega.Equal("n"))
	newest = catalog.Regions{"south"}
	result, done := fl.attempt(context.Background(), lease) // fails before it uses the nil pool
	g.Expect(done).To(gomega.BeFalse())
	g.Expect(result.kind).To(gomega.Equal(OutcomeNotSent))
	fl.reportToBalancer(lease.Engine, result)
	lease.Release()
	again, err := fl.acquire(context.Background())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again.Engine.ID).To(gomega.Equal("s"))
	acquireID := func(avoid ...string) string {
		lease, err := balancer.Acquire(context.Background(), balance.Wish{Service: "one", Avoid: avoid}, 0, 0, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return lease.Engine.ID
	}
	g.Expect(acquireID("n")).To(gomega.Equal("o"))
	g.Expect(acquireID()).To(gomega.Equal("n"))
}
