package batchwork

import (
	"context"
	"sync"
	"time"
)

const (
	// gatherTime is how long a step of the leader's own runs waits for others to be
	// committed with it.
	gatherTime = 40 * time.Millisecond
	// gatherSteps and gatherBytes bound the steps of one entry.
	gatherSteps = 256
	gatherBytes = 256 << 10
)

// gatherer commits the steps of many runs in one entry. An entry costs a leader
// the same few messages and syncs, whatever it holds.
type gatherer struct {
	time    time.Duration // that a step waits for others
	propose func(ctx context.Context, steps []step) error
	arrived chan *gathered
	sending sync.WaitGroup
}

// gathered is a step that waits to be committed.
type gathered struct {
	step step
	done chan error // buffered by one
}

func newGatherer(time time.Duration, propose func(context.Context, []step) error) *gatherer {
	return &gatherer{time: time, propose: propose, arrived: make(chan *gathered)}
}

// commit hands a step over and returns once it is committed, or ctx ends.
func (g *gatherer) commit(ctx context.Context, s step) error {
	one := &gathered{step: s, done: make(chan error, 1)}
	select {
	case g.arrived <- one:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-one.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run gathers until ctx ends, and returns once nothing is being proposed.
// Entries are proposed side by side.
func (g *gatherer) run(ctx context.Context) {
	defer g.sending.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-g.arrived:
			group := g.gather(first)
			g.sending.Go(func() { g.send(group) })
		}
	}
}

// gather collects what arrives within the gatherer's time after the first.
func (g *gatherer) gather(first *gathered) []*gathered {
	group := []*gathered{first}
	bytes := len(first.step.text)
	timer := time.NewTimer(g.time)
	defer timer.Stop()
	for len(group) < gatherSteps && bytes < gatherBytes {
		select {
		case one := <-g.arrived:
			group = append(group, one)
			bytes += len(one.step.text)
		case <-timer.C:
			return group
		}
	}
	return group
}

func (g *gatherer) send(group []*gathered) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	steps := make([]step, 0, len(group))
	for _, one := range group {
		steps = append(steps, one.step)
	}
	err := g.propose(ctx, steps)
	for _, one := range group {
		one.done <- err
	}
}
