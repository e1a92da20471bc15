package system

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/enginespeed"
	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/transport"
	"chutelock.dev/chutelock/internal/upstream"
)

// speedNetwork delivers datagrams between nodes at once and counts them.
type speedNetwork struct {
	nodes map[transport.Address]*speedExchange
	sent  int
	lost  bool
}

// speedSender sends as one node.
type speedSender struct {
	network *speedNetwork
	self    transport.Address
}

func (s speedSender) Datagram(to transport.Address, _ transport.Kind, payload []byte) error {
	s.network.sent++
	if !s.network.lost {
		s.network.nodes[to].handle(s.self, payload)
	}
	return nil
}
func (speedSender) Send(transport.Address, transport.Kind, []byte) {}
func (speedSender) Call(context.Context, transport.Address, transport.Kind, []byte) ([]byte, error) {
	return nil, nil
}

var speedSnapshot = catalog.NewSnapshot(nil, []catalog.Engine{{ID: "a", Service: "s", Slots: 8}})

func (n *speedNetwork) add(address transport.Address, active bool) *speedExchange {
	balancer := balance.New(func() *catalog.Snapshot { return speedSnapshot })
	balancer.UseSpeeds = func() bool { return active }
	node := newSpeedExchange(balancer, speedSender{n, address})
	n.nodes[address] = node
	return node
}

func reportSlowness(node *speedExchange, slowness float64) {
	node.balancer.RecordReport("a", upstream.Load{Slowdown: slowness, ReportsSlowdown: true})
}

func (s *speedExchange) slowness() float64 {
	return s.balancer.DurationFactor(speedSnapshot.Engines()[0])
}

// What a front node hears must reach front nodes of other zones, and only once.
func TestSpeedsReachAllNodesOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	network := &speedNetwork{nodes: map[transport.Address]*speedExchange{}}
	front, relay := network.add("front", true), network.add("relay", true)
	farRelay, farFront := network.add("far relay", true), network.add("far front", true)
	reportSlowness(front, 4)
	pass := func() {
		front.sendToRelay("relay")
		relay.sendToFront("front")
		relay.sendToData("far relay")
		farRelay.sendToData("relay")
		farRelay.sendToFront("far front")
		farFront.sendToRelay("far relay")
	}
	pass()
	g.Expect(farFront.slowness()).To(gomega.BeNumerically("~", 4, 0.5))
	g.Expect(relay.balancer.EnginesShareMachines()).To(gomega.BeTrue(), "data nodes learn of it")
	g.Expect(network.sent).To(gomega.Equal(3), "nothing returns to where it came from")
	pass()
	g.Expect(network.sent).To(gomega.Equal(3), "nothing is sent twice")
}

// Where choices don't follow the speeds, or no engine reports its slowness, nothing is sent.
func TestSpeedsNotSentWhereUnused(t *testing.T) {
	g := gomega.NewWithT(t)
	network := &speedNetwork{nodes: map[transport.Address]*speedExchange{}}
	unused, calm := network.add("unused", false), network.add("calm", true)
	network.add("relay", true)
	reportSlowness(unused, 4)
	calm.balancer.RecordReport("a", upstream.Load{Running: 1, Slowdown: 1})
	unused.sendToRelay("relay")
	calm.sendToRelay("relay")
	g.Expect(network.sent).To(gomega.BeZero())
	g.Expect(unused.cursors).To(gomega.BeEmpty())
}

// A lost or malformed datagram must change nothing; the next report arrives. A relay that
// takes over gets what is recent.
func TestSpeedsAfterLoss(t *testing.T) {
	g := gomega.NewWithT(t)
	network := &speedNetwork{nodes: map[transport.Address]*speedExchange{}}
	front, relay, other := network.add("front", true), network.add("relay", true), network.add("other relay", true)
	network.lost = true
	reportSlowness(front, 4)
	front.sendToRelay("relay")
	network.lost = false
	relay.handle("front", []byte{9, 9, 9})
	relay.handle("front", nil)
	g.Expect(relay.slowness()).To(gomega.BeEquivalentTo(1))
	front.sendToRelay("other relay")
	g.Expect(other.slowness()).To(gomega.BeNumerically(">", 2))
	time.Sleep(time.Millisecond)
	reportSlowness(front, 4)
	front.sendToRelay("relay")
	g.Expect(relay.slowness()).To(gomega.BeNumerically(">", 2))
}

// Each engine must have one prober, in its zone if possible.
func TestProberIsUnique(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := []mirror.Node{{Name: "a", Zone: "x"}, {Name: "b", Zone: "y"}, {Name: "c", Zone: "y"}, {Name: "d", Zone: "x"}}
	reversed := []mirror.Node{nodes[3], nodes[2], nodes[1], nodes[0]}
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		engine := catalog.Engine{ID: id, Zone: "y"}
		name := prober(engine, nodes)
		g.Expect(name).To(gomega.BeElementOf("b", "c"))
		g.Expect(prober(engine, reversed)).To(gomega.Equal(name))
		engine.Zone = "without nodes"
		g.Expect(prober(engine, nodes)).To(gomega.Equal(prober(engine, reversed)))
	}
	g.Expect(prober(catalog.Engine{ID: "e"}, nil)).To(gomega.BeEmpty())
}

// Updates must not be mistaken for other messages by strict decoders.
func TestEngineSpeedsKindIsItsOwn(t *testing.T) {
	g := gomega.NewWithT(t)
	update := enginespeed.Update{Slownesses: []enginespeed.SlownessEntry{{Key: 1, Slowness: 2}}}
	_, err := balance.UnmarshalReport(update.Marshal())
	g.Expect(err).To(gomega.HaveOccurred())
}
