package mirror

import (
	"slices"
	"sort"
)

// removalsKept bounds the removed names that a collection remembers. A peer
// that is further behind gets the whole collection.
const removalsKept = 4096

// Object is a stored object as the mirror keeps it.
type Object struct {
	Name string
	// Revision is the store's revision of the object's last change.
	Revision uint64
	// Content is the object's encoded body; the mirror does not look into it.
	Content []byte
	// Gone marks a removal; Content is empty then.
	Gone bool
}

// Delta is a change of one collection.
type Delta struct {
	Kind string
	// Whole says that Objects are all there are; else they are changes.
	Whole bool
	// At is the store's revision up to which the receiver is complete with
	// this delta.
	At uint64
	// Since is the revision that the receiver must have reached, unless Whole.
	Since   uint64
	Objects []Object
}

// stored is an object with its place.
type stored struct {
	Object
	place Place
}

// collection is one kind of objects.
type collection struct {
	at      uint64
	objects map[string]stored
	removed map[string]uint64
	// horizon is the revision from which all removals are remembered.
	horizon uint64
	log     changeLog
	// placeOf is the kind's Place, and counts are the objects of each place; nil if all
	// nodes know all objects.
	placeOf func(content []byte) Place
	counts  map[Place]int
	// part is what a node takes of the kind that doesn't take all.
	part *selection
}

// Table holds a collection a kind. It is not safe for concurrent use.
type Table struct {
	collections map[string]*collection
}

// NewTable returns a table of empty collections at revision 0.
func NewTable(kinds []string) *Table {
	table := &Table{collections: map[string]*collection{}}
	for _, kind := range kinds {
		table.collections[kind] = &collection{objects: map[string]stored{}, removed: map[string]uint64{}}
	}
	return table
}

// PlaceBy has the objects of a kind told apart by their places; the table must be empty.
func (t *Table) PlaceBy(kind string, placeOf func(content []byte) Place) {
	c := t.collections[kind]
	c.placeOf, c.counts = placeOf, map[Place]int{}
}

// TakePart has the table keep a part of a kind only; see selection. The table must be empty.
func (t *Table) TakePart(kind, node, zone string) {
	t.collections[kind].part = &selection{node: node, zone: zone}
}

// Partial says whether the table keeps a part of a kind only.
func (t *Table) Partial(kind string) bool {
	c := t.collections[kind]
	return c != nil && c.part.partial()
}

// Part returns the part of a kind that the table keeps; nil if it keeps all.
func (t *Table) Part(kind string) *selection {
	c := t.collections[kind]
	if c == nil || c.part == nil {
		return nil
	}
	part := *c.part
	return &part
}

// At returns the revision up to which the kind is complete; 0 when unknown.
func (t *Table) At(kind string) uint64 {
	if c := t.collections[kind]; c != nil {
		return c.at
	}
	return 0
}

// Objects lists the objects of a kind, by name.
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

// Changed says whether any object of the kind changed after the revision, as
// far as this table reaches.
func (t *Table) Changed(kind string, revision uint64) bool { return t.changedFor(kind, revision, nil) }

// changedFor is Changed for a node that takes a part.
func (t *Table) changedFor(kind string, revision uint64, part *selection) bool {
	c := t.collections[kind]
	if c == nil || c.at <= revision {
		return false
	}
	if part != nil && !sameShifts(part.shifts, part.fit(c.counts)) {
		return true
	}
	changes, all := c.log.since(revision)
	if !all || revision < c.horizon {
		return true
	}
	return slices.ContainsFunc(changes, func(one change) bool { return one.moved || part.has(one.name, one.place) })
}

// Since returns what changed in a kind after the revision, and false when the
// receiver is further than this table or nothing is known. A receiver that is
// as far gets an empty delta.
func (t *Table) Since(kind string, revision uint64) (Delta, bool) {
	delta, _, known := t.sinceFor(kind, revision, nil)
	return delta, known
}

// sinceFor is Since for a node that takes a part, and returns the shifts of the part that
// the delta is of: those that the node has, unless it is whole.
func (t *Table) sinceFor(kind string, revision uint64, part *selection) (Delta, map[Place]uint8, bool) {
	c := t.collections[kind]
	if c == nil || c.at == 0 || c.at < revision {
		return Delta{}, nil, false
	}
	delta := Delta{Kind: kind, At: c.at, Since: revision, Whole: revision == 0 || revision < c.horizon}
	if part != nil {
		if shifts := part.fit(c.counts); delta.Whole || !sameShifts(shifts, part.shifts) {
			delta.Whole = true
			part = &selection{node: part.node, zone: part.zone, shifts: shifts}
		}
	}
	changes, all := c.log.since(revision)
	switch {
	case delta.Whole || (!all && part != nil):
		delta.Whole = true
		delta.Objects = c.selected(part)
	case !all:
		delta.Objects = c.scan(revision)
	default:
		delta.Objects = c.latest(changes, part)
	}
	if part == nil {
		return delta, nil, true
	}
	return delta, part.shifts, true
}

// selected lists the objects of a part.
func (c *collection) selected(part *selection) []Object {
	var objects []Object
	for _, object := range c.objects {
		if part.has(object.Name, object.place) {
			objects = append(objects, object.Object)
		}
	}
	return objects
}

// scan looks at each object for what changed after a revision.
func (c *collection) scan(revision uint64) []Object {
	var objects []Object
	for _, object := range c.objects {
		if object.Revision > revision {
			objects = append(objects, object.Object)
		}
	}
	for name, removedAt := range c.removed {
		if removedAt > revision {
			objects = append(objects, Object{Name: name, Revision: removedAt, Gone: true})
		}
	}
	return objects
}

// latest turns changes into the objects of a part as they are now. One that left the part
// is gone for it.
func (c *collection) latest(changes []change, part *selection) []Object {
	var objects []Object
	told := make(map[string]bool, len(changes))
	for i := len(changes) - 1; i >= 0; i-- {
		one := changes[i]
		if told[one.name] || !(one.moved || part.has(one.name, one.place)) {
			continue
		}
		told[one.name] = true
		object, found := c.objects[one.name]
		switch {
		case found && part.has(one.name, object.place):
			objects = append(objects, object.Object)
		case found:
			objects = append(objects, Object{Name: one.name, Revision: object.Revision, Gone: true})
		default:
			objects = append(objects, Object{Name: one.name, Revision: one.revision, Gone: true})
		}
	}
	return objects
}

// narrow leaves of a delta of all objects what belongs to the table's part. A whole one
// has the part fitted to how many there are.
func (t *Table) narrow(delta Delta) (Delta, map[Place]uint8) {
	c := t.collections[delta.Kind]
	if c == nil || c.part == nil {
		return delta, nil
	}
	part := c.part
	if delta.Whole {
		counts := map[Place]int{}
		for _, object := range delta.Objects {
			counts[c.placeOf(object.Content)]++
		}
		part = &selection{node: part.node, zone: part.zone, shifts: part.fit(counts)}
	}
	kept := make([]Object, 0, len(delta.Objects))
	for _, object := range delta.Objects {
		_, present := c.objects[object.Name]
		switch {
		case object.Gone || part.has(object.Name, c.placeOf(object.Content)):
			kept = append(kept, object)
		case present && !delta.Whole:
			kept = append(kept, Object{Name: object.Name, Revision: object.Revision, Gone: true})
		}
	}
	delta.Objects = kept
	return delta, part.shifts
}

// Merge takes a delta and says whether any object changed. A delta that
// starts later than this table reaches, or that ends earlier, is ignored.
func (t *Table) Merge(delta Delta) bool {
	delta, shifts := t.narrow(delta)
	return t.mergePart(delta, shifts)
}

// mergePart takes a delta that is of the part with the shifts, if the table takes a part.
func (t *Table) mergePart(delta Delta, shifts map[Place]uint8) bool {
	c := t.collections[delta.Kind]
	if c == nil || delta.At < c.at || (!delta.Whole && delta.Since > c.at) {
		return false
	}
	if c.part != nil {
		if !delta.Whole && !sameShifts(shifts, c.part.shifts) {
			return false // of another part than this node takes by now
		}
		c.part.shifts = shifts
	}
	var changed bool
	if delta.Whole {
		changed = c.replace(delta)
	} else {
		changed = c.change(delta)
	}
	c.at = delta.At
	return changed
}

func (c *collection) replace(delta Delta) bool {
	changed := false
	// What came and went before this listing was never seen here.
	clear(c.removed)
	c.horizon = delta.At
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
	c.log.reset(delta.At)
	return changed
}

func (c *collection) change(delta Delta) bool {
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
		// Also what was never seen here is remembered as removed, for peers.
		c.remove(object.Name, max(object.Revision, c.removed[object.Name]))
		changed = changed || found
	}
	return changed
}

// put keeps the newer of two states of an object.
func (c *collection) put(object Object) bool {
	present, found := c.objects[object.Name]
	if found && present.Revision >= object.Revision {
		return false
	}
	if removedAt, gone := c.removed[object.Name]; gone {
		if removedAt >= object.Revision {
			return false
		}
		delete(c.removed, object.Name)
	}
	var place Place
	if c.placeOf != nil {
		place = c.placeOf(object.Content)
	}
	c.drop(object.Name)
	c.objects[object.Name] = stored{object, place}
	c.count(place, 1)
	c.log.add(change{revision: object.Revision, name: object.Name, place: place, moved: found && present.place != place})
	return true
}

// drop takes an object out.
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
	c.removed[name] = revision
	// Who has it at a place that isn't known here is told, too.
	c.log.add(change{revision: revision, name: name, place: present.place, moved: !found})
	if len(c.removed) > removalsKept {
		clear(c.removed)
		c.horizon = revision
	}
}
