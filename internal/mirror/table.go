package mirror

import (
	"slices"
	"sort"
)

// maxTombstones bounds a collection's tombstones. A peer that is further behind gets a
// snapshot.
const maxTombstones = 4096

// Object is a mirrored object or a tombstone.
type Object struct {
	Name string
	// Revision is the store's revision of the object's last change.
	Revision uint64
	// Content is the object's encoded body, which this package does not interpret.
	Content []byte
	// Gone marks a tombstone; Content is empty then.
	Gone bool
}

// Delta carries changes of a collection, or a snapshot of it.
type Delta struct {
	Kind string
	// IsSnapshot says that Objects is a snapshot of the collection; else they are changes.
	IsSnapshot bool
	// Revision is the store's revision up to which the receiver is complete after the merge.
	Revision uint64
	// Since is the revision that the receiver must have reached, unless IsSnapshot.
	Since   uint64
	Objects []Object
}

// placedObject is an object with its place.
type placedObject struct {
	Object
	place Place
}

// collection holds the objects of one kind.
type collection struct {
	revision   uint64
	objects    map[string]placedObject
	tombstones map[string]uint64
	// horizon is the revision from which all tombstones are kept.
	horizon uint64
	log     changeLog
	// placeOf is the kind's Place function, and counts the number of objects at each place;
	// nil if all nodes mirror all objects.
	placeOf func(content []byte) Place
	counts  map[Place]int
	// subset is the part of the kind that this node keeps; nil if all.
	subset *subset
}

// Table holds a collection for each kind. It is not safe for concurrent use.
type Table struct {
	collections map[string]*collection
}

// NewTable returns a table of empty collections at revision 0.
func NewTable(kinds []string) *Table {
	table := &Table{collections: map[string]*collection{}}
	for _, kind := range kinds {
		table.collections[kind] = &collection{objects: map[string]placedObject{}, tombstones: map[string]uint64{}}
	}
	return table
}

// SetPlaceFunc sets the function that reads the places of a kind's objects. The table must be
// empty.
func (t *Table) SetPlaceFunc(kind string, placeOf func(content []byte) Place) {
	c := t.collections[kind]
	c.placeOf, c.counts = placeOf, map[Place]int{}
}

// KeepSubset makes the table keep a node's subset of a kind only. The table must be empty.
func (t *Table) KeepSubset(kind, node, zone string) {
	t.collections[kind].subset = &subset{node: node, zone: zone}
}

// Partial says whether the table keeps only some of a kind's objects.
func (t *Table) Partial(kind string) bool {
	c := t.collections[kind]
	return c != nil && c.subset.partial()
}

// Subset returns a copy of the subset of a kind that the table keeps; nil if it keeps all.
func (t *Table) Subset(kind string) *subset {
	c := t.collections[kind]
	if c == nil || c.subset == nil {
		return nil
	}
	subset := *c.subset
	return &subset
}

// Revision returns the revision up to which a kind is complete; 0 if the kind is unsynced.
func (t *Table) Revision(kind string) uint64 {
	if c := t.collections[kind]; c != nil {
		return c.revision
	}
	return 0
}

// Objects lists the objects of a kind, sorted by name.
func (t *Table) Objects(kind string) []Object {
	c := t.collections[kind]
	if c == nil {
		return nil
	}
	objects := make([]Object, 0, len(c.objects))
	for _, object := range c.objects {
		objects = append(objects, object.Object)
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Name < objects[j].Name })
	return objects
}

// Changed says whether objects of a kind may have changed after a revision, as far as this table
// is complete.
func (t *Table) Changed(kind string, revision uint64) bool {
	return t.changedInSubset(kind, revision, nil)
}

// changedInSubset is Changed for a receiver that keeps a subset.
func (t *Table) changedInSubset(kind string, revision uint64, sub *subset) bool {
	c := t.collections[kind]
	if c == nil || c.revision <= revision {
		return false
	}
	if sub != nil && !sameShifts(sub.shifts, sub.fitShifts(c.counts)) {
		return true
	}
	changes, all := c.log.since(revision)
	if !all || revision < c.horizon {
		return true
	}
	return slices.ContainsFunc(changes, func(entry change) bool { return entry.moved || sub.contains(entry.name, entry.place) })
}

// Since returns the changes of a kind after a revision. It returns false if the kind is unsynced
// or the revision is newer than this table's. The delta for the table's own revision is empty.
func (t *Table) Since(kind string, revision uint64) (Delta, bool) {
	delta, _, known := t.subsetSince(kind, revision, nil)
	return delta, known
}

// subsetSince is Since for a receiver that keeps a subset. It also returns the shifts that the
// delta is for: the receiver's own ones, unless the delta is a snapshot.
func (t *Table) subsetSince(kind string, revision uint64, sub *subset) (Delta, map[Place]uint8, bool) {
	c := t.collections[kind]
	if c == nil || c.revision == 0 || c.revision < revision {
		return Delta{}, nil, false
	}
	delta := Delta{Kind: kind, Revision: c.revision, Since: revision, IsSnapshot: revision == 0 || revision < c.horizon}
	if sub != nil {
		if shifts := sub.fitShifts(c.counts); delta.IsSnapshot || !sameShifts(shifts, sub.shifts) {
			delta.IsSnapshot = true
			sub = &subset{node: sub.node, zone: sub.zone, shifts: shifts}
		}
	}
	changes, all := c.log.since(revision)
	switch {
	case delta.IsSnapshot || (!all && sub != nil):
		delta.IsSnapshot = true
		delta.Objects = c.objectsIn(sub)
	case !all:
		delta.Objects = c.scan(revision)
	default:
		delta.Objects = c.latest(changes, sub)
	}
	if sub == nil {
		return delta, nil, true
	}
	return delta, sub.shifts, true
}

// objectsIn lists the objects of a subset.
func (c *collection) objectsIn(sub *subset) []Object {
	var objects []Object
	for _, object := range c.objects {
		if sub.contains(object.Name, object.place) {
			objects = append(objects, object.Object)
		}
	}
	return objects
}

// scan lists the changes after a revision by looking at every object.
func (c *collection) scan(revision uint64) []Object {
	var objects []Object
	for _, object := range c.objects {
		if object.Revision > revision {
			objects = append(objects, object.Object)
		}
	}
	for name, removedAt := range c.tombstones {
		if removedAt > revision {
			objects = append(objects, Object{Name: name, Revision: removedAt, Gone: true})
		}
	}
	return objects
}

// latest returns the present state of changed objects for a subset. An object that left the
// subset becomes a tombstone.
func (c *collection) latest(changes []change, sub *subset) []Object {
	var objects []Object
	seen := make(map[string]bool, len(changes))
	for i := len(changes) - 1; i >= 0; i-- {
		entry := changes[i]
		if seen[entry.name] || !(entry.moved || sub.contains(entry.name, entry.place)) {
			continue
		}
		seen[entry.name] = true
		object, found := c.objects[entry.name]
		switch {
		case found && sub.contains(entry.name, object.place):
			objects = append(objects, object.Object)
		case found:
			objects = append(objects, Object{Name: entry.name, Revision: object.Revision, Gone: true})
		default:
			objects = append(objects, Object{Name: entry.name, Revision: entry.revision, Gone: true})
		}
	}
	return objects
}

// restrictToSubset reduces a delta of all objects to the table's subset. A snapshot also adjusts
// the subset to the number of objects.
func (t *Table) restrictToSubset(delta Delta) (Delta, map[Place]uint8) {
	c := t.collections[delta.Kind]
	if c == nil || c.subset == nil {
		return delta, nil
	}
	sub := c.subset
	if delta.IsSnapshot {
		counts := map[Place]int{}
		for _, object := range delta.Objects {
			counts[c.placeOf(object.Content)]++
		}
		sub = &subset{node: sub.node, zone: sub.zone, shifts: sub.fitShifts(counts)}
	}
	kept := make([]Object, 0, len(delta.Objects))
	for _, object := range delta.Objects {
		_, present := c.objects[object.Name]
		switch {
		case object.Gone || sub.contains(object.Name, c.placeOf(object.Content)):
			kept = append(kept, object)
		case present && !delta.IsSnapshot:
			kept = append(kept, Object{Name: object.Name, Revision: object.Revision, Gone: true})
		}
	}
	delta.Objects = kept
	return delta, sub.shifts
}

// Merge applies a delta and says whether any object changed. A delta that starts after this
// table's revision, or ends before it, is ignored.
func (t *Table) Merge(delta Delta) bool {
	delta, shifts := t.restrictToSubset(delta)
	return t.mergeSubset(delta, shifts)
}

// mergeSubset applies a delta that was computed for the subset with the given shifts, if the
// table keeps a subset.
func (t *Table) mergeSubset(delta Delta, shifts map[Place]uint8) bool {
	c := t.collections[delta.Kind]
	if c == nil || delta.Revision < c.revision || (!delta.IsSnapshot && delta.Since > c.revision) {
		return false
	}
	if c.subset != nil {
		if !delta.IsSnapshot && !sameShifts(shifts, c.subset.shifts) {
			return false // computed for shifts that are out of date
		}
		c.subset.shifts = shifts
	}
	var changed bool
	if delta.IsSnapshot {
		changed = c.replace(delta)
	} else {
		changed = c.applyChanges(delta)
	}
	c.revision = delta.Revision
	return changed
}

func (c *collection) replace(delta Delta) bool {
	changed := false
	// Tombstones don't cover objects that came and went before this snapshot.
	clear(c.tombstones)
	c.horizon = delta.Revision
	listed := make(map[string]bool, len(delta.Objects))
	for _, object := range delta.Objects {
		listed[object.Name] = true
		changed = c.put(object) || changed
	}
	for name := range c.objects {
		if !listed[name] {
			c.drop(name)
			changed = true
		}
	}
	c.log.reset(delta.Revision)
	return changed
}

func (c *collection) applyChanges(delta Delta) bool {
	changed := false
	for _, object := range delta.Objects {
		if !object.Gone {
			changed = c.put(object) || changed
			continue
		}
		present, found := c.objects[object.Name]
		if found && present.Revision > object.Revision {
			continue
		}
		// Keep a tombstone also for unknown objects, as peers may have them.
		c.remove(object.Name, max(object.Revision, c.tombstones[object.Name]))
		changed = changed || found
	}
	return changed
}

// put stores an object unless a newer state of it is known.
func (c *collection) put(object Object) bool {
	present, found := c.objects[object.Name]
	if found && present.Revision >= object.Revision {
		return false
	}
	if removedAt, gone := c.tombstones[object.Name]; gone {
		if removedAt >= object.Revision {
			return false
		}
		delete(c.tombstones, object.Name)
	}
	var place Place
	if c.placeOf != nil {
		place = c.placeOf(object.Content)
	}
	c.drop(object.Name)
	c.objects[object.Name] = placedObject{object, place}
	c.count(place, 1)
	c.log.add(change{revision: object.Revision, name: object.Name, place: place, moved: found && present.place != place})
	return true
}

// drop deletes an object without a tombstone.
func (c *collection) drop(name string) {
	if present, found := c.objects[name]; found {
		c.count(present.place, -1)
		delete(c.objects, name)
	}
}

func (c *collection) count(place Place, sign int) {
	if c.counts == nil {
		return
	}
	if c.counts[place] += sign; c.counts[place] == 0 {
		delete(c.counts, place)
	}
}

func (c *collection) remove(name string, revision uint64) {
	present, found := c.objects[name]
	c.drop(name)
	c.tombstones[name] = revision
	// If the object is unknown here, its place is too: receivers of any subset get the removal.
	c.log.add(change{revision: revision, name: name, place: present.place, moved: !found})
	if len(c.tombstones) > maxTombstones {
		clear(c.tombstones)
		c.horizon = revision
	}
}
