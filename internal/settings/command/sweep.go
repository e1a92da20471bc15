package command

import (
	"context"
	"errors"
	"time"

	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/settings/tree"
)

const (
	// traceRetention is how long the trace of a deletion is kept. A node that
	// was away for longer and still holds the node must hear of it from a
	// peer; it would take a listing for that of a store that lost nodes.
	traceRetention = 7 * 24 * time.Hour
	sweepInterval  = time.Hour
	// sweepLimit bounds the deletions of one sweep.
	sweepLimit = 256
)

// sweepNowAndThen removes old traces of deletions from the store, behind a
// change and at most once an interval. A failure is left to the next sweep.
func (w *Writer) sweepNowAndThen(ctx context.Context) {
	now, last := w.now(), w.swept.Load()
	if now.Sub(time.Unix(0, last)) < sweepInterval || !w.swept.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	swept, err := w.sweep(ctx, now)
	if err != nil {
		eventSweepFailed.Error(err, "swept", swept)
	}
}

func (w *Writer) sweep(ctx context.Context, now time.Time) (int, error) {
	traces, err := w.inForce.Traces(ctx)
	if err != nil {
		return 0, err
	}
	swept := 0
	for _, trace := range traces {
		if !isOldTrace(trace, now) || swept >= sweepLimit {
			continue
		}
		err := w.store.Delete(ctx, platform.KindSetting, trace.Name, trace.Revision)
		if err != nil && !errors.Is(err, platform.ErrNotFound) && !errors.Is(err, platform.ErrConflict) {
			return swept, err
		}
		swept++
	}
	return swept, nil
}

// isOldTrace says whether an object is the trace of a deletion that may have
// been swept.
func isOldTrace(object platform.Object, now time.Time) bool {
	node, err := tree.Decode(tree.PathOf(object.Name), object.Spec)
	return err == nil && node.Deleted && (node.Change == nil || now.Sub(node.Change.At) > traceRetention)
}
