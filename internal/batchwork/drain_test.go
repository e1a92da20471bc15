package batchwork

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/upstream"
)

// An executor sends nothing to an engine in a zone that it knows to be drained, even if it
// learns so between its two checks; running items finish.
func TestExecutorSkipsDrainedZone(t *testing.T) {
	p := newRunnerAndExecutor(t, 40, 20*time.Millisecond)
	p.submit(1)
	p.g.Eventually(p.engine.running).Should(gomega.Equal(1))
	var asked atomic.Int32
	drained := func() bool { return asked.Add(1)%2 == 1 } // usable at the first check, not at the second
	p.usable.Store(&drained)
	_, err := p.shard.Propose(t.Context(), encodeSubmit(testJobForAnHour("b", 1)))
	p.g.Expect(err).NotTo(gomega.HaveOccurred())
	p.g.Eventually(asked.Load).Should(gomega.BeNumerically(">=", 8))
	p.expectWhole(1)
	p.g.Expect(p.arrivals()).To(gomega.Equal(1))
	p.usable.Store(nil)
	p.g.Eventually(p.arrivals).Should(gomega.Equal(2), "usable again, it gets the other item")
}

// An executor that doesn't know the drained zones yet gets no runs for a while; the leader
// runs the items itself.
func TestLeaderSkipsExecutorNotReady(t *testing.T) {
	p := newRunnerAndExecutor(t, 5, time.Millisecond)
	p.ready.Store(false)
	p.submit(3)
	p.expectWhole(3)
	p.g.Expect(p.executor.Running()).To(gomega.BeZero())
	p.g.Expect(p.arrivals()).To(gomega.Equal(3))
	p.runner.mutex.Lock()
	defer p.runner.mutex.Unlock()
	p.g.Expect(p.runner.executors.backoffUntil).To(gomega.HaveKey(p.executorNode.Address()))
}

// A run that was never sent reports no outcome for its engine.
func TestUnsentRunReportsNoEngineOutcome(t *testing.T) {
	g := gomega.NewWithT(t)
	engine := newFakeEngine(t, 3, 0)
	asked := 0
	next := &itemRun{
		node: &runNode{
			pool:   upstream.NewPool(testDialect{}),
			usable: func(string, string) bool { asked++; return asked == 1 },
			open:   func(string, uint32) bool { return true },
		},
		item:   openItem{job: "a", host: "h", giveUp: time.Now().Add(time.Hour)},
		engine: catalog.Engine{ID: "e", Service: "s", Address: strings.TrimPrefix(engine.URL, "http://")},
	}
	g.Expect(next.run(t.Context(), &Item{ID: "a-0", Path: "/x"})).To(gomega.Equal(runResult{pause: refusalPause}))
	g.Expect(engine.resumedAfter).To(gomega.BeEmpty())
}

// A run checks the engine before it opens a connection and again before it sends.
func TestRunChecksEngineBeforeDialAndSend(t *testing.T) {
	g := gomega.NewWithT(t)
	for look, opened := range []int64{0, 1} {
		engine := newFakeEngine(t, 3, 0)
		asked := 0
		node := &runNode{
			pool:   upstream.NewPool(testDialect{}),
			usable: func(string, string) bool { asked++; return asked <= look },
			open:   func(string, uint32) bool { return true },
		}
		next := &itemRun{
			node: node, item: openItem{job: "a", host: "h", giveUp: time.Now().Add(time.Hour)},
			engine: catalog.Engine{ID: "e", Service: "s", Address: strings.TrimPrefix(engine.URL, "http://")},
		}
		g.Expect(next.run(t.Context(), &Item{ID: "a-0", Path: "/x"})).To(gomega.Equal(runResult{pause: refusalPause}))
		g.Expect(node.pool.Opened.Load()).To(gomega.BeEquivalentTo(opened))
		g.Expect(engine.resumedAfter).To(gomega.BeEmpty())
	}
}

func testJobForAnHour(id string, items int) *Job {
	job := testJob(id, items, 0)
	job.Submitted, job.Completion, job.Retention = time.Now(), time.Hour, time.Hour
	return job
}

// arrivals is the number of requests that the engine received.
func (p *runnerAndExecutor) arrivals() int {
	p.engine.mutex.Lock()
	defer p.engine.mutex.Unlock()
	return len(p.engine.resumedAfter)
}
