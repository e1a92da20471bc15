package sim_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/lab/arrivals"
	"chutelock.dev/chutelock/internal/lab/sim"
)

// smallConfig returns a deployment of four engines with enough capacity for all batch items.
func smallConfig() sim.Config {
	return sim.Config{
		Deployment: sim.Deployment{
			Name:  "small",
			Zones: []sim.Zone{{Name: "a", Engines: 2, Nodes: 2}, {Name: "b", Engines: 2, Nodes: 2}},
			Engine: sim.EngineShape{MaxRunning: 16, TokenBudget: 512, BlockTokens: 16, Blocks: 1024,
				StepBase: 5 * time.Millisecond, StepPerSequence: 40 * time.Microsecond, StepPerPrefillToken: 15 * time.Microsecond},
			Network:  sim.Network{InZone: 200 * time.Microsecond, BetweenZones: time.Millisecond, Client: 3 * time.Millisecond},
			Reports:  sim.Reports{Every: 250 * time.Millisecond, Lag: 500 * time.Millisecond},
			Takeover: time.Second, LeaseExpiry: 2 * time.Second,
		},
		Online: arrivals.Online{Rate: 20, Prompts: arrivals.Prompts{Families: 4, SharedTokens: 128,
			OwnTokens: arrivals.Span{Min: 32, Max: 128}, OutputTokens: arrivals.Span{Min: 10, Max: 40}}},
		Batch: arrivals.Batch{Every: time.Minute, Items: arrivals.Span{Min: 300, Max: 300}, Prompts: arrivals.Prompts{
			Families: 2, SharedTokens: 128, OwnTokens: arrivals.Span{Min: 16, Max: 48}, OutputTokens: arrivals.Span{Min: 20, Max: 60}}},
		Warmup: time.Second, Duration: 20 * time.Second,
	}
}

var (
	withoutBatch = sim.Policy{Name: "without-batch", Kind: sim.PolicyNone}
	priority     = sim.Policy{Name: "priority", Kind: sim.PolicyEnginePriority}
	controller   = sim.Policy{Name: "controller", Kind: sim.PolicyController, Share: 0.5}
	redo         = sim.Policy{Name: "redo", Kind: sim.PolicyController, Share: 0.5, Redo: true}
)

func run(t *testing.T, config sim.Config, policy sim.Policy, seed uint64) *sim.Result {
	t.Helper()
	result, err := sim.Run(config, policy, seed, nil)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return result
}

// Guards against results that depend on anything but configuration, policy and seed.
func TestRunIsDeterministic(t *testing.T) {
	g := gomega.NewWithT(t)
	first := run(t, smallConfig(), controller, 1)
	repeated := run(t, smallConfig(), controller, 1)
	g.Expect(repeated.FirstToken.Export()).To(gomega.Equal(first.FirstToken.Export()))
	g.Expect(repeated.BetweenTokens.Export()).To(gomega.Equal(first.BetweenTokens.Export()))
	g.Expect(repeated.BatchTokens).To(gomega.Equal(first.BatchTokens))
	other := run(t, smallConfig(), controller, 2)
	g.Expect(other.FirstToken.Export()).NotTo(gomega.Equal(first.FirstToken.Export()))
}

// Guards against faults that lose or duplicate online requests, tokens or batch items.
func TestFaultsLoseNoRequestsOrItems(t *testing.T) {
	at := 2 * time.Second
	for name, faults := range map[string][]sim.Fault{
		"none":          nil,
		"engine dies":   {{At: at, For: 3 * time.Second, Kind: sim.FaultEngineDies}},
		"engine leaves": {{At: at, For: 3 * time.Second, Kind: sim.FaultEngineLeaves}},
		"engine slow":   {{At: at, For: 3 * time.Second, Kind: sim.FaultEngineSlow, Factor: 3}},
		"reports stop":  {{At: at, For: 5 * time.Second, Kind: sim.FaultReportsStop}},
		"two homes":     {{At: at, For: 3 * time.Second, Kind: sim.FaultTwoHomes}},
		"home dies":     {{At: at, Kind: sim.FaultHomeDies}},
		"two homes, then the engine dies": {
			{At: at, For: 4 * time.Second, Kind: sim.FaultTwoHomes},
			{At: at + time.Second, For: 2 * time.Second, Kind: sim.FaultEngineDies}},
	} {
		for _, policy := range []sim.Policy{priority, controller, redo} {
			t.Run(name+"/"+policy.Name, func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				config := smallConfig()
				config.Faults = faults
				result := run(t, config, policy, 3)
				baseline := run(t, config, withoutBatch, 3)
				g.Expect(result.OnlineOutOfOrder).To(gomega.BeZero())
				g.Expect(result.OnlineFailed).To(gomega.BeZero())
				g.Expect(result.OnlineDone).To(gomega.BeNumerically("~", baseline.OnlineDone, 5), "some requests are in flight at the end")
				g.Expect(result.BatchDone).To(gomega.Equal(result.BatchItems), "every item must complete exactly once")
				g.Expect(baseline.BatchDone).To(gomega.BeZero())
			})
		}
	}
}

// Guards against a controller that delays online requests as filling does, or starves batch work,
// and against more batch tokens than the fluid bound.
func TestControllerLatencyAndThroughput(t *testing.T) {
	g := gomega.NewWithT(t)
	config := smallConfig()
	config.Batch.Every = time.Second
	config.Online.Bursts = []arrivals.Burst{{Start: 5 * time.Second, Every: 6 * time.Second, Length: 2 * time.Second, Factor: 3}}
	baseline := run(t, config, withoutBatch, 4)
	filled := run(t, config, priority, 4)
	controlled := run(t, config, controller, 4)
	bound := sim.FluidBound(config, 4, baseline.Recording)
	g.Expect(controlled.FirstToken.ValueAtQuantile(99)).To(gomega.BeNumerically("<", filled.FirstToken.ValueAtQuantile(99)))
	g.Expect(controlled.BatchTokens).To(gomega.BeNumerically(">", 0.3*bound))
	for _, result := range []*sim.Result{filled, controlled} {
		g.Expect(float64(result.BatchTokens)).To(gomega.BeNumerically("<=", 1.02*bound), "except for work in progress at start and end")
	}
	clairvoyant, err := sim.Run(config, sim.Policy{Name: "c", Kind: sim.PolicyClairvoyant, Price: 2}, 4, baseline.Recording)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(clairvoyant.BatchTokens).To(gomega.BeNumerically(">", 0))
	_, err = sim.Run(config, sim.Policy{Name: "c", Kind: sim.PolicyClairvoyant}, 4, nil)
	g.Expect(err).To(gomega.HaveOccurred())
}

// Guards against infeasible deadlines counted as feasible.
func TestFeasibleDeadlinesLimitedByCapacity(t *testing.T) {
	g := gomega.NewWithT(t)
	config := smallConfig()
	config.Batch.DeadlineMin, config.Batch.DeadlineMax = 15*time.Second, 16*time.Second
	baseline := run(t, config, withoutBatch, 5)
	g.Expect(sim.FeasibleDeadlines(config, 5, baseline.Recording)).To(gomega.Equal(300))
	met := run(t, config, controller, 5)
	g.Expect(met.DeadlineItems).To(gomega.Equal(300))
	g.Expect(met.DeadlineMissed).To(gomega.BeZero())
	config.Batch.DeadlineMin, config.Batch.DeadlineMax = time.Second, time.Second
	g.Expect(sim.FeasibleDeadlines(config, 5, baseline.Recording)).To(gomega.BeNumerically("<", 300))
}
