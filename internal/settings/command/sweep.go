package command

import (
	"context"
	"errors"
	"time"

	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/settings/tree"
)

const (
	// tombstoneRetention is how long a tombstone is kept. A machine offline for
	// longer must learn of the deletion from a peer, since it would take a
	// listing without the tombstone for data loss.
	tombstoneRetention = 7 * 24 * time.Hour
	sweepInterval      = time.Hour
	// sweepLimit bounds the tombstones removed by one sweep.
	sweepLimit = 256
)

// sweepIfDue removes expired tombstones from the store, at most once per
// sweepInterval. The next sweep retries a failed one.
func (w *Writer) sweepIfDue(ctx context.Context) {
	now, last := w.now(), w.lastSweep.Load()
	if now.Sub(time.Unix(0, last)) < sweepInterval || !w.lastSweep.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	swept, err := w.sweep(ctx, now)
	if err != nil {
		eventSweepFailed.Error(err, "swept", swept)
	}
}

func (w *Writer) sweep(ctx context.Context, now time.Time) (int, error) {
	tombstones, err := w.applied.Tombstones(ctx)
	if err != nil {
		return 0, err
	}
	swept := 0
	for _, tombstone := range tombstones {
		if !isExpiredTombstone(tombstone, now) || swept >= sweepLimit {
			continue
		}
		err := w.store.Delete(ctx, platform.KindSetting, tombstone.Name, tombstone.Revision)
		if err != nil && !errors.Is(err, platform.ErrNotFound) && !errors.Is(err, platform.ErrConflict) {
			return swept, err
		}
		swept++
	}
	return swept, nil
}

// isExpiredTombstone reports whether an object is a tombstone that may have been
// swept.
func isExpiredTombstone(object platform.Object, now time.Time) bool {
	node, err := tree.Decode(tree.PathOf(object.Name), object.Spec)
	return err == nil && node.Deleted && (node.Change == nil || now.Sub(node.Change.At) > tombstoneRetention)
}
