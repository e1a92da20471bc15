package system

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/forward"
	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/origin"
	"chutelock.dev/chutelock/internal/transport"
)

// originClient records the beginnings of a front node's streams and finds those of others.
type originClient struct {
	store *originStore
	peers transport.Sender
	nodes func() []mirror.Node
	// fronts lists some peers, of which front nodes answer for others.
	fronts func() []transport.Address
	region string
	// history returns what this node has seen of a route's releases. A sole release isn't proved by it.
	history func(host, prefix string, life time.Duration) origin.Answer
	// proveRoute returns the sole release of a route, proved by this node itself; see releaseProver.
	proveRoute func(ctx context.Context, host, prefix string, life time.Duration) origin.Answer
	// listAge returns the time since the list of engines was last confirmed. From maxListAge on, other nodes
	// may not be able to prove a sole release, either.
	listAge    func() time.Duration
	maxListAge time.Duration
	found      *prometheus.CounterVec
	lives      callerLives
}

// callCount counts calls to data nodes, and those to front nodes, for one request.
type callCount struct{ made, answered, toFronts atomic.Int32 }

func newOriginClient(c *core) *originClient {
	client := &originClient{
		store: newOriginStore(), peers: c.peers, nodes: c.agent.Nodes, fronts: c.agent.Seeds, region: c.settings.Node.Region,
		history: func(host, prefix string, life time.Duration) origin.Answer {
			return c.catalog.history.ofRoute(host, prefix, c.settings.Platform.Leave, life)
		},
		proveRoute: newReleaseProver(c).proveRoute, maxListAge: c.settings.Platform.Leave,
		listAge: func() time.Duration { return c.agent.Age(c.adapter.EnginesKind) },
		found: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chutelock_stream_origins_total",
			Help: "Requests that continue a stream, by what tells the release that began it: own-record, record or sole-release; none and several-releases are refused.",
		}, []string{"source"}),
	}
	c.registry.MustRegister(client.found)
	return client
}

// began records the release that began a request's stream. While it is likely the only one of the
// route, other nodes can prove that without a record and none is sent, which began reports.
func (o *originClient) began(request *forward.Request, route *catalog.Route, release catalog.Release) (recorded bool) {
	record := origin.Record{Key: origin.KeyOf(request.Tenant, request.Stream()), Release: release}
	o.store.put(record)
	o.lives.observe(route.Name, lifeOf(request))
	if known := o.history(route.Host, route.Prefix, o.lives.longest(route.Name)); known.Source == origin.SourceSole && known.Release == release && o.listAge() <= o.maxListAge {
		return false
	}
	o.send(record)
	return true
}

// send sends a record to the stream's homes. It doesn't wait for them.
func (o *originClient) send(record origin.Record) {
	message := record.Marshal()
	for _, home := range origin.Homes(o.nodes(), o.region, record.Key) {
		// An unsent record counts as lost: the stream can then be continued only with the
		// other copy.
		_ = o.peers.Datagram(home.Address, kindOriginRecord, message)
	}
}

// find returns the release that began the stream which a request continues.
func (o *originClient) find(ctx context.Context, request *forward.Request, route *catalog.Route) (catalog.Release, bool) {
	started := clock.Now()
	calls := &callCount{}
	release, source := o.lookUp(ctx, request, route, calls)
	o.found.WithLabelValues(source).Inc()
	eventOrigin.Info("request", request.ID, "continues", request.Resumes, "route", route.Name, "last_event", request.LastEvent,
		"source", source, "service", release.Service, "version", release.Version, "calls", calls.made.Load(), "answers", calls.answered.Load(),
		"front_calls", calls.toFronts.Load(), "list_age", o.listAge(), "took", clock.Since(started))
	return release, release != (catalog.Release{})
}

// lookUp returns the release, zero if unknown, and what tells it. The absence of a record proves nothing, as
// the nodes that have it may be out of reach.
func (o *originClient) lookUp(ctx context.Context, request *forward.Request, route *catalog.Route, calls *callCount) (catalog.Release, string) {
	query := o.query(request, route)
	named := request.Resumes != ""
	if named {
		if release, found := o.store.get(query.Key); found {
			return release, sourceOwn
		}
	}
	if known := o.history(query.Host, query.Prefix, query.Life); known.Source == origin.SourceSeveral {
		query.Host = "" // no proof is possible
		if !named {
			return catalog.Release{}, known.Source.String()
		}
	}
	answer := o.search(ctx, query, named, calls)
	if answer.Release == (catalog.Release{}) && named && calls.answered.Load() > 0 {
		clock.Sleep(ctx, originRetryDelay)
		if late := o.ask(ctx, o.region, origin.Query{Key: query.Key}, calls); late.Source == origin.SourceRecord {
			answer = late
		}
	}
	return answer.Release, answer.Source.String()
}

// search asks data nodes, of all regions if there may be a record. If none answers soon, it looks elsewhere, too.
func (o *originClient) search(ctx context.Context, query origin.Query, named bool, calls *callCount) origin.Answer {
	ctx, cancel := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	asked, elsewhere := make(chan origin.Answer, 1), make(chan origin.Answer, 1)
	tasks.Go(func() { asked <- o.askDataNodes(ctx, query, named, calls) })
	tasks.Go(func() { elsewhere <- o.searchElsewhere(ctx, query, named, calls) })
	select {
	case answer := <-asked:
		if answer.Source != origin.SourceNone {
			return answer
		}
		return <-elsewhere
	case answer := <-elsewhere:
		if answer.Release != (catalog.Release{}) {
			return answer
		}
		return <-asked
	}
}

// askDataNodes asks the first prover for a proof, and the likely homes for a record if the stream may have one.
func (o *originClient) askDataNodes(ctx context.Context, query origin.Query, named bool, calls *callCount) origin.Answer {
	var sources []func(ctx context.Context) origin.Answer
	if query.Host != "" {
		sources = append(sources, func(ctx context.Context) origin.Answer {
			provers := origin.Provers(o.nodes(), o.region)
			return o.askAll(ctx, provers[:min(1, len(provers))], query, proverTimeout, calls)
		})
	}
	if named {
		record := origin.Query{Key: query.Key}
		sources = append(sources, func(ctx context.Context) origin.Answer { return o.askRegions(ctx, record, calls) })
	}
	return firstAnswer(ctx, sources)
}

// searchElsewhere looks for a proof by this node itself or another data node, and asks other front nodes, which
// may have begun the stream or reach the data nodes.
func (o *originClient) searchElsewhere(ctx context.Context, query origin.Query, named bool, calls *callCount) origin.Answer {
	clock.Sleep(ctx, elsewhereDelay)
	if ctx.Err() != nil {
		return origin.Answer{}
	}
	ctx, cancel := context.WithTimeout(ctx, proverTimeout)
	defer cancel()
	var sources []func(ctx context.Context) origin.Answer
	if query.Host != "" {
		sources = append(sources, func(ctx context.Context) origin.Answer {
			ctx, cancel := context.WithTimeout(ctx, proofTimeout)
			defer cancel()
			return o.proveRoute(ctx, query.Host, query.Prefix, query.Life)
		}, func(ctx context.Context) origin.Answer {
			provers := origin.Provers(o.nodes(), o.region)
			return o.askAll(ctx, provers[min(1, len(provers)):], query, proverTimeout, calls)
		})
	}
	if named && calls.answered.Load() == 0 {
		for _, front := range o.fronts() {
			sources = append(sources, func(ctx context.Context) origin.Answer {
				calls.toFronts.Add(1)
				reply, err := o.peers.Call(ctx, front, kindOriginRelay, query.Marshal())
				return decodeAnswer(front, reply, err)
			})
		}
	}
	return firstAnswer(ctx, sources)
}

// handleRelay answers a front node that can't reach data nodes, by this node's record or by what data nodes
// answer.
func (o *originClient) handleRelay(ctx context.Context, from transport.Address, payload []byte) ([]byte, error) {
	query, err := origin.UnmarshalQuery(payload)
	if err != nil {
		eventOriginInvalid.Error(err, "peer", from)
		return nil, err
	}
	if release, found := o.store.get(query.Key); found {
		return origin.Answer{Source: origin.SourceRecord, Release: release}.Marshal(), nil
	}
	return o.askDataNodes(ctx, query, true, &callCount{}).Marshal(), nil
}

// query returns the question for a request. A route has no sole release if its streams may have begun at
// several services, or may last without bound.
func (o *originClient) query(request *forward.Request, route *catalog.Route) origin.Query {
	query := origin.Query{Key: origin.KeyOf(request.Tenant, request.Stream())}
	if len(route.Services()) == 1 && route.Timeout > 0 {
		query.Host, query.Prefix = route.Host, route.Prefix
		query.Life = max(o.lives.longest(route.Name), lifeOf(request))
	}
	return query
}

// askRegions asks the likely homes in this node's region, then those in one other region after another, until
// one has a record.
func (o *originClient) askRegions(ctx context.Context, query origin.Query, calls *callCount) origin.Answer {
	for _, region := range origin.Regions(o.nodes(), o.region) {
		if answer := o.ask(ctx, region, query, calls); answer.Source == origin.SourceRecord {
			return answer
		}
	}
	return origin.Answer{}
}

// ask asks the likely homes in a region at the same time.
func (o *originClient) ask(ctx context.Context, region string, query origin.Query, calls *callCount) origin.Answer {
	return o.askAll(ctx, origin.Candidates(o.nodes(), region, query.Key), query, originTimeout, calls)
}

// askAll asks data nodes at the same time.
func (o *originClient) askAll(ctx context.Context, nodes []mirror.Node, query origin.Query, timeout time.Duration, calls *callCount) origin.Answer {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sources := make([]func(ctx context.Context) origin.Answer, 0, len(nodes))
	for _, node := range nodes {
		sources = append(sources, func(ctx context.Context) origin.Answer { return o.askNode(ctx, node.Address, query, calls) })
	}
	return firstAnswer(ctx, sources)
}

// firstAnswer asks several sources at the same time. It returns at once if one has a record, soon after one
// has a proof, else once all have answered. That several releases served outweighs a proof.
func firstAnswer(ctx context.Context, sources []func(ctx context.Context) origin.Answer) (best origin.Answer) {
	ctx, cancel := context.WithCancel(ctx)
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	answers := make(chan origin.Answer, len(sources))
	for _, ask := range sources {
		calls.Go(func() { answers <- ask(ctx) })
	}
	for range sources {
		answer := <-answers
		switch answer.Source {
		case origin.SourceRecord:
			return answer
		case origin.SourceSole:
			if best.Source == origin.SourceNone {
				best = answer
				defer time.AfterFunc(recordGrace, cancel).Stop()
			}
		case origin.SourceSeveral:
			best = answer
		}
	}
	return best
}

// askNode returns a data node's answer; one without a source if there is none.
func (o *originClient) askNode(ctx context.Context, address transport.Address, query origin.Query, count *callCount) origin.Answer {
	count.made.Add(1)
	reply, err := o.peers.Call(ctx, address, kindOriginQuery, query.Marshal())
	if transport.Unhandled(err) {
		// A data node of an earlier version proves nothing: ask for a record only.
		reply, err = o.peers.Call(ctx, address, kindOriginQueryV1, origin.QueryV1{Key: query.Key}.Marshal())
	}
	if err == nil {
		count.answered.Add(1)
	}
	return decodeAnswer(address, reply, err)
}

// decodeAnswer decodes the reply of a call, which may have failed.
func decodeAnswer(peer transport.Address, reply []byte, err error) origin.Answer {
	if err != nil {
		return origin.Answer{} // find logs how many calls were answered
	}
	answer, err := origin.UnmarshalAnswer(reply)
	if err != nil {
		eventOriginInvalid.Error(err, "peer", peer)
	}
	return answer
}
