package storage

import (
	"bytes"
	"fmt"
	"sync"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/onsi/gomega"
)

// Guards against commit failures when large batches, synced and unsynced, are
// written concurrently on a small disk.
func TestCommitLargeBatchesOnSmallDisk(t *testing.T) {
	g := gomega.NewWithT(t)
	store, err := Open(Options{Folder: "ledger", FS: vfs.NewMem(), Reserve: 1, DiskBytes: 47 << 20})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	value := bytes.Repeat([]byte("x"), 100<<10)
	var tasks sync.WaitGroup
	for writer := range 6 {
		tasks.Go(func() {
			for i := range 60 {
				batch := store.db.NewBatch()
				for part := range 1 + (i*7+writer)%14 {
					if err := batch.Set(fmt.Appendf(nil, "%d/%d", writer, part), value, nil); err != nil {
						t.Error(err)
					}
				}
				if i%9 == 0 {
					if err := batch.DeleteRange(fmt.Appendf(nil, "%d/", writer), fmt.Appendf(nil, "%d0", writer), nil); err != nil {
						t.Error(err)
					}
				}
				if err := store.committer.commit(batch, writer%2 == 0); err != nil {
					t.Error(err)
				}
			}
		})
	}
	tasks.Wait()
	g.Expect(store.Close()).To(gomega.Succeed())
}
