package dissemination

import (
	"encoding/binary"
	"maps"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/settings"
)

// BucketCount is the number of buckets that two nodes compare by digest. A bucket
// holds the entries whose names hash to its number.
const BucketCount = 256

// Entry is a stored object or a tombstone, which tells a deleted entry from one
// that was lost. A deleted entry without Spec removes the tombstone as well. The
// content of Spec is opaque here.
type Entry struct {
	Name     string
	Revision uint64
	Deleted  bool
	Spec     []byte
}

// hash identifies an entry's name, revision and content.
func (e *Entry) hash() uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(e.Name)
	_, _ = digest.Write(binary.BigEndian.AppendUint64([]byte{bit(e.Deleted)}, e.Revision))
	_, _ = digest.Write(e.Spec)
	return digest.Sum64()
}

// Purged reports whether the entry removes even the tombstone.
func (e *Entry) Purged() bool { return e.Deleted && len(e.Spec) == 0 }

func (e *Entry) size() int { return len(e.Name) + len(e.Spec) + entryOverhead }

// entryOverhead is the number of bytes of an encoded entry besides its
// name and content.
const entryOverhead = 8 + 1 + 2 + 4

// bucketOf returns the bucket of a name.
func bucketOf(name string) uint8 { return uint8(xxhash.Sum64String(name)) }

// State is the content of the tree at one version.
type State struct {
	version settings.Version
	// known is false until the first version, which may be zero.
	known   bool
	entries [BucketCount]map[string]Entry
	digests [BucketCount]uint64
	// newest is the entry of the newest change; its name is empty if
	// that was purged. Probes of the store are compared with it.
	newest Entry
}

// NewState returns a State at version that holds entries.
func NewState(version settings.Version, entries []Entry) *State {
	state := &State{version: version, known: true}
	for _, entry := range entries {
		state.put(entry)
	}
	state.findNewest()
	return state
}

// Version returns the state's version; false before the first.
func (s *State) Version() (settings.Version, bool) { return s.version, s.known }

// Each visits the entries, tombstones included, in no particular order.
func (s *State) Each(visit func(Entry)) {
	for _, bucket := range s.entries {
		for _, entry := range bucket {
			visit(entry)
		}
	}
}

// all returns the entries.
func (s *State) all() []Entry {
	var entries []Entry
	s.Each(func(entry Entry) { entries = append(entries, entry) })
	return entries
}

func (s *State) get(name string) (Entry, bool) {
	entry, present := s.entries[bucketOf(name)][name]
	return entry, present
}

// digest returns the digest of the whole content.
func (s *State) digest() uint64 {
	var sum uint64
	for _, digest := range s.digests {
		sum ^= digest
	}
	return sum
}

// put replaces or deletes one entry.
func (s *State) put(entry Entry) {
	number := bucketOf(entry.Name)
	if old, present := s.entries[number][entry.Name]; present {
		s.digests[number] ^= old.hash()
		delete(s.entries[number], entry.Name)
	}
	if entry.Purged() {
		return
	}
	if s.entries[number] == nil {
		s.entries[number] = make(map[string]Entry)
	}
	s.entries[number][entry.Name] = entry
	s.digests[number] ^= entry.hash()
}

// findNewest sets newest from the entries.
func (s *State) findNewest() {
	s.newest = Entry{}
	s.Each(func(entry Entry) {
		if entry.Revision == s.version.Revision() {
			s.newest = entry
		}
	})
}

// accepts reports whether a newer delta is contiguous with this state.
func (s *State) accepts(delta *Delta) bool {
	if !s.known {
		return false
	}
	if delta.Exact {
		return delta.From == s.version
	}
	return delta.From <= s.version && delta.To.Epoch() == s.version.Epoch()
}

// changes lists the entries of a delta that change this state.
func (s *State) changes(delta *Delta) []Entry {
	var changed []Entry
	for _, entry := range delta.Entries {
		if old, present := s.get(entry.Name); present && !delta.Exact && old.Revision >= entry.Revision {
			continue
		}
		changed = append(changed, entry)
	}
	return changed
}

// digestWith returns the digest after changes, which name no entry twice.
func (s *State) digestWith(changes []Entry) uint64 {
	sum := s.digest()
	for i := range changes {
		if old, present := s.get(changes[i].Name); present {
			sum ^= old.hash()
		}
		if !changes[i].Purged() {
			sum ^= changes[i].hash()
		}
	}
	return sum
}

// advance applies changes and moves to version.
func (s *State) advance(version settings.Version, changes []Entry) {
	s.version, s.known = version, true
	s.newest = Entry{}
	for _, entry := range changes {
		s.put(entry)
		if entry.Revision == version.Revision() && !entry.Purged() {
			s.newest = entry
		}
	}
}

// clone copies a state for a pull, whose buckets are then replaced until it
// equals the peer's state.
func (s *State) clone() *State {
	copied := *s
	for number, bucket := range s.entries {
		copied.entries[number] = maps.Clone(bucket)
	}
	return &copied
}

// bucket lists the entries of one bucket.
func (s *State) bucket(number uint8) []Entry {
	entries := make([]Entry, 0, len(s.entries[number]))
	for _, entry := range s.entries[number] {
		entries = append(entries, entry)
	}
	return entries
}

// replaceBucket makes a bucket hold exactly these entries.
func (s *State) replaceBucket(bucket Bucket) {
	s.entries[bucket.Number] = nil
	s.digests[bucket.Number] = 0
	for _, entry := range bucket.Entries {
		if bucketOf(entry.Name) == bucket.Number {
			s.put(entry)
		}
	}
}

// difference returns the changes that lead from s to other.
func (s *State) difference(other *State) []Entry {
	var changed []Entry
	other.Each(func(entry Entry) {
		old, present := s.get(entry.Name)
		if !present || old.Revision != entry.Revision || old.hash() != entry.hash() {
			changed = append(changed, entry)
		}
	})
	s.Each(func(entry Entry) {
		if _, present := other.get(entry.Name); !present {
			changed = append(changed, Entry{Name: entry.Name, Revision: other.version.Revision(), Deleted: true})
		}
	})
	return changed
}

// precedes reports whether other, of the same epoch, is a later state of the same
// history. If not, it returns the name of a conflicting entry: one of s that
// other lacks or holds at an older revision, or one of other that is not newer
// than s.version and differs in s. Other may lack a tombstone, because those are
// purged eventually; it may not hold one that was purged before s.version.
func (s *State) precedes(other *State) (string, bool) {
	name, ok := "", true
	s.Each(func(entry Entry) {
		found, present := other.get(entry.Name)
		if !present && !entry.Deleted || present && found.Revision < entry.Revision {
			name, ok = entry.Name, false
		}
	})
	other.Each(func(entry Entry) {
		if entry.Revision > s.version.Revision() {
			return
		}
		own, present := s.get(entry.Name)
		if !present || own.hash() != entry.hash() {
			name, ok = entry.Name, false
		}
	})
	return name, ok
}
