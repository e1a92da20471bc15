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

// newTestServer returns the server of data node "a" with one engine, started long ago.
func newTestServer(engine catalog.Engine, nodes ...string) *permitServer {
	engine.ID, engine.Service, engine.Zone = "e", "s", "z"
	configuration := &catalog.Configuration{Services: map[string]catalog.Service{"s": {ColdRate: 4}}}
	snapshot := catalog.NewSnapshot(configuration, []catalog.Engine{engine})
	var list []mirror.Node
	for _, name := range nodes {
		list = append(list, mirror.Node{Name: name, Zone: "z"})
	}
	settings := &config.Node{Node: config.Identity{Name: "a"}, SlowStart: config.SlowStart{Overage: 1.5, Slack: 5}}
	g := newPermitServer(settings, nil, func() []mirror.Node { return list }, func() *catalog.Snapshot { return snapshot })
	g.granter = slowstart.NewGranter(time.Now().Add(-time.Hour))
	return g
}

// countGrants returns the number of permits granted at once.
func (g *permitServer) countGrants(ask slowstart.Ask, now time.Time) int {
	for count := 0; ; count++ {
		if g.answer(ask, now).Verdict != slowstart.Granted {
			return count
		}
	}
}

// Guards against granting more than the lower pace factor of the asking and the granting
// node, or more than the cold rate for another revision.
func TestPermitServerUsesLowerPaceFactor(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	cold := catalog.Engine{Revision: 7, ColdUntil: now.Add(time.Hour), PacedUntil: now.Add(2 * time.Hour)}
	rising := catalog.Engine{Revision: 7, ColdUntil: now.Add(-1500 * time.Millisecond), PacedUntil: now.Add(time.Second)}
	// The allowance is a quarter of the rate of 4, 8 or 16.
	for _, test := range []struct {
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
		test.ask.Engine = "e"
		g.Expect(newTestServer(test.engine, "a").countGrants(test.ask, now)).To(gomega.Equal(test.wanted), "%+v", test)
	}
}

// Guards against a warm verdict for a front node that knows the engine's age, or by a data
// node that has another revision of its entry.
func TestWarmVerdictOnlyForUncertainAskerWithSameRevision(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	warm := catalog.Engine{Revision: 7, ColdUntil: now.Add(-time.Hour), PacedUntil: now.Add(-time.Hour)}
	verdict := func(engine catalog.Engine, ask slowstart.Ask) slowstart.Verdict {
		ask.Engine = "e"
		return newTestServer(engine, "a").answer(ask, now).Verdict
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

// Guards against more than two data nodes granting permits for an engine.
func TestOnlyTwoDataNodesGrantPermitsForEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	names := []string{"a", "b", "c", "d", "e"}
	granted := 0
	for _, self := range names {
		node := newTestServer(catalog.Engine{}, names...)
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

// Guards against batch items at paced engines.
func TestPacedEngineNotUsableForBatch(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newCatalogTracker(&Adapter{}, &config.Node{})
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

func TestFailingEngineKeepsColdPaceFactor(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	rising := catalog.Engine{ColdUntil: now.Add(-1500 * time.Millisecond), PacedUntil: now.Add(time.Second)}
	g.Expect(paceFactor(balance.PermitRequest{Engine: rising}, now)).To(gomega.BeEquivalentTo(4))
	g.Expect(paceFactor(balance.PermitRequest{Engine: rising, Failing: true}, now)).To(gomega.BeEquivalentTo(1))
}

// Guards against front nodes avoiding a data node for all engines if it lacks only one.
func TestPermitServerClosedOnlyWithoutConfiguration(t *testing.T) {
	g := gomega.NewWithT(t)
	node := newTestServer(catalog.Engine{}, "a")
	answer := node.answer(slowstart.Ask{Number: 3, Engine: "new"}, time.Now())
	g.Expect(answer).To(gomega.Equal(slowstart.Answer{Number: 3, Verdict: slowstart.Unknown, RetryAfter: unknownPause}))
	empty := catalog.NewSnapshot(nil, nil)
	node.snapshot = func() *catalog.Snapshot { return empty }
	g.Expect(node.answer(slowstart.Ask{Engine: "e"}, time.Now()).Verdict).To(gomega.Equal(slowstart.Closed))
}

// fakeSender implements transport.Sender; it passes each ask to onAsk.
type fakeSender struct {
	transport.Sender
	onAsk func(slowstart.Ask)
}

func (s *fakeSender) Datagram(_ transport.Address, _ transport.Kind, payload []byte) error {
	ask, err := slowstart.UnmarshalAsk(payload)
	s.onAsk(ask)
	return err
}

// newTestClient returns the client of a front node with one data node.
func newTestClient(onAsk func(slowstart.Ask)) *permitClient {
	nodes := func() []mirror.Node { return []mirror.Node{{Name: "a", Address: "a"}} }
	return newPermitClient(&fakeSender{onAsk: onAsk}, nodes, func(catalog.Engine) {})
}

// Guards against counting asks as unanswered whose callers left.
func TestCanceledAskNotCountedAgainstGranter(t *testing.T) {
	g := gomega.NewWithT(t)
	asks := 0
	p := newTestClient(func(slowstart.Ask) { asks++ })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 20 {
		p.permit(ctx, balance.PermitRequest{Engine: catalog.Engine{ID: "e"}})
	}
	g.Expect(asks).To(gomega.Equal(20))
	g.Expect(p.unanswered.Load()).To(gomega.BeZero())
	g.Expect(p.waiting).To(gomega.BeEmpty())
}

// Guards against losing an answer that arrives at the timeout.
func TestAnswerReceivedAtTimeoutCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newTestClient(nil)
	answered := make(chan slowstart.Permission, 1)
	number, to, _ := p.asker.Ask("e", []transport.Address{"a"}, time.Now())
	p.waiting[number] = answered
	p.handleAnswer("a", slowstart.Answer{Number: number, Verdict: slowstart.Granted}.Marshal())
	g.Expect(p.timeOut(number, to, answered).Until.IsZero()).To(gomega.BeFalse())
	g.Expect(p.unanswered.Load()).To(gomega.BeZero())
}

// Guards against asks that omit that the age of an entry is unknown.
func TestAskCarriesColdMaybePast(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, maybe := range []bool{true, false} {
		var asked slowstart.Ask
		ctx, cancel := context.WithCancel(context.Background())
		p := newTestClient(func(ask slowstart.Ask) { asked = ask; cancel() })
		p.permit(ctx, balance.PermitRequest{Engine: catalog.Engine{ID: "e", Revision: 5, ColdMaybePast: maybe}})
		g.Expect(asked.MaybePast).To(gomega.Equal(maybe))
		g.Expect(asked.Revision).To(gomega.BeEquivalentTo(5))
	}
}
