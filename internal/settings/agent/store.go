package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/settings/dissemination"
	"chutelock.dev/chutelock/internal/settings/tree"
)

// toEntry converts a stored object to a dissemination entry. It compacts the
// JSON, so that entries compare equal regardless of the store's formatting.
func toEntry(object platform.Object) dissemination.Entry {
	var compact bytes.Buffer
	spec := []byte(object.Spec)
	if json.Compact(&compact, spec) == nil {
		spec = compact.Bytes()
	}
	node, err := tree.Decode(tree.PathOf(object.Name), spec)
	return dissemination.Entry{Name: object.Name, Revision: object.Revision, Spec: spec, Deleted: err == nil && node.Deleted}
}

func (a *Agent) probeStore(action dissemination.ProbeStore) {
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, readTimeout)
		defer cancel()
		probe, err := a.readProbe(ctx, action.Name)
		a.enqueue(func(now time.Time) { a.execute(a.machine.HandleProbed(now, action.Ticket, probe, err)) })
	}()
}

func (a *Agent) readProbe(ctx context.Context, name string) (dissemination.Probe, error) {
	var probe dissemination.Probe
	newest, found, err := a.getEntry(ctx, name)
	if err != nil {
		return probe, err
	}
	probe.Newest, probe.Found = newest, found
	epoch, found, err := a.getEntry(ctx, tree.EpochObject)
	if err != nil || !found {
		return probe, err
	}
	probe.Epoch, err = tree.EpochOf(epoch.Spec)
	return probe, err
}

func (a *Agent) getEntry(ctx context.Context, name string) (dissemination.Entry, bool, error) {
	object, err := a.config.Store.Get(ctx, platform.KindSetting, name)
	if errors.Is(err, platform.ErrNotFound) {
		return dissemination.Entry{}, false, nil
	}
	if err != nil {
		return dissemination.Entry{}, false, err
	}
	return toEntry(object), true, nil
}

func (a *Agent) listStore(action dissemination.ListStore) {
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, readTimeout)
		defer cancel()
		objects, revision, err := a.config.Store.List(ctx, platform.KindSetting)
		entries := make([]dissemination.Entry, 0, len(objects))
		for _, object := range objects {
			entries = append(entries, toEntry(object))
		}
		a.enqueue(func(now time.Time) { a.execute(a.machine.HandleListed(now, action.Ticket, entries, revision, err)) })
	}()
}

func (a *Agent) watchStore(action dissemination.WatchStore) {
	a.endWatch()
	ctx, cancel := context.WithCancel(a.ctx)
	a.cancelWatch = cancel
	go func() {
		defer cancel()
		err := a.config.Store.Watch(ctx, platform.KindSetting, action.After, func(event platform.Event) error {
			a.enqueueWatchEvent(action.Ticket, event)
			return ctx.Err()
		})
		a.enqueue(func(now time.Time) { a.execute(a.machine.HandleWatchEnded(now, action.Ticket, err)) })
	}()
}

func (a *Agent) enqueueWatchEvent(ticket uint64, event platform.Event) {
	entry := dissemination.Entry{Name: event.Object.Name, Revision: event.Object.Revision, Deleted: true}
	if event.Type == platform.EventAdded || event.Type == platform.EventModified {
		entry = toEntry(event.Object)
	}
	bookmark := event.Type == platform.EventBookmark
	a.enqueue(func(now time.Time) { a.execute(a.machine.HandleWatchEvent(now, ticket, bookmark, entry)) })
}

func (a *Agent) endWatch() {
	if a.cancelWatch != nil {
		a.cancelWatch()
		a.cancelWatch = nil
	}
}
