package tree

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"chutelock.dev/chutelock/internal/settings"
)

// Live holds the settings tree that this machine currently uses. Current takes
// no lock; the other methods share a leaf mutex: no other lock is taken under it.
type Live struct {
	current atomic.Pointer[settings.Snapshot]
	mutex   sync.Mutex
	tree    *Tree
}

var _ settings.Source = (*Live)(nil)

// NewLive returns a Live without a snapshot.
func NewLive() *Live { return &Live{tree: New()} }

// Current implements settings.Source.
func (l *Live) Current() *settings.Snapshot { return l.current.Load() }

// Apply applies updates to the tree. Successive versions must increase.
func (l *Live) Apply(version settings.Version, updates []Update) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.current.Store(l.tree.Apply(uint64(version), updates))
}

// Replace replaces the whole tree.
func (l *Live) Replace(version settings.Version, updates []Update) {
	fresh := New()
	snapshot := fresh.Apply(uint64(version), updates)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.tree = fresh
	l.current.Store(snapshot)
}

// Check returns the problems that updates would add, without changing the
// tree.
func (l *Live) Check(updates []Update) []Problem {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.tree.Check(updates)
}

// Problems returns the problems of the current tree.
func (l *Live) Problems() []Problem {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.tree.Problems()
}

// HasProblems reports whether the tree has problems, without listing them.
func (l *Live) HasProblems() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.tree.hasProblems()
}

// Explain returns the effective field values of the node at path.
func (l *Live) Explain(path string) (Explanation, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.tree.Explain(path)
}

// Nodes returns the node at path and, if recursive, its descendants, sorted by
// path. An empty path selects the whole tree.
func (l *Live) Nodes(path string, recursive bool) ([]*Node, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	paths := map[string]struct{}{path: {}}
	switch {
	case path == "":
		paths = l.tree.allPaths()
	case recursive:
		paths = make(map[string]struct{})
		l.tree.collectSubtree(path, paths)
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
