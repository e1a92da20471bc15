package command

import (
	"context"
	"errors"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/settings/tree"
)

// writeAll writes the steps in order. It is not atomic: after an error, the nodes
// written before it stay written and are recorded in result.
func (w *Writer) writeAll(ctx context.Context, change *Change, steps []*step, result *Result) error {
	for i, step := range steps {
		if step.alreadyWritten {
			result.recordWrite(i, step.storedRevision())
			continue
		}
		if step.action == ActionUnchanged {
			continue
		}
		revision, err := w.write(ctx, change, step)
		if err != nil {
			return err
		}
		result.recordWrite(i, revision)
	}
	eventApplied.Info("change", change.ID, "by", change.By, "nodes", len(steps), "revision", result.Revision)
	return nil
}

func (r *Result) recordWrite(i int, revision uint64) {
	r.Nodes[i].Written = true
	r.Nodes[i].Revision = revision
	r.Revision = max(r.Revision, revision)
}

// write writes one node. If the response is lost, the stored version shows
// whether the write took effect; if not, compare-and-swap makes a retry safe.
func (w *Writer) write(ctx context.Context, change *Change, step *step) (uint64, error) {
	spec, err := tree.Encode(step.replacement(change, w.now()))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	object := platform.Object{Kind: platform.KindSetting, Name: tree.ObjectName(step.path), Revision: step.storedRevision(), Spec: spec}
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = w.initialRetryDelay
	revision, err := backoff.Retry(ctx, func() (uint64, error) { return w.tryWrite(ctx, change, step, object) },
		backoff.WithBackOff(policy), backoff.WithMaxTries(maxWriteTries))
	var conflict *ConflictError
	var unknown *UnknownOutcomeError
	if err == nil || errors.As(err, &conflict) || errors.As(err, &unknown) {
		return revision, err
	}
	return 0, &UnknownOutcomeError{ID: change.ID, Path: step.path, Err: err}
}

// tryWrite attempts one write. It returns UnknownOutcomeError, which is retried,
// if the write may still take effect; a conflict is permanent.
func (w *Writer) tryWrite(ctx context.Context, change *Change, step *step, object platform.Object) (uint64, error) {
	written, putErr := w.store.Put(ctx, object)
	if putErr == nil {
		return written.Revision, nil
	}
	current, err := w.get(ctx, step.path)
	if err != nil {
		return 0, &UnknownOutcomeError{ID: change.ID, Path: step.path, Err: putErr}
	}
	if current != nil && current.Change.Includes(change.ID) {
		return current.Revision, nil
	}
	if revisionOf(current) != object.Revision {
		return 0, backoff.Permanent(newConflict(step.path, step.stored, current, step.wanted))
	}
	return 0, &UnknownOutcomeError{ID: change.ID, Path: step.path, Err: putErr}
}

func revisionOf(node *tree.Node) uint64 {
	if node == nil {
		return 0
	}
	return node.Revision
}
