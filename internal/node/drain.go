package node

import (
	"context"
	"time"
)

// batchDrainTimeout bounds the wait for running items in a planned stop; the
// rest is handed back, which costs only the engines' work on them.
const batchDrainTimeout = 5 * time.Second

// closeTimeout bounds the shutdown of the HTTP servers.
const closeTimeout = 5 * time.Second

// Drain stops the node as planned: it notifies the peers, transfers ledger
// leadership, waits for requests in progress until ctx ends, and only then
// closes ports and disks.
func (n *Node) Drain(ctx context.Context) {
	EventDraining.Info("node", n.config.Node.Name)
	n.readiness.Drain()
	n.members.Leave()
	n.logDrainError("batch", n.drainBatch(ctx))
	n.logDrainError("ledger", n.ledger.Drain(ctx))
	n.logDrainError("gateway", n.gateway.Drain(ctx))
	n.Close()
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
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, server := range n.servers {
		if err := server.Shutdown(ctx); err != nil {
			server.Close()
		}
	}
	n.cancel()
	n.peers.Close()
	n.logDrainError("closing the ledger", n.ledger.Close())
	n.tasks.Wait()
	EventStopped.Info("node", n.config.Node.Name)
}
