package storage

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/pebble/v2"
)

// recordSize is in bytes.
const benchRecordSize = 256

// BenchmarkCommit compares one sync per record with group commit at several
// numbers of concurrent writers, on the real file system.
func BenchmarkCommit(b *testing.B) {
	store, err := Open(Options{Folder: b.TempDir()})
	if err != nil {
		b.Fatal(err)
	}
	defer store.Close()
	record := make([]byte, benchRecordSize)
	var next atomic.Uint64
	newBatch := func() *pebble.Batch {
		batch := store.db.NewBatch()
		if err := batch.Set(logKey(0, next.Add(1)), record, nil); err != nil {
			b.Fatal(err)
		}
		return batch
	}
	b.Run("one sync a record", func(b *testing.B) {
		for range b.N {
			if err := store.db.Apply(newBatch(), pebble.Sync); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	})
	for _, inFlight := range []int{1, 8, 64, 256} {
		b.Run(fmt.Sprintf("in flight %d", inFlight), func(b *testing.B) {
			runParallel(b, inFlight, func() error { return store.committer.commit(newBatch(), true) })
		})
	}
}

// runParallel runs the operation b.N times in total on the goroutines.
func runParallel(b *testing.B, goroutines int, operation func() error) {
	var left atomic.Int64
	left.Store(int64(b.N))
	var group sync.WaitGroup
	for range goroutines {
		group.Add(1)
		go func() {
			defer group.Done()
			for left.Add(-1) >= 0 {
				if err := operation(); err != nil {
					b.Error(err)
					return
				}
			}
		}()
	}
	group.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
}
