package batchwork

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"

	"chutelock.dev/chutelock/internal/ledger"
)

// burstEvents is the number of events in each burst of a burstEngine, whose runs pause before
// the events that follow a multiple of it, so that all runs commit at the same events.
const burstEvents = 10

// burstEngine streams events whose data name the run that sent them.
type burstEngine struct {
	*httptest.Server
	events int
	pause  time.Duration

	mutex        sync.Mutex
	resumedAfter []uint64 // by run
}

func newBurstEngine(t *testing.T, events int, pause time.Duration) *burstEngine {
	e := &burstEngine{events: events, pause: pause}
	e.Server = httptest.NewServer(e)
	t.Cleanup(e.Close)
	return e
}

func (e *burstEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.Header.Get("X-After"), 10, 64)
	e.mutex.Lock()
	run := len(e.resumedAfter)
	e.resumedAfter = append(e.resumedAfter, after)
	e.mutex.Unlock()
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	for n := after + 1; n <= uint64(e.events); n++ {
		if n%burstEvents == 1 && n > after+1 {
			select {
			case <-time.After(e.pause):
			case <-r.Context().Done():
				return
			}
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %d %d\n\n", n, run, n); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

func (e *burstEngine) runs() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.resumedAfter)
}

// checkText returns an error unless a text holds all events and is a chain of runs.
func (e *burstEngine) checkText(text []byte) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if got := strings.Count(string(text), "\n") + 1; got != e.events {
		return fmt.Errorf("%d events of %d", got, e.events)
	}
	return checkChain(text, e.resumedAfter)
}

// checkChain returns an error unless a text, whose lines name run and event, holds the events
// in order and each run in it resumed at the event where its part begins.
func checkChain(text []byte, resumedAfter []uint64) error {
	previous := -1
	for i, line := range strings.Split(string(text), "\n") {
		var run, event int
		if _, err := fmt.Sscanf(line, "%d %d", &run, &event); err != nil || event != i+1 {
			return fmt.Errorf("event %d is %q", i+1, line)
		}
		if run != previous && resumedAfter[run] != uint64(i) {
			return fmt.Errorf("after event %d the text continues with a run that resumed after event %d", i, resumedAfter[run])
		}
		previous = run
	}
	return nil
}

// heldShard is a failingShard that may apply entries late or not at all; their outcome is
// unknown to the proposer.
type heldShard struct {
	failingShard
	hold func(entry []byte) bool // nil holds none
	held [][]byte
	// deposed reports that another replica leads; term is of this one's last leadership.
	deposed bool
	term    uint64
}

// Leading implements ledger.Shard.
func (s *heldShard) Leading() (bool, uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.deposed, s.term + 1
}

// setDeposed ends or starts a term; entries proposed meanwhile are lost, their outcome unknown.
func (s *heldShard) setDeposed(deposed bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.deposed, s.held, s.hold = deposed, nil, nil
	if deposed {
		s.term++
		s.hold = func([]byte) bool { return true }
	}
}

func (s *heldShard) Propose(ctx context.Context, entry []byte) ([]byte, error) {
	s.mutex.Lock()
	if s.hold != nil && s.hold(entry) {
		s.held = append(s.held, entry)
		s.mutex.Unlock()
		return nil, ledger.ErrUnknownOutcome
	}
	s.mutex.Unlock()
	return s.failingShard.Propose(ctx, entry)
}

// release applies the held entries.
func (s *heldShard) release() {
	s.mutex.Lock()
	held := s.held
	s.held, s.hold = nil, nil
	s.mutex.Unlock()
	for _, entry := range held {
		_, _ = s.failingShard.Propose(context.Background(), entry)
	}
}

// holdFirstText holds the first entry that advances items.
func holdFirstText() func(entry []byte) bool {
	held := false
	return func(entry []byte) bool {
		var fixed fixedCommand
		if _, err := unmarshal(entry, &fixed, -1); err != nil || fixed.Kind != commandAdvance || held {
			return false
		}
		held = true
		return true
	}
}

// cutWithoutStop abandons the item's run at the executor, which isn't told and goes on.
func (p *runnerAndExecutor) cutWithoutStop() {
	p.runner.mutex.Lock()
	defer p.runner.mutex.Unlock()
	for _, run := range p.runner.runs {
		run.abandon()
	}
}

func (p *runnerAndExecutor) lastEvent() uint64 {
	item, _ := p.shard.machine.item("a", 0)
	return item.lastEvent
}

func (p *runnerAndExecutor) expectTextOf(engine *burstEngine) {
	p.g.Eventually(func() int { return len(p.page().Results) }).Should(gomega.Equal(1))
	result := p.page().Results[0]
	p.g.Expect(result.State).To(gomega.Equal(StateSucceeded))
	p.g.Expect(engine.checkText(result.Text)).To(gomega.Succeed())
}

const (
	burstRunEvents = 60
	burstPause     = 600 * time.Millisecond // longer than commitInterval, so that each burst is committed
)

func TestLateCommitOfFailedRunIsNotContinuedByNextRun(t *testing.T) {
	for name, localRuns := range map[string]int{"leader reads the stream": 1, "executor reads the stream": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			engine := newBurstEngine(t, burstRunEvents, burstPause)
			p := startRunnerAndExecutor(t, engine.Server, localRuns)
			p.shard.hold = holdFirstText()
			p.submit(1)
			p.g.Eventually(engine.runs).Should(gomega.Equal(2))
			p.g.Expect(p.lastEvent()).To(gomega.BeZero())
			p.shard.release()
			p.expectTextOf(engine)
		})
	}
}

func TestSupersededRunDoesNotCommitBehindTextOfItsRival(t *testing.T) {
	t.Parallel()
	engine := newBurstEngine(t, burstRunEvents, burstPause)
	p := startRunnerAndExecutor(t, engine.Server, 0)
	p.submit(1)
	p.g.Eventually(p.lastEvent).Should(gomega.BeEquivalentTo(burstEvents + 1))
	p.cutWithoutStop()
	p.g.Eventually(p.lastEvent).Should(gomega.BeEquivalentTo(2*burstEvents + 1))
	p.g.Expect(engine.runs()).To(gomega.Equal(2), "the rival committed this text")
	// The leader loses the rival's next text with its leadership, and starts no runs at once
	// when it leads again.
	p.runner.mutex.Lock()
	p.runner.options.Settle = 4 * burstPause
	p.runner.mutex.Unlock()
	p.shard.setDeposed(true)
	p.g.Eventually(p.runner.Running).Should(gomega.BeZero())
	p.shard.setDeposed(false)
	p.expectTextOf(engine)
}

func TestRunStartedFromOldStateDoesNotCommitBehindNewerText(t *testing.T) {
	t.Parallel()
	engine := newBurstEngine(t, burstRunEvents, burstPause)
	p := startRunnerAndExecutor(t, engine.Server, 1)
	p.runner.Stop()
	p.submit(1)
	open := p.shard.machine.openItems()
	text := make([]string, 0, burstEvents+1)
	engine.resumedAfter = []uint64{0}
	for n := 1; n <= burstEvents+1; n++ {
		text = append(text, fmt.Sprint("0 ", n))
	}
	update := itemUpdate{job: "a", to: burstEvents + 1, origin: newTextOrigin(catalog.Release{Service: "s"}, 0), text: []byte(strings.Join(text, "\n"))}
	_, err := p.runner.propose(context.Background(), []itemUpdate{update})
	p.g.Expect(err).NotTo(gomega.HaveOccurred())
	p.runner.mutex.Lock()
	p.runner.stopped = false
	p.runner.mutex.Unlock()
	p.runner.launch(context.Background(), p.runner.startOpen(context.Background(), open, time.Now()))
	p.expectTextOf(engine)
	p.g.Expect(engine.resumedAfter).To(gomega.Equal([]uint64{0, burstEvents + 1}), "resumes after the newest text")
}
