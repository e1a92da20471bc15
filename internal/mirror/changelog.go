package mirror

import (
	"slices"
	"sort"
)

// logMost bounds the changes that a collection remembers in order.
const logMost = 4096

// change is an object's change, or its removal, at a revision.
type change struct {
	revision uint64
	name     string
	place    Place
	// moved says that the object was at another place before.
	moved bool
}

// changeLog holds the changes of a collection by revision, so that what changed lately is
// found without a look at each object.
type changeLog struct {
	// from is the revision after which all changes are there.
	from    uint64
	changes []change
}

func (l *changeLog) reset(from uint64) { l.from, l.changes = from, nil }

func (l *changeLog) add(news change) {
	at := len(l.changes)
	if at > 0 && l.changes[at-1].revision > news.revision {
		at = sort.Search(at, func(i int) bool { return l.changes[i].revision > news.revision })
	}
	l.changes = slices.Insert(l.changes, at, news)
	if len(l.changes) > logMost {
		half := len(l.changes) / 2
		l.from = l.changes[half-1].revision
		l.changes = slices.Delete(l.changes, 0, half)
	}
}

// since lists the changes after a revision; false if some may have been forgotten.
func (l *changeLog) since(revision uint64) ([]change, bool) {
	if revision < l.from {
		return nil, false
	}
	at := sort.Search(len(l.changes), func(i int) bool { return l.changes[i].revision > revision })
	return l.changes[at:], true
}
