package batchwork

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"
)

// Steps that come together are committed in few entries, each is told how its
// own entry went, and the gatherer ends only once all were told.
func TestStepsAreCommittedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var mu sync.Mutex
		var entries []int
		refused := errors.New("refused")
		gatherer := newGatherer(gatherTime, func(_ context.Context, steps []step) error {
			mu.Lock()
			defer mu.Unlock()
			entries = append(entries, len(steps))
			if steps[0].job == "bad" {
				return refused
			}
			return nil
		})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); gatherer.run(ctx) }()
		commit := func(count int, job string, wanted error) {
			var tasks sync.WaitGroup
			for i := range count {
				tasks.Go(func() {
					if err := gatherer.commit(ctx, step{job: job, index: uint32(i), text: []byte("x")}); !errors.Is(err, wanted) {
						t.Errorf("%s: %v", job, err)
					}
				})
			}
			tasks.Wait()
		}
		commit(100, "a", nil)
		commit(3, "bad", refused)
		commit(gatherSteps+1, "b", nil)
		stop()
		<-done
		g.Expect(entries).To(gomega.Equal([]int{100, 3, gatherSteps, 1}))
		g.Expect(gatherer.commit(ctx, step{})).To(gomega.MatchError(context.Canceled))
	})
}
