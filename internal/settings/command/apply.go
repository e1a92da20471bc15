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
	// listThreshold is the number of nodes from which one listing is cheaper
	// for the store than reading node by node.
	listThreshold = 64
	// maxWriteTries bounds the writes of one node whose answers are lost.
	maxWriteTries = 5
	// catchUpWait is how long a change waits for its node to catch up.
	catchUpWait = 2 * time.Second
	catchUpPoll = 50 * time.Millisecond
	// firstRetry is the pause after the first lost answer.
	firstRetry = 100 * time.Millisecond
)

// Store is what changes need of the platform's store.
type Store interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	List(ctx context.Context, kind string) ([]platform.Object, uint64, error)
	Put(ctx context.Context, object platform.Object) (platform.Object, error)
	Delete(ctx context.Context, kind, name string, revision uint64) error
}

// InForce is the state of the tree that this node has in force.
type InForce interface {
	// Version is the version in force; known is false before the first.
	Version() (version settings.Version, known bool)
	// Check lists the problems that updates would add.
	Check(updates []tree.Update) []tree.Problem
	// Nodes lists the node at path and, if recursive, all below it.
	Nodes(path string, recursive bool) ([]*tree.Node, error)
	// Objects lists all stored objects in force.
	Objects(ctx context.Context) ([]platform.Object, error)
	// Traces lists the traces of deletions.
	Traces(ctx context.Context) ([]platform.Object, error)
	// Standing says how this node's version compares with the store and peers.
	Standing(ctx context.Context) (Standing, error)
}

// Standing is what a node knows before it lets a change through.
type Standing struct {
	// Newest is the stored object of the newest change in force; its name is
	// empty if there is none.
	Newest platform.Object
	// Heard is the highest version that any peer told of.
	Heard settings.Version
	// StoreRefused says that the store was seen to have gone back or forked.
	StoreRefused bool
}

// Writer makes changes. Its methods may be called concurrently.
type Writer struct {
	store   Store
	inForce InForce
	now     func() time.Time
	// retry is the pause after the first lost answer.
	retry time.Duration
	// swept is when traces of deletions were last swept, in Unix nanoseconds.
	swept atomic.Int64
}

// NewWriter makes a Writer.
func NewWriter(store Store, inForce InForce, now func() time.Time) *Writer {
	return &Writer{store: store, inForce: inForce, now: now, retry: firstRetry}
}

// Apply makes a change. With an error, the result says what was written
// before; it is nil when nothing was tried. The errors that tell the operator
// what to do are *tree.InvalidError, *ConflictError, *UnknownOutcomeError,
// *StoreBehindError, *NotReadyError and *BadRequestError.
func (w *Writer) Apply(ctx context.Context, change Change) (*Result, error) {
	version, known := w.inForce.Version()
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
	w.sweepNowAndThen(ctx)
	return result, nil
}

// plan reads what the change touches, and checks the whole.
func (w *Writer) plan(ctx context.Context, change *Change) ([]*step, error) {
	steps, err := w.steps(change)
	if err != nil {
		return nil, err
	}
	if err := w.read(ctx, steps); err != nil {
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
	if problems := w.inForce.Check(updates); len(problems) > 0 {
		return nil, &tree.InvalidError{Problems: problems}
	}
	return steps, nil
}

// steps lists the nodes that a change names, in the order of writing.
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
	order(steps)
	return steps, nil
}

func (w *Writer) deletions(change *Change) ([]string, error) {
	if !change.Recursive {
		return change.Delete, nil
	}
	var paths []string
	for _, path := range change.Delete {
		nodes, err := w.inForce.Nodes(path, true)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		for _, node := range nodes {
			paths = append(paths, node.Path)
		}
	}
	return paths, nil
}
