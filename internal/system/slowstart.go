package system

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/config"
	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/slowstart"
	"chutelock.dev/chutelock/internal/telemetry"
	"chutelock.dev/chutelock/internal/transport"
)

// Datagrams about permits; see package slowstart.
const (
	kindPermitAsk    transport.Kind = transport.KindSlowStart + iota // a front node's slowstart.Ask
	kindPermitAnswer                                                 // slowstart.Answer
)

var (
	eventEngineCold           = telemetry.Define(2130, "engine-cold", "An engine of a service with a cold rate is now considered cold by this node: requests to it need permits.")
	eventEngineWarm           = telemetry.Define(2131, "engine-warm", "An engine is no longer considered cold by this node; its rate limit rises for a while before it is lifted.")
	eventEnginePaced          = telemetry.Define(2132, "engine-paced", "A request got no permit for a cold engine, which this node treats as full for the given time.")
	eventGranterSkipped       = telemetry.Define(2133, "permits-unanswered", "A data node did not answer requests for permits; the next in order is asked for a while.")
	eventPermitMessageInvalid = telemetry.Define(2134, "permit-message-unreadable", "A peer's datagram about permits could not be decoded and is ignored.")
)

// warmReports collects engines that peers reported as warm, with the revisions of their
// entries. The zero value is ready for use.
type warmReports struct {
	mutex     sync.Mutex // guards revisions; a leaf
	revisions map[string]uint64
}

func (w *warmReports) add(id string, revision uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.revisions == nil {
		w.revisions = map[string]uint64{}
	}
	w.revisions[id] = revision
}

func (w *warmReports) take() map[string]uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	revisions := w.revisions
	w.revisions = nil
	return revisions
}

// noteWarm records that a peer reported an engine as warm.
func (t *catalogTracker) noteWarm(engine catalog.Engine) {
	t.warmReports.add(engine.ID, engine.Revision)
	t.changed("")
}

// markCold sets until when each engine is cold, and logs changes.
func (t *catalogTracker) markCold(engines []catalog.Engine, configuration *catalog.Configuration, now time.Time) {
	var services map[string]catalog.Service
	if configuration != nil {
		services = configuration.Services
	}
	for id, revision := range t.warmReports.take() {
		t.coldTracker.EndCold(id, revision)
	}
	changes, nextUpdate := t.coldTracker.Update(engines, services, now)
	for _, change := range changes {
		if change.Cold {
			eventEngineCold.Info("engine", change.Engine.ID, "service", change.Engine.Service, "zone", change.Engine.Zone,
				"left", change.Engine.ColdUntil.Sub(now), "revision", change.Engine.Revision, "maybe_past", change.Engine.ColdMaybePast)
		} else {
			eventEngineWarm.Info("engine", change.Engine.ID, "service", change.Engine.Service, "zone", change.Engine.Zone,
				"revision", change.Engine.Revision)
		}
	}
	if !nextUpdate.IsZero() {
		t.refreshBy(nextUpdate)
	}
}

// usableForBatch reports whether an engine may get an item of a service now.
func (t *catalogTracker) usableForBatch(id, service string) bool {
	snapshot := t.Snapshot()
	engine, known := snapshot.Engine(id)
	return known && snapshot.Usable(id, service) && !engine.Paced(clock.Now())
}

// coldEngines returns the number of cold engines.
func (t *catalogTracker) coldEngines() float64 {
	now, count := clock.Now(), 0
	for _, engine := range t.Snapshot().Engines() {
		if now.Before(engine.ColdUntil) {
			count++
		}
	}
	return float64(count)
}

// permitClient requests permits on a front node.
type permitClient struct {
	peers    transport.Sender
	nodes    func() []mirror.Node
	noteWarm func(engine catalog.Engine)

	asked, granted, denied, unanswered atomic.Int64

	mutex   sync.Mutex // guards the fields below; a leaf
	asker   *slowstart.Asker
	waiting map[uint64]chan slowstart.Permission
}

func newPermitClient(peers transport.Sender, nodes func() []mirror.Node, noteWarm func(engine catalog.Engine)) *permitClient {
	return &permitClient{
		peers: peers, nodes: nodes, noteWarm: noteWarm,
		asker: slowstart.NewAsker(rand.Uint64()), waiting: map[uint64]chan slowstart.Permission{},
	}
}

// permit requests a permit to send a request to a paced engine.
func (p *permitClient) permit(ctx context.Context, request balance.PermitRequest) balance.Permission {
	engine := request.Engine
	to, permission := p.ask(ctx, request, slowstart.Granters(p.nodes(), engine))
	if permission.Warm {
		p.noteWarm(engine)
	}
	if permission.Until.IsZero() {
		p.denied.Add(1)
		eventEnginePaced.Info("request", request.Request, "engine", engine.ID, "pause", permission.RetryAfter, "peer", to)
	} else {
		p.granted.Add(1)
	}
	return balance.Permission{Until: permission.Until, RetryAfter: permission.RetryAfter}
}

func (p *permitClient) ask(ctx context.Context, request balance.PermitRequest, granters []mirror.Node) (transport.Address, slowstart.Permission) {
	engine := request.Engine
	addresses := make([]transport.Address, 0, len(granters))
	for _, granter := range granters {
		addresses = append(addresses, granter.Address)
	}
	answered := make(chan slowstart.Permission, 1)
	now := clock.Now()
	p.mutex.Lock()
	number, to, after := p.asker.Ask(engine.ID, addresses, now)
	if to != "" {
		p.waiting[number] = answered
	}
	p.mutex.Unlock()
	if to == "" {
		return "", slowstart.Permission{RetryAfter: after}
	}
	p.asked.Add(1)
	ask := slowstart.Ask{
		Number: number, Engine: catalog.Instance(engine.ID), Revision: engine.Revision, Factor: paceFactor(request, now),
		MaybePast: engine.ColdMaybePast,
	}
	// An unsent ask counts as lost.
	_ = p.peers.Datagram(to, kindPermitAsk, ask.Marshal())
	timer := time.NewTimer(responseTimeout)
	defer timer.Stop()
	select {
	case permission := <-answered:
		return to, permission
	case <-timer.C:
		return to, p.timeOut(number, to, answered)
	case <-ctx.Done():
		return to, p.cancel(number)
	}
}

// cancel ends an ask whose request has ended, without counting it as unanswered.
func (p *permitClient) cancel(number uint64) slowstart.Permission {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.waiting, number)
	p.asker.Drop(number)
	return slowstart.Permission{}
}

// paceFactor returns the multiple of its cold rate that an engine may get. An engine with
// failures stays at its cold rate.
func paceFactor(request balance.PermitRequest, now time.Time) uint8 {
	if request.Failing {
		return 1
	}
	return uint8(request.Engine.PaceFactor(now))
}

// timeOut ends an ask that was not answered in time. An answer handled just before the
// mutex is acquired counts.
func (p *permitClient) timeOut(number uint64, to transport.Address, answered <-chan slowstart.Permission) slowstart.Permission {
	p.mutex.Lock()
	if _, open := p.waiting[number]; !open {
		p.mutex.Unlock()
		return <-answered // sent by handleAnswer under the mutex
	}
	delete(p.waiting, number)
	permission, skipped := p.asker.GiveUp(number, clock.Now())
	p.mutex.Unlock()
	p.unanswered.Add(1)
	if skipped {
		eventGranterSkipped.Info("peer", to)
	}
	return permission
}

// handleAnswer passes a granting node's answer to the request that waits for it.
func (p *permitClient) handleAnswer(from transport.Address, payload []byte) {
	answer, err := slowstart.UnmarshalAnswer(payload)
	if err != nil {
		eventPermitMessageInvalid.Error(err, "peer", from)
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	permission, known := p.asker.HandleAnswer(answer, clock.Now())
	if !known {
		return
	}
	p.waiting[answer.Number] <- permission
	delete(p.waiting, answer.Number)
}

func (p *permitClient) gauges() map[string]gauge {
	counter := func(count *atomic.Int64) func() float64 { return func() float64 { return float64(count.Load()) } }
	return map[string]gauge{
		"chutelock_permits_asked_total":      {"Permits for cold engines that this node asked for.", counter(&p.asked)},
		"chutelock_permits_got_total":        {"Permits for cold engines that this node got.", counter(&p.granted)},
		"chutelock_permits_missed_total":     {"Requests that got no permit for the cold engine that was picked; each may be counted several times.", counter(&p.denied)},
		"chutelock_permits_unanswered_total": {"Asks for permits that no answer came to in time.", counter(&p.unanswered)},
	}
}

// permitServer grants permits on a data node.
type permitServer struct {
	self     string
	bound    slowstart.Bound
	peers    transport.Sender
	nodes    func() []mirror.Node
	snapshot func() *catalog.Snapshot

	granted, denied atomic.Int64

	mutex   sync.Mutex // guards granter; a leaf
	granter *slowstart.Granter
}

func newPermitServer(settings *config.Node, peers transport.Sender, nodes func() []mirror.Node, snapshot func() *catalog.Snapshot) *permitServer {
	return &permitServer{
		self: settings.Node.Name, bound: slowstart.Bound{RateFactor: settings.SlowStart.Overage, Slack: settings.SlowStart.Slack},
		peers: peers, nodes: nodes, snapshot: snapshot, granter: slowstart.NewGranter(clock.Now()),
	}
}

// handleAsk grants or denies the permit that a front node asks for.
func (g *permitServer) handleAsk(from transport.Address, payload []byte) {
	ask, err := slowstart.UnmarshalAsk(payload)
	if err != nil {
		eventPermitMessageInvalid.Error(err, "peer", from)
		return
	}
	answer := g.answer(ask, clock.Now())
	if answer.Verdict == slowstart.Granted {
		g.granted.Add(1)
	} else {
		g.denied.Add(1)
	}
	// An unsent answer counts as lost.
	_ = g.peers.Datagram(from, kindPermitAnswer, answer.Marshal())
}

const (
	// noConfigurationPause is how long a front node sends no asks to a data node that
	// has no configuration yet because it has just started.
	noConfigurationPause = time.Second
	// unknownPause is how long a front node sends a data node no asks for an engine that
	// this does not know, or for which it is not one of the granters. Changes usually
	// reach all nodes in that time.
	unknownPause = 100 * time.Millisecond
)

func (g *permitServer) answer(ask slowstart.Ask, now time.Time) slowstart.Answer {
	answer := slowstart.Answer{Number: ask.Number, Verdict: slowstart.Unknown, RetryAfter: unknownPause}
	nodes, snapshot := g.nodes(), g.snapshot()
	if snapshot.Configuration == nil {
		answer.Verdict, answer.RetryAfter = slowstart.Closed, noConfigurationPause
		return answer
	}
	engine, known := snapshot.Engine(ask.Engine)
	if !known {
		return answer
	}
	factor := max(1, int(ask.Factor))
	switch {
	case engine.Revision != ask.Revision, engine.Drained:
		factor = 1
	case engine.Paced(now):
		factor = min(factor, engine.PaceFactor(now))
	case ask.MaybePast:
		return slowstart.Answer{Number: ask.Number, Verdict: slowstart.Warm}
	}
	isSelf := func(n mirror.Node) bool { return n.Name == g.self }
	if !slices.ContainsFunc(slowstart.Granters(nodes, engine), isSelf) {
		return answer
	}
	allowance := factor * g.bound.Allowance(snapshot.Configuration.Services[engine.Service].ColdRate)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.granter.SetDataNodes(nodeNames(nodes), now)
	answer.Verdict, answer.RetryAfter = g.granter.Grant(ask.Engine, allowance, now)
	return answer
}

func nodeNames(nodes []mirror.Node) []string {
	names := make([]string, 0, len(nodes))
	for _, node := range nodes {
		names = append(names, node.Name)
	}
	return names
}

func (g *permitServer) gauges() map[string]gauge {
	return map[string]gauge{
		"chutelock_permits_granted_total": {"Permits for cold engines that this node granted.", func() float64 { return float64(g.granted.Load()) }},
		"chutelock_permits_denied_total":  {"Asks for permits that this node did not grant.", func() float64 { return float64(g.denied.Load()) }},
	}
}
