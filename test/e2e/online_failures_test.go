package e2e

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/standin/truth"
)

// maxDrainDelay is the guaranteed time after the start of an engine's drain
// within which it may still get requests.
const maxDrainDelay = 3 * time.Second

// traffic sends online requests from concurrent callers until it is stopped.
type traffic struct {
	stop        chan struct{}
	callers     sync.WaitGroup
	mutex       sync.Mutex
	completions []completion
}

// startTraffic starts callers that send requests to the nodes in turn, and pause
// briefly after an error.
func startTraffic(d *deployment, callers, tokens int, headers map[string]string) *traffic {
	t := &traffic{stop: make(chan struct{})}
	var next atomic.Int64
	for range callers {
		t.callers.Go(func() {
			for {
				select {
				case <-t.stop:
					return
				default:
				}
				number := next.Add(1)
				n := d.nodes[int(number)%len(d.nodes)]
				c := sendCompletion(n, fmt.Sprintf("online request %d", number), tokens, headers)
				t.mutex.Lock()
				t.completions = append(t.completions, c)
				t.mutex.Unlock()
				if c.status == 0 || c.code != "" {
					sleep(20 * time.Millisecond)
				}
			}
		})
	}
	return t
}

func (t *traffic) stopAndWait() []completion {
	close(t.stop)
	t.callers.Wait()
	return t.completions
}

func countMatching(completions []completion, match func(completion) bool) int {
	matching := 0
	for _, c := range completions {
		if match(c) {
			matching++
		}
	}
	return matching
}

// expectValidCompletions checks completions against the truth logs: the text is the
// request's own, complete if reported so, and a not_run request ran on no engine.
func expectValidCompletions(d *deployment, completions []completion, tokens int) {
	ginkgo.GinkgoHelper()
	ran := map[string]int{}
	for _, entry := range d.truthEntries() {
		if entry.Kind == truth.KindAccepted {
			ran[entry.Request]++
		}
	}
	for _, c := range completions {
		expected := truth.ExpectedText(model, c.prompt, tokens)
		gomega.Expect(strings.HasPrefix(expected, c.text)).To(gomega.BeTrue(), "%q got another text %q", c.prompt, c.text)
		if c.complete {
			gomega.Expect(c.text).To(gomega.Equal(expected), "complete response to %q", c.prompt)
		}
		if c.code == "not_run" {
			gomega.Expect(ran[c.requestID]).To(gomega.BeZero(), "%q ran but was reported as not_run", c.prompt)
		}
	}
}

var _ = ginkgo.Describe("Online requests", func() {
	const tokens = 40

	ginkgo.It("are not interrupted by a rolling restart of every node", func() {
		d := newDeployment(fiveReplicas)
		load := startTraffic(d, 12, tokens, nil)
		for _, n := range d.nodes {
			n.terminate()
			d.startNode(n)
			d.waitNodeReady(n)
		}
		completions := load.stopAndWait()
		expectValidCompletions(d, completions, tokens)
		gomega.Expect(countMatching(completions, func(c completion) bool { return c.correct(tokens) })).To(gomega.BeNumerically(">", 100))
		for _, c := range completions {
			refused := c.status == 0 || c.code == "not_run"
			gomega.Expect(c.correct(tokens) || refused).To(gomega.BeTrue(), "interrupted: %+v", c)
		}
	})

	ginkgo.It("are complete or get an accurate error when engines die and responses are lost, late, duplicated or swapped", func() {
		d := newDeployment(fiveReplicas)
		for i, fault := range []string{
			`{"kind":"lost_answer","probability":0.3,"after_tokens":7}`,
			`{"kind":"crossed","probability":0.3}`,
			`{"kind":"duplicate","probability":0.5}`,
			`{"kind":"late","latency":"30ms","probability":0.3}`,
		} {
			d.injectFault(d.engines[i], fault)
		}
		load := startTraffic(d, 12, tokens, nil)
		sleep(3 * time.Second)
		d.engines[5].kill()
		sleep(5 * time.Second)
		completions := load.stopAndWait()
		expectValidCompletions(d, completions, tokens)
		correct := countMatching(completions, func(c completion) bool { return c.correct(tokens) })
		gomega.Expect(correct).To(gomega.BeNumerically(">=", len(completions)*9/10), "repeatable requests are retried and resumed")
	})

	ginkgo.It("that are not repeatable run at most once", func() {
		d := newDeployment(fiveReplicas)
		for _, engine := range d.engines[:4] {
			d.injectFault(engine, `{"kind":"lost_answer","probability":0.3,"after_tokens":3}`)
		}
		load := startTraffic(d, 8, tokens, map[string]string{"Chutelock-Repeatable": "false"})
		sleep(3 * time.Second)
		d.engines[5].kill()
		d.nodes[4].kill()
		sleep(3 * time.Second)
		completions := load.stopAndWait()
		expectValidCompletions(d, completions, tokens)
		times := map[string]int{}
		for _, entry := range d.truthEntries() {
			if entry.Kind == truth.KindAccepted {
				times[entry.Request]++
				gomega.Expect(times[entry.Request]).To(gomega.Equal(1), entry.Request)
			}
		}
		unknown := countMatching(completions, func(c completion) bool { return c.code == "outcome_unknown" })
		gomega.Expect(unknown).To(gomega.BeNumerically(">", 0), "lost responses are reported as outcome_unknown")
	})

	ginkgo.It("do not reach a draining engine after three seconds, also from a node just started", func() {
		d := newDeployment(fiveReplicas)
		load := startTraffic(d, 12, tokens, nil)
		sleep(2 * time.Second)
		draining := d.engines[0]
		response, err := d.http.R().Post("http://" + draining.Control + "/control/drain")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.IsSuccess()).To(gomega.BeTrue(), response.String())
		drained := time.Now()
		d.nodes[3].kill()
		d.startNode(d.nodes[3])
		d.waitNodeReady(d.nodes[3])
		sleep(6 * time.Second)
		expectValidCompletions(d, load.stopAndWait(), tokens)
		reached, last := 0, time.Time{}
		for _, entry := range d.truthEntries() {
			if entry.Source == draining.name && entry.Kind == truth.KindAccepted {
				reached++
				last = entry.At
			}
		}
		gomega.Expect(reached).To(gomega.BeNumerically(">", 0), "the engine had work before its drain")
		gomega.Expect(last).To(gomega.BeTemporally("<", drained.Add(maxDrainDelay)))
	})
})
