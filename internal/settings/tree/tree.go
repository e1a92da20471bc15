package tree

import (
	"fmt"
	"maps"
	"slices"

	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/settings"
)

// Tree holds a set of nodes and the snapshot resolved from it. It is not safe
// for concurrent use; the snapshots that it returns are immutable.
type Tree struct {
	nodes    map[string]record
	children map[string]map[string]struct{}
	// effective caches the resolved fields of nodes that have children.
	effective map[string]*Fields
	problems  map[string][]Problem
	// invalid holds the original updates that have problems.
	invalid map[string]Update
	// orphans are the paths of nodes whose parent does not exist.
	orphans  map[string]struct{}
	snapshot *settings.Snapshot
	// claims tracks which node owns each API key, tenant name and model.
	claims claims
}

// New returns an empty tree.
func New() *Tree {
	tree := &Tree{
		nodes:     make(map[string]record),
		children:  make(map[string]map[string]struct{}),
		effective: make(map[string]*Fields),
		problems:  make(map[string][]Problem),
		invalid:   make(map[string]Update),
		orphans:   make(map[string]struct{}),
		snapshot:  settings.NewSnapshot(0, nil, nil),
	}
	tree.claims = newClaims(tree.Snapshot)
	return tree
}

// record holds a node. To save memory, a valid tenant from the store is held in
// its stored form, which package dissemination retains anyway, and decoded on
// each use: tenants are numerous and rarely read.
type record struct {
	node     *Node
	spec     []byte
	revision uint64
}

func (r *record) decode(path string) *Node {
	if r.node != nil {
		return r.node
	}
	node, err := Decode(path, r.spec)
	if err != nil { // unreachable: UpdateOf decoded it before
		node = &Node{Path: path, Kind: KindFolder}
	}
	node.Revision = r.revision
	return node
}

// Update is the new content of one path; a nil Node deletes it. Problem is set
// if the stored node could not be decoded.
type Update struct {
	Path    string
	Node    *Node
	Problem *Problem
	// spec is the stored form of Node, if it came from the store.
	spec []byte
}

// UpdateOf decodes a stored node. One that can't be decoded becomes an empty
// folder with a Problem, so its descendants still inherit from its parent.
func UpdateOf(path string, revision uint64, spec []byte) Update {
	node, err := Decode(path, spec)
	if err != nil {
		problem := &Problem{Path: path, Reason: err.Error()}
		return Update{Path: path, Node: &Node{Path: path, Kind: KindFolder, Revision: revision}, Problem: problem}
	}
	node.Revision = revision
	if node.Deleted {
		return Update{Path: path}
	}
	return Update{Path: path, Node: node, spec: spec}
}

// Resolve returns the snapshot of the stored nodes and their problems.
func Resolve(objects []platform.Object, revision uint64) (*settings.Snapshot, []Problem) {
	updates := make([]Update, 0, len(objects))
	for _, object := range objects {
		if object.Name == EpochObject {
			continue
		}
		updates = append(updates, UpdateOf(PathOf(object.Name), object.Revision, object.Spec))
	}
	result := New()
	snapshot := result.Apply(revision, updates)
	return snapshot, result.Problems()
}

// Apply applies updates and resolves the updated nodes and all their
// descendants again.
func (t *Tree) Apply(revision uint64, updates []Update) *settings.Snapshot {
	touched := make(map[string]struct{})
	for _, update := range updates {
		t.put(update)
		t.collectSubtree(update.Path, touched)
	}
	for _, path := range slices.Sorted(maps.Keys(touched)) {
		t.resolve(path)
	}
	t.snapshot = t.snapshot.Edit(revision, t.claims.takeEdit())
	return t.snapshot
}

// Check returns the problems that updates would add. It applies the updates and
// undoes them.
func (t *Tree) Check(updates []Update) []Problem {
	known := make(map[Problem]bool)
	for _, problem := range t.Problems() {
		known[problem] = true
	}
	snapshot := t.snapshot
	inverse := t.inverse(updates)
	t.Apply(snapshot.Revision, updates)
	var added []Problem
	for _, problem := range t.Problems() {
		if !known[problem] {
			added = append(added, problem)
		}
	}
	t.Apply(snapshot.Revision, inverse)
	t.snapshot = snapshot
	return added
}

// inverse returns the updates that undo updates.
func (t *Tree) inverse(updates []Update) []Update {
	undo := make([]Update, 0, len(updates))
	for _, update := range updates {
		before, wasInvalid := t.invalid[update.Path]
		if !wasInvalid {
			before = Update{Path: update.Path}
			before.Node, _ = t.Node(update.Path)
			before.spec = t.nodes[update.Path].spec
		}
		undo = append(undo, before)
	}
	return undo
}

// Snapshot returns the latest resolved snapshot.
func (t *Tree) Snapshot() *settings.Snapshot { return t.snapshot }

// Node returns the node at path.
func (t *Tree) Node(path string) (*Node, bool) {
	stored, ok := t.nodes[path]
	if !ok {
		return nil, false
	}
	return stored.decode(path), true
}

// has reports whether a node exists at path.
func (t *Tree) has(path string) bool {
	_, ok := t.nodes[path]
	return ok
}

// allPaths returns the set of the paths of all nodes.
func (t *Tree) allPaths() map[string]struct{} {
	paths := make(map[string]struct{}, len(t.nodes))
	for path := range t.nodes {
		paths[path] = struct{}{}
	}
	return paths
}

func (t *Tree) hasProblems() bool {
	return len(t.problems)+len(t.orphans)+len(t.claims.names.shadowed)+len(t.claims.keys.shadowed)+len(t.claims.services.shadowed) > 0
}

// Problems returns the problems of the tree: invalid nodes, then orphans, then
// conflicting claims.
func (t *Tree) Problems() []Problem {
	var all []Problem
	for _, path := range slices.Sorted(maps.Keys(t.problems)) {
		all = append(all, t.problems[path]...)
	}
	for _, path := range slices.Sorted(maps.Keys(t.orphans)) {
		reason := fmt.Sprintf("there is no node at %q", Parent(path))
		all = append(all, Problem{Path: path, Field: "path", Reason: reason})
	}
	return append(all, t.claims.problems()...)
}

func (t *Tree) put(update Update) {
	delete(t.problems, update.Path)
	delete(t.invalid, update.Path)
	if update.Node == nil {
		delete(t.nodes, update.Path)
		t.unlink(update.Path)
		return
	}
	problems := checkNode(update.Node)
	if update.Problem != nil {
		problems = append(problems, *update.Problem)
	}
	if len(problems) > 0 {
		t.problems[update.Path] = problems
		t.invalid[update.Path] = update
	}
	t.nodes[update.Path] = newRecord(update, problems)
	t.link(update.Path)
}

func newRecord(update Update, problems []Problem) record {
	if update.spec != nil && update.Node.Kind == KindTenant && len(problems) == 0 {
		return record{spec: update.spec, revision: update.Node.Revision}
	}
	return record{node: withoutInvalidFields(update.Node, problems)}
}

// withoutInvalidFields returns node with its invalid fields unset, so that they
// are inherited instead.
func withoutInvalidFields(node *Node, problems []Problem) *Node {
	if len(problems) == 0 {
		return node
	}
	clean := *node
	for _, problem := range problems {
		clearField(&clean.Fields, problem.Field)
	}
	return &clean
}

// link adds path to its parent's children and each ancestor to its own parent's,
// whether their nodes exist or not.
func (t *Tree) link(path string) {
	for parent := Parent(path); parent != ""; path, parent = parent, Parent(parent) {
		if t.children[parent] == nil {
			t.children[parent] = make(map[string]struct{})
		}
		t.children[parent][path] = struct{}{}
	}
}

// unlink removes path and its ancestors from their parents' children while they
// have neither a node nor descendants.
func (t *Tree) unlink(path string) {
	for path != "" && !t.has(path) && len(t.children[path]) == 0 {
		parent := Parent(path)
		delete(t.children[parent], path)
		if len(t.children[parent]) == 0 {
			delete(t.children, parent)
		}
		path = parent
	}
}

// collectSubtree adds path and its descendants to paths.
func (t *Tree) collectSubtree(path string, paths map[string]struct{}) {
	if _, seen := paths[path]; seen {
		return
	}
	paths[path] = struct{}{}
	for child := range t.children[path] {
		t.collectSubtree(child, paths)
	}
}

// resolve updates the effective fields and claims of one node. Parents must be
// resolved first.
func (t *Tree) resolve(path string) {
	t.claims.release(path)
	node, present := t.Node(path)
	if !present {
		delete(t.effective, path)
		delete(t.orphans, path)
		return
	}
	t.checkParent(path)
	effective := inherit(&node.Fields, t.inherited(path))
	if len(t.children[path]) > 0 {
		t.effective[path] = effective
	} else {
		delete(t.effective, path)
	}
	t.claims.claim(node, effective)
}

// checkParent records the node as an orphan if its parent does not exist.
func (t *Tree) checkParent(path string) {
	parent := Parent(path)
	if parent == "" || t.has(parent) {
		delete(t.orphans, path)
		return
	}
	t.orphans[path] = struct{}{}
}

// inherited returns the effective fields of the nearest existing ancestor of
// path, or the defaults.
func (t *Tree) inherited(path string) *Fields {
	for ancestor := Parent(path); ancestor != ""; ancestor = Parent(ancestor) {
		if effective, ok := t.effective[ancestor]; ok {
			return effective
		}
		if node, ok := t.Node(ancestor); ok {
			effective := inherit(&node.Fields, t.inherited(ancestor))
			t.effective[ancestor] = effective
			return effective
		}
	}
	return &defaults
}
