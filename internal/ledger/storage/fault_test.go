package storage

import (
	"fmt"
	"path/filepath"
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

func entriesFrom(from, count uint64) []replication.Entry {
	var entries []replication.Entry
	for index := from; index < from+count; index++ {
		data := []byte(strings.Repeat(fmt.Sprint("entry ", index, "; "), 50))
		entries = append(entries, replication.Entry{Index: index, Term: 1, Data: data})
	}
	return entries
}

func openStore(g *gomega.WithT, options Options) (*Store, *Shard) {
	store, err := Open(options)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	shard, err := store.OpenShard(0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return store, shard
}

// Guards against serving damaged data; a discarded folder must come back empty
// with a new incarnation.
func TestOpenRejectsCorruptFolder(t *testing.T) {
	for name, batches := range map[string]uint64{".log": 20, ".log of one block": 3, ".sst": 20} {
		t.Run(name, func(t *testing.T) {
			suffix := name[:4]
			g := gomega.NewWithT(t)
			options := Options{Folder: "ledger", FS: vfs.NewMem(), Reserve: 1}
			store, shard := openStore(g, options)
			incarnation := store.Incarnation()
			for i := range batches {
				g.Expect(shard.Save(nil, entriesFrom(1+i*10, 10), true)).To(gomega.Succeed())
			}
			if suffix == ".sst" { // reopening flushes the log to tables
				g.Expect(store.Close()).To(gomega.Succeed())
				store, _ = openStore(g, options)
			}
			g.Expect(store.Close()).To(gomega.Succeed())
			corruptLargestFile(g, options, suffix)

			store, err := Open(options)
			if err == nil {
				_, err = store.OpenShard(0)
				g.Expect(store.Failure()).To(gomega.MatchError(ErrCorrupt))
				g.Expect(store.Close()).To(gomega.Succeed())
			}
			g.Expect(err).To(gomega.MatchError(ErrCorrupt))
			g.Expect(Discard(options, err)).To(gomega.Succeed())
			store, shard = openStore(g, options)
			defer store.Close()
			g.Expect(shard.Empty()).To(gomega.BeTrue())
			g.Expect(store.Incarnation()).NotTo(gomega.Equal(incarnation))
		})
	}
}

// corruptLargestFile overwrites bytes in the middle of the largest file with the suffix.
func corruptLargestFile(g *gomega.WithT, options Options, suffix string) {
	names, err := options.FS.List(options.Folder)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	largest, size := "", int64(0)
	for _, name := range names {
		info, err := options.FS.Stat(filepath.Join(options.Folder, name))
		if err == nil && strings.HasSuffix(name, suffix) && info.Size() > size {
			largest, size = name, info.Size()
		}
	}
	g.Expect(size).To(gomega.BeNumerically(">", 1000))
	file, err := options.FS.OpenReadWrite(filepath.Join(options.Folder, largest), vfs.WriteCategoryUnspecified)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = file.WriteAt([]byte("damage damage damage"), size/2)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(file.Close()).To(gomega.Succeed())
}

// Guards against writes being acknowledged after a write error, even if the
// disk works again.
func TestWriteErrorFailsStorePermanently(t *testing.T) {
	for name, cause := range map[string]error{"input/output error": syscall.EIO, "no space": syscall.ENOSPC} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var failing atomic.Bool
			inner := vfs.NewCrashableMem()
			faulty := errorfs.Wrap(inner, errorfs.InjectorFunc(func(op errorfs.Op) error {
				if failing.Load() && op.Kind.ReadOrWrite() == errorfs.OpIsWrite {
					return cause
				}
				return nil
			}))
			store, shard := openStore(g, Options{Folder: "ledger", FS: faulty, Reserve: 1})
			g.Expect(shard.Save(nil, entriesFrom(1, 3), true)).To(gomega.Succeed())
			failing.Store(true)
			g.Expect(shard.Save(nil, entriesFrom(4, 1), true)).To(gomega.MatchError(ErrFailed))
			g.Expect(store.Failed()).To(gomega.BeClosed())
			g.Expect(store.Failure()).To(gomega.MatchError(ErrFailed))
			failing.Store(false)
			g.Expect(shard.Save(nil, entriesFrom(4, 1), true)).To(gomega.MatchError(ErrFailed))
			g.Expect(store.Close()).To(gomega.Succeed())

			after := Options{Folder: "ledger", FS: inner.CrashClone(vfs.CrashCloneCfg{}), Reserve: 1}
			store, shard = openStore(g, after)
			defer store.Close()
			last, err := shard.LastIndex()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(last).To(gomega.BeNumerically(">=", 3))
		})
	}
}

// Guards against acknowledging a write that hangs, or blocking its caller after
// it failed.
func TestSaveBlocksUntilHangingDiskFails(t *testing.T) {
	g := gomega.NewWithT(t)
	var hanging atomic.Bool
	release := make(chan struct{})
	faulty := errorfs.Wrap(vfs.NewMem(), errorfs.InjectorFunc(func(op errorfs.Op) error {
		if hanging.Load() && op.Kind.ReadOrWrite() == errorfs.OpIsWrite {
			<-release
			return syscall.EIO
		}
		return nil
	}))
	store, shard := openStore(g, Options{Folder: "ledger", FS: faulty, Reserve: 1})
	hanging.Store(true)
	saved := make(chan error, 1)
	go func() { saved <- shard.Save(nil, entriesFrom(1, 1), true) }()
	g.Consistently(saved, 50*time.Millisecond).ShouldNot(gomega.Receive())
	close(release)
	g.Eventually(saved, 10*time.Second).Should(gomega.Receive(gomega.MatchError(ErrFailed)))
	g.Expect(store.Close()).To(gomega.Succeed())
}

// Guards against small writes failing while the store is full, and against the
// store staying full once space is free.
func TestStoreFullBelowReserve(t *testing.T) {
	g := gomega.NewWithT(t)
	fs := vfs.NewMem()
	fs.TestingSetDiskUsage(vfs.DiskUsage{AvailBytes: 1 << 20, TotalBytes: 1 << 30})
	store, shard := openStore(g, Options{Folder: "ledger", FS: fs, Reserve: 2 << 20})
	defer store.Close()
	g.Expect(store.Full()).To(gomega.BeTrue())
	hard := replication.HardState{Term: 3}
	g.Expect(shard.Save(&hard, nil, true)).To(gomega.Succeed(), "small writes must succeed below the reserve")
	fs.TestingSetDiskUsage(vfs.DiskUsage{AvailBytes: 1 << 29, TotalBytes: 1 << 30})
	g.Eventually(store.Full, 10*time.Second).Should(gomega.BeFalse())
}

// Guards against staging a chunk in which any single byte is damaged.
func TestStagingRejectsDamagedChunk(t *testing.T) {
	g := gomega.NewWithT(t)
	store, shard := openStore(g, Options{Folder: "ledger", FS: vfs.NewMem(), Reserve: 1})
	defer store.Close()
	transaction := shard.NewTransaction()
	g.Expect(transaction.Set([]byte("key"), []byte("value"))).To(gomega.Succeed())
	g.Expect(shard.CommitApplied(transaction, replication.SnapshotMarker{Index: 1, Term: 1}, true)).To(gomega.Succeed())
	view, err := shard.NewView()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer view.Close()
	chunk, err := view.Chunk(nil, 1<<20)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	staging, err := shard.Stage(view.Marker())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for at := range chunk {
		damaged := append([]byte(nil), chunk...)
		damaged[at] ^= 0x01
		g.Expect(staging.Add(damaged)).To(gomega.MatchError(ErrBadChunk), "byte %d", at)
	}
	g.Expect(staging.Add(chunk)).To(gomega.Succeed())
	g.Expect(staging.Complete()).To(gomega.BeTrue())
}
