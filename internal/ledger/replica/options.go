package replica

import (
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"

	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/ledger/replication"
	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/transport"
)

// Defaults of Options.
const (
	DefaultShards                 = 16
	DefaultCopies                 = 5
	DefaultReplaceAfter           = 60 * time.Second
	DefaultBootstrapWait          = 5 * time.Second
	DefaultSnapshotBytesPerSecond = 32 << 20
	DefaultRetainBytes            = 16 << 20
	defaultTickInterval           = 50 * time.Millisecond
	defaultDirectoryInterval      = time.Second
	defaultRepairInterval         = time.Second
	defaultNoQuorumAfter          = 10 * time.Second
)

// Options configures a node's ledger. Zero durations and sizes select the
// defaults.
type Options struct {
	Sender   transport.Sender
	Receiver transport.Receiver
	Members  membership.Source
	// Store holds the shard directory; if nil, all shards must already exist.
	Store platform.Store
	// Folder is the ledger's directory on disk. A node with an empty Folder holds
	// no replicas and only locates leaders.
	Folder string
	// FS is the file system of Folder; nil means the operating system's.
	FS vfs.FS
	// Reserve is the free disk space in bytes below which writes are refused.
	Reserve uint64
	// LowSpaceThreshold is the free disk space in bytes below which Service.LowSpace returns
	// true; 0 means Reserve.
	LowSpaceThreshold uint64
	// DiskBytes is the size of the disk; 0 means that it is unknown and large.
	DiskBytes uint64
	// Shards and Copies must be equal on all nodes. Shards can't change once the
	// ledger exists.
	Shards int
	Copies int
	// ZoneLosses is the number of simultaneous zone losses to tolerate, 0 or 1. With
	// 1 and at least three zones, no zone holds a majority of a shard's replicas.
	ZoneLosses int
	// Regions lists the regions that may have their own shard, whose replicas stay
	// on nodes of the region; see Service.RequestShards. MinCopies is the minimum number of
	// its replicas; a region with fewer data nodes gets no shard.
	Regions   []string
	MinCopies int
	// NewMachine returns the state machine of a shard.
	NewMachine func(ledger.ShardID) ledger.StateMachine
	// Registry registers the metrics; nil disables them.
	Registry prometheus.Registerer

	// ReplaceAfter is how long a replica must be silent before it is replaced.
	ReplaceAfter time.Duration
	// BootstrapWait is how long the number of data nodes must be stable before
	// shards are placed on fewer than Copies nodes.
	BootstrapWait time.Duration
	// SnapshotBytesPerSecond limits the rate at which this node sends snapshots.
	SnapshotBytesPerSecond int
	// RetainBytes is the log size that each shard keeps for slow followers.
	RetainBytes       uint64
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	TickInterval      time.Duration
	DirectoryInterval time.Duration
	RepairInterval    time.Duration
	// ReplaceLeaving also replaces replicas on nodes that are leaving the
	// membership, since their disks are lost with them.
	ReplaceLeaving bool
	// NoQuorumAfter is how long a shard must be without a leader before it is reported.
	NoQuorumAfter time.Duration
}

func (o Options) withDefaults() Options {
	setDefault(&o.Shards, DefaultShards)
	setDefault(&o.Copies, DefaultCopies)
	setDefault(&o.ReplaceAfter, DefaultReplaceAfter)
	setDefault(&o.BootstrapWait, DefaultBootstrapWait)
	setDefault(&o.SnapshotBytesPerSecond, DefaultSnapshotBytesPerSecond)
	setDefault(&o.RetainBytes, DefaultRetainBytes)
	setDefault(&o.ElectionTimeout, replication.DefaultElectionTimeout)
	setDefault(&o.HeartbeatInterval, replication.DefaultHeartbeatInterval)
	setDefault(&o.TickInterval, defaultTickInterval)
	setDefault(&o.DirectoryInterval, defaultDirectoryInterval)
	setDefault(&o.RepairInterval, defaultRepairInterval)
	setDefault(&o.NoQuorumAfter, defaultNoQuorumAfter)
	return o
}

func (o Options) placementPolicy() placementPolicy {
	return placementPolicy{copies: o.Copies, zoneLosses: o.ZoneLosses}
}

func setDefault[T comparable](value *T, byDefault T) {
	var zero T
	if *value == zero {
		*value = byDefault
	}
}

func (o Options) validate() error {
	switch {
	case o.Sender == nil || o.Receiver == nil || o.Members == nil:
		return trace.BadParameter("the ledger needs a transport and a membership")
	case o.Folder != "" && o.NewMachine == nil:
		return trace.BadParameter("a node with a ledger folder needs a state machine")
	case o.ZoneLosses < 0 || o.ZoneLosses > 1:
		return trace.BadParameter("zone losses must be 0 or 1, not %d", o.ZoneLosses)
	case hasShardCollision(o.Regions):
		return trace.BadParameter("two of the regions %v map to the same shard ID; rename one", o.Regions)
	case o.Copies%2 == 0:
		return trace.BadParameter("the number of copies must be odd, not %d", o.Copies)
	}
	return nil
}
