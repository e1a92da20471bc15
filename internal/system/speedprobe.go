package system

import (
	"context"
	"sync/atomic"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/mirror"
)

const (
	// probeTimeout bounds a health request, which engines answer at once.
	probeTimeout = 250 * time.Millisecond
	// maxProbes bounds the health requests in flight.
	maxProbes = 32
)

// speedProbes counts health requests.
type speedProbes struct {
	sent, failed, inFlight atomic.Int64
}

// probeSpeeds sends a health request to each engine of this node whose slowness was not
// reported within the probe interval.
func (d *data) probeSpeeds() {
	interval := time.Duration(float64(time.Second) / d.settings.Overload.SpeedProbes)
	for d.sleep(interval) {
		if !d.overloadActive() || !d.balancer.EnginesShareMachines() {
			continue
		}
		snapshot := d.catalog.Snapshot()
		if snapshot.Configuration == nil {
			continue
		}
		nodes := d.agent.Nodes()
		for _, engine := range snapshot.Engines() {
			path := snapshot.Configuration.Services[engine.Service].HealthPath
			due := path != "" && !engine.Leaving && clock.Since(d.balancer.SpeedHeardAt(engine)) >= interval
			if !due || prober(engine, nodes) != d.settings.Node.Name || d.probes.inFlight.Load() >= maxProbes {
				continue
			}
			d.probes.inFlight.Add(1)
			d.spawn(func() {
				defer d.probes.inFlight.Add(-1)
				d.probe(engine, path)
			})
		}
	}
}

// prober returns the name of the data node that probes an engine: one of the engine's zone if
// there is any.
func prober(engine catalog.Engine, nodes []mirror.Node) string {
	name, inZone, highest := "", false, uint64(0)
	for _, node := range nodes {
		near, score := node.Zone == engine.Zone, membership.RendezvousScore(engine.ID, node.Name)
		if name == "" || near && !inZone || near == inZone && score > highest {
			name, inZone, highest = node.Name, near, score
		}
	}
	return name
}

// probe records what an engine tells on its health path. Whether it calls itself healthy
// doesn't count.
func (d *data) probe(engine catalog.Engine, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	d.probes.sent.Add(1)
	facts, err := d.pool.Probe(ctx, engine.Address, engine.ID, path)
	if err != nil || facts.Load == nil || facts.Instance != catalog.Instance(engine.ID) {
		d.probes.failed.Add(1)
		return
	}
	d.balancer.RecordReport(engine.ID, *facts.Load)
}
