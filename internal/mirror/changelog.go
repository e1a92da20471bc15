package mirror

import (
	"slices"
	"sort"
)

// maxLoggedChanges bounds a collection's change log.
const maxLoggedChanges = 4096

// change is an update or removal of an object at a revision.
type change struct {
	revision uint64
	name     string
	place    Place
	// moved says that the object was at another place before, or that its place is unknown.
	moved bool
}

// changeLog holds a collection's changes by revision, so that recent ones are found without
// scanning all objects.
type changeLog struct {
	// from is the revision after which the log is complete.
	from    uint64
	changes []change
}

func (l *changeLog) reset(from uint64) { l.from, l.changes = from, nil }

func (l *changeLog) add(entry change) {
	i := len(l.changes)
	if i > 0 && l.changes[i-1].revision > entry.revision {
		i = sort.Search(i, func(i int) bool { return l.changes[i].revision > entry.revision })
	}
	l.changes = slices.Insert(l.changes, i, entry)
	if len(l.changes) > maxLoggedChanges {
		half := len(l.changes) / 2
		l.from = l.changes[half-1].revision
		l.changes = slices.Delete(l.changes, 0, half)
	}
}

// since lists the changes after a revision. It returns false if the log no longer has them all.
func (l *changeLog) since(revision uint64) ([]change, bool) {
	if revision < l.from {
		return nil, false
	}
	first := sort.Search(len(l.changes), func(i int) bool { return l.changes[i].revision > revision })
	return l.changes[first:], true
}
