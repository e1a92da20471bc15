package command

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
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

// read fetches the stored version of each step's node.
func (w *Writer) read(ctx context.Context, steps []*step) error {
	if err := w.checkStanding(ctx); err != nil {
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
		if err := w.readOne(ctx, step, listed); err != nil {
			return err
		}
	}
	return nil
}

func (w *Writer) readOne(ctx context.Context, step *step, listed map[string]platform.Object) error {
	if listed != nil {
		object, present := listed[tree.ObjectName(step.path)]
		step.stored = decode(step.path, object, present)
		return w.checkNotBehind(step)
	}
	stored, err := w.get(ctx, step.path)
	if err != nil {
		return trace.Wrap(err, "read the stored version of %s", step.path)
	}
	step.stored = stored
	return w.checkNotBehind(step)
}

// get reads a stored node; nil means that the store has none.
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

// decode reads a stored node. One that can't be read counts as an empty
// folder, so that a change can put it right.
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

// checkStanding refuses to write through a node that lags behind its peers,
// and to a store that lacks the newest change in force.
func (w *Writer) checkStanding(ctx context.Context) error {
	standing, version, err := w.caughtUp(ctx)
	if err != nil {
		return err
	}
	newest := standing.Newest
	behind := &StoreBehindError{Path: tree.PathOf(newest.Name), Expected: newest.Revision, InForce: version}
	if standing.StoreRefused {
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
	if stored.Revision >= newest.Revision || stored.Revision == 0 && isOldTrace(newest, w.now()) {
		return nil
	}
	return behind
}

// caughtUp waits a little for this node to have in force what peers have.
func (w *Writer) caughtUp(ctx context.Context) (Standing, settings.Version, error) {
	for waited := time.Duration(0); ; waited += catchUpPoll {
		standing, err := w.inForce.Standing(ctx)
		version, _ := w.inForce.Version()
		if err != nil || standing.Heard <= version {
			return standing, version, trace.Wrap(err)
		}
		if waited >= catchUpWait {
			reason := fmt.Sprintf("it has %s in force and peers have %s; go through another node", version, standing.Heard)
			return standing, version, &NotReadyError{Reason: reason}
		}
		select {
		case <-ctx.Done():
			return standing, version, trace.Wrap(ctx.Err())
		case <-time.After(catchUpPoll):
		}
	}
}

// checkNotBehind refuses to write over a version older than the one in force.
func (w *Writer) checkNotBehind(step *step) error {
	nodes, err := w.inForce.Nodes(step.path, false)
	if err != nil || len(nodes) == 0 || nodes[0].Revision <= step.storedRevision() {
		return nil
	}
	version, _ := w.inForce.Version()
	return &StoreBehindError{Path: step.path, Stored: step.storedRevision(), Expected: nodes[0].Revision, InForce: version}
}

func (w *Writer) writeAll(ctx context.Context, change *Change, steps []*step, result *Result) error {
	for i, step := range steps {
		if step.already {
			result.note(i, step.storedRevision())
			continue
		}
		if step.action == ActionUnchanged {
			continue
		}
		revision, err := w.write(ctx, change, step)
		if err != nil {
			return err
		}
		result.note(i, revision)
	}
	eventApplied.Info("change", change.ID, "by", change.By, "nodes", len(steps), "revision", result.Revision)
	return nil
}

func (r *Result) note(i int, revision uint64) {
	r.Nodes[i].Written = true
	r.Nodes[i].Revision = revision
	r.Revision = max(r.Revision, revision)
}

// write writes one node. An answer may be lost: then the stored version tells
// whether the write took effect, and if it did not, the compare-and-swap makes
// it safe to try again.
func (w *Writer) write(ctx context.Context, change *Change, step *step) (uint64, error) {
	spec, err := tree.Encode(step.replacement(change, w.now()))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	object := platform.Object{Kind: platform.KindSetting, Name: tree.ObjectName(step.path), Revision: step.storedRevision(), Spec: spec}
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = w.retry
	revision, err := backoff.Retry(ctx, func() (uint64, error) { return w.tryWrite(ctx, change, step, object) },
		backoff.WithBackOff(policy), backoff.WithMaxTries(maxWriteTries))
	var conflict *ConflictError
	var unknown *UnknownOutcomeError
	if err == nil || errors.As(err, &conflict) || errors.As(err, &unknown) {
		return revision, err
	}
	return 0, &UnknownOutcomeError{ID: change.ID, Path: step.path, Err: err}
}

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
