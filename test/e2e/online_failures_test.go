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

// leavingBound is how long after an engine said that it is leaving it may
// still be given work, by the promise.
const leavingBound = 3 * time.Second

// traffic sends online requests from several callers until it is stopped.
type traffic struct {
	stop    chan struct{}
	callers sync.WaitGroup
	mutex   sync.Mutex
	answers []answer
}

// startTraffic lets callers ask the nodes in turn; a caller goes to another
// node when one refuses it as not run or can't be reached, as a client with a
// list of nodes does.
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
				a := ask(n, fmt.Sprintf("online request %d", number), tokens, headers)
				t.mutex.Lock()
				t.answers = append(t.answers, a)
				t.mutex.Unlock()
				if a.status == 0 || a.code != "" {
					settle(20 * time.Millisecond)
				}
			}
		})
	}
	return t
}

func (t *traffic) finish() []answer {
	close(t.stop)
	t.callers.Wait()
	return t.answers
}

func count(answers []answer, match func(answer) bool) int {
	matching := 0
	for _, a := range answers {
		if match(a) {
			matching++
		}
	}
	return matching
}

// expectHonest checks answers against the engines' truth: whole and right, or
// an honest error; "not run" only if no engine saw the request.
func expectHonest(d *deployment, answers []answer, tokens int) {
	ginkgo.GinkgoHelper()
	ran := map[string]int{}
	for _, entry := range d.truth() {
		if entry.Kind == truth.KindAccepted {
			ran[entry.Request]++
		}
	}
	for _, a := range answers {
		expected := truth.ExpectedText(model, a.prompt, tokens)
		gomega.Expect(strings.HasPrefix(expected, a.text)).To(gomega.BeTrue(), "%q got foreign text %q", a.prompt, a.text)
		if a.whole {
			gomega.Expect(a.text).To(gomega.Equal(expected), "a whole answer of %q", a.prompt)
		}
		if a.code == "not_run" {
			gomega.Expect(ran[a.requestID]).To(gomega.BeZero(), "%q was said not to have run", a.prompt)
		}
	}
}

var _ = ginkgo.Describe("Online requests", func() {
	const tokens = 40

	ginkgo.It("are not cut by a rolling restart of every node", func() {
		d := newDeployment(fiveCopies)
		load := startTraffic(d, 12, tokens, nil)
		for _, n := range d.nodes {
			n.stop()
			d.startNode(n)
			d.waitNode(n)
		}
		answers := load.finish()
		expectHonest(d, answers, tokens)
		gomega.Expect(count(answers, func(a answer) bool { return a.right(tokens) })).To(gomega.BeNumerically(">", 100))
		for _, a := range answers {
			refused := a.status == 0 || a.code == "not_run"
			gomega.Expect(a.right(tokens) || refused).To(gomega.BeTrue(), "cut: %+v", a)
		}
	})

	ginkgo.It("are whole or honestly refused when engines die and answers are lost, late, doubled or crossed", func() {
		d := newDeployment(fiveCopies)
		for i, fault := range []string{
			`{"kind":"lost_answer","probability":0.3,"after_tokens":7}`,
			`{"kind":"crossed","probability":0.3}`,
			`{"kind":"duplicate","probability":0.5}`,
			`{"kind":"late","latency":"30ms","probability":0.3}`,
		} {
			d.fault(d.engines[i], fault)
		}
		load := startTraffic(d, 12, tokens, nil)
		settle(3 * time.Second)
		d.engines[5].kill()
		settle(5 * time.Second)
		answers := load.finish()
		expectHonest(d, answers, tokens)
		right := count(answers, func(a answer) bool { return a.right(tokens) })
		gomega.Expect(right).To(gomega.BeNumerically(">=", len(answers)*9/10), "repeatable requests are retried and resumed")
	})

	ginkgo.It("that are not repeatable run at most once", func() {
		d := newDeployment(fiveCopies)
		for _, engine := range d.engines[:4] {
			d.fault(engine, `{"kind":"lost_answer","probability":0.3,"after_tokens":3}`)
		}
		load := startTraffic(d, 8, tokens, map[string]string{"Chutelock-Repeatable": "false"})
		settle(3 * time.Second)
		d.engines[5].kill()
		d.nodes[4].kill()
		settle(3 * time.Second)
		answers := load.finish()
		expectHonest(d, answers, tokens)
		times := map[string]int{}
		for _, entry := range d.truth() {
			if entry.Kind == truth.KindAccepted {
				times[entry.Request]++
				gomega.Expect(times[entry.Request]).To(gomega.Equal(1), entry.Request)
			}
		}
		unknown := count(answers, func(a answer) bool { return a.code == "outcome_unknown" })
		gomega.Expect(unknown).To(gomega.BeNumerically(">", 0), "lost answers are told as such")
	})

	ginkgo.It("do not reach a leaving engine after three seconds, also from a node just started", func() {
		d := newDeployment(fiveCopies)
		load := startTraffic(d, 12, tokens, nil)
		settle(2 * time.Second)
		leaving := d.engines[0]
		response, err := d.http.R().Post("http://" + leaving.Control + "/control/drain")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.IsSuccess()).To(gomega.BeTrue(), response.String())
		left := time.Now()
		d.nodes[3].kill()
		d.startNode(d.nodes[3])
		d.waitNode(d.nodes[3])
		settle(6 * time.Second)
		expectHonest(d, load.finish(), tokens)
		reached, last := 0, time.Time{}
		for _, entry := range d.truth() {
			if entry.Source == leaving.name && entry.Kind == truth.KindAccepted {
				reached++
				last = entry.At
			}
		}
		gomega.Expect(reached).To(gomega.BeNumerically(">", 0), "it had work before")
		gomega.Expect(last).To(gomega.BeTemporally("<", left.Add(leavingBound)))
	})
})
