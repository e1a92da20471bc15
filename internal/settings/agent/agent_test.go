package agent

import (
	"context"
	"fmt"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/platform/objecthttp"
	"chutelock.dev/chutelock/internal/settings/command"
	"chutelock.dev/chutelock/internal/settings/dissemination"
	"chutelock.dev/chutelock/internal/settings/tree"
	"chutelock.dev/chutelock/internal/standin/platform"
	"chutelock.dev/chutelock/internal/transport"
)

const waitTimeout = 20 * time.Second

// fastConfig shortens intervals to speed up tests; no assertion depends on it.
var fastConfig = dissemination.Config{
	StartupWait: 300 * time.Millisecond, WatchDelay: 600 * time.Millisecond,
	StopDelay: 100 * time.Millisecond, GossipInterval: 100 * time.Millisecond, WatchSilence: 5 * time.Second,
}

// testFleet is a set of nodes on loopback that share a fake platform store.
type testFleet struct {
	g            *gomega.WithT
	t            *testing.T
	nodes        []*testNode
	storeAddress string // of the fake platform
	views        atomic.Pointer[membership.View]
	folder       string
}

type testNode struct {
	fleet  *testFleet
	member membership.Member
	peers  *transport.Node
	agent  *Agent
	writer *command.Writer
	cancel context.CancelFunc
	done   chan struct{}
}

// View and Self implement membership.Source.
func (n *testNode) View() *membership.View  { return n.fleet.views.Load() }
func (n *testNode) Self() membership.Member { return n.member }

func newFleet(t *testing.T, zones ...string) *testFleet {
	t.Helper()
	g := gomega.NewWithT(t)
	config := platform.DefaultConfig()
	config.BookmarkEvery = 200 * time.Millisecond
	server, err := platform.New(config, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	listener := httptest.NewServer(server.Handler())
	fleet := &testFleet{g: g, t: t, storeAddress: strings.TrimPrefix(listener.URL, "http://"), folder: t.TempDir()}
	t.Cleanup(func() {
		for _, node := range fleet.nodes {
			node.stop()
		}
		listener.CloseClientConnections()
		listener.Close()
		g.Expect(server.Close()).To(gomega.Succeed())
	})
	for i, zone := range zones {
		fleet.nodes = append(fleet.nodes, fleet.openNode(fmt.Sprintf("node-%d", i), zone))
	}
	fleet.refreshView()
	for _, node := range fleet.nodes {
		node.start()
	}
	return fleet
}

func (f *testFleet) openNode(name, zone string) *testNode {
	keys, err := transport.NewKeyring([]byte("0123456789abcdef"))
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	peers, err := transport.Listen(transport.Options{Listen: "127.0.0.1:0", Keys: keys})
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	node := &testNode{fleet: f, peers: peers}
	node.member = membership.Member{Name: name, Address: peers.Address(), Zone: zone, Region: "region"}
	store := objecthttp.New(f.storeAddress, objecthttp.Options{})
	node.agent, err = New(Config{
		Members: node, Sender: peers, Receiver: peers, Store: store,
		Folder: filepath.Join(f.folder, name), Seed: 7, Protocol: fastConfig,
	})
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	node.writer = command.NewWriter(store, node.agent, time.Now)
	return node
}

func (f *testFleet) refreshView() {
	view := &membership.View{}
	for _, node := range f.nodes {
		view.Members = append(view.Members, node.member)
	}
	f.views.Store(view)
}

func (n *testNode) start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel, n.done = cancel, make(chan struct{})
	n.peers.Serve()
	go func() {
		defer close(n.done)
		n.agent.Run(ctx)
	}()
}

func (n *testNode) stop() {
	n.cancel()
	<-n.done
	n.peers.Close()
}

// restart replaces a node by a new one with the same cache directory.
func (f *testFleet) restart(index int) {
	old := f.nodes[index]
	old.stop()
	f.nodes[index] = f.openNode(old.member.Name, old.member.Zone)
	f.refreshView()
	f.nodes[index].start()
}

func (f *testFleet) apply(index int, id, text string) *command.Result {
	nodes, problems := tree.ParseFile("f.yaml", []byte(text))
	f.g.Expect(problems).To(gomega.BeEmpty())
	var result *command.Result
	f.g.Eventually(func() (err error) {
		result, err = f.nodes[index].writer.Apply(context.Background(), command.Change{ID: id, Nodes: nodes})
		return err
	}, waitTimeout).Should(gomega.Succeed())
	return result
}

// expectBurst waits until every node has the tenant's burst in force.
func (f *testFleet) expectBurst(want int) {
	for _, node := range f.nodes {
		f.g.Eventually(func() int {
			snapshot := node.agent.Current()
			if snapshot == nil {
				return -1
			}
			tenant, ok := snapshot.TenantByName("caller")
			if !ok {
				return -1
			}
			return tenant.Burst
		}, waitTimeout, 10*time.Millisecond).Should(gomega.Equal(want), node.member.Name)
	}
}

func tenantYAML(burst int) string {
	return fmt.Sprintf("path: fleet\nkind: folder\n---\npath: fleet/caller\nkind: tenant\nkeys: [k]\nburst: %d\n", burst)
}

// Guards against changes that miss a node or a zone, and against too many store
// watchers.
func TestAgentDisseminatesChangesToAllNodes(t *testing.T) {
	fleet := newFleet(t, "a", "a", "a", "b", "b")
	fleet.apply(0, "c1", tenantYAML(1))
	fleet.expectBurst(1)
	result := fleet.apply(4, "c2", tenantYAML(2))
	fleet.expectBurst(2)
	fleet.g.Eventually(func() bool {
		zones, err := fleet.nodes[2].agent.Zones(context.Background())
		if err != nil || len(zones) != 2 {
			return false
		}
		version, _ := fleet.nodes[2].agent.Version()
		return zones[0].InForceAt(version) && zones[1].InForceAt(version) && version.Revision() >= result.Revision
	}, waitTimeout).Should(gomega.BeTrue())
	watching := 0
	for _, node := range fleet.nodes {
		status, err := node.agent.Status(context.Background())
		fleet.g.Expect(err).NotTo(gomega.HaveOccurred())
		if status.Watching {
			watching++
		}
	}
	fleet.g.Expect(watching).To(gomega.Equal(dissemination.WatchersPerRegion))
}

// Guards against a restarted node that has no settings while the store is down.
func TestAgentRestartUsesDiskCacheWithoutStoreOrPeers(t *testing.T) {
	fleet := newFleet(t, "a")
	fleet.apply(0, "c1", tenantYAML(3))
	fleet.expectBurst(3)
	fleet.storeAddress = "127.0.0.1:1" // no listener
	fleet.restart(0)
	fleet.expectBurst(3)
	status, err := fleet.nodes[0].agent.Status(context.Background())
	fleet.g.Expect(err).NotTo(gomega.HaveOccurred())
	fleet.g.Expect(status.Stale).To(gomega.BeTrue())
	_, err = fleet.nodes[0].writer.Apply(context.Background(), command.Change{ID: "x", Delete: []string{"fleet/caller"}})
	fleet.g.Expect(err).To(gomega.HaveOccurred())
}

// Guards against a cached entry that differs from the stored one, which would
// make the node refuse the store as forked.
func TestAgentRestartAcceptsStoreMatchingCache(t *testing.T) {
	fleet := newFleet(t, "a", "b")
	fleet.apply(0, "c1", tenantYAML(3))
	fleet.expectBurst(3)
	fleet.restart(0)
	fleet.apply(0, "c2", tenantYAML(4))
	fleet.expectBurst(4)
	for _, node := range fleet.nodes {
		status, err := node.agent.Status(context.Background())
		fleet.g.Expect(err).NotTo(gomega.HaveOccurred())
		fleet.g.Expect(status.StoreRefused).To(gomega.BeFalse())
	}
}
