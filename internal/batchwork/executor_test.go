package batchwork

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/transport"
	"chutelock.dev/chutelock/internal/upstream"
)

// testDialect is the header format of fakeEngine.
type testDialect struct{}

func (testDialect) Header(call *upstream.Call, _ time.Time) http.Header {
	header := http.Header{"X-Id": {call.ID}}
	if call.Resume {
		header.Set("X-After", strconv.FormatUint(call.ResumeAfter, 10))
	}
	return header
}

func (testDialect) Facts(_ int, header http.Header) upstream.Facts {
	return upstream.Facts{ID: header.Get("X-Id"), Signed: true}
}

// fakeEngine streams events. It counts active streams and records where each run started.
type fakeEngine struct {
	*httptest.Server
	events int
	pause  time.Duration

	mutex        sync.Mutex
	active       int
	resumedAfter []uint64
	lastSent     []uint64 // last event of each run that ended
}

func newFakeEngine(t *testing.T, events int, pause time.Duration) *fakeEngine {
	e := &fakeEngine{events: events, pause: pause}
	e.Server = httptest.NewServer(e)
	t.Cleanup(e.Close)
	return e
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.Header.Get("X-After"), 10, 64)
	e.recordStream(1, after)
	sent := after
	defer func() { e.recordStream(-1, sent) }()
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	for n := after + 1; n <= uint64(e.events); n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: text %d\n\n", n, n); err != nil {
			return
		}
		sent = n
		w.(http.Flusher).Flush()
		select {
		case <-time.After(e.pause):
		case <-r.Context().Done():
			return
		}
	}
}

func (e *fakeEngine) recordStream(change int, event uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.active += change
	if change > 0 {
		e.resumedAfter = append(e.resumedAfter, event)
	} else {
		e.lastSent = append(e.lastSent, event)
	}
}

func (e *fakeEngine) running() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.active
}

// wholeText is the text of a finished item.
func (e *fakeEngine) wholeText() string {
	var lines []string
	for n := 1; n <= e.events; n++ {
		lines = append(lines, fmt.Sprint("text ", n))
	}
	return strings.Join(lines, "\n")
}

// runnerAndExecutor is a leader that delegates all runs, and an executor.
type runnerAndExecutor struct {
	g            *gomega.WithT
	engine       *fakeEngine
	shard        *heldShard
	runner       *Runner
	executor     *Executor
	leaderNode   *transport.Node
	executorNode *transport.Node
	// usable is the executor's Usable, nil for always; ready is its Ready.
	usable atomic.Pointer[func() bool]
	ready  atomic.Bool
	stop   context.CancelFunc
	done   chan struct{}
}

func newRunnerAndExecutor(t *testing.T, events int, pause time.Duration) *runnerAndExecutor {
	engine := newFakeEngine(t, events, pause)
	p := startRunnerAndExecutor(t, engine.Server, 0)
	p.engine = engine
	return p
}

// startRunnerAndExecutor starts a leader that reads localRuns streams itself, and an executor.
func startRunnerAndExecutor(t *testing.T, engine *httptest.Server, localRuns int) *runnerAndExecutor {
	p := &runnerAndExecutor{
		g:     gomega.NewWithT(t),
		shard: &heldShard{failingShard: failingShard{machine: NewMachine(), store: memoryStore{}}}, done: make(chan struct{}),
	}
	p.g.SetDefaultEventuallyTimeout(30 * time.Second)
	p.leaderNode, p.executorNode = p.listen(), p.listen()
	address := strings.TrimPrefix(engine.URL, "http://")
	snapshot := catalog.NewSnapshot(nil, []catalog.Engine{{ID: "e", Service: "s", Address: address, Zone: "z", Slots: 100}})
	route := &catalog.Route{Name: "r", Kind: catalog.KindBatch, Attempts: 3, Backends: []catalog.Backend{{Service: "s", Weight: 1}}}
	usable := func(string, string) bool { return true }
	p.ready.Store(true)
	p.executor = NewExecutor(ExecutorOptions{
		Pool: upstream.NewPool(testDialect{}), Ready: p.ready.Load, Sender: p.executorNode, Receiver: p.executorNode,
		Usable: func(string, string) bool {
			ask := p.usable.Load()
			return ask == nil || (*ask)()
		},
	})
	p.runner = NewRunner(RunnerOptions{
		Shard: p.shard, Machine: p.shard.machine, Pool: upstream.NewPool(testDialect{}), Usable: usable,
		Balancer: balance.New(func() *catalog.Snapshot { return snapshot }),
		Route:    func(_, _ string) *catalog.Route { return route },
		Executors: func(zone string) []transport.Address {
			p.g.Expect(zone).To(gomega.Equal("z"))
			return []transport.Address{p.executorNode.Address()}
		},
		Sender: p.leaderNode, Receiver: p.leaderNode, LocalRuns: localRuns,
	})
	p.leaderNode.Serve()
	p.executorNode.Serve()
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	go func() { defer close(p.done); p.runner.Run(ctx) }()
	t.Cleanup(func() {
		engine.CloseClientConnections()
		stop()
		<-p.done
		p.executor.Close()
		p.leaderNode.Close()
		p.executorNode.Close()
	})
	return p
}

func (p *runnerAndExecutor) listen() *transport.Node {
	keys, err := transport.NewKeyring([]byte("0123456789abcdef0123456789abcdef"))
	p.g.Expect(err).NotTo(gomega.HaveOccurred())
	node, err := transport.Listen(transport.Options{Listen: "127.0.0.1:0", Keys: keys})
	p.g.Expect(err).NotTo(gomega.HaveOccurred())
	return node
}

func (p *runnerAndExecutor) submit(items int) {
	_, err := p.shard.Propose(context.Background(), encodeSubmit(testJobForAnHour("a", items)))
	p.g.Expect(err).NotTo(gomega.HaveOccurred())
}

// page reads the results so far.
func (p *runnerAndExecutor) page() (page Page) {
	err := p.shard.Read(context.Background(), func(reader ledger.Reader) (err error) {
		page, err = p.shard.machine.readPage(reader, jobName{job: "a"}, 0)
		return err
	})
	p.g.Expect(err).NotTo(gomega.HaveOccurred())
	p.g.Expect(page.decompress()).To(gomega.Succeed())
	return page
}

func (p *runnerAndExecutor) expectWhole(items int) {
	p.g.Eventually(func() int { return len(p.page().Results) }).Should(gomega.Equal(items))
	for _, result := range p.page().Results {
		p.g.Expect(result.State).To(gomega.Equal(StateSucceeded))
		p.g.Expect(string(result.Text)).To(gomega.Equal(p.engine.wholeText()))
	}
}

func TestExecutorRunsItems(t *testing.T) {
	p := newRunnerAndExecutor(t, 20, 10*time.Millisecond)
	p.submit(7)
	p.g.Eventually(p.executor.Running).Should(gomega.Equal(7))
	p.expectWhole(7)
	p.g.Eventually(p.executor.Running).Should(gomega.BeZero())
	p.g.Eventually(p.runner.Running).Should(gomega.BeZero())
	p.g.Expect(p.engine.resumedAfter).To(gomega.HaveLen(7), "each item ran once")
}

// A preempted run frees its engine immediately, and the item resumes after the text received
// so far.
func TestPreemptedRemoteRunResumesFromLastEvent(t *testing.T) {
	p := newRunnerAndExecutor(t, 60, 20*time.Millisecond)
	p.submit(1)
	p.g.Eventually(func() bool {
		p.runner.mutex.Lock()
		defer p.runner.mutex.Unlock()
		for _, run := range p.runner.runs {
			// The first text is committed after 150 ms, the next 500 ms later.
			if run.begun && time.Since(run.started) > 400*time.Millisecond {
				run.preempted = true
				run.cancel()
				run.lease.Release()
				return true
			}
		}
		return false
	}).Should(gomega.BeTrue())
	p.expectWhole(1)
	p.g.Expect(len(p.engine.resumedAfter)).To(gomega.BeNumerically(">=", 2))
	// Streams are read every few ms, so two events may be in flight.
	p.g.Expect(p.engine.resumedAfter[1]).To(gomega.BeNumerically("~", p.engine.lastSent[0], 2), "resumes after its last event")
}

func TestStoppedLeaderEndsRemoteRuns(t *testing.T) {
	p := newRunnerAndExecutor(t, 1000, 20*time.Millisecond)
	p.submit(3)
	p.g.Eventually(p.engine.running).Should(gomega.Equal(3))
	p.stop()
	<-p.done
	p.g.Eventually(p.engine.running).Should(gomega.BeZero())
}

// Closing the leader's connections stands for the end of its process.
func TestLostLeaderEndsRemoteRuns(t *testing.T) {
	p := newRunnerAndExecutor(t, 1000, 20*time.Millisecond)
	p.submit(3)
	p.g.Eventually(p.engine.running).Should(gomega.Equal(3))
	p.leaderNode.Close()
	p.g.Eventually(p.engine.running).Should(gomega.BeZero())
	p.g.Eventually(p.executor.Running).Should(gomega.BeZero())
}

// Items of an executor that disappears finish at the leader.
func TestLeaderResumesItemsOfLostExecutor(t *testing.T) {
	p := newRunnerAndExecutor(t, 40, 20*time.Millisecond)
	p.submit(3)
	p.g.Eventually(p.executor.Running).Should(gomega.Equal(3))
	p.executorNode.Close()
	p.expectWhole(3)
	p.g.Eventually(p.runner.Running).Should(gomega.BeZero())
}

func TestClosingExecutorCommitsText(t *testing.T) {
	p := newRunnerAndExecutor(t, 40, 20*time.Millisecond)
	p.submit(3)
	p.g.Eventually(func() bool {
		p.runner.mutex.Lock()
		defer p.runner.mutex.Unlock()
		begun := 0
		for _, run := range p.runner.runs {
			if run.begun {
				begun++
			}
		}
		return begun == 3
	}).Should(gomega.BeTrue())
	p.executor.Close()
	p.expectWhole(3)
	for _, after := range p.engine.resumedAfter[3:] {
		p.g.Expect(after).To(gomega.BeNumerically(">", 0))
	}
}

func TestExecutorsExpireSilentOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	x := newExecutors(2)
	now := time.Unix(1_000_000, 0)
	candidates := []transport.Address{"a", "b"}
	_, found := x.pick(candidates, 1, now)
	g.Expect(found).To(gomega.BeFalse(), "the leader reads the first streams itself")
	picked, _ := x.pick(candidates, 2, now)
	g.Expect(picked).To(gomega.Equal(transport.Address("a")))
	x.begin("a", now)
	g.Expect(x.expireSilent(now.Add(executorTimeout))).To(gomega.BeEmpty())
	x.heartbeat("a", now.Add(executorTimeout))
	now = now.Add(2*executorTimeout + time.Millisecond)
	g.Expect(x.expireSilent(now)).To(gomega.Equal([]transport.Address{"a"}))
	g.Expect(x.expireSilent(now)).To(gomega.BeEmpty())
	picked, _ = x.pick(candidates, 2, now)
	g.Expect(picked).To(gomega.Equal(transport.Address("b")))
	picked, _ = x.pick(candidates, 2, now.Add(executorBackoff))
	g.Expect(picked).To(gomega.Equal(transport.Address("a")))
}

// An executor that missed a stop message may continue a run while another runs the item.
func TestRunnerDropsUpdatesOfSupersededRun(t *testing.T) {
	g := gomega.NewWithT(t)
	runner := newRunnerWithManyItems(g, 0)
	started := runner.startOpen(context.Background(), runner.options.Machine.openItems(), time.Now())
	item := started[0].item
	current := runner.runs[itemKey{item.job, item.index}]
	current.executor = "current"
	encoded := encodeUpdates([]itemUpdate{{job: item.job, index: item.index, to: 1, text: []byte("x")}})
	wanted, err := runner.filterUpdates("doubled", encoded)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(wanted).To(gomega.BeEmpty())
	g.Expect(current.begun).To(gomega.BeFalse())
	wanted, err = runner.filterUpdates("current", encoded)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(wanted).To(gomega.HaveLen(1))
	g.Expect(current.begun).To(gomega.BeTrue())
}

// A request delayed until its run was given up, or its job ended, must not reach an engine.
func TestExecutorRejectsObsoleteRun(t *testing.T) {
	p := newRunnerAndExecutor(t, 1000, 20*time.Millisecond)
	p.submit(1)
	p.g.Eventually(p.engine.running).Should(gomega.Equal(1))
	p.runner.mutex.Lock()
	var current *run
	for _, one := range p.runner.runs {
		current = one
	}
	stale := runRequest{run: current.number - 1, engine: current.engine, read: Item{ID: "a-0", Path: "/x"}, maxFailures: 3}
	p.runner.mutex.Unlock()
	stale.item = openItem{job: "a", host: "h", giveUp: time.Now().Add(time.Hour)}
	send := func(request runRequest) error {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		_, err := p.leaderNode.Call(ctx, p.executorNode.Address(), kindRun, request.marshal(time.Now()))
		return err
	}
	p.g.Expect(send(stale)).To(gomega.MatchError(gomega.ContainSubstring("not wanted")))
	duplicate := stale
	duplicate.run = current.number
	p.g.Expect(send(duplicate)).To(gomega.MatchError(gomega.ContainSubstring("begun before")))
	question := marshal(fixedConfirm{current.number, 0}, []byte("a"))
	_, err := p.runner.handleConfirm(context.Background(), p.executorNode.Address(), question)
	p.g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = p.shard.Propose(context.Background(), encodeEnd(jobName{job: "a"}, time.Now()))
	p.g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = p.runner.handleConfirm(context.Background(), p.executorNode.Address(), question)
	p.g.Expect(err).To(gomega.MatchError(errRunObsolete), "the job has ended")
	p.g.Eventually(p.engine.running).Should(gomega.BeZero())
	p.g.Expect(p.engine.resumedAfter).To(gomega.HaveLen(1), "only the current run reached the engine")
}

// Guards against a leader that stops and rejects the last text of its runs at other nodes.
func TestStoppingLeaderCommitsLastTextOfRemoteRuns(t *testing.T) {
	p := newRunnerAndExecutor(t, 1000, 20*time.Millisecond)
	p.submit(3)
	p.g.Eventually(p.engine.running).Should(gomega.Equal(3))
	// The first text is committed after 150 ms, the next 500 ms later.
	time.Sleep(450 * time.Millisecond)
	p.runner.Stop()
	p.g.Eventually(p.engine.running).Should(gomega.BeZero())
	p.engine.mutex.Lock()
	defer p.engine.mutex.Unlock()
	least := slices.Min(p.engine.lastSent)
	for index := range uint32(3) {
		item, _ := p.shard.machine.item("a", index)
		// Streams are read every few ms, so two events may be in flight.
		p.g.Expect(item.lastEvent).To(gomega.BeNumerically(">=", least-2), "item %d of streams that ended at %v", index, p.engine.lastSent)
	}
}
