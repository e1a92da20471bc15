package replica

import (
	"context"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/ledger/replication"
	"chutelock.dev/chutelock/internal/ledger/storage"
)

// lockedRecorder is a recorder that can be read beside Reload.
type lockedRecorder struct {
	mutex sync.Mutex
	recorder
}

func (m *lockedRecorder) Reload(reader ledger.Reader) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.recorder.Reload(reader)
}

func (m *lockedRecorder) applied() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.count
}

// hangingSync is a file system whose syncs hang, once armed, after the first.
type hangingSync struct {
	armed   atomic.Bool
	syncs   atomic.Int32
	hanging chan struct{} // closed when a sync hangs
	release chan struct{}
}

func (h *hangingSync) inject(op errorfs.Op) error {
	switch op.Kind {
	case errorfs.OpFileSync, errorfs.OpFileSyncData, errorfs.OpFileSyncTo:
	default:
		return nil
	}
	if h.armed.Load() && h.syncs.Add(1) == 2 {
		close(h.hanging)
		<-h.release
	}
	return nil
}

// stageCount stages a snapshot of a recorder that has applied count entries.
func stageCount(g *gomega.WithT, from, to *storage.Shard, count uint64) *storage.Staging {
	marker := replication.BootstrapMarker(1, 2, 3)
	g.Expect(from.Bootstrap(marker, replication.HardState{Term: 1}, nil)).To(gomega.Succeed())
	transaction := from.NewTransaction()
	defer transaction.Close()
	g.Expect(transaction.Set(countKey, binary.BigEndian.AppendUint64(nil, count))).To(gomega.Succeed())
	marker.Index, marker.Term = count, 1
	g.Expect(from.CommitApplied(transaction, marker, true)).To(gomega.Succeed())
	view, err := from.NewView()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer view.Close()
	staging, err := to.Stage(marker)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for !staging.Complete() {
		chunk, err := view.Chunk(staging.After(), 1<<10)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(staging.Add(chunk)).To(gomega.Succeed())
	}
	return staging
}

// Guards against answering a read from a state machine that is older than the store, as one
// that doesn't know an acknowledged job yet.
func TestReadDuringSnapshotInstallSeesOneState(t *testing.T) {
	g := gomega.NewWithT(t)
	syncs := &hangingSync{hanging: make(chan struct{}), release: make(chan struct{})}
	store, err := storage.Open(storage.Options{Folder: "ledger", FS: errorfs.Wrap(vfs.NewMem(), errorfs.InjectorFunc(syncs.inject))})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { g.Expect(store.Close()).To(gomega.Succeed()) }()
	release := sync.OnceFunc(func() { close(syncs.release) })
	defer release()
	leader, err := store.OpenShard(0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	disk, err := store.OpenShard(1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	const count = 5
	machine := &lockedRecorder{}
	shard := &Shard{id: 1, machine: machine, disk: disk, staged: stageCount(g, leader, disk, count)}
	marker := shard.staged.Marker()
	ready := replication.Ready{
		Snapshot: &marker, HardState: &replication.HardState{Term: 1, Commit: count},
		Entries: []replication.Entry{{Index: count + 1, Term: 1}},
	}

	syncs.armed.Store(true)
	installed := make(chan error, 1)
	go func() { installed <- shard.install(ready) }()
	g.Eventually(syncs.hanging, 10*time.Second).Should(gomega.BeClosed())
	var stored, known uint64
	read := make(chan error, 1)
	go func() {
		read <- shard.readAt(context.Background(), count, func(reader ledger.Reader) error {
			value, _, err := reader.Get(countKey)
			stored, known = binary.BigEndian.Uint64(value), machine.applied()
			return err
		})
	}()
	// The read may be refused, but may not wait for the disk.
	g.Eventually(read, 10*time.Second).Should(gomega.Receive(gomega.Or(gomega.BeNil(), gomega.MatchError(ledger.ErrUnavailable))))
	g.Expect(known).To(gomega.Equal(stored), "entries known to the state machine")
	release()
	g.Eventually(installed, 10*time.Second).Should(gomega.Receive(gomega.BeNil()))
	g.Expect(machine.applied()).To(gomega.BeEquivalentTo(count))
	g.Expect(shard.readAt(context.Background(), count, func(ledger.Reader) error { return nil })).To(gomega.Succeed())
}
