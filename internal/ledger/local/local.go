// Package local gives a ledger with a single copy of each shard in one
// process: for tests of the ledger's users and for trying things out. It keeps
// the contract of ledger.Shard but survives no loss of its disk.
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
	// localTerm is the term of a shard that never changes its leader.
	localTerm = 1
	// localReplica is the only replica.
	localReplica replication.ReplicaID = 1
	// compactEvery is the number of entries after which the log is dropped.
	compactEvery = 1024
)

// Options of a local ledger.
type Options struct {
	// Folder holds the data; empty means memory.
	Folder string
	// Shards is the number of shards; 0 means 1.
	Shards int
	// Address is what Leader answers.
	Address transport.Address
	// NewMachine makes the state machine of a shard.
	NewMachine func(ledger.ShardID) ledger.StateMachine
}

// Ledger is a directory of shards that all live here.
type Ledger struct {
	address transport.Address
	store   *storage.Store
	shards  []*Shard
}

var _ ledger.Directory = (*Ledger)(nil)

// Open opens the ledger and reloads its machines.
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

// Close closes the ledger.
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

// Shard is a shard with a single copy.
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
	return shard, trace.Wrap(err, "reload the machine")
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
		return nil, trace.Wrap(err, "apply an entry to shard %d", s.disk.ID())
	}
	answer = append([]byte(nil), answer...)
	if err := s.disk.CommitApplied(transaction, marker, true); err != nil {
		return nil, ledger.ErrUnknownOutcome
	}
	if marker.Index%compactEvery == 0 {
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
