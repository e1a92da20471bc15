package batchwork

import (
	"context"
	"sync"
	"time"
)

const (
	// groupDelay is how long an update of the leader's own runs waits to be committed with
	// others.
	groupDelay = 40 * time.Millisecond
	// maxGroupUpdates and maxGroupBytes bound the updates of one entry.
	maxGroupUpdates = 256
	maxGroupBytes   = 256 << 10
)

// groupCommitter commits updates of many runs in one entry, as an entry costs the same
// messages and syncs whatever its size.
type groupCommitter struct {
	time time.Duration // how long an update waits for others
	// propose commits updates in one entry and returns the outcome of each.
	propose func(ctx context.Context, updates []itemUpdate) ([]updateOutcome, error)
	arrived chan *pendingUpdate
	commits sync.WaitGroup
}

// pendingUpdate is an update that waits to be committed.
type pendingUpdate struct {
	update itemUpdate
	done   chan error // buffered by one
}

func newGroupCommitter(time time.Duration, propose func(context.Context, []itemUpdate) ([]updateOutcome, error)) *groupCommitter {
	return &groupCommitter{time: time, propose: propose, arrived: make(chan *pendingUpdate)}
}

// commit adds an update to a group and returns once its outcome is known or ctx ends. It fails
// with errSuperseded or errItemClosed if the update had no effect.
func (g *groupCommitter) commit(ctx context.Context, u itemUpdate) error {
	pending := &pendingUpdate{update: u, done: make(chan error, 1)}
	select {
	case g.arrived <- pending:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-pending.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run commits groups concurrently until ctx ends, and returns once all proposals have.
func (g *groupCommitter) run(ctx context.Context) {
	defer g.commits.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-g.arrived:
			group := g.collect(first)
			g.commits.Go(func() { g.commitGroup(group) })
		}
	}
}

// collect returns the updates that arrive within g.time of the first.
func (g *groupCommitter) collect(first *pendingUpdate) []*pendingUpdate {
	group := []*pendingUpdate{first}
	bytes := len(first.update.text)
	timer := time.NewTimer(g.time)
	defer timer.Stop()
	for len(group) < maxGroupUpdates && bytes < maxGroupBytes {
		select {
		case pending := <-g.arrived:
			group = append(group, pending)
			bytes += len(pending.update.text)
		case <-timer.C:
			return group
		}
	}
	return group
}

func (g *groupCommitter) commitGroup(group []*pendingUpdate) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	updates := make([]itemUpdate, 0, len(group))
	for _, pending := range group {
		updates = append(updates, pending.update)
	}
	outcomes, err := g.propose(ctx, updates)
	for i, pending := range group {
		if err != nil {
			pending.done <- err
			continue
		}
		pending.done <- outcomes[i].err()
	}
}
