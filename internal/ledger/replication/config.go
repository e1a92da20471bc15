package replication

import (
	"errors"
	"time"
)

// Defaults of Config.
const (
	DefaultElectionTimeout     = 600 * time.Millisecond
	DefaultHeartbeatInterval   = 150 * time.Millisecond
	DefaultWriteTimeout        = 1 * time.Second
	DefaultSnapshotRetry       = 10 * time.Second
	DefaultMaxMessageBytes     = 1 << 20
	DefaultMaxInflightBytes    = 8 << 20
	DefaultMaxUncommittedBytes = 64 << 20
	DefaultMaxApplyBytes       = 8 << 20
	DefaultCacheBytes          = 4 << 20
)

// MaxEntryBytes bounds the data of one proposal.
const MaxEntryBytes = 16 << 20

// Config is what New needs. Zero durations and limits take the defaults.
type Config struct {
	ID      ReplicaID
	Shard   uint32
	Storage Storage
	// Seed of the election timeouts' randomness; must differ by replica.
	Seed uint64

	// ElectionTimeout is how long a follower waits for its leader: at least
	// this, and less than twice this. A leader that has not heard from a
	// quorum for this long steps down.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// WriteTimeout is how long a Ready may be worked on before the replica
	// falls silent, so that a leader with a hanging disk is replaced.
	WriteTimeout time.Duration
	// SnapshotRetry is how long a follower may take over a snapshot before
	// the leader offers it again.
	SnapshotRetry time.Duration

	// MaxMessageBytes bounds the entries of one append (one entry always fits).
	MaxMessageBytes int
	// MaxInflightBytes bounds the unconfirmed appends to one follower.
	MaxInflightBytes int
	// MaxUncommittedBytes bounds proposals that are not committed yet; beyond
	// it Propose refuses.
	MaxUncommittedBytes int
	// MaxApplyBytes bounds Ready.CommittedEntries.
	MaxApplyBytes int
	// CacheBytes bounds the persisted and applied entries kept in memory for
	// followers that are slightly behind.
	CacheBytes int
}

func (c Config) withDefaults() Config {
	setDefault(&c.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.WriteTimeout, DefaultWriteTimeout)
	setDefault(&c.SnapshotRetry, DefaultSnapshotRetry)
	setDefault(&c.MaxMessageBytes, DefaultMaxMessageBytes)
	setDefault(&c.MaxInflightBytes, DefaultMaxInflightBytes)
	setDefault(&c.MaxUncommittedBytes, DefaultMaxUncommittedBytes)
	setDefault(&c.MaxApplyBytes, DefaultMaxApplyBytes)
	setDefault(&c.CacheBytes, DefaultCacheBytes)
	return c
}

func setDefault[T comparable](value *T, byDefault T) {
	var zero T
	if *value == zero {
		*value = byDefault
	}
}

func (c Config) validate() error {
	switch {
	case c.ID == 0:
		return errors.New("replication: a replica needs an identity")
	case c.Storage == nil:
		return errors.New("replication: a replica needs a storage")
	case c.HeartbeatInterval >= c.ElectionTimeout:
		return errors.New("replication: the heartbeat interval must be below the election timeout")
	}
	return nil
}
