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
	"chutelock.dev/chutelock/internal/telemetry"
	"chutelock.dev/chutelock/internal/transport"
)

// Messages about the origins of streams; see package origin. Nodes of earlier versions ignore the
// datagram and have no handler for the call.
const (
	kindOriginRecord transport.Kind = transport.KindOrigin + iota // datagram to a data node: origin.Record
	kindOriginQuery                                               // call to a data node: origin.Query, answered by origin.Answer
)

const (
	// originTimeout bounds the calls to the data nodes of one region. It is a few round trips
	// within a region, and short against the pause that callers bear within a stream.
	originTimeout = 250 * time.Millisecond
	// originRetryDelay is the pause before the homes in the own region are asked once more: the
	// record may be on its way.
	originRetryDelay = 20 * time.Millisecond
)

var (
	eventOrigin        = telemetry.Define(2209, "stream-origin", "A request continues a stream that another request began; gives the release of the engines that began it, and what tells so: a record here or at a data node, a sole release of the service, or none, which refuses the request. Also how many calls to data nodes were made and answered, and the age of the node's own list of engines.")
	eventOriginInvalid = telemetry.Define(2210, "origin-message-unreadable", "A peer's message about the beginning of a stream could not be decoded and is ignored.")
)

// sourceOwn is the label of a record at the node itself.
const sourceOwn = "own-record"

// originStore holds records of streams. Its methods may be called concurrently.
type originStore struct {
	mutex sync.Mutex // guards table; a leaf
	table *origin.Table
}

func newOriginStore() *originStore { return &originStore{table: origin.NewTable()} }

func (s *originStore) put(record origin.Record) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.Put(record.Key, record.Release, clock.Now())
}

func (s *originStore) get(key origin.Key) (catalog.Release, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.Get(key, clock.Now())
}

func (s *originStore) count() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return float64(s.table.Len())
}

func (s *originStore) gauges() map[string]gauge {
	return map[string]gauge{
		"chutelock_stream_origin_records": {"Streams whose beginning is recorded at this node.", s.count},
	}
}

// soleRelease returns the release of a service's engines if it was the only one within the window
// and the list of engines is current.
func (c *core) soleRelease(service string, window time.Duration) (catalog.Release, bool) {
	if service == "" || c.agent.Age(c.adapter.EnginesKind) > c.settings.Platform.Leave {
		return catalog.Release{}, false
	}
	return c.catalog.soleRelease(service, window)
}

// originServer keeps the records of streams for which a data node is a home.
type originServer struct {
	store *originStore
	sole  func(service string, window time.Duration) (catalog.Release, bool)
}

// handleRecord stores a record.
func (s *originServer) handleRecord(from transport.Address, payload []byte) {
	record, err := origin.UnmarshalRecord(payload)
	if err != nil {
		eventOriginInvalid.Error(err, "peer", from)
		return
	}
	s.store.put(record)
}

// handleQuery answers which release began a stream.
func (s *originServer) handleQuery(_ context.Context, from transport.Address, payload []byte) ([]byte, error) {
	query, err := origin.UnmarshalQuery(payload)
	if err != nil {
		eventOriginInvalid.Error(err, "peer", from)
		return nil, err
	}
	return s.answer(query).Marshal(), nil
}

func (s *originServer) answer(query origin.Query) origin.Answer {
	if release, found := s.store.get(query.Key); found {
		return origin.Answer{Source: origin.SourceRecord, Release: release}
	}
	if release, found := s.sole(query.Service, query.Window); found {
		return origin.Answer{Source: origin.SourceSole, Release: release}
	}
	return origin.Answer{}
}

// originClient records the beginnings of a front node's streams and finds those of others.
type originClient struct {
	store  *originStore
	peers  transport.Sender
	nodes  func() []mirror.Node
	region string
	// leave bounds how long a node may begin streams at a release that another one knows is gone.
	leave time.Duration
	sole  func(service string, window time.Duration) (catalog.Release, bool)
	// steady reports whether a route had no other service within the window; nil if no route changes.
	steady func(route *catalog.Route, window time.Duration) bool
	// listAge returns the time since the list of engines was last confirmed.
	listAge func() time.Duration
	found   *prometheus.CounterVec
}

// callCount counts calls to data nodes for one request.
type callCount struct{ made, answered atomic.Int32 }

func newOriginClient(c *core) *originClient {
	client := &originClient{
		store: newOriginStore(), peers: c.peers, nodes: c.agent.Nodes, region: c.settings.Node.Region,
		leave: c.settings.Platform.Leave, sole: c.soleRelease, steady: c.catalog.steadyRoute,
		listAge: func() time.Duration { return c.agent.Age(c.adapter.EnginesKind) },
		found: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chutelock_stream_origins_total",
			Help: "Requests that continue a stream, by what tells the release that began it: own-record, record, sole-release or none.",
		}, []string{"source"}),
	}
	c.registry.MustRegister(client.found)
	return client
}

// began records the release that began a request's stream. While it is the service's only one,
// other nodes know it without a record and none is sent, which began reports.
func (o *originClient) began(request *forward.Request, route *catalog.Route, release catalog.Release) (recorded bool) {
	record := origin.Record{Key: origin.KeyOf(request.Tenant, request.Stream()), Release: release}
	o.store.put(record)
	query := o.query(request, route)
	if sole, found := o.sole(query.Service, query.Window); found && sole == release {
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
		"list_age", o.listAge(), "took", clock.Since(started))
	return release, source != origin.SourceNone.String()
}

// lookUp returns the release and what tells it. A record counts more than a sole release, as a list
// of engines may be a little behind.
func (o *originClient) lookUp(ctx context.Context, request *forward.Request, route *catalog.Route, calls *callCount) (catalog.Release, string) {
	query := o.query(request, route)
	named := request.Resumes != ""
	if named {
		if release, found := o.store.get(query.Key); found {
			return release, sourceOwn
		}
		if answer := o.askRegions(ctx, query, calls); answer.Source != origin.SourceNone {
			return answer.Release, answer.Source.String()
		}
	}
	if release, found := o.sole(query.Service, query.Window); found {
		return release, origin.SourceSole.String()
	}
	if named {
		clock.Sleep(ctx, originRetryDelay)
	}
	answer := o.ask(ctx, o.region, query, calls)
	return answer.Release, answer.Source.String()
}

// query returns the question for a request. A route has no sole release if its streams may have begun at
// several services.
func (o *originClient) query(request *forward.Request, route *catalog.Route) origin.Query {
	query := origin.Query{Key: origin.KeyOf(request.Tenant, request.Stream())}
	services, window := route.Services(), 2*route.Timeout+o.leave
	if len(services) == 1 && route.Timeout > 0 && (o.steady == nil || o.steady(route, window)) {
		query.Service, query.Window = services[0], window
	}
	return query
}

// askRegions asks the data nodes of this node's region, then those of one other region after
// another.
func (o *originClient) askRegions(ctx context.Context, query origin.Query, calls *callCount) origin.Answer {
	for _, region := range origin.Regions(o.nodes(), o.region) {
		if answer := o.ask(ctx, region, query, calls); answer.Source != origin.SourceNone {
			return answer
		}
	}
	return origin.Answer{}
}

// ask asks the likely homes in a region at the same time. It returns at once if one has a record,
// else the best answer once all have answered or originTimeout is over.
func (o *originClient) ask(ctx context.Context, region string, query origin.Query, count *callCount) origin.Answer {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	candidates := origin.Candidates(o.nodes(), region, query.Key)
	answers := make(chan origin.Answer, len(candidates))
	message := query.Marshal()
	for _, node := range candidates {
		calls.Go(func() { answers <- o.askNode(ctx, node.Address, message, count) })
	}
	var best origin.Answer
	for range candidates {
		answer := <-answers
		if answer.Source == origin.SourceRecord {
			return answer
		}
		if answer.Source != origin.SourceNone {
			best = answer
		}
	}
	return best
}

// askNode returns a data node's answer; one without a source if there is none.
func (o *originClient) askNode(ctx context.Context, address transport.Address, message []byte, count *callCount) origin.Answer {
	count.made.Add(1)
	reply, err := o.peers.Call(ctx, address, kindOriginQuery, message)
	if err != nil {
		return origin.Answer{} // logged by find as unknown if no other node knows
	}
	count.answered.Add(1)
	answer, err := origin.UnmarshalAnswer(reply)
	if err != nil {
		eventOriginInvalid.Error(err, "peer", address)
	}
	return answer
}
