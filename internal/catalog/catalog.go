package catalog

import (
	"slices"
	"sort"
	"strings"
	"time"

	"chutelock.dev/chutelock/internal/apikey"
)

// Kind says how a route's requests are answered.
type Kind uint8

// Kinds of routes.
const (
	// KindWhole answers with one body.
	KindWhole Kind = iota
	// KindStream answers with numbered events.
	KindStream
	// KindBatch takes jobs of many items that run later.
	KindBatch
)

// String names the kind as in logs.
func (k Kind) String() string { return [...]string{"whole", "stream", "batch"}[k] }

// Backend is a service that takes a share of a route's requests.
type Backend struct {
	Service string
	// Weight is the share relative to the route's other backends.
	Weight float64
}

// Route says how the requests of a host and path prefix are treated.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Repeatable requests may run more than once.
	Repeatable bool
	// Resumable streams may be continued at another engine.
	Resumable bool
	// Timeout is the longest time that a request is held; 0 means no bound.
	Timeout time.Duration
	// Target is the time within which an answer (a stream's first event, a
	// job's acceptance) earns full credit.
	Target time.Duration
	// GapTarget is the longest pause between two events of a stream in time.
	GapTarget time.Duration
	// Attempts is the number of engines that one request may be run on.
	Attempts int
	// Priority is the rank of the requests; 0 goes first.
	Priority int
	Backends []Backend
	// Completion is when a job's results are due, after it was submitted.
	Completion time.Duration
	// Retention is when an item may be given up, after its job was submitted.
	Retention time.Duration
	// QueuedTokens bounds the tokens of accepted unfinished items of each tenant; 0 is
	// no bound.
	QueuedTokens int64
	// Public routes need no key.
	Public bool
	// Regions are where the route's requests may be served and kept.
	Regions Regions
}

// MayRunAgain says whether a request whose fate is unknown may be sent again.
func (r *Route) MayRunAgain() bool {
	return r.Repeatable || (r.Kind == KindStream && r.Resumable)
}

// Service is a group of equal engines.
type Service struct {
	Name string
	// Connections is what one engine takes from all callers together.
	Connections int
	// Slots is the number of requests an engine works on at a time.
	Slots int
	// CacheTokens is the memory of one engine, in tokens.
	CacheTokens int
	// ColdTime is how long an engine stays cold after a start during traffic, and
	// ColdRate how many requests a second a cold one bears; a ColdRate of 0 is no bound.
	ColdTime time.Duration
	ColdRate float64
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of everything that operators set.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	tenants []Tenant
	byName  map[string]*Tenant
	keys    map[apikey.Hash]*Tenant // nil if callers need no key
	bound   map[string]Regions      // of the tenants that have any
}

// Match returns the route of the host with the longest prefix that begins the
// path, or nil.
func (c *Configuration) Match(host, path string) *Route {
	if c == nil {
		return nil
	}
	host = withoutPort(host)
	var best *Route
	for i := range c.Routes {
		route := &c.Routes[i]
		if !route.ofHost(host) || !strings.HasPrefix(path, route.Prefix) {
			continue
		}
		if best == nil || len(route.Prefix) > len(best.Prefix) {
			best = route
		}
	}
	return best
}

// OfHost says whether the route is of a host, with or without its port.
func (r *Route) OfHost(host string) bool { return r.ofHost(withoutPort(host)) }

func (r *Route) ofHost(name string) bool { return strings.EqualFold(r.Host, name) }

func withoutPort(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		return host[:colon]
	}
	return host
}

// Route returns the route of the name, or nil.
func (c *Configuration) Route(name string) *Route {
	if c == nil {
		return nil
	}
	for i := range c.Routes {
		if c.Routes[i].Name == name {
			return &c.Routes[i]
		}
	}
	return nil
}

// Engine is one incarnation of a model engine.
type Engine struct {
	// ID is new with each start of an engine; see EngineID.
	ID string
	// Born is when the engine started, by its own clock; zero if it doesn't tell.
	Born    time.Time
	Service string
	Address string // "ip:port"
	Zone    string
	// Region is the zone's; empty if the settings don't tell.
	Region string
	Slots  int
	// Leaving engines get no new requests.
	Leaving bool
	// Drained engines get no new requests either, as their zone is to be empty of
	// them; unlike leaving ones they come back.
	Drained bool
	// Revision is the store's, of the last change of the engine's entry.
	Revision uint64
	// ToldCold is how much longer the engine stayed cold when its entry was written.
	ToldCold time.Duration
	// ColdUntil is when the engine bears its full rate, as far as known here; zero if
	// it is not known to be cold.
	ColdUntil time.Time
	// PacedUntil is until when requests need a permit: a while longer than ColdUntil;
	// zero if the service has no ColdRate.
	PacedUntil time.Time
	// ColdMaybePast says that the entry that tells of the cold may be older than what this
	// node has seen.
	ColdMaybePast bool
}

// mayServe says whether the engine may get new requests.
func (e *Engine) mayServe() bool { return !e.Leaving && !e.Drained }

// Snapshot is what a node knows at one moment.
type Snapshot struct {
	Configuration *Configuration // nil while none is known
	all           []Engine
	engines       map[string][]Engine
	byID          map[string]*Engine
	// byInstance finds engines whose ID tells their start, by their instance names: peers
	// of an earlier version tell only these.
	byInstance map[string]*Engine
}

// NewSnapshot joins a configuration and engines.
func NewSnapshot(configuration *Configuration, engines []Engine) *Snapshot {
	snapshot := &Snapshot{
		Configuration: configuration,
		all:           engines,
		engines:       map[string][]Engine{},
		byID:          make(map[string]*Engine, len(engines)),
		byInstance:    map[string]*Engine{},
	}
	slices.SortFunc(engines, func(x, y Engine) int { return strings.Compare(x.ID, y.ID) })
	for service, count := range servingByService(engines) {
		snapshot.engines[service] = make([]Engine, 0, count)
	}
	for i := range engines {
		engine := &engines[i]
		snapshot.byID[engine.ID] = engine
		if instance := Instance(engine.ID); instance != engine.ID {
			snapshot.byInstance[instance] = engine
		}
		if engine.mayServe() {
			snapshot.engines[engine.Service] = append(snapshot.engines[engine.Service], *engine)
		}
	}
	return snapshot
}

func servingByService(engines []Engine) map[string]int {
	counts := map[string]int{}
	for i := range engines {
		if engines[i].mayServe() {
			counts[engines[i].Service]++
		}
	}
	return counts
}

// Engines lists all engines, leaving ones included, by ID.
func (s *Snapshot) Engines() []Engine { return s.all }

// Serving lists the engines of a service that may get new requests, by ID.
func (s *Snapshot) Serving(service string) []Engine { return s.engines[service] }

// Engine finds an engine by its ID, or by its instance name alone, leaving ones included.
func (s *Snapshot) Engine(id string) (Engine, bool) {
	engine := s.find(id)
	if engine == nil {
		return Engine{}, false
	}
	return *engine, true
}

func (s *Snapshot) find(id string) *Engine {
	if engine := s.byID[id]; engine != nil {
		return engine
	}
	return s.byInstance[id]
}

// Usable says whether an engine may get a new request for the service.
func (s *Snapshot) Usable(id, service string) bool {
	engine := s.find(id)
	return engine != nil && engine.mayServe() && engine.Service == service
}

// Services lists the services of a route, by falling weight.
func (r *Route) Services() []string {
	backends := append([]Backend(nil), r.Backends...)
	sort.SliceStable(backends, func(i, j int) bool { return backends[i].Weight > backends[j].Weight })
	var names []string
	for _, backend := range backends {
		names = append(names, backend.Service)
	}
	return names
}
