package batchwork

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"
)

// Concurrent updates share entries, each gets its own entry's error, and run returns only
// after all were answered.
func TestGroupCommitterBatchesUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var mu sync.Mutex
		var entries []int
		refused := errors.New("refused")
		committer := newGroupCommitter(groupDelay, func(_ context.Context, updates []itemUpdate) ([]updateOutcome, error) {
			mu.Lock()
			defer mu.Unlock()
			entries = append(entries, len(updates))
			if updates[0].job == "bad" {
				return nil, refused
			}
			return make([]updateOutcome, len(updates)), nil
		})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); committer.run(ctx) }()
		commit := func(count int, job string, wanted error) {
			var tasks sync.WaitGroup
			for i := range count {
				tasks.Go(func() {
					if err := committer.commit(ctx, itemUpdate{job: job, index: uint32(i), text: []byte("x")}); !errors.Is(err, wanted) {
						t.Errorf("%s: %v", job, err)
					}
				})
			}
			tasks.Wait()
		}
		commit(100, "a", nil)
		commit(3, "bad", refused)
		commit(maxGroupUpdates+1, "b", nil)
		stop()
		<-done
		g.Expect(entries).To(gomega.Equal([]int{100, 3, maxGroupUpdates, 1}))
		g.Expect(committer.commit(ctx, itemUpdate{})).To(gomega.MatchError(context.Canceled))
	})
}
