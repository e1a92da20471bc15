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

// An executor sends nothing to an engine whose zone it knows to be drained, though its
// leader hasn't heard yet, also when it hears between its two questions; what runs there
// goes on to its end.
func TestAnExecutorSendsNothingToADrainedZone(t *testing.T) {
	p := newPair(t, 40, 20*time.Millisecond)
	p.submit(1)
	p.g.Eventually(p.engine.running).Should(gomega.Equal(1))
	var asked atomic.Int32
	drained := func() bool { return asked.Add(1)%2 == 1 } // yes when it begins, no at the send
	p.usable.Store(&drained)
	_, err := p.shard.Propose(t.Context(), encodeSubmit(laterJob("b", 1)))
	p.g.Expect(err).NotTo(gomega.HaveOccurred())
	p.g.Eventually(asked.Load).Should(gomega.BeNumerically(">=", 8))
	p.expectWhole(1)
	p.g.Expect(p.arrivals()).To(gomega.Equal(1))
	p.usable.Store(nil)
	p.g.Eventually(p.arrivals).Should(gomega.Equal(2), "given back, it gets the other item")
}

// An executor that has not heard yet which zones are drained takes no run, and is not
// asked again at once; the leader runs the items itself.
func TestAnExecutorThatKnowsNothingYetIsPassedOver(t *testing.T) {
	p := newPair(t, 5, time.Millisecond)
	p.knows.Store(false)
	p.submit(3)
	p.expectWhole(3)
	p.g.Expect(p.executor.Running()).To(gomega.BeZero())
	p.g.Expect(p.arrivals()).To(gomega.Equal(3))
	p.runner.mutex.Lock()
	defer p.runner.mutex.Unlock()
	p.g.Expect(p.runner.executors.aside).To(gomega.HaveKey(p.helping.Address()))
}

// A run that isn't sent in the end tells nothing of its engine.
func TestARunThatIsNotSentDoesNotBlameItsEngine(t *testing.T) {
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
	g.Expect(engine.after).To(gomega.BeEmpty())
}

// An item is looked at before a connection is opened, and once more when that stands; an
// engine that may not get it then gets no byte.
func TestAnItemIsLookedAtTwiceBeforeItIsSent(t *testing.T) {
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
		g.Expect(engine.after).To(gomega.BeEmpty())
	}
}

func laterJob(id string, items int) *Job {
	job := testJob(id, items, 0)
	job.Submitted, job.Completion, job.Retention = time.Now(), time.Hour, time.Hour
	return job
}

// arrivals is the number of runs that the engine got.
func (p *pair) arrivals() int {
	p.engine.mutex.Lock()
	defer p.engine.mutex.Unlock()
	return len(p.engine.after)
}
