package command

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/settings"
	"chutelock.dev/chutelock/internal/settings/tree"
)

const (
	// listThreshold is the number of nodes from which one list request is
	// cheaper for the store than one read per node.
	listThreshold = 64
	// maxWriteTries bounds the attempts to write one node.
	maxWriteTries = 5
	// catchUpWait bounds the wait for this machine to reach its peers' version.
	catchUpWait       = 2 * time.Second
	catchUpPoll       = 50 * time.Millisecond
	defaultRetryDelay = 100 * time.Millisecond
)

// Store is the part of the platform's store that a Writer needs.
type Store interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	List(ctx context.Context, kind string) ([]platform.Object, uint64, error)
	Put(ctx context.Context, object platform.Object) (platform.Object, error)
	Delete(ctx context.Context, kind, name string, revision uint64) error
}

// AppliedState is the settings tree that this machine currently applies.
type AppliedState interface {
	// Version returns the applied version; known is false before the first.
	Version() (version settings.Version, known bool)
	// Check returns the problems that updates would add.
	Check(updates []tree.Update) []tree.Problem
	// Nodes returns the node at path and, if recursive, its descendants.
	Nodes(path string, recursive bool) ([]*tree.Node, error)
	// Objects returns the stored objects of all applied nodes.
	Objects(ctx context.Context) ([]platform.Object, error)
	// Tombstones returns the tombstones of deleted nodes.
	Tombstones(ctx context.Context) ([]platform.Object, error)
	// SyncStatus returns how current this machine and the store are.
	SyncStatus(ctx context.Context) (SyncStatus, error)
}

// SyncStatus describes how current this machine and the store are.
type SyncStatus struct {
	// Newest is the stored object of the latest applied change; its name is
	// empty if there is none.
	Newest platform.Object
	// HighestKnownVersion is the highest version that this machine has or any
	// peer reported.
	HighestKnownVersion settings.Version
	// StoreRefused is set if the store was seen to have rolled back or diverged.
	StoreRefused bool
}

// Writer checks changes and writes them to the store. It is safe for
// concurrent use.
type Writer struct {
	store   Store
	applied AppliedState
	now     func() time.Time
	// initialRetryDelay is the first backoff after a failed write.
	initialRetryDelay time.Duration
	// lastSweep is the time of the last tombstone sweep, in Unix nanoseconds.
	lastSweep atomic.Int64
}

// NewWriter returns a Writer that checks changes against applied.
func NewWriter(store Store, applied AppliedState, now func() time.Time) *Writer {
	return &Writer{store: store, applied: applied, now: now, initialRetryDelay: defaultRetryDelay}
}

// Apply checks a change and writes it. With an error, the result holds the
// nodes written before it, and is nil if no write was attempted. Errors that an
// operator can act on are *tree.InvalidError, *ConflictError,
// *UnknownOutcomeError, *StoreBehindError, *NotReadyError and *BadRequestError.
func (w *Writer) Apply(ctx context.Context, change Change) (*Result, error) {
	version, known := w.applied.Version()
	if !known {
		return nil, &NotReadyError{Reason: "it has no settings yet"}
	}
	steps, err := w.plan(ctx, &change)
	if err != nil {
		return nil, err
	}
	result := &Result{ID: change.ID, DryRun: change.DryRun, Epoch: version.Epoch()}
	for _, step := range steps {
		result.Nodes = append(result.Nodes, NodeResult{Path: step.path, Action: step.action, Fields: step.fields})
	}
	if change.DryRun {
		return result, nil
	}
	if err := w.writeAll(ctx, &change, steps, result); err != nil {
		return result, err
	}
	w.sweepIfDue(ctx)
	return result, nil
}

// plan reads the stored nodes that the change affects and validates it.
func (w *Writer) plan(ctx context.Context, change *Change) ([]*step, error) {
	steps, err := w.steps(change)
	if err != nil {
		return nil, err
	}
	if err := w.readStored(ctx, steps); err != nil {
		return nil, err
	}
	var updates []tree.Update
	for _, step := range steps {
		step.classify(change.ID)
		if err := step.checkExpected(); err != nil {
			return nil, err
		}
		if step.action != ActionUnchanged {
			updates = append(updates, step.update())
		}
	}
	if problems := w.applied.Check(updates); len(problems) > 0 {
		return nil, &tree.InvalidError{Problems: problems}
	}
	return steps, nil
}

// steps returns one step per node of the change, in write order.
func (w *Writer) steps(change *Change) ([]*step, error) {
	if change.ID == "" {
		return nil, &BadRequestError{Reason: "the change has no id"}
	}
	seen := make(map[string]bool)
	var steps []*step
	add := func(path string, wanted *tree.Node) error {
		if seen[path] {
			return &BadRequestError{Reason: fmt.Sprintf("%s occurs twice in the change", path)}
		}
		seen[path] = true
		steps = append(steps, &step{path: path, wanted: wanted})
		return nil
	}
	for _, node := range change.Nodes {
		if err := add(node.Path, node); err != nil {
			return nil, err
		}
	}
	deletions, err := w.deletions(change)
	if err != nil {
		return nil, err
	}
	for _, path := range deletions {
		if err := add(path, nil); err != nil {
			return nil, err
		}
	}
	if len(steps) == 0 {
		return nil, &BadRequestError{Reason: "the change names no node"}
	}
	sortSteps(steps)
	return steps, nil
}

func (w *Writer) deletions(change *Change) ([]string, error) {
	if !change.Recursive {
		return change.Delete, nil
	}
	var paths []string
	for _, path := range change.Delete {
		nodes, err := w.applied.Nodes(path, true)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		for _, node := range nodes {
			paths = append(paths, node.Path)
		}
	}
	return paths, nil
}
