package forward

import (
	"errors"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/upstream"
)

func TestRetryAfterFollowsColdStartPace(t *testing.T) {
	g := gomega.NewWithT(t)
	balancer := balance.New(func() *catalog.Snapshot { return catalog.NewSnapshot(nil, nil) })
	route := &catalog.Route{}
	fl := &inflight{Forwarder: &Forwarder{Balancer: balancer}, route: route, request: &Request{}, attempts: NewAttempts(route)}
	for range 100 {
		delay := fl.retryAfter(&balance.PaceError{RetryAfter: time.Hour})
		g.Expect(delay).To(gomega.BeNumerically(">=", time.Hour))
		g.Expect(delay).To(gomega.BeNumerically("<=", time.Hour+balancer.MeanHold()))
	}
	g.Expect(fl.retryAfter(&balance.PaceError{Exhausted: 1, Total: 2})).To(gomega.BeNumerically("<=", 2*balancer.MeanHold()))
	g.Expect(fl.retryAfter(balance.ErrNoRoom)).To(gomega.BeNumerically("<=", 2*balancer.MeanHold()))
}

// A void permit must not eject the engine.
func TestVoidPermitIsNoEngineFailure(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := catalog.NewSnapshot(nil, []catalog.Engine{{ID: "a", Service: "s", Slots: 8}, {ID: "b", Service: "s", Zone: "z", Slots: 8}})
	balancer := balance.New(func() *catalog.Snapshot { return snapshot })
	fl := &inflight{Forwarder: &Forwarder{Balancer: balancer}}
	void := &upstream.Error{Fate: upstream.FateNotSent, Step: "proceed", Cause: balance.ErrPermitVoid}
	route := &catalog.Route{}
	fl.attempts = NewAttempts(route)
	fl.reportToBalancer(catalog.Engine{ID: "b"}, fl.classifyError(t.Context(), void))
	criteria := balance.Wish{Service: "s", Zone: "z"}
	lease, err := fl.Balancer.Acquire(t.Context(), criteria, 0, 0, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(lease.Engine.ID).To(gomega.Equal("b"))
	lease.Release()
	fl.reportToBalancer(catalog.Engine{ID: "b"}, attemptResult{kind: OutcomeNotSent, cause: errors.New("connection refused")})
	lease, err = fl.Balancer.Acquire(t.Context(), criteria, 0, 0, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(lease.Engine.ID).To(gomega.Equal("a"))
}
