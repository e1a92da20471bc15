package replication

import (
	"errors"
	"time"
)

// Default values for the fields of Config.
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

// MaxEntryBytes is the maximum size of the data in one proposal.
const MaxEntryBytes = 16 << 20

// Config configures a Replica. Zero durations and limits take the defaults.
type Config struct {
	ID      ReplicaID
	Shard   uint32
	Storage Storage
	// Seed seeds the randomized election timeouts and must differ between replicas.
	Seed uint64

	// ElectionTimeout is the minimum time without contact from the leader after
	// which a follower starts an election; the actual timeout is random and
	// below twice this. A leader without contact to a quorum for this long
	// steps down.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// WriteTimeout is the time from Ready to Advance after which Immediate
	// returns no messages, so that a leader with a hung disk is replaced.
	WriteTimeout time.Duration
	// SnapshotRetry is how long the leader waits for a follower to install a
	// snapshot before it resends the MessageSnapshot.
	SnapshotRetry time.Duration

	// MaxMessageBytes limits the entries of one append, which always holds at least one.
	MaxMessageBytes int
	// MaxInflightBytes limits the unacknowledged appends to one follower.
	MaxInflightBytes int
	// MaxUncommittedBytes limits the uncommitted proposals; above it, Propose
	// returns ErrTooManyUncommitted.
	MaxUncommittedBytes int
	// MaxApplyBytes limits Ready.CommittedEntries.
	MaxApplyBytes int
	// CacheBytes limits the persisted and applied entries kept in memory for
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

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

func (c Config) validate() error {
	switch {
	case c.ID == 0:
		return errors.New("replication: replica ID is not set")
	case c.Storage == nil:
		return errors.New("replication: storage is not set")
	case c.HeartbeatInterval >= c.ElectionTimeout:
		return errors.New("replication: heartbeat interval must be less than the election timeout")
	}
	return nil
}
