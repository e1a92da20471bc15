package experiment

import (
	"sync"

	"github.com/alitto/pond/v2"
	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/lab/sim"
)

// withoutBatch is the policy that every experiment runs first.
var withoutBatch = sim.Policy{Name: "without-batch", Kind: sim.PolicyNone}

// Run runs all policies on all seeds, parallel seeds at once.
func Run(file File, parallel int) (*Outcome, error) {
	outcome := &Outcome{File: file, Rows: make([][]Row, file.Seeds.Count)}
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
			outcome.Rows[index] = rows
			return nil
		})
	}
	err := group.Wait()
	pool.StopAndWait()
	return outcome, trace.Wrap(err, "experiment %v", file.Name)
}

// runSeed runs the reference without batch work and then each policy.
func runSeed(file File, seed uint64) ([]Row, error) {
	alone, err := sim.Run(file.Run, withoutBatch, seed, nil)
	if err != nil {
		return nil, trace.Wrap(err, "seed %v without batch", seed)
	}
	bound := sim.FluidBound(file.Run, seed, alone.Recording)
	feasible := sim.FeasibleDeadlines(file.Run, seed, alone.Recording)
	rows := []Row{newRow(alone, alone, bound, feasible)}
	for _, policy := range file.Policies {
		result, err := sim.Run(file.Run, policy, seed, alone.Recording)
		if err != nil {
			return nil, trace.Wrap(err, "seed %v policy %v", seed, policy.Name)
		}
		result.Recording = nil // large, and only the first run's is used
		rows = append(rows, newRow(result, alone, bound, feasible))
	}
	return rows, nil
}
