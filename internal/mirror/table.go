package mirror

import "sort"

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

// collection is one kind of objects.
type collection struct {
	at      uint64
	objects map[string]Object
	removed map[string]uint64
	// horizon is the revision from which all removals are remembered.
	horizon uint64
}

// Table holds a collection a kind. It is not safe for concurrent use.
type Table struct {
	collections map[string]*collection
}

// NewTable returns a table of empty collections at revision 0.
func NewTable(kinds []string) *Table {
	table := &Table{collections: map[string]*collection{}}
	for _, kind := range kinds {
		table.collections[kind] = &collection{objects: map[string]Object{}, removed: map[string]uint64{}}
	}
	return table
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
		objects = append(objects, object)
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Name < objects[j].Name })
	return objects
}

// Changed says whether any object of the kind changed after the revision, as
// far as this table reaches.
func (t *Table) Changed(kind string, revision uint64) bool {
	c := t.collections[kind]
	if c == nil || c.at <= revision {
		return false
	}
	if revision < c.horizon {
		return true
	}
	for _, object := range c.objects {
		if object.Revision > revision {
			return true
		}
	}
	for _, removedAt := range c.removed {
		if removedAt > revision {
			return true
		}
	}
	return false
}

// Since returns what changed in a kind after the revision, and false when the
// receiver is further than this table or nothing is known. A receiver that is
// as far gets an empty delta.
func (t *Table) Since(kind string, revision uint64) (Delta, bool) {
	c := t.collections[kind]
	if c == nil || c.at == 0 || c.at < revision {
		return Delta{}, false
	}
	delta := Delta{Kind: kind, At: c.at, Since: revision, Whole: revision == 0 || revision < c.horizon}
	for _, object := range c.objects {
		if delta.Whole || object.Revision > revision {
			delta.Objects = append(delta.Objects, object)
		}
	}
	if !delta.Whole {
		for name, removedAt := range c.removed {
			if removedAt > revision {
				delta.Objects = append(delta.Objects, Object{Name: name, Revision: removedAt, Gone: true})
			}
		}
	}
	return delta, true
}

// Merge takes a delta and says whether any object changed. A delta that
// starts later than this table reaches, or that ends earlier, is ignored.
func (t *Table) Merge(delta Delta) bool {
	c := t.collections[delta.Kind]
	if c == nil || delta.At < c.at || (!delta.Whole && delta.Since > c.at) {
		return false
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
			delete(c.objects, name)
			changed = true
		}
	}
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
	if present, found := c.objects[object.Name]; found && present.Revision >= object.Revision {
		return false
	}
	if removedAt, found := c.removed[object.Name]; found {
		if removedAt >= object.Revision {
			return false
		}
		delete(c.removed, object.Name)
	}
	c.objects[object.Name] = object
	return true
}

func (c *collection) remove(name string, revision uint64) {
	delete(c.objects, name)
	c.removed[name] = revision
	if len(c.removed) > removalsKept {
		clear(c.removed)
		c.horizon = revision
	}
}
