package objects

import (
	"encoding/json"
	"errors"
	"sort"
)

// Errors returned by Store and Leases.
var (
	// ErrConflict is returned if the stored revision, or the holder or epoch of a
	// lease, is not the expected one.
	ErrConflict = errors.New("objects: revision conflict")
	// ErrNotFound is returned if the object or lease does not exist.
	ErrNotFound = errors.New("objects: not found")
	// ErrCompacted is returned if changes after the revision have been compacted.
	ErrCompacted = errors.New("objects: revision compacted")
	// ErrFuture is returned if the revision is newer than the store, as after a
	// restore.
	ErrFuture = errors.New("objects: revision is ahead of the store")
)

// Key identifies an object.
type Key struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// Object is a versioned object. Revision is that of its last change.
type Object struct {
	Key
	Revision uint64          `json:"revision"`
	Spec     json.RawMessage `json:"spec"`
}

// ChangeType is the type of a Change.
type ChangeType string

// Change types.
const (
	Added    ChangeType = "ADDED"
	Modified ChangeType = "MODIFIED"
	Deleted  ChangeType = "DELETED"
)

// Change is a history entry. A deleted object has its last spec and the revision of
// the deletion.
type Change struct {
	Type   ChangeType
	Object Object
}

// Store holds objects and their recent history. Each change increments the revision
// of the store.
type Store struct {
	revision uint64
	objects  map[Key]Object
	// history holds the changes of revisions compacted+1 to revision.
	history    []Change
	compacted  uint64
	minHistory int
}

// NewStore returns a store with the given state. Automatic compaction keeps the last
// minHistory to 2*minHistory changes.
func NewStore(state []Object, revision uint64, minHistory int) *Store {
	store := &Store{revision: revision, compacted: revision, minHistory: max(1, minHistory), objects: map[Key]Object{}}
	for _, object := range state {
		store.objects[object.Key] = object
	}
	return store
}

// Revision returns the revision of the latest change.
func (s *Store) Revision() uint64 { return s.revision }

// Compacted returns the revision up to which the history is compacted. It is the
// earliest revision that Since accepts.
func (s *Store) Compacted() uint64 { return s.compacted }

// Get returns an object.
func (s *Store) Get(key Key) (Object, error) {
	object, found := s.objects[key]
	if !found {
		return Object{}, ErrNotFound
	}
	return object, nil
}

// List returns all objects of a kind, ordered by name.
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

// All returns all objects in unspecified order.
func (s *Store) All() []Object {
	all := make([]Object, 0, len(s.objects))
	for _, object := range s.objects {
		all = append(all, object)
	}
	return all
}

// Put writes an object whose Revision is the expected one, or 0 to create it, and
// returns the stored object.
func (s *Store) Put(object Object) (Object, error) {
	current, exists := s.objects[object.Key]
	switch {
	case !exists && object.Revision != 0:
		return Object{}, ErrNotFound
	case object.Revision != current.Revision:
		return Object{}, ErrConflict
	}
	kind := Modified
	if !exists {
		kind = Added
	}
	object.Revision = s.revision + 1
	s.objects[object.Key] = object
	s.append(Change{Type: kind, Object: object})
	return object, nil
}

// Delete removes an object and returns it with the revision of the deletion.
// revision is the expected one, or 0 for any.
func (s *Store) Delete(key Key, revision uint64) (Object, error) {
	current, exists := s.objects[key]
	switch {
	case !exists:
		return Object{}, ErrNotFound
	case revision != 0 && revision != current.Revision:
		return Object{}, ErrConflict
	}
	delete(s.objects, key)
	current.Revision = s.revision + 1
	s.append(Change{Type: Deleted, Object: current})
	return current, nil
}

func (s *Store) append(change Change) {
	s.revision = change.Object.Revision
	s.history = append(s.history, change)
	if len(s.history) > 2*s.minHistory {
		s.Compact(s.revision - uint64(s.minHistory))
	}
}

// Compact removes the history up to and including a revision.
func (s *Store) Compact(revision uint64) {
	revision = min(revision, s.revision)
	if revision <= s.compacted {
		return
	}
	s.history = append([]Change(nil), s.history[revision-s.compacted:]...)
	s.compacted = revision
}

// Since returns the changes of a kind after a revision, in order, and the current
// revision of the store.
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
