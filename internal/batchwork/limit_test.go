package batchwork

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A leader that bears so many runs ends up near that number, from below and
// from above.
func TestTheLimitOfRunsFollowsWhatTheLeaderBears(t *testing.T) {
	for _, bears := range []int{40, 300, 2000} {
		g := gomega.NewWithT(t)
		limit := newRunLimit()
		now := time.Unix(1000, 0)
		lowest, highest := 1<<30, 0
		for range 3000 {
			now = now.Add(40 * time.Millisecond)
			took := 30 * time.Millisecond
			if limit.most > bears {
				took = time.Second
			}
			limit.observe(took, limit.most, now)
			if now.After(time.Unix(1060, 0)) {
				lowest, highest = min(lowest, limit.most), max(highest, limit.most)
			}
		}
		g.Expect(highest).To(gomega.BeNumerically("<=", bears+limitGrowth), "it bears %d", bears)
		g.Expect(lowest).To(gomega.BeNumerically(">=", bears/2), "it bears %d", bears)
	}
}

func TestTheLimitShrinksOnceForEntriesUnderWayTogether(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := newRunLimit()
	now := time.Unix(1000, 0)
	for i := range 10 {
		limit.observe(time.Second, limitStart, now.Add(time.Duration(i)*10*time.Millisecond))
	}
	g.Expect(limit.most).To(gomega.Equal(140))
	for i := range 100 {
		limit.observe(time.Second, limit.most, now.Add(time.Duration(i)*limitPause))
	}
	g.Expect(limit.most).To(gomega.Equal(limitLeast))
}

func TestTheLimitGrowsOnlyWhereItHoldsRunsBack(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := newRunLimit()
	limit.observe(time.Millisecond, limitStart/2, time.Unix(1000, 0))
	g.Expect(limit.most).To(gomega.Equal(limitStart))
	limit.observe(time.Millisecond, limitStart, time.Unix(1000, 0))
	g.Expect(limit.most).To(gomega.Equal(limitStart+limitStart/8), "fast as long as no entry was slow")
	limit.observe(commitSlow, limitStart, time.Unix(1001, 0))
	shrunk := limit.most
	limit.observe(time.Millisecond, shrunk, time.Unix(1002, 0))
	g.Expect(limit.most).To(gomega.Equal(shrunk+limitGrowth), "by steps afterwards")
}

// A new leader is at what it bears within two seconds of entries.
func TestTheLimitOfANewLeaderGrowsFast(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := newRunLimit()
	for i := range 20 {
		limit.observe(50*time.Millisecond, limit.most, time.Unix(1000, 0).Add(time.Duration(i)*100*time.Millisecond))
	}
	g.Expect(limit.most).To(gomega.BeNumerically(">", 1000))
}
