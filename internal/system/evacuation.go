package system

import (
	"context"
	"time"

	"chutelock.dev/chutelock/internal/ledger/replica"
	"chutelock.dev/chutelock/internal/telemetry"
)

var eventEvacuation = telemetry.Define(4201, "evacuation-reported", "The state of a data node that is to be emptied was written to the platform's store.")

var eventEvacuationAsk = telemetry.Define(4202, "evacuation-not-known", "It is not known whether a region's shard has left a data node that is to be emptied; it is asked for again.")

const (
	evacuationInterval = 200 * time.Millisecond
	// idleEvacuationInterval is the same for a node that does not lead.
	idleEvacuationInterval = time.Second
	evacuationTimeout      = time.Second
)

// evacuating lists the data nodes that are to be emptied, also those that are
// reported as empty: they are about to be taken away.
func (d *data) evacuating() map[string]bool {
	nodes := map[string]bool{}
	objects, _ := d.agent.Objects(d.adapter.EvacuationsKind)
	for _, object := range objects {
		nodes[object.Name] = true
	}
	return nodes
}

// reportEvacuations writes how far evacuations are, where this node leads.
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
			emptied := evacuated(status, object.Name, d.settings.Ledger.Replicas()) && d.regionsEmptied(ctx, object.Name)
			if reported && !emptied {
				continue
			}
			bounded, cancel := context.WithTimeout(ctx, evacuationTimeout)
			err := d.adapter.Evacuations.Report(bounded, object.Name, emptied)
			cancel()
			eventEvacuation.Info("node", object.Name, "done", emptied, "failure", err)
		}
	}
}

// regionsEmptied says that none of the replicas of regions' shards lies on the node, and
// that enough sound ones lie elsewhere: all their leaders say so.
func (d *data) regionsEmptied(ctx context.Context, node string) bool {
	ctx, cancel := context.WithTimeout(ctx, evacuationTimeout)
	defer cancel()
	for _, shard := range d.ledger.Regional() {
		if !d.ledger.Enough(shard) && !d.ledger.Led(shard) {
			continue // there is no such shard yet
		}
		placed, err := d.ledger.AskPlaced(ctx, shard, node)
		if err != nil {
			eventEvacuationAsk.Error(err, "node", node, "region", d.ledger.Region(shard))
			return false
		}
		if placed.Holds || placed.Sound < 2*d.settings.Ledger.Losses+1 {
			return false
		}
	}
	return true
}

// evacuated says that no replica lies on the node, and that enough sound ones
// lie elsewhere.
func evacuated(status replica.Status, node string, replicas int) bool {
	for _, shard := range status.Shards {
		if shard.Shard.Regional() {
			continue // its leader is asked
		}
		sound := 0
		for _, one := range shard.Replicas {
			if one.Node == node {
				return false
			}
			if one.State == "voter" {
				sound++
			}
		}
		if sound < replicas {
			return false
		}
	}
	return true
}
