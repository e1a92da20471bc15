package catalog

import (
	"slices"
	"sort"
	"strings"
	"time"

	"chutelock.dev/chutelock/internal/apikey"
)

// Kind is the form in which a route's requests are answered.
type Kind uint8

// Kinds of routes.
const (
	// KindWhole answers with a single body.
	KindWhole Kind = iota
	// KindStream answers with numbered events.
	KindStream
	// KindBatch accepts jobs of many items that run asynchronously.
	KindBatch
)

// String returns the name of the kind used in logs.
func (k Kind) String() string { return [...]string{"whole", "stream", "batch"}[k] }

// Backend is a service that receives a share of a route's requests.
type Backend struct {
	Service string
	// Weight is the share relative to the route's other backends.
	Weight float64
}

// Route defines how requests for a host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Repeatable is set if a request may run more than once.
	Repeatable bool
	// Resumable is set if a stream may be continued on another engine.
	Resumable bool
	// Timeout bounds the time that a request is held; 0 means no bound.
	Timeout time.Duration
	// Target is the latency objective of a response, a stream's first event or a job's
	// acceptance.
	Target time.Duration
	// GapTarget is the latency objective between two events of a stream.
	GapTarget time.Duration
	// Attempts is the number of engines that one request may be run on.
	Attempts int
	// Priority of the requests; 0 is the highest.
	Priority int
	Backends []Backend
	// Completion is the time from a job's submission until its results are due.
	Completion time.Duration
	// Retention is the time from a job's submission after which its open items are given
	// up. It doesn't say how long results are kept.
	Retention time.Duration
	// QueuedTokens bounds the tokens of each tenant's accepted unfinished items; 0 means no
	// bound.
	QueuedTokens int64
	// Public is set if callers need no key.
	Public bool
	// Regions are where the route's requests may be served and stored.
	Regions Regions
}

// MayRunAgain reports whether a request with an unknown outcome may be retried.
func (r *Route) MayRunAgain() bool {
	return r.Repeatable || (r.Kind == KindStream && r.Resumable)
}

// Service is a group of interchangeable engines.
type Service struct {
	Name string
	// HealthPath is the path of the engines' health requests; empty if unknown.
	HealthPath string
	// Connections bounds the connections to one engine from all clients together.
	Connections int
	// Slots is the number of requests that an engine processes concurrently.
	Slots int
	// CacheTokens is the cache size of one engine, in tokens.
	CacheTokens int
	// ColdTime is how long an engine stays cold after it starts under traffic. ColdRate is
	// the requests per second that a cold engine sustains; 0 means no bound.
	ColdTime time.Duration
	ColdRate float64
}

// Limits bound the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the operators' settings for all nodes.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	tenants       []Tenant
	byName        map[string]*Tenant
	keys          map[apikey.Hash]*Tenant // nil if callers need no key
	tenantRegions map[string]Regions      // by tenant name; only restricted tenants
}

// Match returns the host's route with the longest prefix of the path, or nil.
func (c *Configuration) Match(host, path string) *Route {
	if c == nil {
		return nil
	}
	host = stripPort(host)
	var best *Route
	for i := range c.Routes {
		route := &c.Routes[i]
		if !route.matchesHostname(host) || !strings.HasPrefix(path, route.Prefix) {
			continue
		}
		if best == nil || len(route.Prefix) > len(best.Prefix) {
			best = route
		}
	}
	return best
}

// MatchesHost reports whether the route is for the host, given with or without a port.
func (r *Route) MatchesHost(host string) bool { return r.matchesHostname(stripPort(host)) }

func (r *Route) matchesHostname(name string) bool { return strings.EqualFold(r.Host, name) }

// stripPort removes all from the last colon on. It doesn't handle an IPv6 address
// without a port.
func stripPort(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		return host[:colon]
	}
	return host
}

// Route returns the route with the given name, or nil.
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

// Release is one version of the software of a service's engines. The zero value stands for an
// unknown one. The outputs of two releases don't fit together: a text that one has begun can't
// be continued by another.
type Release struct{ Service, Version string }

// Engine is one incarnation of a model engine.
type Engine struct {
	// ID changes with each start of the engine; see EngineID.
	ID string
	// Started is the engine's start time by its own clock; zero if unknown.
	Started time.Time
	Service string
	// Version is that of the engine's software. Engines of several versions may serve at the
	// same time.
	Version string
	Address string // "ip:port"
	Zone    string
	// Region of the zone; empty if the settings assign none.
	Region string
	Slots  int
	// Leaving is set if the engine is shutting down and gets no new requests.
	Leaving bool
	// Drained is set while the engine's zone is drained and the engine gets no new requests.
	Drained bool
	// Revision is the store's revision of the last change of the engine's entry.
	Revision uint64
	// ReportedCold is the remaining cold time at the time the entry was written.
	ReportedCold time.Duration
	// ColdUntil is when the engine can take its full rate, as far as this node knows; zero
	// if it is not known to be cold.
	ColdUntil time.Time
	// PacedUntil is when requests to the engine stop needing permits (see package slowstart),
	// which is later than ColdUntil; zero if the service has no ColdRate.
	PacedUntil time.Time
	// ColdMaybePast is set if the cold time may be over because this node does not know how
	// old the entry is.
	ColdMaybePast bool
}

// Release returns the release of the engine's software.
func (e *Engine) Release() Release { return Release{e.Service, e.Version} }

// mayServe reports whether the engine may get new requests.
func (e *Engine) mayServe() bool { return !e.Leaving && !e.Drained }

// Snapshot is a consistent view of the configuration and the engines.
type Snapshot struct {
	Configuration *Configuration // nil until one is known
	engines       []Engine
	serving       map[string][]Engine
	byID          map[string]*Engine
	// byInstance indexes engines whose ID includes the start time by instance name, the only
	// name that peers of an earlier version send.
	byInstance map[string]*Engine
}

// NewSnapshot returns a snapshot that takes ownership of engines and sorts them by ID.
func NewSnapshot(configuration *Configuration, engines []Engine) *Snapshot {
	snapshot := &Snapshot{
		Configuration: configuration,
		engines:       engines,
		serving:       map[string][]Engine{},
		byID:          make(map[string]*Engine, len(engines)),
		byInstance:    map[string]*Engine{},
	}
	slices.SortFunc(engines, func(x, y Engine) int { return strings.Compare(x.ID, y.ID) })
	for service, count := range countServing(engines) {
		snapshot.serving[service] = make([]Engine, 0, count)
	}
	for i := range engines {
		engine := &engines[i]
		snapshot.byID[engine.ID] = engine
		if instance := Instance(engine.ID); instance != engine.ID {
			snapshot.byInstance[instance] = engine
		}
		if engine.mayServe() {
			snapshot.serving[engine.Service] = append(snapshot.serving[engine.Service], *engine)
		}
	}
	return snapshot
}

func countServing(engines []Engine) map[string]int {
	counts := map[string]int{}
	for i := range engines {
		if engines[i].mayServe() {
			counts[engines[i].Service]++
		}
	}
	return counts
}

// Engines returns all engines in order of ID, including leaving and drained ones.
func (s *Snapshot) Engines() []Engine { return s.engines }

// Serving returns the engines of a service that may get new requests, in order of ID.
func (s *Snapshot) Serving(service string) []Engine { return s.serving[service] }

// Engine returns an engine by its ID or instance name, including leaving and drained ones.
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

// Usable reports whether an engine may get a new request for the service.
func (s *Snapshot) Usable(id, service string) bool {
	engine := s.find(id)
	return engine != nil && engine.mayServe() && engine.Service == service
}

// Services returns the names of the route's services in order of decreasing weight.
func (r *Route) Services() []string {
	backends := append([]Backend(nil), r.Backends...)
	sort.SliceStable(backends, func(i, j int) bool { return backends[i].Weight > backends[j].Weight })
	var names []string
	for _, backend := range backends {
		names = append(names, backend.Service)
	}
	return names
}
