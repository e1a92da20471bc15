package system

import (
	"context"
	"time"

	"chutelock.dev/chutelock/internal/callerconn"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/forward"
)

const (
	// lameDuckPeriod is how long a stopping node keeps accepting connections: the
	// platform notices within two readiness probes that it is not ready.
	lameDuckPeriod = 2500 * time.Millisecond
	// maxLameDuckShare bounds the lame-duck period to a share of the time to stop: the rest is for the
	// slowest of the requests that were taken.
	maxLameDuckShare = 1. / 3
	// drainMargin is the part of the time to stop that is kept for closing servers and ledger.
	drainMargin = 700 * time.Millisecond
	// answerTime is the part of drainMargin in which requests whose time is over get their responses.
	answerTime = 200 * time.Millisecond
)

// Drain implements Node. The node reports that it is not ready and goes on taking requests for
// lameDuckPeriod, as long as callers may be sent here. Then it closes its port and refuses what it still
// reads, however many callers there are: so the requests that it has taken have the rest of the time, and
// are told what is known of them at its end. http.Server.Shutdown is not used, as it drops requests that it reads.
func (f *front) Drain(ctx context.Context) {
	eventStopping.Info("node", f.settings.Node.Name, "in_flight", f.edge.InFlight())
	f.draining.Store(true)
	f.gate.Retire()
	end := drainEnd(ctx)
	callerconn.Await(lameDuck(clock.Until(end)), nil)
	f.edge.RefuseAll()
	_ = f.gate.Close()
	// A response is written to its end only as its connection ends.
	allAnswered := func() bool { return f.edge.InFlight() == 0 && f.gate.Open() == 0 }
	callerconn.Await(clock.Until(end), allAnswered)
	f.gate.ReportLeftBehind()
	f.endRequests(forward.ErrStopping)
	callerconn.Await(answerTime, allAnswered)
	_ = f.callers.Close()
	_ = f.readiness.Close()
	f.close()
}

// lameDuck returns how long a node takes requests that has the given time to stop.
func lameDuck(left time.Duration) time.Duration {
	return min(lameDuckPeriod, time.Duration(maxLameDuckShare*float64(left)))
}

// drainEnd returns when requests must have ended for the node to stop before ctx ends.
func drainEnd(ctx context.Context) time.Time {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return clock.Now().Add(time.Hour)
	}
	return clock.Now().Add(time.Until(deadline) - drainMargin)
}
