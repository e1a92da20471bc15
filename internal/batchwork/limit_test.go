package batchwork

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// The limit stays near the leader's capacity, approached from below and from above.
func TestRunLimitConvergesToLeaderCapacity(t *testing.T) {
	for _, capacity := range []int{40, 300, 2000} {
		g := gomega.NewWithT(t)
		limit := newRunLimit()
		now := time.Unix(1000, 0)
		lowest, highest := 1<<30, 0
		for range 3000 {
			now = now.Add(40 * time.Millisecond)
			took := 30 * time.Millisecond
			if limit.maxRuns > capacity {
				took = time.Second
			}
			limit.observe(took, limit.maxRuns, now)
			if now.After(time.Unix(1060, 0)) {
				lowest, highest = min(lowest, limit.maxRuns), max(highest, limit.maxRuns)
			}
		}
		g.Expect(highest).To(gomega.BeNumerically("<=", capacity+limitIncrement), "capacity %d", capacity)
		g.Expect(lowest).To(gomega.BeNumerically(">=", capacity/2), "capacity %d", capacity)
	}
}

func TestRunLimitDecreasesOncePerInterval(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := newRunLimit()
	now := time.Unix(1000, 0)
	for i := range 10 {
		limit.observe(time.Second, initialLimit, now.Add(time.Duration(i)*10*time.Millisecond))
	}
	g.Expect(limit.maxRuns).To(gomega.Equal(140))
	for i := range 100 {
		limit.observe(time.Second, limit.maxRuns, now.Add(time.Duration(i)*decreaseInterval))
	}
	g.Expect(limit.maxRuns).To(gomega.Equal(minLimit))
}

func TestRunLimitGrowsOnlyWhenReached(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := newRunLimit()
	limit.observe(time.Millisecond, initialLimit/2, time.Unix(1000, 0))
	g.Expect(limit.maxRuns).To(gomega.Equal(initialLimit))
	limit.observe(time.Millisecond, initialLimit, time.Unix(1000, 0))
	g.Expect(limit.maxRuns).To(gomega.Equal(initialLimit+initialLimit/8), "grows by a share until the first slow commit")
	limit.observe(slowCommit, initialLimit, time.Unix(1001, 0))
	shrunk := limit.maxRuns
	limit.observe(time.Millisecond, shrunk, time.Unix(1002, 0))
	g.Expect(limit.maxRuns).To(gomega.Equal(shrunk+limitIncrement), "grows by the increment afterwards")
}

// A new leader reaches its capacity within two seconds of commits.
func TestRunLimitGrowsQuicklyAtFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := newRunLimit()
	for i := range 20 {
		limit.observe(50*time.Millisecond, limit.maxRuns, time.Unix(1000, 0).Add(time.Duration(i)*100*time.Millisecond))
	}
	g.Expect(limit.maxRuns).To(gomega.BeNumerically(">", 1000))
}
