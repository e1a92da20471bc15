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
	eventEngineCold   = telemetry.Define(2130, "engine-cold", "An engine whose service has a cold rate is cold here from now on: requests to it need permits.")
	eventEngineWarm   = telemetry.Define(2131, "engine-warm", "An engine is cold here no more; its pace rises for a while before it is lifted.")
	eventEnginePaced  = telemetry.Define(2132, "engine-paced", "A request got no permit for a cold engine, which counts as full here for the time given.")
	eventGranterAside = telemetry.Define(2133, "permits-unanswered", "A data node left asks for permits unanswered; the next in order is asked for a while.")
	eventBadPermit    = telemetry.Define(2134, "permit-message-unreadable", "A peer's datagram about permits could not be decoded and is passed over.")
)

// warmNews are engines of which peers told that they are warm, by the revisions of their
// entries. The zero value is ready.
type warmNews struct {
	mutex sync.Mutex // guards told; a leaf
	told  map[string]uint64
}

func (w *warmNews) add(id string, revision uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.told == nil {
		w.told = map[string]uint64{}
	}
	w.told[id] = revision
}

func (w *warmNews) take() map[string]uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	told := w.told
	w.told = nil
	return told
}

// warm notes that a peer has known an engine as warm for long.
func (f *facts) warm(engine catalog.Engine) {
	f.warmNews.add(engine.ID, engine.Revision)
	f.changed("")
}

// markCold tells each engine until when it is cold, and logs what changed.
func (f *facts) markCold(engines []catalog.Engine, configuration *catalog.Configuration, now time.Time) {
	var services map[string]catalog.Service
	if configuration != nil {
		services = configuration.Services
	}
	for id, revision := range f.warmNews.take() {
		f.warmth.EndCold(id, revision)
	}
	changes, again := f.warmth.Update(engines, services, now)
	for _, change := range changes {
		if change.Cold {
			eventEngineCold.Info("engine", change.Engine.ID, "service", change.Engine.Service, "zone", change.Engine.Zone,
				"left", change.Engine.ColdUntil.Sub(now), "revision", change.Engine.Revision, "maybe_past", change.Engine.ColdMaybePast)
		} else {
			eventEngineWarm.Info("engine", change.Engine.ID, "service", change.Engine.Service, "zone", change.Engine.Zone,
				"revision", change.Engine.Revision)
		}
	}
	if !again.IsZero() {
		f.lookAgainAt(again)
	}
}

// usableForBatch says whether an engine may get an item of a service now.
func (f *facts) usableForBatch(id, service string) bool {
	snapshot := f.Snapshot()
	engine, known := snapshot.Engine(id)
	return known && snapshot.Usable(id, service) && !engine.Paced(clock.Now())
}

// coldEngines counts the engines that are cold here.
func (f *facts) coldEngines() float64 {
	now, count := clock.Now(), 0
	for _, engine := range f.Snapshot().Engines() {
		if now.Before(engine.ColdUntil) {
			count++
		}
	}
	return float64(count)
}

// permits is the part of a front node that asks for permits.
type permits struct {
	peers transport.Sender
	nodes func() []mirror.Node
	warm  func(engine catalog.Engine)

	asked, granted, denied, unanswered atomic.Int64

	mutex   sync.Mutex // guards what is below; a leaf
	asker   *slowstart.Asker
	waiting map[uint64]chan slowstart.Permission
}

func newPermits(peers transport.Sender, nodes func() []mirror.Node, warm func(engine catalog.Engine)) *permits {
	return &permits{
		peers: peers, nodes: nodes, warm: warm,
		asker: slowstart.NewAsker(rand.Uint64()), waiting: map[uint64]chan slowstart.Permission{},
	}
}

// permit asks whether a paced engine may get a request.
func (p *permits) permit(ctx context.Context, request balance.PermitRequest) balance.Permission {
	engine := request.Engine
	to, permission := p.ask(ctx, request, slowstart.Granters(p.nodes(), engine))
	if permission.Warm {
		p.warm(engine)
	}
	if permission.Until.IsZero() {
		p.denied.Add(1)
		eventEnginePaced.Info("request", request.Request, "engine", engine.ID, "pause", permission.RetryAfter, "peer", to)
	} else {
		p.granted.Add(1)
	}
	return balance.Permission{Until: permission.Until, RetryAfter: permission.RetryAfter}
}

func (p *permits) ask(ctx context.Context, request balance.PermitRequest, granters []mirror.Node) (transport.Address, slowstart.Permission) {
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
		Number: number, Engine: catalog.Instance(engine.ID), Revision: engine.Revision, Factor: factorOf(request, now),
		MaybePast: engine.ColdMaybePast,
	}
	// An ask that can't be sent is like a lost one.
	_ = p.peers.Datagram(to, kindPermitAsk, ask.Marshal())
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	select {
	case permission := <-answered:
		return to, permission
	case <-timer.C:
		return to, p.giveUp(number, to, answered)
	case <-ctx.Done():
		return to, p.drop(number)
	}
}

// drop ends an ask whose request has ended, which tells nothing of the granting node.
func (p *permits) drop(number uint64) slowstart.Permission {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.waiting, number)
	p.asker.Drop(number)
	return slowstart.Permission{}
}

// factorOf is how many times its cold pace an engine may get: a step of the rise holds as
// long as nothing failed there.
func factorOf(request balance.PermitRequest, now time.Time) uint8 {
	if request.Failing {
		return 1
	}
	return uint8(request.Engine.PaceFactor(now))
}

// giveUp ends an ask that got no answer in time; one that was taken as the time ran out
// counts.
func (p *permits) giveUp(number uint64, to transport.Address, answered <-chan slowstart.Permission) slowstart.Permission {
	p.mutex.Lock()
	if _, open := p.waiting[number]; !open {
		p.mutex.Unlock()
		return <-answered // takeAnswer puts it there under the mutex
	}
	delete(p.waiting, number)
	permission, aside := p.asker.GiveUp(number, clock.Now())
	p.mutex.Unlock()
	p.unanswered.Add(1)
	if aside {
		eventGranterAside.Info("peer", to)
	}
	return permission
}

// takeAnswer takes a granting node's answer.
func (p *permits) takeAnswer(from transport.Address, payload []byte) {
	answer, err := slowstart.UnmarshalAnswer(payload)
	if err != nil {
		eventBadPermit.Error(err, "peer", from)
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

func (p *permits) gauges() map[string]gauge {
	counter := func(count *atomic.Int64) func() float64 { return func() float64 { return float64(count.Load()) } }
	return map[string]gauge{
		"chutelock_permits_asked_total":      {"Permits for cold engines that this node asked for.", counter(&p.asked)},
		"chutelock_permits_got_total":        {"Permits for cold engines that this node got.", counter(&p.granted)},
		"chutelock_permits_missed_total":     {"Requests that got no permit for the cold engine that was picked; each may be counted several times.", counter(&p.denied)},
		"chutelock_permits_unanswered_total": {"Asks for permits that no answer came to in time.", counter(&p.unanswered)},
	}
}

// granting is the part of a data node that grants permits.
type granting struct {
	self  string
	bound slowstart.Bound
	peers transport.Sender
	nodes func() []mirror.Node
	facts func() *catalog.Snapshot

	granted, refused atomic.Int64

	mutex   sync.Mutex // guards granter; a leaf
	granter *slowstart.Granter
}

func newGranting(settings *config.Node, peers transport.Sender, nodes func() []mirror.Node, facts func() *catalog.Snapshot) *granting {
	return &granting{
		self: settings.Node.Name, bound: slowstart.Bound{Overage: settings.SlowStart.Overage, Slack: settings.SlowStart.Slack},
		peers: peers, nodes: nodes, facts: facts, granter: slowstart.NewGranter(clock.Now()),
	}
}

// takeAsk answers a front node's ask.
func (g *granting) takeAsk(from transport.Address, payload []byte) {
	ask, err := slowstart.UnmarshalAsk(payload)
	if err != nil {
		eventBadPermit.Error(err, "peer", from)
		return
	}
	answer := g.answer(ask, clock.Now())
	if answer.Verdict == slowstart.Granted {
		g.granted.Add(1)
	} else {
		g.refused.Add(1)
	}
	// An answer that can't be sent is like a lost one.
	_ = g.peers.Datagram(from, kindPermitAnswer, answer.Marshal())
}

const (
	// closedPause is how long a front node asks a node for nothing that knows no
	// configuration yet: it has just started and is quiet for about as long (1.1 s).
	closedPause = time.Second
	// unknownPause is how long a front node asks a node not for an engine that this
	// doesn't know, or for which others grant by its list: in calm times all nodes know
	// of a change some 100 ms after the store's answer.
	unknownPause = 100 * time.Millisecond
)

func (g *granting) answer(ask slowstart.Ask, now time.Time) slowstart.Answer {
	answer := slowstart.Answer{Number: ask.Number, Verdict: slowstart.Unknown, RetryAfter: unknownPause}
	nodes, snapshot := g.nodes(), g.facts()
	if snapshot.Configuration == nil {
		answer.Verdict, answer.RetryAfter = slowstart.Closed, closedPause
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
	own := func(n mirror.Node) bool { return n.Name == g.self }
	if !slices.ContainsFunc(slowstart.Granters(nodes, engine), own) {
		return answer
	}
	allowance := factor * g.bound.Allowance(snapshot.Configuration.Services[engine.Service].ColdRate)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.granter.SetDataNodes(names(nodes), now)
	answer.Verdict, answer.RetryAfter = g.granter.Grant(ask.Engine, allowance, now)
	return answer
}

func names(nodes []mirror.Node) []string {
	list := make([]string, 0, len(nodes))
	for _, node := range nodes {
		list = append(list, node.Name)
	}
	return list
}

func (g *granting) gauges() map[string]gauge {
	return map[string]gauge{
		"chutelock_permits_granted_total": {"Permits for cold engines that this node granted.", func() float64 { return float64(g.granted.Load()) }},
		"chutelock_permits_denied_total":  {"Asks for permits that this node did not grant.", func() float64 { return float64(g.refused.Load()) }},
	}
}
