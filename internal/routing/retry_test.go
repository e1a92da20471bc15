package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/engine"
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

// faultyRun sends requests one after the other to a fleet whose first engines cut each stream after its first
// token, and returns the attempts of each.
func faultyRun(g *gomega.WithT, seed uint64, engines, faulty, requests int) []int {
	router := NewRouter(Config{Zone: "z", Region: "r", Seed: seed})
	now := epoch
	var attempts []int
	for range requests {
		request := Request{Model: "m", Repeatable: true}
		for {
			now = now.Add(time.Millisecond)
			decision, err := router.Pick(now, request, endpoints(engines, now, nil))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			request.Tried = append(request.Tried, decision.Endpoint.Name)
			router.Observe(now, Outcome{Attempt: decision.Attempt, Kind: OutcomeFirstToken})
			if decision.Endpoint.Name >= fmt.Sprintf("engine-%04d", faulty) {
				router.Observe(now, Outcome{Attempt: decision.Attempt, Kind: OutcomeFinished, Tokens: 2})
				break
			}
			router.Observe(now, Outcome{Attempt: decision.Attempt, Kind: OutcomeFailed, Fate: engine.FateUnknown})
		}
		attempts = append(attempts, len(request.Tried))
	}
	return attempts
}

// Guards against requests that meet one faulty engine after the other once a sound one is known.
func TestRequestMeetsOneFaultyEngineOnceAnotherHasFinished(t *testing.T) {
	g := gomega.NewWithT(t)
	const faulty = 4
	first := [faulty + 2]int{} // by attempts
	for seed := range uint64(1000) {
		attempts := faultyRun(g, seed, 12, faulty, 20)
		first[attempts[0]]++
		for _, later := range attempts[1:] {
			g.Expect(later).To(gomega.BeNumerically("<=", 2))
		}
	}
	t.Logf("first requests, of which nothing is known before, by attempts: %v", first)
}
