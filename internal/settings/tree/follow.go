package tree

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/settings"
)

// Follow lists and watches the store and updates live until ctx ends or the
// store fails; the caller retries. It is for single-machine deployments: larger
// ones use package dissemination, which puts less read load on the store.
func Follow(ctx context.Context, store platform.Store, live *Live) error {
	objects, revision, err := store.List(ctx, platform.KindSetting)
	if err != nil {
		return trace.Wrap(err, "list settings")
	}
	updates := make([]Update, 0, len(objects))
	for _, object := range objects {
		updates = append(updates, UpdateOf(PathOf(object.Name), object.Revision, object.Spec))
	}
	live.Replace(settings.MakeVersion(0, revision), updates)
	err = store.Watch(ctx, platform.KindSetting, revision, func(event platform.Event) error {
		if update, ok := updateOfEvent(event); ok {
			live.Apply(settings.MakeVersion(0, event.Object.Revision), []Update{update})
		}
		return nil
	})
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err, "watch settings")
}

func updateOfEvent(event platform.Event) (Update, bool) {
	path := PathOf(event.Object.Name)
	switch event.Type {
	case platform.EventAdded, platform.EventModified:
		return UpdateOf(path, event.Object.Revision, event.Object.Spec), true
	case platform.EventDeleted:
		return Update{Path: path}, true
	default:
		return Update{}, false
	}
}
