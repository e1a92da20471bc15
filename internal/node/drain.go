package node

import (
	"context"
	"time"
)

// batchFinishTime is how long items in progress may finish in a planned stop
// before they are handed back; they lose nothing then but the engine's work.
const batchFinishTime = 5 * time.Second

// closeTimeout bounds the last part of a stop, when no request is left.
const closeTimeout = 5 * time.Second

// Drain is a planned stop: peers are told first, ledger leadership moves,
// requests in progress finish, and only then are ports and disks closed. Ctx
// bounds the wait for requests.
func (n *Node) Drain(ctx context.Context) {
	EventDraining.Info("node", n.config.Node.Name)
	n.readiness.Drain()
	n.members.Leave()
	n.drainStep("batch", n.drainBatch(ctx))
	n.drainStep("ledger", n.ledger.Drain(ctx))
	n.drainStep("gateway", n.gateway.Drain(ctx))
	n.Close()
}

// drainBatch lets running items finish for a while, then hands them back.
func (n *Node) drainBatch(stop context.Context) error {
	finish, cancel := context.WithTimeout(stop, batchFinishTime)
	defer cancel()
	return n.batch.dispatcher.Drain(finish, stop)
}

func (n *Node) drainStep(step string, err error) {
	if err != nil {
		EventDrainStep.Error(err, "step", step)
	}
}

// Close closes everything at once, without handing over.
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
	n.drainStep("closing the ledger", n.ledger.Close())
	n.tasks.Wait()
	EventStopped.Info("node", n.config.Node.Name)
}
