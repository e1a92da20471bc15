package remote

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/transport"
)

// testCluster is a shard with replicas on several nodes and faulty links.
type testCluster struct {
	mutex   sync.Mutex
	random  *rand.Rand
	nodes   map[transport.Address]*testNode
	leader  transport.Address
	applied map[string]int
	// faults is the number of faults left to inject.
	faults int
}

type testNode struct {
	cluster *testCluster
	address transport.Address
	// known is the leader known to this node.
	known  transport.Address
	server *Server
}

func newTestCluster(seed uint64, names ...transport.Address) *testCluster {
	c := &testCluster{
		random: rand.New(rand.NewPCG(seed, seed)), nodes: map[transport.Address]*testNode{}, leader: names[0],
		applied: map[string]int{},
	}
	for _, name := range names {
		member := &testNode{cluster: c, address: name, known: names[0]}
		member.server = NewServer(member)
		c.nodes[name] = member
	}
	return c
}

func (n *testNode) Shards() int { return 1 }

func (n *testNode) Leader(ledger.ShardID) (transport.Address, bool) { return n.known, n.known != "" }

// Local returns a replica on every node except "c".
func (n *testNode) Local(ledger.ShardID) (ledger.Shard, bool) { return n, n.address != "c" }

// FollowerRead implements ledger.Shard.
func (n *testNode) FollowerRead(ctx context.Context, query func(ledger.Reader) error) error {
	return n.Read(ctx, query)
}

func (n *testNode) Leading() (bool, uint64) { return n.cluster.leader == n.address, 1 }

func (n *testNode) Read(context.Context, func(ledger.Reader) error) error { return nil }

// Propose applies the entry, or fails before or after applying it.
func (n *testNode) Propose(_ context.Context, entry []byte) ([]byte, error) {
	c := n.cluster
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leader != n.address {
		return nil, &ledger.NotLeaderError{Leader: c.leader}
	}
	if c.faults > 0 {
		c.faults--
		switch c.random.IntN(4) {
		case 0:
			return nil, ledger.ErrUnavailable
		case 1:
			c.applied[string(entry)]++
			return nil, ledger.ErrUnknownOutcome
		case 2:
			c.leader = "b"
			for _, member := range c.nodes {
				member.known = "b"
			}
			return nil, &ledger.NotLeaderError{Leader: c.leader}
		}
	}
	c.applied[string(entry)]++
	return append([]byte("did "), entry...), nil
}

func (n *testNode) Call(ctx context.Context, to transport.Address, kind transport.Kind, payload []byte) ([]byte, error) {
	peer, ok := n.cluster.nodes[to]
	if !ok {
		return nil, errors.New("connection refused")
	}
	answer, err := peer.server.answer(ctx, Operation(kind-transport.KindJobs), payload)
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	if n.cluster.faults > 0 && n.cluster.random.IntN(3) == 0 {
		n.cluster.faults--
		return nil, errors.New("connection reset")
	}
	var coded transport.CodedError
	if errors.As(err, &coded) {
		return nil, &transport.RemoteError{Peer: to, Code: coded.RemoteCode(), Message: coded.Error()}
	}
	if err != nil {
		return nil, &transport.RemoteError{Peer: to, Message: err.Error()}
	}
	return answer, nil
}

func (n *testNode) Send(transport.Address, transport.Kind, []byte) {}

func (n *testNode) Datagram(transport.Address, transport.Kind, []byte) error { return nil }

func (n *testNode) caller() *Caller { return NewCaller(n.address, n, n, n.server) }

// Faults and leader changes must not make a call fail or lose its entry.
func TestCallReachesLeaderDespiteFaults(t *testing.T) {
	for seed := range uint64(40) {
		g := gomega.NewWithT(t)
		c := newTestCluster(seed, "a", "b", "c")
		for _, name := range []transport.Address{"a", "b", "c"} {
			c.faults = 3
			entry := fmt.Sprintf("entry of %s", name)
			answer, err := c.nodes[name].caller().Call(context.Background(), OperationPropose, 0, []byte(entry))
			g.Expect(err).NotTo(gomega.HaveOccurred(), "seed %d at %s", seed, name)
			g.Expect(string(answer)).To(gomega.Equal("did " + entry))
			g.Expect(c.applied[entry]).To(gomega.BeNumerically(">=", 1))
		}
	}
}

// Reporting ErrUnavailable for an entry that may be applied would mislead callers.
func TestCallErrorReportsPossibleEffect(t *testing.T) {
	for name, test := range map[string]struct {
		sabotage func(*testCluster)
		outcome  error
		not      error // an outcome that must not match
	}{
		"no leader known":    {func(c *testCluster) { c.leader, c.nodes["c"].known = "", "" }, ledger.ErrUnavailable, ledger.ErrUnknownOutcome},
		"leader unreachable": {func(c *testCluster) { c.leader, c.nodes["a"].known = "b", "nobody" }, ledger.ErrUnknownOutcome, ledger.ErrUnavailable},
		"handler failed":     {func(c *testCluster) { c.nodes["a"].server.Handle(OperationPropose, failingHandler) }, ledger.ErrUnknownOutcome, ledger.ErrUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := newTestCluster(1, "a", "b", "c")
			test.sabotage(c)
			ctx, cancel := context.WithTimeout(context.Background(), initialRetryWait*10)
			defer cancel()
			_, err := c.nodes["c"].caller().Call(ctx, OperationPropose, 0, []byte("x"))
			g.Expect(errors.Is(err, test.outcome)).To(gomega.BeTrue(), "%v", err)
			g.Expect(errors.Is(err, test.not)).To(gomega.BeFalse(), "%v", err)
			var call *CallError
			g.Expect(errors.As(err, &call)).To(gomega.BeTrue())
		})
	}
}

func failingHandler(context.Context, ledger.ShardID, ledger.Shard, []byte) ([]byte, error) {
	return nil, errors.New("disk failed")
}

func FuzzAnswer(f *testing.F) {
	f.Add([]byte{1, 0, 0, 0, 0, 0, 0, 0, 1, 'x'})
	f.Fuzz(func(t *testing.T, payload []byte) {
		_, _ = newTestCluster(1, "a", "b", "c").nodes["a"].server.answer(context.Background(), OperationPropose, payload)
	})
}
