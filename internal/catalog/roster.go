package catalog

import (
	"slices"
	"strings"
)

// Entry is the entry of an engine instance in the platform's store.
type Entry struct {
	Instance string
	// Engine is nil if the entry is invalid or from a foreign writer.
	Engine *Engine
}

// Roster maintains the list of engines incrementally, so that a changed entry does not
// require decoding all others. It does no I/O and is not safe for concurrent use.
type Roster struct {
	entries    []Entry // in order of instance
	withStart  int     // engines with a start time
	withEngine int     // entries with an engine
	// mostWithStart is how many engines with a start time were listed at once since entries need
	// one; 0 while they don't.
	mostWithStart int
}

// NewRoster returns an empty roster.
func NewRoster() *Roster { return &Roster{} }

// Put adds or replaces an entry. It ignores an entry written late by an earlier incarnation
// of the engine.
func (r *Roster) Put(entry Entry) {
	at, found := r.find(entry.Instance)
	if !found {
		r.addCounts(entry.Engine, 1)
		r.entries = slices.Insert(r.entries, at, entry)
		return
	}
	previous := r.entries[at].Engine
	if previous != nil && entry.Engine != nil && entry.Engine.Started.Before(previous.Started) {
		return
	}
	r.addCounts(previous, -1)
	r.addCounts(entry.Engine, 1)
	r.entries[at] = entry
}

// Remove removes the entry of an instance.
func (r *Roster) Remove(instance string) {
	if at, found := r.find(instance); found {
		r.addCounts(r.entries[at].Engine, -1)
		r.entries = slices.Delete(r.entries, at, at+1)
	}
}

// Has reports whether there is an entry of an instance.
func (r *Roster) Has(instance string) bool {
	_, found := r.find(instance)
	return found
}

// KeepOnly removes the entries of all other instances.
func (r *Roster) KeepOnly(instances map[string]bool) {
	r.entries = slices.DeleteFunc(r.entries, func(entry Entry) bool {
		if instances[entry.Instance] {
			return false
		}
		r.addCounts(entry.Engine, -1)
		return true
	})
}

func (r *Roster) find(instance string) (at int, found bool) {
	return slices.BinarySearchFunc(r.entries, instance, func(entry Entry, wanted string) int {
		return strings.Compare(entry.Instance, wanted)
	})
}

func (r *Roster) addCounts(engine *Engine, sign int) {
	if engine == nil {
		return
	}
	r.withEngine += sign
	if !engine.Started.IsZero() {
		r.withStart += sign
	}
}

// Unusable returns the number of entries without a usable engine.
func (r *Roster) Unusable() int { return len(r.entries) - len(r.Engines()) }

// Engines returns the engines in order of instance. Where entries need a start time, those without
// one are from a foreign writer and left out.
func (r *Roster) Engines() []Engine {
	startRequired := r.startRequired()
	engines := make([]Engine, 0, r.withEngine)
	for _, entry := range r.entries {
		if entry.Engine != nil && !(startRequired && entry.Engine.Started.IsZero()) {
			engines = append(engines, *entry.Engine)
		}
	}
	return engines
}

// startRequired reports whether entries need a start time. They do once most have one, and still do
// when most engines were removed: until as many lack it as have it, and more than half as many as
// ever had it at once.
func (r *Roster) startRequired() bool {
	withoutStart := r.withEngine - r.withStart
	switch {
	case r.withStart > withoutStart:
		r.mostWithStart = max(r.mostWithStart, r.withStart)
	case 2*withoutStart > r.mostWithStart:
		r.mostWithStart = 0
	}
	return r.mostWithStart > 0
}
