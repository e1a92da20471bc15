package tree

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"chutelock.dev/chutelock/internal/settings"
)

// Live is the tree in force at this node. Current takes no lock; the other
// methods share one mutex, which is a leaf: nothing else is locked under it.
type Live struct {
	current atomic.Pointer[settings.Snapshot]
	mutex   sync.Mutex
	tree    *Tree
}

var _ settings.Source = (*Live)(nil)

// NewLive starts without a snapshot.
func NewLive() *Live { return &Live{tree: New()} }

// Current implements settings.Source.
func (l *Live) Current() *settings.Snapshot { return l.current.Load() }

// Apply puts updates in force. The caller's versions rise.
func (l *Live) Apply(version settings.Version, updates []Update) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.current.Store(l.tree.Apply(uint64(version), updates))
}

// Replace puts a whole tree in force.
func (l *Live) Replace(version settings.Version, updates []Update) {
	fresh := New()
	snapshot := fresh.Apply(uint64(version), updates)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.tree = fresh
	l.current.Store(snapshot)
}

// Check lists the problems that updates would add to the tree, which stays as
// it is.
func (l *Live) Check(updates []Update) []Problem {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.tree.Check(updates)
}

// Problems lists what is wrong with the tree in force.
func (l *Live) Problems() []Problem {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.tree.Problems()
}

// Faulty says cheaply whether Problems lists anything.
func (l *Live) Faulty() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.tree.faultyAtAll()
}

// Explain gives the effective settings of a node.
func (l *Live) Explain(path string) (Explanation, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.tree.Explain(path)
}

// Nodes lists the node at path and, if recursive, all below it, in order. An
// empty path stands for the whole tree.
func (l *Live) Nodes(path string, recursive bool) ([]*Node, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	paths := map[string]struct{}{path: {}}
	switch {
	case path == "":
		paths = l.tree.all()
	case recursive:
		paths = make(map[string]struct{})
		l.tree.collect(path, paths)
	}
	var nodes []*Node
	for _, candidate := range slices.Sorted(maps.Keys(paths)) {
		if node, present := l.tree.Node(candidate); present {
			nodes = append(nodes, node)
		}
	}
	if len(nodes) == 0 && path != "" {
		return nil, &NotFoundError{Path: path, Nearest: l.tree.nearest(path)}
	}
	return nodes, nil
}
