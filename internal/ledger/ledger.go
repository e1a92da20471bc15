// Package ledger keeps accepted jobs and results on several machines. A shard
// is a majority-replicated log that feeds a state machine; every replica
// applies the same entries in the same order to its own store.
//
// Sub-packages: replication (the pure protocol), storage (the disk), replica
// (the shell that runs both). See docs/design/001-ledger.md.
package ledger

import (
	"context"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/transport"
)

// ShardID names a shard, from 0; those of regions have the highest bit.
type ShardID uint32

const regionalBit ShardID = 1 << 31

// RegionShard is the shard whose replicas lie in a region only. It follows from the
// region's name, so that nodes need not agree on a numbering.
func RegionShard(region string) ShardID {
	return regionalBit | ShardID(xxhash.Sum64String(region)>>33)
}

// Regional says whether the shard is that of a region.
func (id ShardID) Regional() bool { return id&regionalBit != 0 }

// Reader reads a state machine's key space. Values alias storage and are
// valid only until the callback or the transaction ends.
type Reader interface {
	// Get returns nil and false when the key is absent.
	Get(key []byte) ([]byte, bool, error)
	// Scan visits from ≤ key < to in order until visit returns false.
	Scan(from, to []byte, visit func(key, value []byte) (bool, error)) error
}

// Writer writes as part of applying one entry; all of an entry's writes and
// its index become durable together.
type Writer interface {
	Reader
	Set(key, value []byte) error
	Delete(key []byte) error
	DeleteRange(from, to []byte) error
}

// StateMachine is replicated by a shard. Apply must be deterministic: it may
// read neither clock nor randomness; time comes inside entries.
type StateMachine interface {
	// Apply applies one committed entry and returns the proposer's answer. An
	// error means that the store failed, never that the entry was refused:
	// a refusal is an answer.
	Apply(writer Writer, index uint64, entry []byte) ([]byte, error)
	// Reload rebuilds what the machine caches in memory from the store, after
	// a restart or a snapshot.
	Reload(reader Reader) error
}

// Shard is a replica of a shard, as its users on the same node see it.
type Shard interface {
	// Propose commits an entry and returns what Apply answered. It fails with
	// *NotLeaderError when another replica leads (the entry was not taken),
	// ErrUnknownOutcome when it may or may not be committed, and
	// ErrUnavailable when it certainly was not taken.
	Propose(ctx context.Context, entry []byte) ([]byte, error)
	// Read runs a query on a state that includes every entry committed before
	// the call (at the leader, after it confirmed that it still leads).
	Read(ctx context.Context, query func(Reader) error) error
	// FollowerRead is Read at any replica: one that doesn't lead asks the leader
	// up to where it has to have applied the log, so that the answer is as new.
	FollowerRead(ctx context.Context, query func(Reader) error) error
	// Leading says whether this replica leads, and its term.
	Leading() (bool, uint64)
}

// Directory finds the leader of any shard.
type Directory interface {
	Shards() int
	// Leader returns the last known leader's address; ok is false when none is.
	Leader(shard ShardID) (transport.Address, bool)
	// Local returns this node's replica of the shard, if it has one.
	Local(shard ShardID) (Shard, bool)
}

// Errors of Propose and Read.
var (
	ErrUnknownOutcome = errors.New("ledger: it is not known whether the entry was committed")
	ErrUnavailable    = errors.New("ledger: the shard has no leader or its disk is failing")
)

// NotLeaderError points to the leader, if known.
type NotLeaderError struct {
	Shard  ShardID
	Leader transport.Address
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("ledger: shard %d is led by %q", e.Shard, e.Leader)
}
