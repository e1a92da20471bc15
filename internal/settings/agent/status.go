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

var _ command.InForce = (*Agent)(nil)

// Status is this node's own part in the dissemination.
type Status struct {
	Version settings.Version `json:"version"`
	Known   bool             `json:"known"`
	// Heard is the highest version that any peer told of.
	Heard settings.Version `json:"heard"`
	// Confirmed says for how long it has not been known that the version is
	// the newest; meaningless while Stale and never confirmed.
	ConfirmedAge time.Duration `json:"confirmedAge"`
	Stale        bool          `json:"stale"`
	Watching     bool          `json:"watching"`
	StoreRefused bool          `json:"storeRefused"`
}

// Status tells of this node.
func (a *Agent) Status(ctx context.Context) (Status, error) {
	var status Status
	err := a.ask(ctx, func(now time.Time) { status = a.status(now) })
	return status, err
}

func (a *Agent) status(now time.Time) Status {
	status := Status{
		Heard: a.machine.Heard(), Stale: a.machine.Stale(now),
		Watching: a.machine.Watching(), StoreRefused: a.machine.StoreRefused(),
	}
	status.Version, status.Known = a.machine.InForce()
	if age, confirmed := a.machine.Age(now); confirmed {
		status.ConfirmedAge = age
	}
	return status
}

// Zones tells what each zone has in force; a node that is not its zone's head
// asks the head.
func (a *Agent) Zones(ctx context.Context) ([]dissemination.ZoneStatus, error) {
	var zones []dissemination.ZoneStatus
	var head transport.Address
	err := a.ask(ctx, func(now time.Time) { zones, head = a.machine.Zones(now), a.machine.Head() })
	if err != nil || head == "" {
		return zones, err
	}
	data, err := a.config.Sender.Call(ctx, head, KindZones, nil)
	if err != nil {
		return nil, trace.Wrap(err, "ask the zone's head %s for the zones' settings", head)
	}
	return dissemination.UnmarshalZones(data)
}

// Objects lists the stored objects in force, without the epoch.
func (a *Agent) Objects(ctx context.Context) ([]platform.Object, error) {
	return a.collect(ctx, func(entry dissemination.Entry) bool { return !entry.Deleted && entry.Name != tree.EpochObject })
}

// Traces lists the traces of deletions.
func (a *Agent) Traces(ctx context.Context) ([]platform.Object, error) {
	return a.collect(ctx, func(entry dissemination.Entry) bool { return entry.Deleted })
}

func (a *Agent) collect(ctx context.Context, wanted func(dissemination.Entry) bool) ([]platform.Object, error) {
	var objects []platform.Object
	err := a.ask(ctx, func(time.Time) {
		a.machine.State().Each(func(entry dissemination.Entry) {
			if wanted(entry) {
				objects = append(objects, platform.Object{Kind: platform.KindSetting, Name: entry.Name, Revision: entry.Revision, Spec: entry.Spec})
			}
		})
	})
	return objects, err
}

// Check implements command.InForce.
func (a *Agent) Check(updates []tree.Update) []tree.Problem { return a.live.Check(updates) }

// Nodes implements command.InForce.
func (a *Agent) Nodes(path string, recursive bool) ([]*tree.Node, error) {
	return a.live.Nodes(path, recursive)
}

// Standing implements command.InForce.
func (a *Agent) Standing(ctx context.Context) (command.Standing, error) {
	var standing command.Standing
	err := a.ask(ctx, func(time.Time) {
		newest := a.machine.Newest()
		standing = command.Standing{
			Newest: platform.Object{Name: newest.Name, Revision: newest.Revision, Spec: newest.Spec},
			Heard:  a.machine.Heard(), StoreRefused: a.machine.StoreRefused(),
		}
	})
	return standing, err
}
