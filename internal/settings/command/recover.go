package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/settings"
	"chutelock.dev/chutelock/internal/settings/tree"
)

// ErrEpochExhausted is returned when the epoch is at its maximum.
var ErrEpochExhausted = errors.New("settings: no epoch left")

// Recovery is the result of RecoverStore.
type Recovery struct {
	Epoch   uint16   `json:"epoch"`
	Written []string `json:"written"` // paths restored from the applied settings
	Removed []string `json:"removed"` // paths that only the store had
}

// RecoverStore writes the applied settings to a store that has rolled back, and
// then raises the epoch, which makes every machine accept the store's state
// again. It can be retried after an error.
func (w *Writer) RecoverStore(ctx context.Context, id, by string) (*Recovery, error) {
	version, known := w.applied.Version()
	if !known {
		return nil, &NotReadyError{Reason: "it has no settings yet"}
	}
	if version.Epoch() == settings.MaxEpoch {
		return nil, ErrEpochExhausted
	}
	if _, version, err := w.waitForCatchUp(ctx); err != nil {
		return nil, trace.Wrap(err, "recover from version %s", version)
	}
	objects, err := w.applied.Objects(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	listed, _, err := w.store.List(ctx, platform.KindSetting)
	if err != nil {
		return nil, trace.Wrap(err, "list the stored settings")
	}
	stored := make(map[string]platform.Object, len(listed))
	for _, object := range listed {
		stored[object.Name] = object
	}
	recovery := &Recovery{Epoch: max(version.Epoch(), storedEpoch(stored)) + 1}
	if err := w.restoreObjects(ctx, objects, stored, recovery); err != nil {
		return recovery, err
	}
	if err := w.deleteExtraNodes(ctx, objects, stored, recovery, &Change{ID: id, By: by}); err != nil {
		return recovery, err
	}
	epoch := platform.Object{Kind: platform.KindSetting, Name: tree.EpochObject, Revision: stored[tree.EpochObject].Revision}
	if epoch.Spec, err = json.Marshal(tree.Epoch{Epoch: recovery.Epoch}); err != nil {
		return recovery, trace.Wrap(err)
	}
	if _, err := w.store.Put(ctx, epoch); err != nil {
		return recovery, trace.Wrap(err, "raise the epoch")
	}
	eventRecovered.Info("epoch", recovery.Epoch, "by", by, "written", len(recovery.Written), "removed", len(recovery.Removed))
	return recovery, nil
}

// storedEpoch returns the epoch of a store, or 0 if it is missing or malformed.
func storedEpoch(stored map[string]platform.Object) uint16 {
	epoch, err := tree.EpochOf(stored[tree.EpochObject].Spec)
	if err != nil {
		return 0
	}
	return epoch
}

// restoreObjects writes the applied objects that differ in the store.
func (w *Writer) restoreObjects(ctx context.Context, objects []platform.Object, stored map[string]platform.Object, recovery *Recovery) error {
	for _, object := range objects {
		old, present := stored[object.Name]
		if present && bytes.Equal(old.Spec, object.Spec) {
			continue
		}
		object.Kind = platform.KindSetting
		object.Revision = old.Revision
		if _, err := w.store.Put(ctx, object); err != nil {
			return trace.Wrap(err, "write %s again", object.Name)
		}
		recovery.Written = append(recovery.Written, tree.PathOf(object.Name))
	}
	return nil
}

// deleteExtraNodes writes tombstones for nodes that only the store has.
func (w *Writer) deleteExtraNodes(ctx context.Context, objects []platform.Object, stored map[string]platform.Object, recovery *Recovery, change *Change) error {
	for _, object := range objects {
		delete(stored, object.Name)
	}
	for name, object := range stored {
		node := decode(tree.PathOf(name), object, true)
		if name == tree.EpochObject || node.Deleted {
			continue
		}
		removal := &step{path: node.Path, stored: node}
		spec, err := tree.Encode(removal.replacement(change, w.now()))
		if err != nil {
			return trace.Wrap(err)
		}
		object.Kind, object.Spec = platform.KindSetting, spec
		if _, err := w.store.Put(ctx, object); err != nil {
			return trace.Wrap(err, "delete %s", node.Path)
		}
		recovery.Removed = append(recovery.Removed, node.Path)
	}
	return nil
}
