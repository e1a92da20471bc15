package replication

import "errors"

// Errors that a Storage returns; any other error is taken for a failing disk
// and stops the replica.
var (
	// ErrCompacted says that the log no longer holds the index.
	ErrCompacted = errors.New("replication: the log is compacted past this index")
	// ErrUnavailable says that the log does not yet hold the index.
	ErrUnavailable = errors.New("replication: the log ends before this index")
)

// Storage reads what the shell has persisted. The replica reads from within
// its own methods; the shell writes at Ready and may compact at any time
// between two calls, but never past the applied index.
type Storage interface {
	// HardState returns the last one written; zero for a new replica.
	HardState() (HardState, error)
	// Snapshot returns the marker of the applied state: what a follower that
	// is too far behind would be sent now. Zero for a new replica.
	Snapshot() (SnapshotMarker, error)
	// FirstIndex is the first entry held; the term of FirstIndex-1 must be
	// known too.
	FirstIndex() (uint64, error)
	// LastIndex is the last entry held, FirstIndex-1 when there is none.
	LastIndex() (uint64, error)
	// Term returns the term of the entry at index.
	Term(index uint64) (uint64, error)
	// Entries returns from ≤ index < to, fewer if their data would exceed
	// maxBytes, but at least one.
	Entries(from, to uint64, maxBytes int) ([]Entry, error)
}
