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

func TestCallersRefusedForThePaceReturnWhenItAllowsMore(t *testing.T) {
	g := gomega.NewWithT(t)
	balancer := balance.New(func() *catalog.Snapshot { return catalog.NewSnapshot(nil, nil) })
	route := &catalog.Route{}
	fl := &flight{Forwarder: &Forwarder{Balancer: balancer}, route: route, request: &Request{}, attempts: NewAttempts(route)}
	for range 100 {
		after := fl.comeBackFrom(&balance.PaceError{After: time.Hour})
		g.Expect(after).To(gomega.BeNumerically(">=", time.Hour))
		g.Expect(after).To(gomega.BeNumerically("<=", time.Hour+balancer.Ran()))
	}
	g.Expect(fl.comeBackFrom(&balance.PaceError{Paced: 1, Of: 2})).To(gomega.BeNumerically("<=", 2*balancer.Ran()))
	g.Expect(fl.comeBackFrom(balance.ErrNoRoom)).To(gomega.BeNumerically("<=", 2*balancer.Ran()))
}

// A permit that grew old tells nothing of the engine: it is not set aside.
func TestAVoidPermitIsNotTheEnginesFault(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := catalog.NewSnapshot(nil, []catalog.Engine{{ID: "a", Service: "s", Slots: 8}, {ID: "b", Service: "s", Zone: "z", Slots: 8}})
	balancer := balance.New(func() *catalog.Snapshot { return snapshot })
	fl := &flight{Forwarder: &Forwarder{Balancer: balancer}}
	void := &upstream.Error{Fate: upstream.FateNotSent, Step: "proceed", Cause: balance.ErrPermitVoid}
	route := &catalog.Route{}
	fl.attempts = NewAttempts(route)
	fl.note(catalog.Engine{ID: "b"}, fl.exchangeFailed(t.Context(), void))
	wish := balance.Wish{Service: "s", Zone: "z"}
	lease, err := fl.Balancer.Acquire(t.Context(), wish, 0, 0, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(lease.Engine.ID).To(gomega.Equal("b"))
	lease.Release()
	fl.note(catalog.Engine{ID: "b"}, outcome{kind: OutcomeNotSent, cause: errors.New("refused connection")})
	lease, err = fl.Balancer.Acquire(t.Context(), wish, 0, 0, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(lease.Engine.ID).To(gomega.Equal("a"))
}
