package system

import (
	"context"
	"time"

	"chutelock.dev/chutelock/internal/ledger/replica"
	"chutelock.dev/chutelock/internal/telemetry"
)

var eventEvacuation = telemetry.Define(4201, "evacuation-reported", "The state of a data node's evacuation was written to the platform's store.")

var eventEvacuationUnknown = telemetry.Define(4202, "evacuation-not-known", "It is not known whether a region's shard still has a replica on a data node that is being evacuated; the query is retried.")

const (
	evacuationInterval = 200 * time.Millisecond
	// idleEvacuationInterval is the interval of a node that is not the leader.
	idleEvacuationInterval = time.Second
	evacuationTimeout      = time.Second
)

// evacuating returns the names of the data nodes under evacuation, including those
// already reported as done: they are about to be removed.
func (d *data) evacuating() map[string]bool {
	nodes := map[string]bool{}
	objects, _ := d.agent.Objects(d.adapter.EvacuationsKind)
	for _, object := range objects {
		nodes[object.Name] = true
	}
	return nodes
}

// reportEvacuations writes the states of evacuations while this node is the leader.
func (d *data) reportEvacuations(ctx context.Context) {
	ticker := time.NewTicker(evacuationInterval)
	defer ticker.Stop()
	for {
		if d.runner.Leading() {
			ticker.Reset(evacuationInterval)
		} else {
			ticker.Reset(idleEvacuationInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		objects, _ := d.agent.Objects(d.adapter.EvacuationsKind)
		if len(objects) == 0 || !d.runner.Leading() {
			continue
		}
		status := d.ledger.Status()
		for _, object := range objects {
			reported, done := d.adapter.Evacuations.Reported(object.Content)
			if done {
				continue
			}
			complete := evacuated(status, object.Name, d.settings.Ledger.Replicas()) && d.regionsEvacuated(ctx, object.Name)
			if reported && !complete {
				continue
			}
			callCtx, cancel := context.WithTimeout(ctx, evacuationTimeout)
			err := d.adapter.Evacuations.Report(callCtx, object.Name, complete)
			cancel()
			eventEvacuation.Info("node", object.Name, "done", complete, "failure", err)
		}
	}
}

// regionsEvacuated reports whether the leaders of all regions' shards confirm that no
// replica is on the node and that enough healthy ones are elsewhere.
func (d *data) regionsEvacuated(ctx context.Context, node string) bool {
	ctx, cancel := context.WithTimeout(ctx, evacuationTimeout)
	defer cancel()
	for _, shard := range d.ledger.Regional() {
		if !d.ledger.HasEnoughNodes(shard) && !d.ledger.HasHadLeader(shard) {
			continue // the shard does not exist yet
		}
		placement, err := d.ledger.QueryPlacement(ctx, shard, node)
		if err != nil {
			eventEvacuationUnknown.Error(err, "node", node, "region", d.ledger.Region(shard))
			return false
		}
		if placement.Holds || placement.HealthyVoters < 2*d.settings.Ledger.Losses+1 {
			return false
		}
	}
	return true
}

// evacuated reports whether no replica of the shards without a region is on the
// node, and enough voters are elsewhere, by committed replica sets.
func evacuated(status replica.Status, node string, replicaCount int) bool {
	for _, shard := range status.Shards {
		if shard.Shard.Regional() {
			continue // see regionsEvacuated
		}
		if shard.ChangePending {
			return false // a later leader may still need the node's vote
		}
		healthy := 0
		for _, r := range shard.Replicas {
			if r.Node == node {
				return false
			}
			if r.State == "voter" {
				healthy++
			}
		}
		if healthy < replicaCount {
			return false
		}
	}
	return true
}
