package replication

import "errors"

// Errors returned by Storage. Any other error is treated as a disk failure and
// stops the replica.
var (
	// ErrCompacted is returned for an index that has been removed from the log.
	ErrCompacted = errors.New("replication: log index is compacted")
	// ErrUnavailable is returned for an index beyond the end of the log.
	ErrUnavailable = errors.New("replication: log index is beyond the end of the log")
)

// Storage reads the state that the caller has persisted. Replica reads it only
// within its own methods. The caller writes when handling a Ready and may
// compact between calls of these methods, but never past the applied index.
type Storage interface {
	// HardState returns the last hard state written, zero for a new replica.
	HardState() (HardState, error)
	// Snapshot returns the marker of the applied state, which a follower too far
	// behind would be sent now. It is zero for a new replica.
	Snapshot() (SnapshotMarker, error)
	// FirstIndex returns the index of the first stored entry. Term must also
	// return the term of FirstIndex-1.
	FirstIndex() (uint64, error)
	// LastIndex returns the last stored index, FirstIndex-1 if there is none.
	LastIndex() (uint64, error)
	// Term returns the term of the entry at index.
	Term(index uint64) (uint64, error)
	// Entries returns the entries with from ≤ index < to, or fewer if their data
	// would exceed maxBytes, but at least one.
	Entries(from, to uint64, maxBytes int) ([]Entry, error)
}
