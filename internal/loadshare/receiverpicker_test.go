package loadshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/transport"
)

var start = time.Unix(1_000_000, 0)

// dataNodes returns data nodes named a0, a1, ... in zone a, and likewise for each zone.
func dataNodes(zones string, perZone int) []mirror.Node {
	var nodes []mirror.Node
	for _, zone := range zones {
		for i := range perZone {
			name := fmt.Sprintf("%c%d", zone, i)
			nodes = append(nodes, mirror.Node{Name: name, Address: transport.Address(name), Zone: string(zone)})
		}
	}
	return nodes
}

// pick returns the chosen data node, or an empty address.
func pick(picker *ReceiverPicker, nodes []mirror.Node, leader transport.Address, now time.Time) transport.Address {
	picked, _ := picker.Pick(nodes, leader, now)
	return picked
}

// Front nodes of a zone must agree on a relay, and on another node than the leader.
func TestFrontNodesOfZonePickSameRelay(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := dataNodes("abc", 4)
	first, found := NewReceiverPicker("b").Pick(nodes, "", start)
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(string(first)).To(gomega.HavePrefix("b"))
	for range 5 {
		g.Expect(pick(NewReceiverPicker("b"), nodes, "", start)).To(gomega.Equal(first))
	}
	second, _ := NewReceiverPicker("b").Pick(nodes, first, start)
	g.Expect(string(second)).To(gomega.HavePrefix("b"))
	g.Expect(second).NotTo(gomega.Equal(first), "the leader ranks last")
}

// Front nodes must report to the leader while the fleet is small, and to a relay otherwise.
func TestPickerPicksLeaderInSmallFleet(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := dataNodes("abc", 2)
	picker := NewReceiverPicker("b")
	relay, _ := picker.Pick(nodes, "a0", start)
	now := start
	for ; now.Sub(start) <= directDelay; now = now.Add(ReportInterval) {
		g.Expect(pick(picker, nodes, "a0", now)).To(gomega.Equal(relay))
		g.Expect(picker.ReceiveSum(relay, Sum{Fronts: maxDirectFronts, Complete: true}, now)).To(gomega.BeTrue())
	}
	g.Expect(pick(picker, nodes, "a0", now)).To(gomega.Equal(transport.Address("a0")))
	picker.ReceiveSum("a0", Sum{Fronts: maxDirectFronts + 1, Complete: true}, now)
	g.Expect(pick(picker, nodes, "a0", now)).To(gomega.Equal(relay))
}

// A relay that does not answer must be ejected, and be used again after ejectionTime.
func TestPickerEjectsUnansweringRelay(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := dataNodes("ab", 3)
	picker := NewReceiverPicker("a")
	first, _ := picker.Pick(nodes, "", start)
	now := start
	var second transport.Address
	for second = first; second == first; second, _ = picker.Pick(nodes, "", now) {
		now = now.Add(ReportInterval)
	}
	g.Expect(now.Sub(start)).To(gomega.BeNumerically("~", answerTimeout, ReportInterval))
	g.Expect(string(second)).To(gomega.HavePrefix("a"))
	for ; now.Sub(start) < answerTimeout+ejectionTime; now = now.Add(ReportInterval) {
		picker.ReceiveSum(second, Sum{Fronts: 100, Complete: true}, now)
		picked, _ := picker.Pick(nodes, "", now)
		g.Expect(picked).To(gomega.Equal(second))
	}
	now = now.Add(2 * ReportInterval)
	picker.ReceiveSum(second, Sum{Fronts: 100, Complete: true}, now)
	g.Expect(pick(picker, nodes, "", now)).To(gomega.Equal(first))
}

// A pause without reports must not be taken for unanswered reports.
func TestIdleFrontNodeKeepsRelay(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := dataNodes("a", 3)
	picker := NewReceiverPicker("a")
	first, _ := picker.Pick(nodes, "", start)
	g.Expect(pick(picker, nodes, "", start.Add(10*time.Second))).To(gomega.Equal(first))
	g.Expect(pick(picker, nodes, "", start.Add(10*time.Second+ReportInterval))).To(gomega.Equal(first))
}

// A relay that sends only incomplete sums must be replaced after answerTimeout.
func TestPickerLeavesRelayWithIncompleteSums(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := dataNodes("ab", 2)
	picker := NewReceiverPicker("a")
	first, _ := picker.Pick(nodes, "", start)
	g.Expect(picker.ReceiveSum(first, Sum{Fronts: 100, Complete: true}, start)).To(gomega.BeTrue())
	now := start
	for picked := first; picked == first; picked, _ = picker.Pick(nodes, "", now) {
		accepted := picker.ReceiveSum(first, Sum{Fronts: 100}, now)
		g.Expect(accepted).To(gomega.Equal(now.Sub(start) > answerTimeout), "the last complete sum is kept until answerTimeout")
		now = now.Add(ReportInterval)
	}
	g.Expect(now.Sub(start)).To(gomega.BeNumerically("~", answerTimeout, 2*ReportInterval))
}

// Front nodes of a zone without data nodes must still agree on a relay.
func TestPickerFallsBackToOtherZones(t *testing.T) {
	g := gomega.NewWithT(t)
	_, found := NewReceiverPicker("z").Pick(nil, "", start)
	g.Expect(found).To(gomega.BeFalse())
	first, found := NewReceiverPicker("z").Pick(dataNodes("ab", 2), "", start)
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(pick(NewReceiverPicker("z"), dataNodes("ab", 2), "", start)).To(gomega.Equal(first))
}
