package objects

import (
	"encoding/json"
	"errors"
	"sort"
)

// Errors of the store.
var (
	// ErrConflict: the expected revision is not the stored one.
	ErrConflict = errors.New("objects: revision conflict")
	// ErrNotFound: no such object.
	ErrNotFound = errors.New("objects: not found")
	// ErrCompacted: the history no longer reaches back to the revision.
	ErrCompacted = errors.New("objects: revision compacted")
	// ErrFuture: the revision has not been reached yet, as after a restore.
	ErrFuture = errors.New("objects: revision is ahead of the store")
)

// Key names an object.
type Key struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// Object is a stored object.
type Object struct {
	Key
	Revision uint64          `json:"revision"`
	Spec     json.RawMessage `json:"spec"`
}

// ChangeType is what a change did.
type ChangeType string

// Types of changes.
const (
	Added    ChangeType = "ADDED"
	Modified ChangeType = "MODIFIED"
	Deleted  ChangeType = "DELETED"
)

// Change is one entry of the history. A deleted object carries its last spec
// and the revision of the deletion.
type Change struct {
	Type   ChangeType
	Object Object
}

// Store holds the objects and their recent history. Each change takes the next
// revision of the whole store.
type Store struct {
	revision uint64
	objects  map[Key]Object
	// history holds the changes of the revisions compacted+1 .. revision.
	history   []Change
	compacted uint64
	keep      int
}

// NewStore returns a store with the given state. It keeps a history of at
// least keep changes and at most twice as many.
func NewStore(state []Object, revision uint64, keep int) *Store {
	store := &Store{revision: revision, compacted: revision, keep: max(1, keep), objects: map[Key]Object{}}
	for _, object := range state {
		store.objects[object.Key] = object
	}
	return store
}

// Revision is the one of the latest change.
func (s *Store) Revision() uint64 { return s.revision }

// Compacted is the latest revision after which no watch can begin any more.
func (s *Store) Compacted() uint64 { return s.compacted }

// Get returns an object.
func (s *Store) Get(key Key) (Object, error) {
	object, found := s.objects[key]
	if !found {
		return Object{}, ErrNotFound
	}
	return object, nil
}

// List returns all objects of a kind by name.
func (s *Store) List(kind string) []Object {
	listed := []Object{}
	for key, object := range s.objects {
		if key.Kind == kind {
			listed = append(listed, object)
		}
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i].Name < listed[j].Name })
	return listed
}

// All returns all objects, in no order.
func (s *Store) All() []Object {
	all := make([]Object, 0, len(s.objects))
	for _, object := range s.objects {
		all = append(all, object)
	}
	return all
}

// Put writes an object. Its Revision is the expected one, 0 to create it.
func (s *Store) Put(written Object) (Object, error) {
	present, exists := s.objects[written.Key]
	switch {
	case !exists && written.Revision != 0:
		return Object{}, ErrNotFound
	case written.Revision != present.Revision:
		return Object{}, ErrConflict
	}
	kind := Modified
	if !exists {
		kind = Added
	}
	written.Revision = s.revision + 1
	s.objects[written.Key] = written
	s.append(Change{Type: kind, Object: written})
	return written, nil
}

// Delete removes an object; revision is the expected one, 0 for any.
func (s *Store) Delete(key Key, revision uint64) (Object, error) {
	present, exists := s.objects[key]
	switch {
	case !exists:
		return Object{}, ErrNotFound
	case revision != 0 && revision != present.Revision:
		return Object{}, ErrConflict
	}
	delete(s.objects, key)
	present.Revision = s.revision + 1
	s.append(Change{Type: Deleted, Object: present})
	return present, nil
}

func (s *Store) append(change Change) {
	s.revision = change.Object.Revision
	s.history = append(s.history, change)
	if len(s.history) > 2*s.keep {
		s.Compact(s.revision - uint64(s.keep))
	}
}

// Compact forgets the history up to a revision.
func (s *Store) Compact(revision uint64) {
	revision = min(revision, s.revision)
	if revision <= s.compacted {
		return
	}
	s.history = append([]Change(nil), s.history[revision-s.compacted:]...)
	s.compacted = revision
}

// Since returns the changes of a kind after a revision, in order, and the
// revision that they lead to.
func (s *Store) Since(kind string, revision uint64) ([]Change, uint64, error) {
	if revision < s.compacted {
		return nil, 0, ErrCompacted
	}
	if revision > s.revision {
		return nil, 0, ErrFuture
	}
	var changes []Change
	for _, change := range s.history[revision-s.compacted:] {
		if change.Object.Kind == kind {
			changes = append(changes, change)
		}
	}
	return changes, s.revision, nil
}
