// Package local implements a ledger with a single, unreplicated copy of each
// shard in one process, for tests and experiments. It implements ledger.Shard,
// but a lost disk loses the data.
package local

import (
	"context"
	"sync"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/ledger/replication"
	"chutelock.dev/chutelock/internal/ledger/storage"
	"chutelock.dev/chutelock/internal/transport"
)

const (
	// localTerm is the fixed term that Shard.Leading returns.
	localTerm = 1
	// localReplica is the ID of the only replica of each shard.
	localReplica replication.ReplicaID = 1
	// compactInterval is the number of entries between log compactions.
	compactInterval = 1024
)

// Options configures a local ledger.
type Options struct {
	// Folder is the data directory; empty means in memory.
	Folder string
	// Shards is the number of shards; zero means one.
	Shards int
	// Address is the address that Ledger.Leader returns.
	Address transport.Address
	// NewMachine returns the state machine for a shard.
	NewMachine func(ledger.ShardID) ledger.StateMachine
}

// Ledger is a directory whose shards are all in this process.
type Ledger struct {
	address transport.Address
	store   *storage.Store
	shards  []*Shard
}

var _ ledger.Directory = (*Ledger)(nil)

// Open opens or creates the ledger and reloads its state machines.
func Open(options Options) (*Ledger, error) {
	storeOptions := storage.Options{Folder: options.Folder, Reserve: 1}
	if options.Folder == "" {
		storeOptions = storage.Options{Folder: "ledger", FS: vfs.NewMem(), Reserve: 1}
	}
	store, err := storage.Open(storeOptions)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	l := &Ledger{address: options.Address, store: store}
	for id := range ledger.ShardID(max(options.Shards, 1)) {
		shard, err := openShard(store, id, options.NewMachine(id))
		if err != nil {
			_ = store.Close()
			return nil, trace.Wrap(err, "open shard %d", id)
		}
		l.shards = append(l.shards, shard)
	}
	return l, nil
}

// Close closes the underlying store.
func (l *Ledger) Close() error { return l.store.Close() }

// Shards implements ledger.Directory.
func (l *Ledger) Shards() int { return len(l.shards) }

// Leader implements ledger.Directory.
func (l *Ledger) Leader(ledger.ShardID) (transport.Address, bool) { return l.address, true }

// Local implements ledger.Directory.
func (l *Ledger) Local(shard ledger.ShardID) (ledger.Shard, bool) {
	if int(shard) >= len(l.shards) {
		return nil, false
	}
	return l.shards[shard], true
}

// Shard is an unreplicated shard.
type Shard struct {
	disk    *storage.Shard
	machine ledger.StateMachine

	mutex sync.Mutex // held while an entry is applied
}

var _ ledger.Shard = (*Shard)(nil)

func openShard(store *storage.Store, id ledger.ShardID, machine ledger.StateMachine) (*Shard, error) {
	disk, err := store.OpenShard(id)
	if err != nil {
		return nil, err
	}
	if disk.Empty() {
		err := disk.Bootstrap(replication.BootstrapMarker(localReplica), replication.BootstrapState(), nil)
		if err != nil {
			return nil, err
		}
	}
	shard := &Shard{disk: disk, machine: machine}
	err = shard.Read(context.Background(), machine.Reload)
	return shard, trace.Wrap(err, "reload the state machine")
}

// Propose implements ledger.Shard.
func (s *Shard) Propose(ctx context.Context, entry []byte) ([]byte, error) {
	if ctx.Err() != nil {
		return nil, ledger.ErrUnavailable
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	marker, err := s.disk.Snapshot()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	marker.Index++
	return s.apply(marker, entry)
}

func (s *Shard) apply(marker replication.SnapshotMarker, entry []byte) ([]byte, error) {
	logged := []replication.Entry{{Index: marker.Index, Term: marker.Term, Data: entry}}
	hard := replication.HardState{Term: marker.Term, Commit: marker.Index}
	if err := s.disk.Save(&hard, logged, true); err != nil {
		return nil, ledger.ErrUnknownOutcome
	}
	transaction := s.disk.NewTransaction()
	defer transaction.Close()
	answer, err := s.machine.Apply(transaction, marker.Index, entry)
	if err != nil {
		return nil, trace.Wrap(err, "apply entry to shard %d", s.disk.ID())
	}
	answer = append([]byte(nil), answer...)
	if err := s.disk.CommitApplied(transaction, marker, true); err != nil {
		return nil, ledger.ErrUnknownOutcome
	}
	if marker.Index%compactInterval == 0 {
		return answer, trace.Wrap(s.disk.Compact(marker.Index))
	}
	return answer, nil
}

// Read implements ledger.Shard.
func (s *Shard) Read(_ context.Context, query func(ledger.Reader) error) error {
	view, err := s.disk.NewView()
	if err != nil {
		return trace.Wrap(err)
	}
	defer view.Close()
	return query(view)
}

// FollowerRead implements ledger.Shard.
func (s *Shard) FollowerRead(ctx context.Context, query func(ledger.Reader) error) error {
	return s.Read(ctx, query)
}

// Leading implements ledger.Shard.
func (s *Shard) Leading() (bool, uint64) { return true, localTerm }
