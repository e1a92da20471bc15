package storage

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/onsi/gomega"
)

// Guards against compactions filling a small disk that is half full of state
// under random keys; logs, replaced tables and compaction output count.
func TestCompactionsLeaveFreeSpaceOnSmallDisk(t *testing.T) {
	g := gomega.NewWithT(t)
	const diskBytes, valueBytes, stateBytes = 47 << 20, 1500, 23 << 20
	store, err := Open(Options{Folder: "ledger", FS: vfs.NewMem(), Reserve: 1, DiskBytes: diskBytes})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	rng := rand.New(rand.NewPCG(1, 2))
	value := make([]byte, valueBytes)
	var maxBytes uint64
	for written := 0; written < stateBytes; written += 50 * valueBytes {
		batch := store.db.NewBatch()
		for i := range 50 {
			for at := 0; at+8 <= len(value); at += 8 {
				binary.LittleEndian.PutUint64(value[at:], rng.Uint64())
			}
			// Like a shard, write each entry to the log and compact the log later.
			entry := binary.BigEndian.AppendUint64([]byte("log/"), uint64(written+i))
			g.Expect(batch.Set(entry, value, nil)).To(gomega.Succeed())
			g.Expect(batch.Set(binary.BigEndian.AppendUint64([]byte("state/"), rng.Uint64()), value, nil)).To(gomega.Succeed())
		}
		if dropped := written - 1<<20; dropped > 0 {
			to := binary.BigEndian.AppendUint64([]byte("log/"), uint64(dropped))
			g.Expect(batch.DeleteRange([]byte("log/"), to, nil)).To(gomega.Succeed())
		}
		g.Expect(store.committer.commit(batch, true)).To(gomega.Succeed())
		maxBytes = max(maxBytes, store.DiskBytes())
		// Let compactions keep up with the writes.
		for store.db.Metrics().Compact.NumInProgress > 0 || store.db.Metrics().Flush.NumInProgress > 0 {
			maxBytes = max(maxBytes, store.DiskBytes())
			time.Sleep(time.Millisecond)
		}
	}
	t.Logf("at most %d KB", maxBytes>>10)
	g.Expect(maxBytes).To(gomega.BeNumerically("<", diskBytes-diskBytes/8))
	g.Expect(store.Close()).To(gomega.Succeed())
}
