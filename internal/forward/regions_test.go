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

// regionalFlight is a request on a route with two services, of which each has engines
// in a region of its own.
func regionalFlight(regions catalog.Regions) (*flight, *balance.Balancer) {
	snapshot := catalog.NewSnapshot(nil, []catalog.Engine{
		{ID: "n", Service: "one", Region: "north", Slots: 1}, {ID: "o", Service: "one", Region: "east", Slots: 1}, {ID: "s", Service: "two", Region: "south", Slots: 1},
	})
	balancer := balance.New(func() *catalog.Snapshot { return snapshot })
	route := &catalog.Route{Name: "r", Backends: []catalog.Backend{{Service: "one", Weight: 1}, {Service: "two", Weight: 1}}}
	forwarder := &Forwarder{Balancer: balancer, Usable: func(string, string) bool { return true }}
	return &flight{
		Forwarder: forwarder, request: &Request{Arrived: time.Now(), Regions: regions}, route: route,
		attempts: NewAttempts(route), service: "one",
	}, balancer
}

// The service whose turn it is may have no engine in the request's regions; the request
// is not refused for that, but waits for one of the others.
func TestAnotherServiceOfTheRouteServesWithinTheRegions(t *testing.T) {
	g := gomega.NewWithT(t)
	fl, _ := regionalFlight(catalog.Regions{"south"})
	first, err := fl.acquire(context.Background())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(first.Engine.ID).To(gomega.Equal("s"))
	var second *balance.Lease
	for second == nil { // a slot and one request beyond it
		lease, err := fl.acquire(context.Background())
		if err != nil {
			g.Expect(err).To(gomega.MatchError(balance.ErrNoRoom))
			break
		}
		g.Expect(lease.Engine.ID).To(gomega.Equal("s"))
	}
	time.AfterFunc(5*time.Millisecond, first.Release)
	fl.request.Arrived = time.Now().Add(time.Hour) // a request without a target waits for a while after it came
	waited, err := fl.acquire(context.Background())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(waited.Engine.ID).To(gomega.Equal("s"))
}

func TestARequestWithoutAnyRegionIsRefusedWithTheRule(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, regions := range []catalog.Regions{{}, {"west"}} {
		fl, _ := regionalFlight(regions)
		fl.route.Target = time.Hour
		_, err := fl.acquire(context.Background())
		g.Expect(err).To(gomega.MatchError(balance.ErrNoEngine))
		var without *balance.NoEngineError
		g.Expect(errors.As(err, &without)).To(gomega.BeTrue())
		g.Expect(without.Rule).To(gomega.Equal(balance.RuleRegions))
	}
}

// A request that waited is not sent to an engine that a newer configuration excludes;
// that tells nothing of the engine, which goes on serving others.
func TestARequestHoldsToTheNewestRegions(t *testing.T) {
	g := gomega.NewWithT(t)
	fl, balancer := regionalFlight(catalog.Regions{"north"})
	newest := catalog.Regions{"north"}
	fl.Forwarder.Regions = func(*Request, *catalog.Route) catalog.Regions { return newest }
	lease, err := fl.acquire(context.Background())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(lease.Engine.ID).To(gomega.Equal("n"))
	newest = catalog.Regions{"south"}
	result, done := fl.try(context.Background(), lease) // there is no pool to send by
	g.Expect(done).To(gomega.BeFalse())
	g.Expect(result.kind).To(gomega.Equal(OutcomeNotSent))
	fl.note(lease.Engine, result)
	lease.Release()
	again, err := fl.acquire(context.Background())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again.Engine.ID).To(gomega.Equal("s"))
	idlest := func(avoid ...string) string {
		lease, err := balancer.Acquire(context.Background(), balance.Wish{Service: "one", Avoid: avoid}, 0, 0, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return lease.Engine.ID
	}
	g.Expect(idlest("n")).To(gomega.Equal("o"))
	g.Expect(idlest()).To(gomega.Equal("n"))
}
