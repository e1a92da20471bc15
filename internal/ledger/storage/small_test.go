package storage

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/onsi/gomega"
)

// A small disk that is half full of state, in keys without order, never holds
// much more than twice that: logs, tables that a compaction replaces, and what
// it writes included.
func TestASmallDiskIsNotFilledByCompactions(t *testing.T) {
	g := gomega.NewWithT(t)
	const diskBytes, valueBytes, stateBytes = 47 << 20, 1500, 23 << 20
	store, err := Open(Options{Folder: "ledger", FS: vfs.NewMem(), Reserve: 1, DiskBytes: diskBytes})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	rng := rand.New(rand.NewPCG(1, 2))
	value := make([]byte, valueBytes)
	var most uint64
	for written := 0; written < stateBytes; written += 50 * valueBytes {
		batch := store.db.NewBatch()
		for i := range 50 {
			for at := 0; at+8 <= len(value); at += 8 {
				binary.LittleEndian.PutUint64(value[at:], rng.Uint64())
			}
			// The log holds an entry first, and drops it when the state has it.
			entry := binary.BigEndian.AppendUint64([]byte("log/"), uint64(written+i))
			g.Expect(batch.Set(entry, value, nil)).To(gomega.Succeed())
			g.Expect(batch.Set(binary.BigEndian.AppendUint64([]byte("state/"), rng.Uint64()), value, nil)).To(gomega.Succeed())
		}
		if dropped := written - 1<<20; dropped > 0 {
			to := binary.BigEndian.AppendUint64([]byte("log/"), uint64(dropped))
			g.Expect(batch.DeleteRange([]byte("log/"), to, nil)).To(gomega.Succeed())
		}
		g.Expect(store.committer.commit(batch, true)).To(gomega.Succeed())
		most = max(most, store.DiskBytes())
		// State grows more slowly than compactions work.
		for store.db.Metrics().Compact.NumInProgress > 0 || store.db.Metrics().Flush.NumInProgress > 0 {
			most = max(most, store.DiskBytes())
			time.Sleep(time.Millisecond)
		}
	}
	t.Logf("at most %d KB", most>>10)
	g.Expect(most).To(gomega.BeNumerically("<", diskBytes-diskBytes/8))
	g.Expect(store.Close()).To(gomega.Succeed())
}
