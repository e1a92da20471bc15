package storage

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/ledger/replication"
)

const (
	// powerLossDiskBytes makes memtables small, so that logs are rotated, flushed and
	// compacted all the time.
	powerLossDiskBytes = 64 << 20
	maxPowerLossEntry  = 40_000 // bytes
	powerLossShards    = 3
	// maxSavesBeforeLoss limits the synced writes before the power fails.
	maxSavesBeforeLoss = 150
)

// loadedStore is a store under load whose power fails in the moment after a synced write.
type loadedStore struct {
	fs    *vfs.MemFS
	store *Store

	mutex     sync.Mutex
	durable   [powerLossShards]uint64 // last index of each shard whose write returned
	remaining int                     // writes until the power fails
	crash     vfs.CrashCloneCfg
	crashed   *vfs.MemFS
}

// acknowledge records a synced write and reports whether there is still power.
func (l *loadedStore) acknowledge(shard int, index uint64) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.crashed != nil {
		return false
	}
	l.durable[shard] = index
	if l.remaining--; l.remaining > 0 {
		return true
	}
	l.crashed = l.fs.CrashClone(l.crash)
	return false
}

// write appends entries to a shard, applies and compacts them until the power fails.
func (l *loadedStore) write(shard *Shard, random *rand.Rand) error {
	index, _ := shard.LastIndex()
	for {
		index++
		entry := replication.Entry{Index: index, Term: 1, Data: make([]byte, random.IntN(maxPowerLossEntry))}
		hard := replication.HardState{Term: 1, Commit: index}
		if err := shard.Save(&hard, []replication.Entry{entry}, true); err != nil {
			return err
		}
		if !l.acknowledge(int(shard.ID()), index) {
			return nil
		}
		transaction := shard.NewTransaction()
		if err := transaction.Set([]byte("applied"), []byte(fmt.Sprint(index))); err != nil {
			return err
		}
		if err := shard.CommitApplied(transaction, replication.SnapshotMarker{Index: index, Term: 1}, false); err != nil {
			return err
		}
		if random.IntN(20) == 0 {
			if err := shard.Compact(index - min(index, 5)); err != nil {
				return err
			}
		}
	}
}

// loseDuringLoad loads the store until its power fails, and reopens it from what the disk kept.
func (l *loadedStore) loseDuringLoad(g *gomega.WithT, random *rand.Rand) {
	l.crashed, l.remaining = nil, 1+random.IntN(maxSavesBeforeLoss)
	l.crash = vfs.CrashCloneCfg{
		UnsyncedDataPercent: []int{0, 30, 70, 95}[random.IntN(4)], RNG: rand.New(rand.NewPCG(random.Uint64(), 1)),
	}
	var group sync.WaitGroup
	failures := make([]error, powerLossShards)
	for i := range failures {
		shard, err := l.store.OpenShard(ledger.ShardID(i))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		own := rand.New(rand.NewPCG(random.Uint64(), 1))
		group.Go(func() { failures[i] = l.write(shard, own) })
	}
	group.Wait()
	for _, err := range failures {
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	incarnation := l.store.Incarnation()
	g.Expect(l.store.Close()).To(gomega.Succeed())
	l.fs = l.crashed
	l.open(g)
	g.Expect(l.store.Incarnation()).To(gomega.Equal(incarnation))
	for i, last := range l.durable {
		shard, err := l.store.OpenShard(ledger.ShardID(i))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		found, _ := shard.LastIndex()
		g.Expect(found).To(gomega.BeNumerically(">=", last), "entries of shard %d", i)
		first, _ := shard.FirstIndex()
		applied, _ := shard.Snapshot()
		g.Expect(applied.Index).To(gomega.BeNumerically(">=", first-1), "compacted entries of shard %d", i)
		entries, err := shard.Entries(first, found+1, 1<<30)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(entries).To(gomega.HaveLen(int(found+1-first)), "entries of shard %d", i)
	}
}

func (l *loadedStore) open(g *gomega.WithT) {
	store, err := Open(Options{Folder: "ledger", FS: l.fs, Reserve: 1, DiskBytes: powerLossDiskBytes})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	l.store = store
}

// Guards against losing synced entries, or discarding an intact folder as corrupt, after a power
// loss while logs are rotated, flushed and compacted.
func TestPowerLossDuringFlushesKeepsSyncedEntries(t *testing.T) {
	g := gomega.NewWithT(t)
	losses := 60
	if campaign, err := strconv.Atoi(os.Getenv("CHUTELOCK_CAMPAIGN")); err == nil {
		losses = max(losses, campaign)
	}
	random := rand.New(rand.NewPCG(7, 1))
	l := &loadedStore{fs: vfs.NewCrashableMem()}
	l.open(g)
	for range losses {
		l.loseDuringLoad(g, random)
	}
	defer l.store.Close()
	t.Logf("%d flushes, %d compactions since the last opening", l.store.db.Metrics().Flush.Count, l.store.db.Metrics().Compact.Count)
}
