package forward

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
)

// Refused callers return when what fills the engines has ended, not all at once.
func TestRefusedCallersReturnAfterAServiceTime(t *testing.T) {
	g := gomega.NewWithT(t)
	balancer := balance.New(func() *catalog.Snapshot { return catalog.NewSnapshot(nil, nil) })
	fl := &flight{Forwarder: &Forwarder{Balancer: balancer}}
	ran := balancer.Ran()
	spread := map[time.Duration]bool{}
	for range 100 {
		after := fl.comeBack(balance.ErrNoRoom)
		g.Expect(after).To(gomega.BeNumerically(">=", ran))
		g.Expect(after).To(gomega.BeNumerically("<=", 2*ran))
		spread[after.Round(ran/10)] = true
	}
	g.Expect(len(spread)).To(gomega.BeNumerically(">=", 8))
}

// A request waits as long as it can be in time, and not once it is late.
func TestARequestWaitsForRoomWhileItCanBeInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	fl := &flight{route: &catalog.Route{Target: time.Hour}, request: &Request{Arrived: time.Now()}}
	g.Expect(fl.patienceForRoom()).To(gomega.BeNumerically("~", time.Hour-firstTime, 10*time.Minute))
	fl.request.Arrived = time.Now().Add(firstTime - time.Hour)
	g.Expect(fl.patienceForRoom()).To(gomega.BeZero())
	fl.route.Target = 0
	g.Expect(fl.patienceForRoom()).To(gomega.BeZero())
	fl.request.Arrived = time.Now().Add(time.Hour)
	g.Expect(fl.patienceForRoom()).To(gomega.BeNumerically(">", waitDefault))
}
