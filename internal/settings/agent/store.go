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

// entryOf is an object as it is disseminated. Its content is compacted, so
// that an entry is the same however the store laid its JSON out.
func entryOf(object platform.Object) dissemination.Entry {
	var compact bytes.Buffer
	spec := []byte(object.Spec)
	if json.Compact(&compact, spec) == nil {
		spec = compact.Bytes()
	}
	node, err := tree.Decode(tree.PathOf(object.Name), spec)
	return dissemination.Entry{Name: object.Name, Revision: object.Revision, Spec: spec, Deleted: err == nil && node.Deleted}
}

func (a *Agent) probe(action dissemination.ProbeStore) {
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, readTimeout)
		defer cancel()
		probe, err := a.readProbe(ctx, action.Name)
		a.enqueue(func(now time.Time) { a.do(a.machine.HandleProbed(now, action.Ticket, probe, err)) })
	}()
}

func (a *Agent) readProbe(ctx context.Context, name string) (dissemination.Probe, error) {
	var probe dissemination.Probe
	newest, found, err := a.get(ctx, name)
	if err != nil {
		return probe, err
	}
	probe.Newest, probe.Found = newest, found
	epoch, found, err := a.get(ctx, tree.EpochObject)
	if err != nil || !found {
		return probe, err
	}
	probe.Epoch, err = tree.EpochOf(epoch.Spec)
	return probe, err
}

func (a *Agent) get(ctx context.Context, name string) (dissemination.Entry, bool, error) {
	object, err := a.config.Store.Get(ctx, platform.KindSetting, name)
	if errors.Is(err, platform.ErrNotFound) {
		return dissemination.Entry{}, false, nil
	}
	if err != nil {
		return dissemination.Entry{}, false, err
	}
	return entryOf(object), true, nil
}

func (a *Agent) list(action dissemination.ListStore) {
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, readTimeout)
		defer cancel()
		objects, revision, err := a.config.Store.List(ctx, platform.KindSetting)
		entries := make([]dissemination.Entry, 0, len(objects))
		for _, object := range objects {
			entries = append(entries, entryOf(object))
		}
		a.enqueue(func(now time.Time) { a.do(a.machine.HandleListed(now, action.Ticket, entries, revision, err)) })
	}()
}

func (a *Agent) watch(action dissemination.WatchStore) {
	a.closeWatch()
	ctx, cancel := context.WithCancel(a.ctx)
	a.stopWatch = cancel
	go func() {
		defer cancel()
		err := a.config.Store.Watch(ctx, platform.KindSetting, action.After, func(event platform.Event) error {
			a.takeEvent(action.Ticket, event)
			return ctx.Err()
		})
		a.enqueue(func(now time.Time) { a.do(a.machine.HandleWatchEnded(now, action.Ticket, err)) })
	}()
}

func (a *Agent) takeEvent(ticket uint64, event platform.Event) {
	entry := dissemination.Entry{Name: event.Object.Name, Revision: event.Object.Revision, Deleted: true}
	if event.Type == platform.EventAdded || event.Type == platform.EventModified {
		entry = entryOf(event.Object)
	}
	bookmark := event.Type == platform.EventBookmark
	a.enqueue(func(now time.Time) { a.do(a.machine.HandleWatchEvent(now, ticket, bookmark, entry)) })
}

func (a *Agent) closeWatch() {
	if a.stopWatch != nil {
		a.stopWatch()
		a.stopWatch = nil
	}
}
