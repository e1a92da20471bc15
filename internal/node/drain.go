package node

import (
	"context"
	"sync"
	"time"
)

// batchDrainTimeout bounds the wait for running items in a planned stop; the
// rest is handed back, which costs only the engines' work on them.
const batchDrainTimeout = 5 * time.Second

const (
	// closeTimeout bounds the shutdown of the operators' port.
	closeTimeout = 5 * time.Second
	// drainMargin is the part of the time to stop that is kept for closing ports, peers and disks.
	drainMargin = time.Second
	// unboundedDrain is the time to stop of a context without a deadline.
	unboundedDrain = time.Hour
)

// Drain stops the node as planned: it notifies the peers, hands over batch work and ledger leadership,
// and beside that takes requests for a bounded time and answers them. It ends before ctx does.
func (n *Node) Drain(ctx context.Context) {
	ctx, cancel := beforeDeadline(ctx, drainMargin)
	defer cancel()
	EventDraining.Info("node", n.config.Node.Name)
	n.readiness.Drain()
	n.members.Leave()
	var steps sync.WaitGroup
	steps.Go(func() {
		n.logDrainError("batch", n.drainBatch(ctx))
		n.logDrainError("ledger", n.ledger.Drain(ctx))
	})
	steps.Go(func() { n.logDrainError("gateway", n.gateway.Drain(ctx)) })
	n.callers.drain(deadlineOf(ctx))
	steps.Wait()
	n.Close()
}

// beforeDeadline returns a context that ends earlier than ctx by the margin, if ctx has a deadline.
func beforeDeadline(ctx context.Context, margin time.Duration) (context.Context, context.CancelFunc) {
	if deadline, bounded := ctx.Deadline(); bounded {
		return context.WithDeadline(ctx, deadline.Add(-margin))
	}
	return context.WithCancel(ctx)
}

// deadlineOf returns when ctx ends; unboundedDrain from now if it has no deadline.
func deadlineOf(ctx context.Context) time.Time {
	if deadline, bounded := ctx.Deadline(); bounded {
		return deadline
	}
	return time.Now().Add(unboundedDrain)
}

// drainBatch lets running items finish for a while, then hands them back.
func (n *Node) drainBatch(stop context.Context) error {
	finish, cancel := context.WithTimeout(stop, batchDrainTimeout)
	defer cancel()
	return n.batch.dispatcher.Drain(finish, stop)
}

func (n *Node) logDrainError(step string, err error) {
	if err != nil {
		EventDrainStep.Error(err, "step", step)
	}
}

// Close stops all components without handing over their work.
func (n *Node) Close() {
	n.callers.close()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := n.operator.Shutdown(ctx); err != nil {
		n.operator.Close()
	}
	n.cancel()
	n.peers.Close()
	n.logDrainError("closing the ledger", n.ledger.Close())
	n.tasks.Wait()
	EventStopped.Info("node", n.config.Node.Name)
}
