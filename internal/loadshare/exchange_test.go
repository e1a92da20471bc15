package loadshare

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/transport"
)

const engine = balance.EngineKey(7)

func onlineLoad(count int) balance.Report {
	if count == 0 {
		return balance.Report{}
	}
	return balance.Report{engine: {Counts: balance.Counts{count, 0}}}
}

func batchLoad(count int) balance.Report {
	return balance.Report{engine: {Counts: balance.Counts{0, count}}}
}

// Messages must decode to what was encoded, and truncated ones must be rejected.
func TestMessagesRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	sum := Sum{Fronts: 250, Complete: true, Load: onlineLoad(3)}
	g.Expect(UnmarshalSum(sum.Marshal())).To(gomega.Equal(sum))
	share := Share{Fronts: 50, Active: true, Load: batchLoad(4)}
	g.Expect(UnmarshalShare(share.Marshal())).To(gomega.Equal(share))
	_, err := UnmarshalShare([]byte{messageVersion, 1})
	g.Expect(err).To(gomega.HaveOccurred())
}

// fleet simulates front nodes and data nodes in virtual time. Datagrams arrive at once
// unless a node is down or isolated from other data nodes.
type fleet struct {
	nodes           []mirror.Node
	leader          transport.Address
	leaderLoad      balance.Report // batch load of the leader
	exchanges       map[transport.Address]*Exchange
	tables          map[transport.Address]*balance.Table
	fronts          []*simulatedFront
	down            map[transport.Address]bool
	isolated        map[transport.Address]bool
	partitionedZone string // the zone that is cut off from the others, or empty
	interZone       int    // number of datagrams between zones
	urgent          bool
	now             time.Time
}

type simulatedFront struct {
	address transport.Address
	zone    string
	picker  *ReceiverPicker
	count   int
	sum     balance.Report
	heardAt time.Time
	// answeredAt is the time of the last sum, complete or not.
	answeredAt time.Time
}

func newFleet(zones string, dataNodesPerZone, frontsPerZone int) *fleet {
	f := &fleet{
		nodes: dataNodes(zones, dataNodesPerZone), leaderLoad: balance.Report{}, now: start, down: map[transport.Address]bool{}, isolated: map[transport.Address]bool{},
		exchanges: map[transport.Address]*Exchange{}, tables: map[transport.Address]*balance.Table{},
	}
	for _, node := range f.nodes {
		f.exchanges[node.Address], f.tables[node.Address] = NewExchange(node), balance.NewTable()
	}
	for _, zone := range zones {
		for i := range frontsPerZone {
			f.fronts = append(f.fronts, &simulatedFront{
				address: transport.Address(fmt.Sprintf("front-%c%d", zone, i)), zone: string(zone), picker: NewReceiverPicker(string(zone)), count: 1,
			})
		}
	}
	return f
}

// reachable says that datagrams pass between two zones.
func (f *fleet) reachable(a, b string) bool {
	return a == b || (a != f.partitionedZone && b != f.partitionedZone)
}

func (f *fleet) zoneOf(address transport.Address) string {
	index := slices.IndexFunc(f.nodes, func(n mirror.Node) bool { return n.Address == address })
	return f.nodes[index].Zone
}

// run simulates a span of time, with the front nodes' reports spread evenly.
func (f *fleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(UrgentInterval) {
		for i, front := range f.fronts {
			if step := f.now.Sub(start) / UrgentInterval; int(step)%4 == i%4 && front.count > 0 {
				f.sendReport(front)
			}
		}
		for _, node := range f.nodes {
			if !f.down[node.Address] {
				f.sendShares(node)
			}
		}
	}
}

func (f *fleet) sendReport(front *simulatedFront) {
	to, found := front.picker.Pick(f.nodes, f.leader, f.now)
	if !found || f.down[to] || !f.reachable(front.zone, f.zoneOf(to)) {
		return
	}
	front.answeredAt = f.now
	if f.zoneOf(to) != front.zone {
		f.interZone += 2
	}
	exchange, table := f.exchanges[to], f.tables[to]
	exchange.Report(front.address, onlineLoad(front.count), f.now)
	table.SetPeerLoad(string(front.address), onlineLoad(front.count), f.now)
	sum := Sum{Fronts: exchange.Fronts(f.now), Complete: exchange.Complete(f.now), Load: f.knownLoad(to)}
	if front.picker.ReceiveSum(to, sum, f.now) {
		front.sum, front.heardAt = sum.Load, f.now
	}
}

func (f *fleet) knownLoad(at transport.Address) balance.Report {
	all := f.tables[at].TotalReport(f.now)
	if at == f.leader {
		all.Add(f.leaderLoad)
	}
	return all
}

func (f *fleet) sendShares(node mirror.Node) {
	exchange := f.exchanges[node.Address]
	var local balance.Report
	if node.Address == f.leader {
		local = f.leaderLoad
	}
	share := exchange.OwnShare(local, f.now)
	for _, to := range exchange.Due(f.nodes, f.leader, f.urgent, f.now) {
		if f.zoneOf(to) != node.Zone {
			f.interZone++
		}
		if f.down[to] || f.isolated[to] || f.isolated[node.Address] || !f.reachable(node.Zone, f.zoneOf(to)) {
			continue
		}
		f.exchanges[to].Share(node.Address, share, f.now)
		f.tables[to].SetPeerLoad(string(node.Address), share.Load, f.now)
	}
	for _, peer := range exchange.Lapsed(f.now) {
		f.tables[node.Address].RemovePeer(string(peer))
	}
}

func (f *fleet) total() int {
	total := 0
	for _, front := range f.fronts {
		total += front.count
	}
	return total
}

// expectFullLoad expects each front node to know all requests and the leader's load.
func (f *fleet) expectFullLoad(g *gomega.WithT) {
	for _, front := range f.fronts {
		g.Expect(f.now.Sub(front.heardAt)).To(gomega.BeNumerically("<=", answerTimeout+2*ReportInterval))
		g.Expect(front.sum[engine].Counts[balance.ClassOnline]).To(gomega.Equal(f.total()), "front %s", front.address)
		if f.leader != "" {
			g.Expect(front.sum[engine].Counts[balance.ClassBatch]).To(gomega.Equal(f.leaderLoad[engine].Counts[balance.ClassBatch]))
		}
	}
}

// Front nodes must know the load of all zones, also after the leader is lost.
func TestSumsCoverAllLoadWithAndWithoutLeader(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet("abcde", 3, 20)
	f.leader, f.leaderLoad = "c1", batchLoad(9)
	f.run(time.Second)
	f.expectFullLoad(g)
	f.down["c1"], f.leader = true, ""
	f.run(time.Second)
	f.expectFullLoad(g)
}

// The number of datagrams between zones must depend on the number of zones only.
func TestInterZoneDatagramsDoNotGrowWithFrontNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	counts := map[int]int{}
	for _, frontsPerZone := range []int{10, 50} {
		f := newFleet("abcde", 3, frontsPerZone)
		f.leader, f.leaderLoad, f.urgent = "c1", batchLoad(9), true
		f.run(time.Second)
		f.interZone = 0
		f.run(time.Second)
		counts[frontsPerZone] = f.interZone
	}
	g.Expect(counts[50]).To(gomega.Equal(counts[10]))
	// Five relays each send to four others, and four of them to a leader in another zone;
	// reports of 50 front nodes in each of four zones, with answers, would be 5000.
	g.Expect(counts[50]).To(gomega.BeNumerically("<=", 900))
}

// A small fleet must cause no shares between relays while it has a leader.
func TestSmallFleetReportsOnlyToLeader(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet("abc", 1, 3)
	f.leader, f.leaderLoad = "b0", batchLoad(9)
	f.run(4 * time.Second)
	f.expectFullLoad(g)
	f.interZone = 0
	f.run(time.Second)
	g.Expect(f.interZone).To(gomega.BeNumerically("<=", 2*6*13), "reports of six front nodes in other zones, and answers")
	f.down["b0"], f.leader = true, ""
	f.run(time.Second)
	f.expectFullLoad(g)
}

// A lost relay must be replaced soon, and its return must not make sums wrong.
func TestLostRelayIsReplacedWithinTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet("abc", 3, 20)
	f.leader, f.leaderLoad = "c1", batchLoad(9)
	f.run(time.Second)
	relay, _ := NewReceiverPicker("a").Pick(f.nodes, f.leader, f.now)
	f.down[relay] = true
	f.run(answerTimeout + warmupTime + 3*ReportInterval)
	f.expectFullLoad(g)
	f.down[relay] = false
	f.run(ejectionTime + time.Second)
	f.expectFullLoad(g)
}

// Relays of one zone must exchange shares without a leader, too, or front nodes that
// have ejected the first relay would not be known to the others.
func TestSumsCoverZoneWithTwoRelays(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet("abc", 3, 20)
	first, _ := NewReceiverPicker("a").Pick(f.nodes, "", f.now)
	for _, front := range f.fronts[:10] {
		front.picker.ejectedUntil[first] = f.now.Add(time.Hour)
	}
	f.run(2 * time.Second)
	f.expectFullLoad(g)
	g.Expect(f.fronts[0].picker.chosen).NotTo(gomega.Equal(f.fronts[10].picker.chosen))
}

// A relay that reaches front nodes but no data nodes must be replaced.
func TestIsolatedRelayIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet("abc", 3, 20)
	f.leader, f.leaderLoad = "c1", batchLoad(9)
	f.run(time.Second)
	relay, _ := NewReceiverPicker("a").Pick(f.nodes, f.leader, f.now)
	f.isolated[relay] = true
	f.run(time.Second)
	f.expectFullLoad(g)
}

// Idle zones must answer shares, and an idle fleet must send none.
func TestIdleZoneAnswersSharesThenStopsSending(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet("abc", 2, 20)
	for _, front := range f.fronts {
		if front.zone != "a" {
			front.count = 0
		}
	}
	f.leader = "c1"
	f.run(2 * time.Second)
	for _, front := range f.fronts[:20] {
		g.Expect(front.sum[engine].Counts[balance.ClassOnline]).To(gomega.Equal(20))
	}
	relay, _ := NewReceiverPicker("a").Pick(f.nodes, f.leader, f.now)
	g.Expect(f.exchanges[relay].Complete(f.now)).To(gomega.BeTrue(), "peers without load answer, too")
	for _, front := range f.fronts {
		front.count = 0
	}
	f.run(2 * time.Second)
	f.interZone = 0
	f.run(time.Second)
	g.Expect(f.interZone).To(gomega.BeZero())
}

// After random losses and isolations of data nodes, sums must become complete again.
func TestSumsRecoverAfterRandomLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet("abc", rapid.IntRange(1, 3).Draw(t, "each"), 14)
		pick := func(label string) transport.Address {
			return rapid.SampledFrom(f.nodes).Draw(t, label).Address
		}
		f.leader, f.leaderLoad = pick("leader"), batchLoad(9)
		for range rapid.IntRange(1, 5).Draw(t, "losses") {
			lost := pick("lost")
			if rapid.Bool().Draw(t, "cut") {
				f.isolated[lost] = true
			} else {
				f.down[lost] = true
			}
			f.run(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "leader moves") {
				f.leader = pick("new leader")
			}
		}
		clear(f.down)
		clear(f.isolated)
		f.run(4 * time.Second)
		f.expectFullLoad(gomega.NewWithT(t))
	})
}
