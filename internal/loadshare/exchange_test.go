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

func online(count int) balance.Report {
	if count == 0 {
		return balance.Report{}
	}
	return balance.Report{engine: {Counts: balance.Counts{count, 0}}}
}

func batch(count int) balance.Report {
	return balance.Report{engine: {Counts: balance.Counts{0, count}}}
}

func TestMessagesCarryWhatTheySay(t *testing.T) {
	g := gomega.NewWithT(t)
	sum := Sum{Fronts: 250, Complete: true, Load: online(3)}
	g.Expect(UnmarshalSum(sum.Marshal())).To(gomega.Equal(sum))
	share := Share{Fronts: 50, Active: true, Load: batch(4)}
	g.Expect(UnmarshalShare(share.Marshal())).To(gomega.Equal(share))
	_, err := UnmarshalShare([]byte{messageVersion, 1})
	g.Expect(err).To(gomega.HaveOccurred())
}

// fleet is data nodes with exchanges and tables, in virtual time. Datagrams
// arrive at once, unless a node is down or cut off from other data nodes.
type fleet struct {
	nodes     []mirror.Node
	leader    transport.Address
	runs      balance.Report // of the leader
	exchanges map[transport.Address]*Exchange
	tables    map[transport.Address]*balance.Table
	fronts    []*simulatedFront
	down      map[transport.Address]bool
	cut       map[transport.Address]bool
	parted    string // a zone that is cut off from the others; empty for none
	crossing  int    // datagrams between zones
	pressed   bool
	now       time.Time
}

type simulatedFront struct {
	address transport.Address
	zone    string
	choice  *Choice
	count   int
	sum     balance.Report
	heardAt time.Time
	// answeredAt is the last sum, complete or not.
	answeredAt time.Time
}

func newFleet(zones string, dataEach, frontsEach int) *fleet {
	f := &fleet{
		nodes: dataNodes(zones, dataEach), runs: balance.Report{}, now: start, down: map[transport.Address]bool{}, cut: map[transport.Address]bool{},
		exchanges: map[transport.Address]*Exchange{}, tables: map[transport.Address]*balance.Table{},
	}
	for _, node := range f.nodes {
		f.exchanges[node.Address], f.tables[node.Address] = NewExchange(node), balance.NewTable()
	}
	for _, zone := range zones {
		for i := range frontsEach {
			f.fronts = append(f.fronts, &simulatedFront{
				address: transport.Address(fmt.Sprintf("front-%c%d", zone, i)), zone: string(zone), choice: NewChoice(string(zone)), count: 1,
			})
		}
	}
	return f
}

// reach says that datagrams pass between two zones.
func (f *fleet) reach(a, b string) bool { return a == b || (a != f.parted && b != f.parted) }

func (f *fleet) zoneOf(address transport.Address) string {
	at := slices.IndexFunc(f.nodes, func(n mirror.Node) bool { return n.Address == address })
	return f.nodes[at].Zone
}

// run lets time pass in steps; front nodes report in turn.
func (f *fleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(PressInterval) {
		for i, front := range f.fronts {
			if step := f.now.Sub(start) / PressInterval; int(step)%4 == i%4 && front.count > 0 {
				f.report(front)
			}
		}
		for _, node := range f.nodes {
			if !f.down[node.Address] {
				f.share(node)
			}
		}
	}
}

func (f *fleet) report(front *simulatedFront) {
	to, found := front.choice.Pick(f.nodes, f.leader, f.now)
	if !found || f.down[to] || !f.reach(front.zone, f.zoneOf(to)) {
		return
	}
	front.answeredAt = f.now
	if f.zoneOf(to) != front.zone {
		f.crossing += 2
	}
	exchange, table := f.exchanges[to], f.tables[to]
	exchange.Report(front.address, online(front.count), f.now)
	table.PeerLoad(string(front.address), online(front.count), f.now)
	sum := Sum{Fronts: exchange.Fronts(f.now), Complete: exchange.Complete(f.now), Load: f.all(to)}
	if front.choice.Heard(to, sum, f.now) {
		front.sum, front.heardAt = sum.Load, f.now
	}
}

func (f *fleet) all(at transport.Address) balance.Report {
	all := f.tables[at].All(f.now)
	if at == f.leader {
		all.Add(f.runs)
	}
	return all
}

func (f *fleet) share(node mirror.Node) {
	exchange := f.exchanges[node.Address]
	var runs balance.Report
	if node.Address == f.leader {
		runs = f.runs
	}
	share := exchange.Own(runs, f.now)
	for _, to := range exchange.Due(f.nodes, f.leader, f.pressed, f.now) {
		if f.zoneOf(to) != node.Zone {
			f.crossing++
		}
		if f.down[to] || f.cut[to] || f.cut[node.Address] || !f.reach(node.Zone, f.zoneOf(to)) {
			continue
		}
		f.exchanges[to].Share(node.Address, share, f.now)
		f.tables[to].PeerLoad(string(node.Address), share.Load, f.now)
	}
	for _, peer := range exchange.Lapsed(f.now) {
		f.tables[node.Address].PeerGone(string(peer))
	}
}

func (f *fleet) total() int {
	total := 0
	for _, front := range f.fronts {
		total += front.count
	}
	return total
}

// expectAllKnow says that each front node knows of all requests and runs.
func (f *fleet) expectAllKnow(g *gomega.WithT) {
	for _, front := range f.fronts {
		g.Expect(f.now.Sub(front.heardAt)).To(gomega.BeNumerically("<=", silence+2*ReportInterval))
		g.Expect(front.sum[engine].Counts[balance.ClassOnline]).To(gomega.Equal(f.total()), "front %s", front.address)
		if f.leader != "" {
			g.Expect(front.sum[engine].Counts[balance.ClassBatch]).To(gomega.Equal(f.runs[engine].Counts[balance.ClassBatch]))
		}
	}
}

func TestEveryFrontNodeKnowsOfAllWithAndWithoutALeader(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet("abcde", 3, 20)
	f.leader, f.runs = "c1", batch(9)
	f.run(time.Second)
	f.expectAllKnow(g)
	f.down["c1"], f.leader = true, ""
	f.run(time.Second)
	f.expectAllKnow(g)
}

func TestDatagramsBetweenZonesDoNotGrowWithFrontNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	counts := map[int]int{}
	for _, each := range []int{10, 50} {
		f := newFleet("abcde", 3, each)
		f.leader, f.runs, f.pressed = "c1", batch(9), true
		f.run(time.Second)
		f.crossing = 0
		f.run(time.Second)
		counts[each] = f.crossing
	}
	g.Expect(counts[50]).To(gomega.Equal(counts[10]))
	// Five relays, four others and a leader in another zone for four of them;
	// all fifty front nodes of four zones and their answers would be 5000.
	g.Expect(counts[50]).To(gomega.BeNumerically("<=", 900))
}

func TestASmallFleetReportsToItsLeaderOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet("abc", 1, 3)
	f.leader, f.runs = "b0", batch(9)
	f.run(4 * time.Second)
	f.expectAllKnow(g)
	f.crossing = 0
	f.run(time.Second)
	g.Expect(f.crossing).To(gomega.BeNumerically("<=", 2*6*13), "reports and answers of the six of other zones")
	f.down["b0"], f.leader = true, ""
	f.run(time.Second)
	f.expectAllKnow(g)
}

func TestALostRelayIsReplacedWithinItsSilence(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet("abc", 3, 20)
	f.leader, f.runs = "c1", batch(9)
	f.run(time.Second)
	relay, _ := NewChoice("a").Pick(f.nodes, f.leader, f.now)
	f.down[relay] = true
	f.run(silence + beginTime + 3*ReportInterval)
	f.expectAllKnow(g)
	f.down[relay] = false
	f.run(asideTime + time.Second)
	f.expectAllKnow(g)
}

// TestAZoneWhoseFrontNodesUseTwoRelaysIsKnownWhole: half of the front nodes have
// set the zone's first relay aside, and without a leader nobody brings the two
// relays together.
func TestAZoneWhoseFrontNodesUseTwoRelaysIsKnownWhole(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet("abc", 3, 20)
	first, _ := NewChoice("a").Pick(f.nodes, "", f.now)
	for _, front := range f.fronts[:10] {
		front.choice.aside[first] = f.now.Add(time.Hour)
	}
	f.run(2 * time.Second)
	f.expectAllKnow(g)
	g.Expect(f.fronts[0].choice.chosen).NotTo(gomega.Equal(f.fronts[10].choice.chosen))
}

func TestARelayThatIsCutOffFromDataNodesIsLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet("abc", 3, 20)
	f.leader, f.runs = "c1", batch(9)
	f.run(time.Second)
	relay, _ := NewChoice("a").Pick(f.nodes, f.leader, f.now)
	f.cut[relay] = true
	f.run(time.Second)
	f.expectAllKnow(g)
}

func TestAZoneWithoutRequestsAnswersAndFallsSilent(t *testing.T) {
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
	relay, _ := NewChoice("a").Pick(f.nodes, f.leader, f.now)
	g.Expect(f.exchanges[relay].Complete(f.now)).To(gomega.BeTrue(), "the others answer, though they have nothing to tell")
	for _, front := range f.fronts {
		front.count = 0
	}
	f.run(2 * time.Second)
	f.crossing = 0
	f.run(time.Second)
	g.Expect(f.crossing).To(gomega.BeZero())
}

// TestLoadIsKnownAgainSoonAfterLosses loses and cuts off data nodes at random;
// once that ends, all know of all.
func TestLoadIsKnownAgainSoonAfterLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet("abc", rapid.IntRange(1, 3).Draw(t, "each"), 14)
		pick := func(label string) transport.Address {
			return rapid.SampledFrom(f.nodes).Draw(t, label).Address
		}
		f.leader, f.runs = pick("leader"), batch(9)
		for range rapid.IntRange(1, 5).Draw(t, "losses") {
			lost := pick("lost")
			if rapid.Bool().Draw(t, "cut") {
				f.cut[lost] = true
			} else {
				f.down[lost] = true
			}
			f.run(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "leader moves") {
				f.leader = pick("new leader")
			}
		}
		clear(f.down)
		clear(f.cut)
		f.run(4 * time.Second)
		f.expectAllKnow(gomega.NewWithT(t))
	})
}
