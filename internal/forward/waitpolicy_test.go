package forward

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var start = time.Unix(1_000_000, 0)

// Refused callers must not return together, or before the running requests have ended.
func TestRetryAfterSpreadBeyondServiceTime(t *testing.T) {
	g := gomega.NewWithT(t)
	meanRun := 600 * time.Millisecond
	for _, test := range []struct {
		waitPolicy
		latest time.Duration
	}{{waitPolicy{arrived: start}, 2 * meanRun}, {waitPolicy{arrived: start, deadline: start.Add(4500 * time.Millisecond)}, 1500 * time.Millisecond}} {
		distinct := map[time.Duration]bool{}
		for i := range 100 {
			delay := test.retryAfter(meanRun, start, float64(i)/100)
			g.Expect(delay).To(gomega.BeNumerically(">=", meanRun))
			g.Expect(delay).To(gomega.BeNumerically("<=", test.latest))
			distinct[delay.Round(meanRun/10)] = true
		}
		g.Expect(len(distinct)).To(gomega.BeNumerically(">=", 8))
	}
}

// A caller that is told to wait for more than a third of its remaining time retries earlier
// than told.
func TestRetryAfterFitsShortDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	policy := waitPolicy{arrived: start, deadline: start.Add(1500 * time.Millisecond)}
	distinct := map[time.Duration]bool{}
	for i := range 100 {
		delay := policy.retryAfter(600*time.Millisecond, start, float64(i)/100)
		g.Expect(delay).To(gomega.BeNumerically("<=", 500*time.Millisecond))
		distinct[delay.Round(25*time.Millisecond)] = true
	}
	g.Expect(len(distinct)).To(gomega.BeNumerically(">=", 8))
	g.Expect(policy.retryAfter(600*time.Millisecond, start.Add(2*time.Second), 0.5)).To(gomega.BeZero())
}

// A request with a target must not wait for a refusal or queue longer than its target allows.
func TestWaitPolicyWithTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	policy := waitPolicy{target: 300 * time.Millisecond, arrived: start, deadline: start.Add(5 * time.Second)}
	g.Expect(policy.waitAtEngine(start)).To(gomega.Equal(300*time.Millisecond - firstEventOverhead))
	g.Expect(policy.waitAtEngine(start.Add(time.Second))).To(gomega.BeZero())
	g.Expect(policy.acquireTimeout(start)).To(gomega.BeZero())
	g.Expect(policy.acquireTimeout(start.Add(time.Second))).To(gomega.BeZero())
}

// A request that may have run waits until shortly before its deadline.
func TestWaitPolicyAfterPossibleRun(t *testing.T) {
	g := gomega.NewWithT(t)
	policy := waitPolicy{target: 300 * time.Millisecond, arrived: start, deadline: start.Add(5 * time.Second), mayHaveRun: true}
	g.Expect(policy.acquireTimeout(start.Add(2 * time.Second))).To(gomega.Equal(maxWaitAfterRun))
	g.Expect(policy.acquireTimeout(start.Add(4500 * time.Millisecond))).To(gomega.Equal(500*time.Millisecond - minAttemptTime))
	g.Expect(policy.acquireTimeout(start.Add(6 * time.Second))).To(gomega.BeZero())
}

// A request without a target waits for maxWaitWithoutTarget after its arrival.
func TestWaitPolicyWithoutTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	policy := waitPolicy{arrived: start}
	g.Expect(policy.waitAtEngine(start)).To(gomega.BeZero())
	g.Expect(policy.acquireTimeout(start)).To(gomega.Equal(maxWaitWithoutTarget))
	g.Expect(policy.acquireTimeout(start.Add(time.Hour))).To(gomega.BeZero())
}
