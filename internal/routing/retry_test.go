package routing

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/fleet"
)

// Guards against retries at engines of which nothing is known, while others have just finished requests.
func TestRetryPrefersEnginesThatFinish(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range uint64(50) {
		router := NewRouter(Config{Zone: "z", Region: "r", Seed: seed})
		snapshot := endpoints(6, epoch, nil)
		finished, err := router.Pick(epoch, Request{Model: "m"}, snapshot)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		router.Observe(epoch, Outcome{Attempt: finished.Attempt, Kind: OutcomeFirstToken})
		router.Observe(epoch, Outcome{Attempt: finished.Attempt, Kind: OutcomeFinished})
		first := "engine-0000"
		if finished.Endpoint.Name == first {
			first = "engine-0001"
		}
		retry, err := router.Pick(epoch.Add(time.Second), Request{Model: "m", Repeatable: true, Tried: []string{first}}, snapshot)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(retry.Endpoint.Name).To(gomega.Equal(finished.Endpoint.Name))
	}
}

// Guards against a silent run that moves to an engine without a free place.
func TestReadyRequestGetsFreePlaceOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	router := NewRouter(Config{Zone: "z", Region: "r", Seed: 1})
	ready := Request{Model: "m", Repeatable: true, Slots: 2, Ready: true}
	full := endpoints(3, epoch, func(_ int, e *fleet.Endpoint) { e.Load.Running = 2 })
	_, err := router.Pick(epoch, ready, full)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(string(ReasonFull))))
	one := endpoints(3, epoch, func(i int, e *fleet.Endpoint) { e.Load.Running = 2 - i/2 })
	decision, err := router.Pick(epoch, ready, one)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decision.Endpoint.Name).To(gomega.Equal("engine-0002"))
}
