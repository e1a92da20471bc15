package system

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/config"
	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/slowstart"
	"chutelock.dev/chutelock/internal/transport"
)

// granter is the data node "a" of an engine that is known as given; it started long ago.
func granter(engine catalog.Engine, nodes ...string) *granting {
	engine.ID, engine.Service, engine.Zone = "e", "s", "z"
	configuration := &catalog.Configuration{Services: map[string]catalog.Service{"s": {ColdRate: 4}}}
	snapshot := catalog.NewSnapshot(configuration, []catalog.Engine{engine})
	var list []mirror.Node
	for _, name := range nodes {
		list = append(list, mirror.Node{Name: name, Zone: "z"})
	}
	settings := &config.Node{Node: config.Identity{Name: "a"}, SlowStart: config.SlowStart{Overage: 1.5, Slack: 5}}
	g := newGranting(settings, nil, func() []mirror.Node { return list }, func() *catalog.Snapshot { return snapshot })
	g.granter = slowstart.NewGranter(time.Now().Add(-time.Hour))
	return g
}

// grants counts the permits given at once.
func (g *granting) grants(ask slowstart.Ask, now time.Time) int {
	for count := 0; ; count++ {
		if g.answer(ask, now).Verdict != slowstart.Granted {
			return count
		}
	}
}

func TestWhatIsGrantedFollowsWhoeverKnowsOfTheColderEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	cold := catalog.Engine{Revision: 7, ColdUntil: now.Add(time.Hour), PacedUntil: now.Add(2 * time.Hour)}
	rising := catalog.Engine{Revision: 7, ColdUntil: now.Add(-1500 * time.Millisecond), PacedUntil: now.Add(time.Second)}
	// A quarter of the window gets a quarter of 4, of 8 and of 16.
	for _, one := range []struct {
		engine catalog.Engine
		ask    slowstart.Ask
		wanted int
	}{
		{cold, slowstart.Ask{Revision: 7, Factor: 1}, 1},
		{cold, slowstart.Ask{Revision: 7, Factor: 4}, 1},
		{rising, slowstart.Ask{Revision: 7, Factor: 4}, 4},
		{rising, slowstart.Ask{Revision: 7, Factor: 2}, 2},
		{rising, slowstart.Ask{Revision: 8, Factor: 4}, 1},
		{catalog.Engine{Revision: 7, Drained: true}, slowstart.Ask{Revision: 7, Factor: 4}, 1},
		{catalog.Engine{Revision: 7}, slowstart.Ask{Revision: 7, Factor: 1}, 1},
	} {
		one.ask.Engine = "e"
		g.Expect(granter(one.engine, "a").grants(one.ask, now)).To(gomega.Equal(one.wanted), "%+v", one)
	}
}

// An engine is told as warm only to who can't know, by who knows as much of it.
func TestAnEngineIsToldAsWarmOnlyToWhoCannotKnow(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	warm := catalog.Engine{Revision: 7, ColdUntil: now.Add(-time.Hour), PacedUntil: now.Add(-time.Hour)}
	verdict := func(engine catalog.Engine, ask slowstart.Ask) slowstart.Verdict {
		ask.Engine = "e"
		return granter(engine, "a").answer(ask, now).Verdict
	}
	g.Expect(verdict(warm, slowstart.Ask{Revision: 7, Factor: 1, MaybePast: true})).To(gomega.Equal(slowstart.Warm))
	g.Expect(verdict(warm, slowstart.Ask{Revision: 7, Factor: 1})).To(gomega.Equal(slowstart.Granted))
	g.Expect(verdict(warm, slowstart.Ask{Revision: 8, Factor: 1, MaybePast: true})).To(gomega.Equal(slowstart.Granted))
	cold := catalog.Engine{Revision: 7, ColdUntil: now.Add(time.Hour), PacedUntil: now.Add(time.Hour)}
	g.Expect(verdict(cold, slowstart.Ask{Revision: 7, Factor: 1, MaybePast: true})).To(gomega.Equal(slowstart.Granted))
	drained := warm
	drained.Drained = true
	g.Expect(verdict(drained, slowstart.Ask{Revision: 7, Factor: 1, MaybePast: true})).To(gomega.Equal(slowstart.Granted))
}

// Of many data nodes two grant for an engine, by anybody's list.
func TestOnlyTwoDataNodesGrantForAnEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	names := []string{"a", "b", "c", "d", "e"}
	granted := 0
	for _, self := range names {
		node := granter(catalog.Engine{}, names...)
		node.self = self
		answer := node.answer(slowstart.Ask{Engine: "e"}, time.Now())
		if answer.Verdict == slowstart.Granted {
			granted++
			continue
		}
		g.Expect(answer).To(gomega.Equal(slowstart.Answer{Verdict: slowstart.Unknown, RetryAfter: unknownPause}))
	}
	g.Expect(granted).To(gomega.Equal(2))
}

// A data node that is one of several starts no item at an engine that is paced.
func TestAnEngineThatIsPacedIsNotUsableForBatchWork(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFacts(&Adapter{}, &config.Node{})
	until := time.Now().Add(time.Hour)
	f.snapshot.Store(catalog.NewSnapshot(nil, []catalog.Engine{
		{ID: "warm", Service: "s"}, {ID: "cold", Service: "s", PacedUntil: until}, {ID: "drained", Service: "s", Drained: true},
	}))
	g.Expect(f.usableForBatch("warm", "s")).To(gomega.BeTrue())
	for _, id := range []string{"cold", "drained", "unknown"} {
		g.Expect(f.usableForBatch(id, "s")).To(gomega.BeFalse())
	}
	g.Expect(f.usable("cold", "s")).To(gomega.BeTrue())
}

func TestAFailingEngineStaysAtItsColdPace(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	rising := catalog.Engine{ColdUntil: now.Add(-1500 * time.Millisecond), PacedUntil: now.Add(time.Second)}
	g.Expect(factorOf(balance.PermitRequest{Engine: rising}, now)).To(gomega.BeEquivalentTo(4))
	g.Expect(factorOf(balance.PermitRequest{Engine: rising, Failing: true}, now)).To(gomega.BeEquivalentTo(1))
}

// A node that can't grant for one engine may for others; without a configuration for none.
func TestOnlyANodeThatGrantsNothingAtAllIsClosed(t *testing.T) {
	g := gomega.NewWithT(t)
	node := granter(catalog.Engine{}, "a")
	answer := node.answer(slowstart.Ask{Number: 3, Engine: "new"}, time.Now())
	g.Expect(answer).To(gomega.Equal(slowstart.Answer{Number: 3, Verdict: slowstart.Unknown, RetryAfter: unknownPause}))
	empty := catalog.NewSnapshot(nil, nil)
	node.facts = func() *catalog.Snapshot { return empty }
	g.Expect(node.answer(slowstart.Ask{Engine: "e"}, time.Now()).Verdict).To(gomega.Equal(slowstart.Closed))
}

// datagrams implements transport.Sender; it hands each ask to a function.
type datagrams struct {
	transport.Sender
	ask func(slowstart.Ask)
}

func (d *datagrams) Datagram(_ transport.Address, _ transport.Kind, payload []byte) error {
	ask, err := slowstart.UnmarshalAsk(payload)
	d.ask(ask)
	return err
}

// asking is a front node with one data node to ask, whose asks are handed to a function.
func asking(ask func(slowstart.Ask)) *permits {
	nodes := func() []mirror.Node { return []mirror.Node{{Name: "a", Address: "a"}} }
	return newPermits(&datagrams{ask: ask}, nodes, func(catalog.Engine) {})
}

// A caller that leaves tells nothing of the granting node.
func TestCallersThatLeaveDoNotCountAgainstAGrantingNode(t *testing.T) {
	g := gomega.NewWithT(t)
	asks := 0
	p := asking(func(slowstart.Ask) { asks++ })
	left, leave := context.WithCancel(context.Background())
	leave()
	for range 20 {
		p.permit(left, balance.PermitRequest{Engine: catalog.Engine{ID: "e"}})
	}
	g.Expect(asks).To(gomega.Equal(20))
	g.Expect(p.unanswered.Load()).To(gomega.BeZero())
	g.Expect(p.waiting).To(gomega.BeEmpty())
}

// An answer that was taken as the time for it ran out is not lost.
func TestAnAnswerTakenAsTheTimeRunsOutCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	p := asking(nil)
	answered := make(chan slowstart.Permission, 1)
	number, to, _ := p.asker.Ask("e", []transport.Address{"a"}, time.Now())
	p.waiting[number] = answered
	p.takeAnswer("a", slowstart.Answer{Number: number, Verdict: slowstart.Granted}.Marshal())
	g.Expect(p.giveUp(number, to, answered).Until.IsZero()).To(gomega.BeFalse())
	g.Expect(p.unanswered.Load()).To(gomega.BeZero())
}

// A node that can't know how old an entry is says so.
func TestAnAskTellsThatTheColdMayBePast(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, maybe := range []bool{true, false} {
		var asked slowstart.Ask
		left, leave := context.WithCancel(context.Background())
		p := asking(func(ask slowstart.Ask) { asked = ask; leave() })
		p.permit(left, balance.PermitRequest{Engine: catalog.Engine{ID: "e", Revision: 5, ColdMaybePast: maybe}})
		g.Expect(asked.MaybePast).To(gomega.Equal(maybe))
		g.Expect(asked.Revision).To(gomega.BeEquivalentTo(5))
	}
}
