package storage

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/ledger/replication"
)

// refusingDisk is a file system that refuses all writes with a cause once a number of
// them were accepted.
type refusingDisk struct {
	vfs.FS
	accept atomic.Int64 // writes to accept; negative after them
	cause  error
}

const acceptAll = int64(1) << 60

func newRefusingDisk(inner vfs.FS, cause error) *refusingDisk {
	d := &refusingDisk{cause: cause}
	d.accept.Store(acceptAll)
	d.FS = errorfs.Wrap(inner, errorfs.InjectorFunc(func(op errorfs.Op) error {
		switch op.Kind {
		case errorfs.OpRemove, errorfs.OpFileClose, errorfs.OpFilePreallocate:
			return nil
		}
		if op.Kind.ReadOrWrite() == errorfs.OpIsWrite && d.accept.Add(-1) < 0 {
			return d.cause
		}
		return nil
	}))
	return d
}

// ledgerWorkload writes to a shard and records what was acknowledged.
type ledgerWorkload struct {
	shard   *Shard
	last    uint64 // index of the last acknowledged entry
	applied uint64 // index of the last acknowledged applied state
}

// step runs one random write. Entries are large enough for frequent rotations of the log.
func (w *ledgerWorkload) step(random *rand.Rand) error {
	marker, err := w.shard.Snapshot()
	if err != nil {
		return err
	}
	last, err := w.shard.LastIndex()
	if err != nil {
		return err
	}
	switch {
	case last > marker.Index && random.IntN(2) == 0:
		return w.apply(replication.SnapshotMarker{Index: last, Term: 1})
	case random.IntN(8) == 0:
		return w.shard.Compact(marker.Index)
	}
	entry := replication.Entry{Index: last + 1, Term: 1, Data: []byte(strings.Repeat("x", 200<<10))}
	if err := w.shard.Save(nil, []replication.Entry{entry}, true); err != nil {
		return err
	}
	w.last = last + 1
	return nil
}

func (w *ledgerWorkload) apply(marker replication.SnapshotMarker) error {
	transaction := w.shard.NewTransaction()
	for i := range 4 {
		key := fmt.Appendf(nil, "key %d", i)
		if err := transaction.Set(key, []byte(strings.Repeat("y", 100<<10))); err != nil {
			transaction.Close()
			return err
		}
	}
	if err := w.shard.CommitApplied(transaction, marker, false); err != nil {
		return err
	}
	w.applied = marker.Index
	return nil
}

// reopenOnceWritable closes a failed store and opens its folder again, as soon as the disk allows.
func reopenOnceWritable(g *gomega.WithT, options Options, store *Store) (*Store, *Shard) {
	g.Expect(CheckWritable(options)).To(gomega.Succeed())
	store.Resume()
	g.Expect(store.Close()).To(gomega.Succeed())
	var reopened *Store
	g.Eventually(func() (err error) {
		reopened, err = Open(options)
		return err
	}, 10*time.Second).Should(gomega.Succeed())
	shard, err := reopened.OpenShard(0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return reopened, shard
}

// Guards against a store that stays unusable, or ends its process, after its disk refused
// writes for a while: the log, a rotation of it, a flush or a compaction may meet the refusal.
func TestStoreReopensAfterDiskRefusedWrites(t *testing.T) {
	causes := map[string]error{"no space": syscall.ENOSPC, "quota": syscall.EDQUOT, "file size": syscall.EFBIG, "I/O error": syscall.EIO}
	for name, cause := range causes {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(12) {
				reopenAfterRefusal(t, cause, rand.New(rand.NewPCG(seed, 1)))
			}
		})
	}
}

func reopenAfterRefusal(t *testing.T, cause error, random *rand.Rand) {
	g := gomega.NewWithT(t)
	disk := newRefusingDisk(vfs.Default, cause)
	options := Options{Folder: t.TempDir(), FS: disk, Reserve: 1, DiskBytes: 32 << 20}
	store, shard := openStore(g, options)
	incarnation := store.Incarnation()
	w := &ledgerWorkload{shard: shard}
	for range 2 {
		disk.accept.Store(int64(random.IntN(60)))
		var err error
		for err == nil {
			err = w.step(random)
		}
		g.Expect(err).To(gomega.MatchError(ErrFailed))
		g.Expect(CheckWritable(options)).To(gomega.MatchError(ErrFailed))
		_, err = Open(Options{Folder: options.Folder + "/other", FS: disk, Reserve: 1})
		g.Expect(err).To(gomega.MatchError(ErrFailed), "a store must not be opened, nor block")
		disk.accept.Store(acceptAll)
		store, w.shard = reopenOnceWritable(g, options, store)
		g.Expect(store.Incarnation()).To(gomega.Equal(incarnation))
		w.expectAcknowledged(g)
	}
	for range 20 {
		g.Expect(w.step(random)).To(gomega.Succeed())
	}
	g.Expect(store.Close()).To(gomega.Succeed())
}

// expectAcknowledged checks that the reopened shard has all that was acknowledged.
func (w *ledgerWorkload) expectAcknowledged(g *gomega.WithT) {
	last, err := w.shard.LastIndex()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(last).To(gomega.BeNumerically(">=", w.last))
	first, err := w.shard.FirstIndex()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	if first <= last {
		entries, err := w.shard.Entries(first, last+1, 1<<30)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(entries).To(gomega.HaveLen(int(last - first + 1)))
	}
}

// Guards against files and goroutines that are kept each time a disk was full.
func TestFullDiskLeavesNothingBehind(t *testing.T) {
	g := gomega.NewWithT(t)
	disk := newRefusingDisk(vfs.Default, syscall.ENOSPC)
	options := Options{Folder: t.TempDir(), FS: disk, Reserve: 1, DiskBytes: 32 << 20}
	store, shard := openStore(g, options)
	goroutines, files := runtime.NumGoroutine(), countOpenFiles(g)
	for round := range uint64(20) {
		disk.accept.Store(0)
		last, _ := shard.LastIndex()
		g.Expect(shard.Save(nil, entriesFrom(last+1, 1+round%3), true)).To(gomega.MatchError(ErrFailed))
		disk.accept.Store(acceptAll)
		store, shard = reopenOnceWritable(g, options, store)
	}
	g.Eventually(runtime.NumGoroutine).Should(gomega.BeNumerically("<=", goroutines+2))
	g.Expect(countOpenFiles(g)).To(gomega.BeNumerically("<=", files+2))
	g.Expect(store.Close()).To(gomega.Succeed())
}

func countOpenFiles(g *gomega.WithT) int {
	files, err := os.ReadDir("/proc/self/fd")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return len(files)
}

// Guards against a failed store that changes files of the store that took its place.
func TestFencedFileSystemChangesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	inner := vfs.NewMem()
	guard := newGuardFS(inner, func(error) {})
	file, err := guard.Create("file", vfs.WriteCategoryUnspecified)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	guard.fence()
	done := make(chan error, 3)
	go func() { _, err := file.Write([]byte("late")); done <- err }()
	go func() { done <- guard.Remove("file") }()
	go func() { done <- guard.Rename("file", "other") }()
	g.Consistently(done, 50*time.Millisecond).ShouldNot(gomega.Receive())
	info, err := inner.Stat("file")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(info.Size()).To(gomega.BeZero())
	guard.resume()
	g.Expect(guard.isOpen()).To(gomega.BeFalse())
}

// Guards against a folder that is opened while an operation of the failed store is in progress.
func TestLockKeptWhileOperationInProgress(t *testing.T) {
	g := gomega.NewWithT(t)
	guard := newGuardFS(vfs.Default, func(error) {})
	name := t.TempDir() + "/LOCK"
	_, err := guard.Lock(name)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	release := make(chan struct{})
	started := make(chan struct{})
	go func() {
		_ = guard.write(func() error { close(started); <-release; return nil })
	}()
	<-started
	guard.fence()
	_, err = vfs.Default.Lock(name)
	g.Expect(err).To(gomega.HaveOccurred())
	close(release)
	g.Eventually(func() error {
		lock, err := vfs.Default.Lock(name)
		if err == nil {
			err = lock.Close()
		}
		return err
	}).Should(gomega.Succeed())
}
