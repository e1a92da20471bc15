package gateway

import (
	"context"
	"time"
)

// Ready reports whether the gateway has settings and is not draining.
func (g *Gateway) Ready() bool { return !g.draining.Load() && g.settings.Current() != nil }

// drainPoll is the interval at which Drain checks for requests in progress.
const drainPoll = 5 * time.Millisecond

// Drain stops the gateway. It makes Ready report false at once and rejects new
// requests as not run after DrainSettle. It returns when no request is in progress,
// or with an error if ctx ends first. The caller then shuts down the HTTP server.
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

// EndWaiting refuses the requests that wait for an engine, as no time is left for them.
func (g *Gateway) EndWaiting() { g.gate.EndWaiting() }

// InFlight returns the number of requests being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }
