package service

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/admission/batch"
	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/jobs/command"
	"chutelock.dev/chutelock/internal/jobs/dispatch"
	"chutelock.dev/chutelock/internal/jobs/machine"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/ledger/replica"
	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/transport"
)

// fakeMembership is a membership whose view the test sets.
type fakeMembership struct {
	view atomic.Pointer[membership.View]
	self membership.Member
}

func (m *fakeMembership) View() *membership.View  { return m.view.Load() }
func (m *fakeMembership) Self() membership.Member { return m.self }

// fakeStore implements the part of platform.Store that the ledger uses.
type fakeStore struct {
	platform.Store
	mutex  sync.Mutex
	stored map[string]platform.Object
}

func (o *fakeStore) Get(_ context.Context, kind, name string) (platform.Object, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	object, found := o.stored[kind+"/"+name]
	if !found {
		return object, platform.ErrNotFound
	}
	return object, nil
}

func (o *fakeStore) List(context.Context, string) (list []platform.Object, revision uint64, err error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, object := range o.stored {
		list = append(list, object)
	}
	return list, 0, nil
}

func (o *fakeStore) Put(_ context.Context, object platform.Object) (platform.Object, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	key := object.Kind + "/" + object.Name
	if o.stored[key].Revision != object.Revision {
		return object, platform.ErrConflict
	}
	object.Revision++
	o.stored[key] = object
	return object, nil
}

// testNode is a node of a cluster; the first dataNodes of them hold replicas.
type testNode struct {
	*Service
	transport   *transport.Node
	ledger      *replica.Service
	members     *fakeMembership
	context     context.Context
	cancel      context.CancelFunc
	running     sync.WaitGroup
	partitioned atomic.Bool // rejects all peers of the node
}

const dataNodes = 3

// startCluster starts nodes on loopback and waits for a leader of each shard.
func startCluster(tb testing.TB, nodes, shards int) []*testNode {
	tb.Helper()
	g := gomega.NewWithT(tb)
	keys, err := transport.NewKeyring([]byte("0123456789abcdef0123456789abcdef"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	store := &fakeStore{stored: map[string]platform.Object{}}
	cluster := make([]*testNode, nodes)
	view := &membership.View{}
	for i := range cluster {
		node := &testNode{Service: New()}
		opened, err := transport.Listen(transport.Options{
			Listen: "127.0.0.1:0", Keys: keys, Allow: func(transport.Address) bool { return !node.partitioned.Load() },
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		self := membership.Member{
			Name: fmt.Sprintf("n%d", i), Address: opened.Address(), Zone: fmt.Sprintf("z%d", i), HasData: i < dataNodes,
		}
		view.Members = append(view.Members, self)
		node.transport, node.members = opened, &fakeMembership{self: self}
		cluster[i] = node
	}
	for _, node := range cluster {
		node.members.view.Store(view)
		node.start(tb, store, shards)
		tb.Cleanup(node.stop)
	}
	g.Eventually(func() bool {
		for shard := range ledger.ShardID(shards) {
			if _, known := cluster[nodes-1].ledger.Leader(shard); !known {
				return false
			}
		}
		return true
	}, "30s").Should(gomega.BeTrue(), "each shard must have a leader")
	return cluster
}

func (n *testNode) start(tb testing.TB, store platform.Store, shards int) {
	options := replica.Options{
		Sender: n.transport, Receiver: n.transport, Members: n.members, Store: store, Shards: shards, Copies: dataNodes,
		NewMachine: n.NewMachine, BootstrapWait: 300 * time.Millisecond, Reserve: 1,
	}
	if n.members.self.HasData {
		options.Folder = tb.TempDir()
	}
	var err error
	if n.ledger, err = replica.Open(options); err != nil {
		tb.Fatal(err)
	}
	n.Connect(n.transport.Address(), n.ledger, n.transport, n.transport)
	n.transport.Serve()
	n.ledger.Start()
	n.context, n.cancel = context.WithCancel(context.Background())
	n.running.Go(func() { n.Run(n.context) })
}

// stop stops a node without announcing that it leaves.
func (n *testNode) stop() {
	if n.context.Err() != nil {
		return
	}
	n.cancel()
	n.transport.Close()
	n.running.Wait()
	_ = n.ledger.Close()
}

// dispatchTo starts a dispatcher that runs items on an engine of this node.
func (n *testNode) dispatchTo(target *slowEngine, streams int) {
	dispatcher := dispatch.New(dispatch.Dependencies{
		Name: n.members.self.Name, Work: n.Work, Policy: batch.NewFixed(streams, false), Clients: target,
	})
	n.running.Go(func() { dispatcher.Run(n.context) })
	endpoint := &fleet.Endpoint{Name: "engine of " + n.members.self.Name, Load: engine.Load{Models: []string{"m"}}}
	n.running.Go(func() {
		for n.context.Err() == nil {
			dispatcher.HomeEvent(time.Now(), fleet.HomeEvent{Kind: fleet.HomeGained, Endpoint: endpoint})
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// slowEngine delays each item and counts the attempts.
type slowEngine struct {
	time time.Duration
	runs atomic.Int64
}

func (s *slowEngine) Client(*fleet.Endpoint) engine.Client { return s }

func (s *slowEngine) Generate(ctx context.Context, _ engine.Request, sink func(engine.Chunk) error) (engine.Finish, error) {
	s.runs.Add(1)
	select {
	case <-time.After(s.time):
	case <-ctx.Done():
		return engine.Finish{}, &engine.Error{Step: "read", Err: ctx.Err()}
	}
	if err := sink(engine.Chunk{Text: "x"}); err != nil {
		return engine.Finish{}, &engine.Error{Step: "sink", Err: err}
	}
	return engine.Finish{Reason: "stop", CompletionTokens: 1}, nil
}

func (s *slowEngine) Suspend(context.Context, string) error     { return nil }
func (s *slowEngine) Load(context.Context) (engine.Load, error) { return engine.Load{}, nil }
func (s *slowEngine) Order(context.Context, engine.Order) error { return nil }

// The loss of a shard's leader and of one of two dispatchers must neither lose
// nor duplicate results.
func TestJobCompletesOnceAfterLossOfLeaderAndDispatcher(t *testing.T) {
	g := gomega.NewWithT(t)
	cluster := startCluster(t, dataNodes+2, 4)
	first, second := cluster[dataNodes], cluster[dataNodes+1]
	engines := &slowEngine{time: 50 * time.Millisecond}
	const items = 3000
	jobID := submitInput(t, first.Service, &inputFile{count: items, size: 100}, "k")
	first.dispatchTo(engines, 32)
	second.dispatchTo(engines, 32)
	g.Eventually(engines.runs.Load, "30s").Should(gomega.BeNumerically(">", 500))
	leaderOf(t, cluster, jobID).stop()
	g.Eventually(engines.runs.Load, "30s").Should(gomega.BeNumerically(">", 1200))
	second.stop()

	job := func() machine.State {
		found, err := first.Queries.Job(context.Background(), "t", jobID)
		if err != nil {
			return 0
		}
		return found.State
	}
	g.Eventually(job, "60s", "100ms").Should(gomega.Equal(machine.StateCompleted))
	seen := map[string]bool{}
	g.Expect(first.Queries.Results(context.Background(), "t", jobID, false, func(result machine.ResultRecord) error {
		g.Expect(seen).NotTo(gomega.HaveKey(result.CustomID))
		seen[result.CustomID] = true
		g.Expect(result.CustomID).To(gomega.Equal(fmt.Sprintf("c%d", result.Index)))
		return nil
	})).To(gomega.Succeed())
	g.Expect(seen).To(gomega.HaveLen(items))
	for _, node := range cluster[:dataNodes] {
		if node.context.Err() == nil {
			resubmitted := submitInput(t, node.Service, &inputFile{count: items, size: 100}, "k")
			g.Expect(resubmitted).To(gomega.Equal(jobID), "a resubmission at another node is the same job")
		}
	}
}

// leaderOf returns the node that leads the job's shard.
func leaderOf(tb testing.TB, cluster []*testNode, jobID string) *testNode {
	tb.Helper()
	var shard ledger.ShardID
	if _, err := fmt.Sscanf(strings.TrimPrefix(jobID, "batch_"), "%04x", &shard); err != nil {
		tb.Fatal(err)
	}
	for _, node := range cluster[:dataNodes] {
		if replica, ok := node.ledger.Local(shard); ok {
			if leading, _ := replica.Leading(); leading {
				return node
			}
		}
	}
	tb.Fatalf("no node leads shard %d", shard)
	return nil
}

// A partitioned dispatcher can't learn of a cancellation and must stop starting
// items once its leases are no longer renewed.
func TestPartitionedNodeStopsStartingItems(t *testing.T) {
	g := gomega.NewWithT(t)
	cluster := startCluster(t, dataNodes+1, 1)
	node := cluster[dataNodes]
	engines := &slowEngine{time: 100 * time.Millisecond}
	jobID := submitInput(t, cluster[0].Service, &inputFile{count: 10_000, size: 100}, "k")
	node.dispatchTo(engines, 2)
	g.Eventually(engines.runs.Load, "30s").Should(gomega.BeNumerically(">", 10))
	node.partitioned.Store(true)
	g.Eventually(func() error { return cluster[0].Jobs.Cancel(context.Background(), "t", jobID) }, "20s").Should(gomega.Succeed())
	time.Sleep(command.StartValidity)
	last := engines.runs.Load()
	g.Consistently(engines.runs.Load, "1s").Should(gomega.Equal(last))
	found, err := cluster[0].Queries.Job(context.Background(), "t", jobID)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	recorded := found.Succeeded
	node.partitioned.Store(false)
	g.Consistently(func(g gomega.Gomega) {
		found, err := cluster[0].Queries.Job(context.Background(), "t", jobID)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(found.Succeeded).To(gomega.Equal(recorded), "nothing is recorded after the cancellation")
	}, "2s", "200ms").Should(gomega.Succeed())
}
