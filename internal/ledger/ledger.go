// Package ledger replicates accepted jobs and results across machines. A shard
// is a majority-replicated log that feeds a state machine; every replica applies
// the same entries in the same order to its own store.
//
// Sub-packages: replication (the protocol, without I/O), storage (the disk
// store) and replica (runs both on a node). See docs/design/001-ledger.md.
package ledger

import (
	"context"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/transport"
)

// ShardID identifies a shard, from 0; those of regions have the highest bit set.
type ShardID uint32

const regionalBit ShardID = 1 << 31

// RegionShard returns the ID of the shard whose replicas are all in the region. It
// is a hash of the region's name, so that nodes need not agree on a numbering.
func RegionShard(region string) ShardID {
	return regionalBit | ShardID(xxhash.Sum64String(region)>>33)
}

// Regional reports whether the shard belongs to a region.
func (id ShardID) Regional() bool { return id&regionalBit != 0 }

// Reader reads a state machine's key space. Keys and values may alias storage:
// they are valid only until the callback or the transaction ends.
type Reader interface {
	// Get returns nil and false when the key is absent.
	Get(key []byte) ([]byte, bool, error)
	// Scan visits the keys from ≤ key < to in order until visit returns false.
	Scan(from, to []byte, visit func(key, value []byte) (bool, error)) error
}

// Writer makes the writes of one applied entry. They become durable atomically,
// together with the entry's index.
type Writer interface {
	Reader
	Set(key, value []byte) error
	Delete(key []byte) error
	DeleteRange(from, to []byte) error
}

// StateMachine is the state machine of a shard. Apply must be deterministic: it
// must not use the clock or random numbers; entries carry the time.
type StateMachine interface {
	// Apply applies one committed entry and returns the response to its proposer.
	// An error means that the store failed; a rejected entry is a response.
	Apply(writer Writer, index uint64, entry []byte) ([]byte, error)
	// Reload rebuilds the in-memory caches from the store after a restart or an
	// installed snapshot.
	Reload(reader Reader) error
}

// Shard is the interface of a shard's replica to its users on the same node.
type Shard interface {
	// Propose commits an entry and returns the response of Apply. It fails with
	// *NotLeaderError if another replica leads (the entry was not accepted),
	// ErrUnknownOutcome if the entry may or may not be committed, and
	// ErrUnavailable if the entry was certainly not accepted.
	Propose(ctx context.Context, entry []byte) ([]byte, error)
	// Read runs a query on a state that includes every entry committed before the
	// call. Only the leader serves it, after confirming its leadership.
	Read(ctx context.Context, query func(Reader) error) error
	// FollowerRead is like Read but works on any replica: a follower gets the read
	// index from the leader and waits until it has applied the log up to it.
	FollowerRead(ctx context.Context, query func(Reader) error) error
	// Leading reports whether this replica is the leader, and its term.
	Leading() (bool, uint64)
}

// Directory finds the leader of any shard.
type Directory interface {
	Shards() int
	// Leader returns the last known leader's address, and whether one is known.
	Leader(shard ShardID) (transport.Address, bool)
	// Local returns this node's replica of the shard, if it has one.
	Local(shard ShardID) (Shard, bool)
}

// Errors of Propose and Read.
var (
	ErrUnknownOutcome = errors.New("ledger: it is not known whether the entry was committed")
	ErrUnavailable    = errors.New("ledger: the shard has no leader or its disk is failing")
)

// NotLeaderError is returned by replicas that don't lead. Leader may be empty.
type NotLeaderError struct {
	Shard  ShardID
	Leader transport.Address
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("ledger: shard %d is led by %q", e.Shard, e.Leader)
}
