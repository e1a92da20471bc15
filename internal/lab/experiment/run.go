package experiment

import (
	"sync"

	"github.com/alitto/pond/v2"
	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/lab/sim"
)

// withoutBatch returns the policy of baseline runs. Each routing needs its own
// baseline.
func withoutBatch(routing sim.RoutingKind) sim.Policy {
	return sim.Policy{Name: "without-batch", Kind: sim.PolicyNone, Routing: routing}
}

// Run runs all policies on all seeds, up to parallel seeds at a time.
func Run(file File, parallel int) (*Outcome, error) {
	outcome := &Outcome{
		Name:        file.Name,
		Description: file.Description,
		Reference:   file.Reference,
		Samples:     make([][]Sample, file.Seeds.Count),
	}
	pool := pond.NewPool(parallel)
	group := pool.NewGroup()
	var mutex sync.Mutex
	for index := range file.Seeds.Count {
		group.SubmitErr(func() error {
			samples, err := runSeed(file, file.Seeds.First+uint64(index))
			if err != nil {
				return err
			}
			mutex.Lock()
			defer mutex.Unlock()
			outcome.Samples[index] = samples
			return nil
		})
	}
	err := group.Wait()
	pool.StopAndWait()
	return outcome, trace.Wrap(err, "experiment %v", file.Name)
}

// baseline is a run without batch work and the limits derived from it.
type baseline struct {
	result   *sim.Result
	bound    float64
	feasible int
}

func newBaseline(file File, seed uint64, routing sim.RoutingKind) (*baseline, error) {
	result, err := sim.Run(file.Run, withoutBatch(routing), seed, nil)
	if err != nil {
		return nil, trace.Wrap(err, "seed %v without batch", seed)
	}
	return &baseline{
		result:   result,
		bound:    sim.FluidBound(file.Run, seed, result.Recording),
		feasible: sim.FeasibleDeadlines(file.Run, seed, result.Recording),
	}, nil
}

// runSeed runs the baseline and then each policy.
func runSeed(file File, seed uint64) ([]Sample, error) {
	routing := sim.Policy{}.RoutingIn(file.Run)
	base, err := newBaseline(file, seed, routing)
	if err != nil {
		return nil, err
	}
	baselines := map[sim.RoutingKind]*baseline{routing: base}
	samples := []Sample{newRow(base.result, base).newSample()}
	for _, policy := range file.Policies {
		routing := policy.RoutingIn(file.Run)
		if baselines[routing] == nil {
			if baselines[routing], err = newBaseline(file, seed, routing); err != nil {
				return nil, err
			}
		}
		result, err := sim.Run(file.Run, policy, seed, baselines[routing].result.Recording)
		if err != nil {
			return nil, trace.Wrap(err, "seed %v policy %v", seed, policy.Name)
		}
		result.Recording = nil // large, and only those of baselines are used
		samples = append(samples, newRow(result, baselines[routing]).newSample())
	}
	return samples, nil
}
