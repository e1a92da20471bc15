package command

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/settings"
	"chutelock.dev/chutelock/internal/settings/tree"
)

// readStored reads the stored version of each step's node. It fails if this
// machine or the store is behind.
func (w *Writer) readStored(ctx context.Context, steps []*step) error {
	if err := w.checkStoreCurrent(ctx); err != nil {
		return err
	}
	var listed map[string]platform.Object
	if len(steps) >= listThreshold {
		objects, _, err := w.store.List(ctx, platform.KindSetting)
		if err != nil {
			return trace.Wrap(err, "list the stored settings")
		}
		listed = make(map[string]platform.Object, len(objects))
		for _, object := range objects {
			listed[object.Name] = object
		}
	}
	for _, step := range steps {
		if err := w.readStep(ctx, step, listed); err != nil {
			return err
		}
	}
	return nil
}

func (w *Writer) readStep(ctx context.Context, step *step, listed map[string]platform.Object) error {
	if listed != nil {
		object, present := listed[tree.ObjectName(step.path)]
		step.stored = decode(step.path, object, present)
		return w.checkNotOlder(step)
	}
	stored, err := w.get(ctx, step.path)
	if err != nil {
		return trace.Wrap(err, "read the stored version of %s", step.path)
	}
	step.stored = stored
	return w.checkNotOlder(step)
}

// get returns the stored node at path, or nil if there is none.
func (w *Writer) get(ctx context.Context, path string) (*tree.Node, error) {
	object, err := w.store.Get(ctx, platform.KindSetting, tree.ObjectName(path))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return decode(path, object, true), nil
}

// decode decodes a stored node. A malformed one counts as an empty folder, so
// that a change can replace it.
func decode(path string, object platform.Object, present bool) *tree.Node {
	if !present {
		return nil
	}
	node, err := tree.Decode(path, object.Spec)
	if err != nil {
		node = &tree.Node{Path: path, Kind: tree.KindFolder}
	}
	node.Revision = object.Revision
	return node
}

// checkStoreCurrent returns an error if this machine lags behind its peers or
// the store lacks the latest applied change.
func (w *Writer) checkStoreCurrent(ctx context.Context) error {
	status, version, err := w.waitForCatchUp(ctx)
	if err != nil {
		return err
	}
	newest := status.Newest
	behind := &StoreBehindError{Path: tree.PathOf(newest.Name), Expected: newest.Revision, InForce: version}
	if status.StoreRefused {
		return behind
	}
	if newest.Name == "" {
		return nil
	}
	stored, err := w.store.Get(ctx, platform.KindSetting, newest.Name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return trace.Wrap(err, "read the newest change in force")
	}
	behind.Stored = stored.Revision
	if stored.Revision >= newest.Revision || stored.Revision == 0 && isExpiredTombstone(newest, w.now()) {
		return nil
	}
	return behind
}

// waitForCatchUp waits up to catchUpWait for this machine to reach its peers'
// version.
func (w *Writer) waitForCatchUp(ctx context.Context) (SyncStatus, settings.Version, error) {
	for waited := time.Duration(0); ; waited += catchUpPoll {
		status, err := w.applied.SyncStatus(ctx)
		version, _ := w.applied.Version()
		if err != nil || status.HighestKnownVersion <= version {
			return status, version, trace.Wrap(err)
		}
		if waited >= catchUpWait {
			reason := fmt.Sprintf("it has %s in force and peers have %s; go through another node", version, status.HighestKnownVersion)
			return status, version, &NotReadyError{Reason: reason}
		}
		select {
		case <-ctx.Done():
			return status, version, trace.Wrap(ctx.Err())
		case <-time.After(catchUpPoll):
		}
	}
}

// checkNotOlder returns an error if the stored node is older than the applied
// one.
func (w *Writer) checkNotOlder(step *step) error {
	nodes, err := w.applied.Nodes(step.path, false)
	if err != nil || len(nodes) == 0 || nodes[0].Revision <= step.storedRevision() {
		return nil
	}
	version, _ := w.applied.Version()
	return &StoreBehindError{Path: step.path, Stored: step.storedRevision(), Expected: nodes[0].Revision, InForce: version}
}
