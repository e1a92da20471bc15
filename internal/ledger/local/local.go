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
	"chutelock.dev/chutelock/internal/ledger/storage"
	"chutelock.dev/chutelock/internal/transport"
)

// localTerm is the term of a shard that never changes its leader.
const localTerm = 1

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
	store   *storage.Store
	id      ledger.ShardID
	machine ledger.StateMachine

	mutex   sync.Mutex // held while an entry is applied
	applied uint64
}

var _ ledger.Shard = (*Shard)(nil)

func openShard(store *storage.Store, id ledger.ShardID, machine ledger.StateMachine) (*Shard, error) {
	applied, _, err := store.LoadApplied(id)
	if err != nil {
		return nil, err
	}
	if err := machine.Reload(store.LiveReader(id)); err != nil {
		return nil, trace.Wrap(err, "reload the machine")
	}
	return &Shard{store: store, id: id, machine: machine, applied: applied.Index}, nil
}

// Propose implements ledger.Shard.
func (s *Shard) Propose(ctx context.Context, entry []byte) ([]byte, error) {
	if ctx.Err() != nil {
		return nil, ledger.ErrUnavailable
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	transaction := s.store.NewTransaction(s.id)
	defer transaction.Close()
	answer, err := s.machine.Apply(transaction, s.applied+1, entry)
	if err != nil {
		return nil, trace.Wrap(err, "apply an entry to shard %d", s.id)
	}
	answer = append([]byte(nil), answer...)
	applied := storage.Applied{Index: s.applied + 1, Term: localTerm}
	if err := s.store.CommitApplied(transaction, applied, true); err != nil {
		return nil, ledger.ErrUnknownOutcome
	}
	s.applied++
	return answer, nil
}

// Read implements ledger.Shard.
func (s *Shard) Read(_ context.Context, query func(ledger.Reader) error) error {
	view := s.store.NewView(s.id)
	defer view.Close()
	return query(view)
}

// Leading implements ledger.Shard.
func (s *Shard) Leading() (bool, uint64) { return true, localTerm }
