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

// cluster is a shard with replicas at several nodes and links that lose
// requests and answers.
type cluster struct {
	mutex   sync.Mutex
	random  *rand.Rand
	nodes   map[transport.Address]*node
	leader  transport.Address
	applied map[string]int
	// trouble is how many of the next calls go wrong.
	trouble int
}

type node struct {
	cluster *cluster
	address transport.Address
	// known is the leader as this node believes.
	known  transport.Address
	server *Server
}

func newCluster(seed uint64, names ...transport.Address) *cluster {
	c := &cluster{
		random: rand.New(rand.NewPCG(seed, seed)), nodes: map[transport.Address]*node{}, leader: names[0],
		applied: map[string]int{},
	}
	for _, name := range names {
		member := &node{cluster: c, address: name, known: names[0]}
		member.server = NewServer(member)
		c.nodes[name] = member
	}
	return c
}

func (n *node) Shards() int { return 1 }

func (n *node) Leader(ledger.ShardID) (transport.Address, bool) { return n.known, n.known != "" }

// Local gives a replica to all nodes but the last, "c".
func (n *node) Local(ledger.ShardID) (ledger.Shard, bool) { return n, n.address != "c" }

// FollowerRead implements ledger.Shard.
func (n *node) FollowerRead(ctx context.Context, query func(ledger.Reader) error) error {
	return n.Read(ctx, query)
}

func (n *node) Leading() (bool, uint64) { return n.cluster.leader == n.address, 1 }

func (n *node) Read(context.Context, func(ledger.Reader) error) error { return nil }

// Propose applies the entry, fails before, or fails after.
func (n *node) Propose(_ context.Context, entry []byte) ([]byte, error) {
	c := n.cluster
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leader != n.address {
		return nil, &ledger.NotLeaderError{Leader: c.leader}
	}
	if c.trouble > 0 {
		c.trouble--
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

func (n *node) Call(ctx context.Context, to transport.Address, kind transport.Kind, payload []byte) ([]byte, error) {
	peer, ok := n.cluster.nodes[to]
	if !ok {
		return nil, errors.New("connection refused")
	}
	answer, err := peer.server.answer(ctx, Operation(kind-transport.KindJobs), payload)
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	if n.cluster.trouble > 0 && n.cluster.random.IntN(3) == 0 {
		n.cluster.trouble--
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

func (n *node) Send(transport.Address, transport.Kind, []byte) {}

func (n *node) Datagram(transport.Address, transport.Kind, []byte) error { return nil }

func (n *node) caller() *Caller { return NewCaller(n.address, n, n, n.server) }

func TestCallReachesTheLeaderOverTrouble(t *testing.T) {
	for seed := range uint64(40) {
		g := gomega.NewWithT(t)
		c := newCluster(seed, "a", "b", "c")
		for _, name := range []transport.Address{"a", "b", "c"} {
			c.trouble = 3
			entry := fmt.Sprintf("entry of %s", name)
			answer, err := c.nodes[name].caller().Call(context.Background(), OperationPropose, 0, []byte(entry))
			g.Expect(err).NotTo(gomega.HaveOccurred(), "seed %d at %s", seed, name)
			g.Expect(string(answer)).To(gomega.Equal("did " + entry))
			g.Expect(c.applied[entry]).To(gomega.BeNumerically(">=", 1))
		}
	}
}

func TestFailureSaysWhetherItMayHaveTakenEffect(t *testing.T) {
	for name, test := range map[string]struct {
		sabotage func(*cluster)
		outcome  error
		not      error
	}{
		"no leader known":    {func(c *cluster) { c.leader, c.nodes["c"].known = "", "" }, ledger.ErrUnavailable, ledger.ErrUnknownOutcome},
		"leader unreachable": {func(c *cluster) { c.leader, c.nodes["a"].known = "b", "nobody" }, ledger.ErrUnknownOutcome, ledger.ErrUnavailable},
		"handler failed":     {func(c *cluster) { c.nodes["a"].server.Handle(OperationPropose, failing) }, ledger.ErrUnknownOutcome, ledger.ErrUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := newCluster(1, "a", "b", "c")
			test.sabotage(c)
			ctx, cancel := context.WithTimeout(context.Background(), firstRetryWait*10)
			defer cancel()
			_, err := c.nodes["c"].caller().Call(ctx, OperationPropose, 0, []byte("x"))
			g.Expect(errors.Is(err, test.outcome)).To(gomega.BeTrue(), "%v", err)
			g.Expect(errors.Is(err, test.not)).To(gomega.BeFalse(), "%v", err)
			var call *CallError
			g.Expect(errors.As(err, &call)).To(gomega.BeTrue())
		})
	}
}

func failing(context.Context, ledger.ShardID, ledger.Shard, []byte) ([]byte, error) {
	return nil, errors.New("disk failed")
}

func FuzzAnswer(f *testing.F) {
	f.Add([]byte{1, 0, 0, 0, 0, 0, 0, 0, 1, 'x'})
	f.Fuzz(func(t *testing.T, payload []byte) {
		_, _ = newCluster(1, "a", "b", "c").nodes["a"].server.answer(context.Background(), OperationPropose, payload)
	})
}
