package agent

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/settings"
	"chutelock.dev/chutelock/internal/settings/command"
	"chutelock.dev/chutelock/internal/settings/dissemination"
	"chutelock.dev/chutelock/internal/settings/tree"
	"chutelock.dev/chutelock/internal/transport"
)

var _ command.AppliedState = (*Agent)(nil)

// Status is the state of settings dissemination at this node.
type Status struct {
	Version settings.Version `json:"version"`
	Known   bool             `json:"known"`
	// HighestKnownVersion is the highest version that this node has or any peer
	// reported.
	HighestKnownVersion settings.Version `json:"heard"`
	// ConfirmedAge is the time since Version was last confirmed to be the
	// newest; 0 if it never was.
	ConfirmedAge time.Duration `json:"confirmedAge"`
	Stale        bool          `json:"stale"`
	Watching     bool          `json:"watching"`
	StoreRefused bool          `json:"storeRefused"`
}

// Status returns the state of this node.
func (a *Agent) Status(ctx context.Context) (Status, error) {
	var status Status
	err := a.runInLoop(ctx, func(now time.Time) { status = a.status(now) })
	return status, err
}

func (a *Agent) status(now time.Time) Status {
	status := Status{
		HighestKnownVersion: a.machine.HighestKnownVersion(), Stale: a.machine.Stale(now),
		Watching: a.machine.Watching(), StoreRefused: a.machine.StoreRefused(),
	}
	status.Version, status.Known = a.machine.InForce()
	if age, confirmed := a.machine.Age(now); confirmed {
		status.ConfirmedAge = age
	}
	return status
}

// Zones returns the settings status of each zone. A node that is not its
// zone's head queries the head.
func (a *Agent) Zones(ctx context.Context) ([]dissemination.ZoneStatus, error) {
	var zones []dissemination.ZoneStatus
	var head transport.Address
	err := a.runInLoop(ctx, func(now time.Time) { zones, head = a.machine.Zones(now), a.machine.Head() })
	if err != nil || head == "" {
		return zones, err
	}
	data, err := a.config.Sender.Call(ctx, head, KindZones, nil)
	if err != nil {
		return nil, trace.Wrap(err, "ask the zone's head %s for the zones' settings", head)
	}
	return dissemination.UnmarshalZones(data)
}

// Objects returns the stored objects in force, except the epoch object.
func (a *Agent) Objects(ctx context.Context) ([]platform.Object, error) {
	return a.collect(ctx, func(entry dissemination.Entry) bool { return !entry.Deleted && entry.Name != tree.EpochObject })
}

// Tombstones returns the tombstones of deleted objects.
func (a *Agent) Tombstones(ctx context.Context) ([]platform.Object, error) {
	return a.collect(ctx, func(entry dissemination.Entry) bool { return entry.Deleted })
}

func (a *Agent) collect(ctx context.Context, wanted func(dissemination.Entry) bool) ([]platform.Object, error) {
	var objects []platform.Object
	err := a.runInLoop(ctx, func(time.Time) {
		a.machine.State().Each(func(entry dissemination.Entry) {
			if wanted(entry) {
				objects = append(objects, platform.Object{Kind: platform.KindSetting, Name: entry.Name, Revision: entry.Revision, Spec: entry.Spec})
			}
		})
	})
	return objects, err
}

// Check implements command.AppliedState.
func (a *Agent) Check(updates []tree.Update) []tree.Problem { return a.live.Check(updates) }

// Nodes implements command.AppliedState.
func (a *Agent) Nodes(path string, recursive bool) ([]*tree.Node, error) {
	return a.live.Nodes(path, recursive)
}

// SyncStatus implements command.AppliedState.
func (a *Agent) SyncStatus(ctx context.Context) (command.SyncStatus, error) {
	var status command.SyncStatus
	err := a.runInLoop(ctx, func(time.Time) {
		newest := a.machine.Newest()
		status = command.SyncStatus{
			Newest:              platform.Object{Name: newest.Name, Revision: newest.Revision, Spec: newest.Spec},
			HighestKnownVersion: a.machine.HighestKnownVersion(), StoreRefused: a.machine.StoreRefused(),
		}
	})
	return status, err
}
