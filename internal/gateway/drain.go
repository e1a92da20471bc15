package gateway

import (
	"context"
	"time"
)

// Ready says whether callers should send requests here.
func (g *Gateway) Ready() bool { return !g.draining.Load() && g.settings.Current() != nil }

// drainPoll is how often Drain looks whether requests are in progress.
const drainPoll = 5 * time.Millisecond

// Drain stops the gateway: from now on it isn't ready; after the settle time
// it refuses new requests as not run; and it returns when none is in progress
// any more, or with an error when ctx ends first. The caller then shuts the
// HTTP server down.
func (g *Gateway) Drain(ctx context.Context) error {
	g.draining.Store(true)
	eventDrainStarted.Info("in_progress", g.inFlight.Load())
	settle := time.NewTimer(g.config.DrainSettle)
	defer settle.Stop()
	select {
	case <-settle.C:
	case <-ctx.Done():
	}
	g.gate.Drain()
	poll := time.NewTicker(drainPoll)
	defer poll.Stop()
	for g.inFlight.Load() > 0 {
		select {
		case <-poll.C:
		case <-ctx.Done():
			eventDrainEnded.Info("in_progress", g.inFlight.Load())
			return ctx.Err()
		}
	}
	eventDrainEnded.Info("in_progress", 0)
	return nil
}
