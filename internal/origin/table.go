package origin

import (
	"time"
	"unique"

	"chutelock.dev/chutelock/internal/catalog"
)

const (
	// RecordTTL is how long a record is kept at least, unless there are more than MaxRecords; it is
	// dropped before twice that time.
	RecordTTL = 30 * time.Second
	// MaxRecords bounds the records of one generation, of some 100 bytes each. A data node gets
	// 1,400 a second at the target size.
	MaxRecords = 1 << 16
)

// Table holds the releases that began streams. It is not safe for concurrent use.
//
// Records are kept in two generations. A new generation begins after RecordTTL, or when the
// current one is full, and the older one is then dropped as a whole.
type Table struct {
	current, previous map[Key]unique.Handle[catalog.Release]
	since             time.Time // when current began
}

// conflict is recorded instead of a release for a key that came with different ones, as when a
// caller used a request ID twice.
var conflict = unique.Make(catalog.Release{})

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{current: map[Key]unique.Handle[catalog.Release]{}}
}

// Put records the release that began a stream. Records of different releases for the same stream
// make its beginning unknown.
func (t *Table) Put(key Key, release catalog.Release, now time.Time) {
	t.rotate(now)
	handle := unique.Make(release)
	if known, found := t.find(key); found && known != handle {
		handle = conflict
	}
	t.current[key] = handle
}

// Get returns the release that began a stream, or false if that is unknown.
func (t *Table) Get(key Key, now time.Time) (catalog.Release, bool) {
	t.rotate(now)
	handle, found := t.find(key)
	if !found || handle == conflict {
		return catalog.Release{}, false
	}
	return handle.Value(), true
}

// Conflicts reports whether records of different releases came for a stream.
func (t *Table) Conflicts(key Key, now time.Time) bool {
	t.rotate(now)
	handle, found := t.find(key)
	return found && handle == conflict
}

// Len returns the number of records, counting those refreshed in the current generation twice.
func (t *Table) Len() int { return len(t.current) + len(t.previous) }

func (t *Table) find(key Key) (handle unique.Handle[catalog.Release], found bool) {
	if handle, found = t.current[key]; !found {
		handle, found = t.previous[key]
	}
	return handle, found
}

// rotate begins a new generation if one is due.
func (t *Table) rotate(now time.Time) {
	age := now.Sub(t.since)
	if age < RecordTTL && len(t.current) < MaxRecords {
		return
	}
	t.previous = t.current
	if age >= 2*RecordTTL {
		t.previous = nil
	}
	t.current, t.since = map[Key]unique.Handle[catalog.Release]{}, now
}
