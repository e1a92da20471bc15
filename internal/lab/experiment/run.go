package experiment

import (
	"sync"

	"github.com/alitto/pond/v2"
	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/lab/sim"
)

// withoutBatch is the reference that every experiment runs first, with the
// run's routing; policies with another routing have a reference of their own.
func withoutBatch(routing sim.RoutingKind) sim.Policy {
	return sim.Policy{Name: "without-batch", Kind: sim.PolicyNone, Routing: routing}
}

// Run runs all policies on all seeds, parallel seeds at once.
func Run(file File, parallel int) (*Outcome, error) {
	outcome := &Outcome{
		Name:        file.Name,
		Description: file.Description,
		Reference:   file.Reference,
		Samples:     make([][]Sample, file.Seeds.Count),
	}
	pool := pond.NewPool(parallel)
	group := pool.NewGroup()
	var progress sync.Mutex
	for index := range file.Seeds.Count {
		group.SubmitErr(func() error {
			rows, err := runSeed(file, file.Seeds.First+uint64(index))
			if err != nil {
				return err
			}
			progress.Lock()
			defer progress.Unlock()
			outcome.Samples[index] = rows
			return nil
		})
	}
	err := group.Wait()
	pool.StopAndWait()
	return outcome, trace.Wrap(err, "experiment %v", file.Name)
}

// reference is a run without batch work and what follows from it.
type reference struct {
	result   *sim.Result
	bound    float64
	feasible int
}

func newReference(file File, seed uint64, routing sim.RoutingKind) (*reference, error) {
	result, err := sim.Run(file.Run, withoutBatch(routing), seed, nil)
	if err != nil {
		return nil, trace.Wrap(err, "seed %v without batch", seed)
	}
	return &reference{
		result:   result,
		bound:    sim.FluidBound(file.Run, seed, result.Recording),
		feasible: sim.FeasibleDeadlines(file.Run, seed, result.Recording),
	}, nil
}

// runSeed runs the reference without batch work and then each policy.
func runSeed(file File, seed uint64) ([]Sample, error) {
	routing := sim.Policy{}.RoutingIn(file.Run)
	alone, err := newReference(file, seed, routing)
	if err != nil {
		return nil, err
	}
	references := map[sim.RoutingKind]*reference{routing: alone}
	rows := []Sample{newRow(alone.result, alone).sample()}
	for _, policy := range file.Policies {
		routing := policy.RoutingIn(file.Run)
		if references[routing] == nil {
			if references[routing], err = newReference(file, seed, routing); err != nil {
				return nil, err
			}
		}
		result, err := sim.Run(file.Run, policy, seed, references[routing].result.Recording)
		if err != nil {
			return nil, trace.Wrap(err, "seed %v policy %v", seed, policy.Name)
		}
		result.Recording = nil // large, and only the references' are used
		rows = append(rows, newRow(result, references[routing]).sample())
	}
	return rows, nil
}
