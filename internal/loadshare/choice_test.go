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

// dataNodes returns data nodes a0, a1, ... of zone a, and so on.
func dataNodes(zones string, each int) []mirror.Node {
	var nodes []mirror.Node
	for _, zone := range zones {
		for i := range each {
			name := fmt.Sprintf("%c%d", zone, i)
			nodes = append(nodes, mirror.Node{Name: name, Address: transport.Address(name), Zone: string(zone)})
		}
	}
	return nodes
}

// pick returns the chosen data node, or nothing.
func pick(choice *Choice, nodes []mirror.Node, leader transport.Address, now time.Time) transport.Address {
	picked, _ := choice.Pick(nodes, leader, now)
	return picked
}

func TestAllFrontNodesOfAZoneReportToOneDataNodeOfIt(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := dataNodes("abc", 4)
	first, found := NewChoice("b").Pick(nodes, "", start)
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(string(first)).To(gomega.HavePrefix("b"))
	for range 5 {
		g.Expect(pick(NewChoice("b"), nodes, "", start)).To(gomega.Equal(first))
	}
	second, _ := NewChoice("b").Pick(nodes, first, start)
	g.Expect(string(second)).To(gomega.HavePrefix("b"))
	g.Expect(second).NotTo(gomega.Equal(first), "the leader has enough to do")
}

func TestInASmallFleetTheLeaderIsToldItself(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := dataNodes("abc", 2)
	choice := NewChoice("b")
	relay, _ := choice.Pick(nodes, "a0", start)
	now := start
	for ; now.Sub(start) <= directAfter; now = now.Add(ReportInterval) {
		g.Expect(pick(choice, nodes, "a0", now)).To(gomega.Equal(relay))
		g.Expect(choice.Heard(relay, Sum{Fronts: directMost, Complete: true}, now)).To(gomega.BeTrue())
	}
	g.Expect(pick(choice, nodes, "a0", now)).To(gomega.Equal(transport.Address("a0")))
	choice.Heard("a0", Sum{Fronts: directMost + 1, Complete: true}, now)
	g.Expect(pick(choice, nodes, "a0", now)).To(gomega.Equal(relay))
}

func TestADataNodeThatDoesNotAnswerIsLeftForAWhile(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := dataNodes("ab", 3)
	choice := NewChoice("a")
	first, _ := choice.Pick(nodes, "", start)
	now := start
	var second transport.Address
	for second = first; second == first; second, _ = choice.Pick(nodes, "", now) {
		now = now.Add(ReportInterval)
	}
	g.Expect(now.Sub(start)).To(gomega.BeNumerically("~", silence, ReportInterval))
	g.Expect(string(second)).To(gomega.HavePrefix("a"))
	for ; now.Sub(start) < silence+asideTime; now = now.Add(ReportInterval) {
		choice.Heard(second, Sum{Fronts: 100, Complete: true}, now)
		picked, _ := choice.Pick(nodes, "", now)
		g.Expect(picked).To(gomega.Equal(second))
	}
	now = now.Add(2 * ReportInterval)
	choice.Heard(second, Sum{Fronts: 100, Complete: true}, now)
	g.Expect(pick(choice, nodes, "", now)).To(gomega.Equal(first))
}

func TestAFrontNodeWithoutRequestsTakesNoSilenceForALoss(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := dataNodes("a", 3)
	choice := NewChoice("a")
	first, _ := choice.Pick(nodes, "", start)
	g.Expect(pick(choice, nodes, "", start.Add(10*time.Second))).To(gomega.Equal(first))
	g.Expect(pick(choice, nodes, "", start.Add(10*time.Second+ReportInterval))).To(gomega.Equal(first))
}

func TestADataNodeThatKnowsTooLittleIsLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := dataNodes("ab", 2)
	choice := NewChoice("a")
	first, _ := choice.Pick(nodes, "", start)
	g.Expect(choice.Heard(first, Sum{Fronts: 100, Complete: true}, start)).To(gomega.BeTrue())
	now := start
	for picked := first; picked == first; picked, _ = choice.Pick(nodes, "", now) {
		better := choice.Heard(first, Sum{Fronts: 100}, now)
		g.Expect(better).To(gomega.Equal(now.Sub(start) > silence), "what was known before is better for a while")
		now = now.Add(ReportInterval)
	}
	g.Expect(now.Sub(start)).To(gomega.BeNumerically("~", silence, 2*ReportInterval))
}

func TestAZoneWithoutDataNodesUsesAnother(t *testing.T) {
	g := gomega.NewWithT(t)
	_, found := NewChoice("z").Pick(nil, "", start)
	g.Expect(found).To(gomega.BeFalse())
	first, found := NewChoice("z").Pick(dataNodes("ab", 2), "", start)
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(pick(NewChoice("z"), dataNodes("ab", 2), "", start)).To(gomega.Equal(first))
}
