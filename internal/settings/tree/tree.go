package tree

import (
	"fmt"
	"maps"
	"slices"

	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/settings"
)

// Tree is the set of nodes and the snapshot resolved from it. Only one
// goroutine may use a Tree; the snapshots that it gives out are immutable.
type Tree struct {
	nodes    map[string]record
	children map[string]map[string]struct{}
	// effective holds the resolved fields of nodes that have children.
	effective map[string]*Fields
	problems  map[string][]Problem
	// faulty keeps updates with problems as they came.
	faulty map[string]Update
	// orphans are the paths of nodes without a parent node.
	orphans  map[string]struct{}
	snapshot *settings.Snapshot
	claims   claims
}

// New makes an empty tree.
func New() *Tree {
	tree := &Tree{
		nodes:     make(map[string]record),
		children:  make(map[string]map[string]struct{}),
		effective: make(map[string]*Fields),
		problems:  make(map[string][]Problem),
		faulty:    make(map[string]Update),
		orphans:   make(map[string]struct{}),
		snapshot:  settings.NewSnapshot(0, nil, nil),
	}
	tree.claims = newClaims(tree.Snapshot)
	return tree
}

// record is a node as it is kept. A sound stored tenant is kept in its stored
// form only, which the dissemination keeps anyway, and decoded when needed:
// tenants are many, and rarely looked at.
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
	if err != nil { // it was decoded before
		node = &Node{Path: path, Kind: KindFolder}
	}
	node.Revision = r.revision
	return node
}

// Update is the new content of one path; a nil Node deletes it. A Problem
// that kept a stored node from being read is carried along.
type Update struct {
	Path    string
	Node    *Node
	Problem *Problem
	// spec is the stored form of Node, if it came from the store.
	spec []byte
}

// UpdateOf reads a stored node. One that can't be read passes its parent's
// fields on and is reported as a problem.
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

// Resolve derives the snapshot of all stored nodes.
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

// Apply puts the updates in and resolves again what they touch: the nodes
// themselves and, where inheritable fields may have changed, all below them.
func (t *Tree) Apply(revision uint64, updates []Update) *settings.Snapshot {
	touched := make(map[string]struct{})
	for _, update := range updates {
		t.put(update)
		t.collect(update.Path, touched)
	}
	for _, path := range slices.Sorted(maps.Keys(touched)) {
		t.resolve(path)
	}
	t.snapshot = t.snapshot.Edit(revision, t.claims.takeEdit())
	return t.snapshot
}

// Check lists the problems that updates would add; the tree stays as it is.
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

// inverse gives the updates that undo updates.
func (t *Tree) inverse(updates []Update) []Update {
	undo := make([]Update, 0, len(updates))
	for _, update := range updates {
		before, faulty := t.faulty[update.Path]
		if !faulty {
			before = Update{Path: update.Path}
			before.Node, _ = t.Node(update.Path)
			before.spec = t.nodes[update.Path].spec
		}
		undo = append(undo, before)
	}
	return undo
}

// Snapshot is the newest resolved snapshot.
func (t *Tree) Snapshot() *settings.Snapshot { return t.snapshot }

// Node gives the node at a path.
func (t *Tree) Node(path string) (*Node, bool) {
	kept, ok := t.nodes[path]
	if !ok {
		return nil, false
	}
	return kept.decode(path), true
}

// has says whether there is a node at a path.
func (t *Tree) has(path string) bool {
	_, ok := t.nodes[path]
	return ok
}

// all is the set of all paths.
func (t *Tree) all() map[string]struct{} {
	paths := make(map[string]struct{}, len(t.nodes))
	for path := range t.nodes {
		paths[path] = struct{}{}
	}
	return paths
}

func (t *Tree) faultyAtAll() bool {
	return len(t.problems)+len(t.orphans)+len(t.claims.names.rivals)+len(t.claims.keys.rivals)+len(t.claims.services.rivals) > 0
}

// Problems lists what is wrong with the tree, ordered by path.
func (t *Tree) Problems() []Problem {
	var all []Problem
	for _, path := range slices.Sorted(maps.Keys(t.problems)) {
		all = append(all, t.problems[path]...)
	}
	for _, path := range slices.Sorted(maps.Keys(t.orphans)) {
		reason := fmt.Sprintf("there is no node at %q", Parent(path))
		all = append(all, Problem{Path: path, Field: "path", Reason: reason})
	}
	return append(all, t.claims.contested()...)
}

func (t *Tree) put(update Update) {
	delete(t.problems, update.Path)
	delete(t.faulty, update.Path)
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
		t.faulty[update.Path] = update
	}
	t.nodes[update.Path] = recordOf(update, problems)
	t.link(update.Path)
}

func recordOf(update Update, problems []Problem) record {
	if update.spec != nil && update.Node.Kind == KindTenant && len(problems) == 0 {
		return record{spec: update.spec, revision: update.Node.Revision}
	}
	return record{node: withoutFaults(update.Node, problems)}
}

// withoutFaults takes the offending fields out, so that the inherited values
// hold instead.
func withoutFaults(node *Node, problems []Problem) *Node {
	if len(problems) == 0 {
		return node
	}
	clean := *node
	for _, problem := range problems {
		dropField(&clean.Fields, problem.Field)
	}
	return &clean
}

// link makes the path known to all its ancestors, present or not.
func (t *Tree) link(path string) {
	for parent := Parent(path); parent != ""; path, parent = parent, Parent(parent) {
		if t.children[parent] == nil {
			t.children[parent] = make(map[string]struct{})
		}
		t.children[parent][path] = struct{}{}
	}
}

// unlink forgets paths that have neither a node nor anything below them.
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

// collect adds a path and all below it.
func (t *Tree) collect(path string, into map[string]struct{}) {
	if _, seen := into[path]; seen {
		return
	}
	into[path] = struct{}{}
	for child := range t.children[path] {
		t.collect(child, into)
	}
}

// resolve derives one node; its parent has been resolved before.
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

// checkParent records whether the parent exists.
func (t *Tree) checkParent(path string) {
	parent := Parent(path)
	if parent == "" || t.has(parent) {
		delete(t.orphans, path)
		return
	}
	t.orphans[path] = struct{}{}
}

// inherited is what the node at path inherits: the effective fields of the
// nearest ancestor that exists.
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
