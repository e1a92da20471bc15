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

// Options of a node's ledger. The zero values of durations and sizes take the
// defaults.
type Options struct {
	Sender   transport.Sender
	Receiver transport.Receiver
	Members  membership.Source
	// Store holds the shard directory; nil means that shards must exist already.
	Store platform.Store
	// Folder is the ledger's folder; empty means that this node keeps no
	// replica and only finds leaders.
	Folder string
	// FS is the folder's file system; nil means the machine's.
	FS vfs.FS
	// Reserve is the free disk space below which nothing is accepted.
	Reserve uint64
	// LowSpaceThreshold is the free disk space below which LowSpace reports true; 0 means Reserve.
	LowSpaceThreshold uint64
	// DiskBytes is the size of the disk; 0 means large.
	DiskBytes uint64
	// Shards and Copies are the same on all nodes. Shards can't be changed
	// once the ledger exists.
	Shards int
	Copies int
	// ZoneLosses is how many zones may be lost at once, 0 or 1: no zone holds so many
	// of a shard's replicas that the rest is no majority, where there are three zones.
	ZoneLosses int
	// Regions are those that may get a shard of their own, whose replicas lie only on
	// nodes of the region; see Service.Need. LeastCopies is the least number of its
	// replicas: a region with fewer data nodes gets none.
	Regions     []string
	LeastCopies int
	// NewMachine makes the state machine of a shard.
	NewMachine func(ledger.ShardID) ledger.StateMachine
	// Registry takes the metrics; nil means none.
	Registry prometheus.Registerer

	// ReplaceAfter is how long a replica is silent before it is replaced.
	ReplaceAfter time.Duration
	// BootstrapWait is how long the number of data nodes must have stood
	// still before shards are placed on fewer than Copies.
	BootstrapWait time.Duration
	// SnapshotBytesPerSecond bounds what this node sends as snapshots.
	SnapshotBytesPerSecond int
	// RetainBytes is how much of a shard's log is kept for slow followers.
	RetainBytes       uint64
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	TickInterval      time.Duration
	DirectoryInterval time.Duration
	RepairInterval    time.Duration
	// ReplaceLeaving also moves replicas off the nodes that membership says are
	// leaving, for good: their disks go with them.
	ReplaceLeaving bool
	// NoQuorumAfter is how long a shard has no leader before that is an event.
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

func (o Options) aim() aim { return aim{copies: o.Copies, zoneLosses: o.ZoneLosses} }

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
		return trace.BadParameter("the ledger bears the loss of one zone at most, not of %d", o.ZoneLosses)
	case hasDoubles(o.Regions):
		return trace.BadParameter("two of the regions %v are not told apart by the ledger; rename one", o.Regions)
	case o.Copies%2 == 0:
		return trace.BadParameter("the number of copies must be odd, not %d", o.Copies)
	}
	return nil
}
