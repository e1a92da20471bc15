package replica

import (
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/ledger/replication"
	"chutelock.dev/chutelock/internal/ledger/storage"
)

// Guards against installing an outdated staged snapshot. The shard is stopped so that
// prepareSnapshot starts no fetch.
func TestPrepareSnapshotUsesOnlyCurrentStaging(t *testing.T) {
	for name, test := range map[string]struct {
		committed, staged, offered uint64
		installing                 bool
		passes                     bool
		keeps                      bool
	}{
		"staged newer than commit": {committed: 1, staged: 5, offered: 9, passes: true, keeps: true},
		"staged older than commit": {committed: 7, staged: 5, offered: 9},
		"offer already committed":  {committed: 9, staged: 5, offered: 9, passes: true},
		"installation in progress": {committed: 1, staged: 5, offered: 9, installing: true, keeps: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			store, err := storage.Open(storage.Options{Folder: "ledger", FS: vfs.NewMem()})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { g.Expect(store.Close()).To(gomega.Succeed()) }()
			disk, err := store.OpenShard(0)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			marker := replication.BootstrapMarker(1, 2, 3)
			marker.Index = test.committed
			core, err := replication.New(replication.Config{ID: 1, Storage: replication.NewMemoryStorage(marker)})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			core.Tick(time.Unix(1, 0))
			shard := &Shard{core: core, disk: disk, stopped: true}
			shard.staged, err = disk.Stage(replication.SnapshotMarker{Index: test.staged, Term: 1})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			message := replication.Message{
				Type: replication.MessageSnapshot, From: 2, To: 1, Term: 1,
				Snapshot: replication.SnapshotMarker{Index: test.offered, Term: 1, Configuration: marker.Configuration},
			}
			if test.installing {
				installed := message
				installed.Snapshot.Index = test.staged
				g.Expect(core.Step(installed)).To(gomega.Succeed())
			}
			g.Expect(shard.prepareSnapshot(&message, "")).To(gomega.Equal(test.passes))
			g.Expect(shard.staged != nil).To(gomega.Equal(test.keeps))
		})
	}
}
