package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	"chutelock.dev/chutelock/internal/admission/online"
	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/gateway/apierror"
	"chutelock.dev/chutelock/internal/gateway/relay"
	"chutelock.dev/chutelock/internal/routing"
	"chutelock.dev/chutelock/internal/settings"
)

// Headers that callers may set.
const (
	// HeaderRepeatable with "false" marks a request that must run at most once.
	HeaderRepeatable = "Chutelock-Repeatable"
	// HeaderTimeout limits the request's time, in seconds or as a Go duration.
	HeaderTimeout = "Chutelock-Timeout"
)

// Dependencies are the services and settings that a Gateway uses.
type Dependencies struct {
	Settings settings.Source
	Fleet    fleet.Source
	Clients  fleet.Clients
	// Observer may be nil.
	Observer fleet.OnlineObserver
	// Registry registers the metrics; if nil, they are not registered.
	Registry prometheus.Registerer
	Routing  routing.Config
	Config   Config
}

// Gateway is the HTTP handler of the online API. Its methods are safe for
// concurrent use.
type Gateway struct {
	settings  settings.Source
	clients   fleet.Clients
	observer  fleet.OnlineObserver
	config    Config
	metrics   *metrics
	placement *placement
	gate      *online.Gate

	budgetsMutex sync.Mutex
	budgets      map[string]*relay.Budget

	draining atomic.Bool
	inFlight atomic.Int64
}

// New returns a gateway.
func New(dependencies Dependencies) *Gateway {
	metrics := newMetrics(dependencies.Registry)
	g := &Gateway{
		settings:  dependencies.Settings,
		clients:   dependencies.Clients,
		observer:  dependencies.Observer,
		config:    dependencies.Config.withDefaults(),
		metrics:   metrics,
		placement: &placement{fleet: dependencies.Fleet, metrics: metrics, router: routing.NewRouter(dependencies.Routing)},
		budgets:   map[string]*relay.Budget{},
	}
	if g.observer == nil {
		g.observer = noObserver{}
	}
	g.gate = online.NewGate(g.placement.capacity)
	if dependencies.Registry != nil {
		dependencies.Registry.MustRegister(newQueueCollector(g.gate.QueueLength))
	}
	return g
}

// WithRequestID assigns each request an ID and sets it in the response header
// apierror.HeaderRequestID, where handlers can read it.
func WithRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		setRequestID(w)
		next.ServeHTTP(w, r)
	})
}

// setRequestID assigns an ID to a request that has none, and returns its ID.
func setRequestID(w http.ResponseWriter) string {
	id := w.Header().Get(apierror.HeaderRequestID)
	if id == "" {
		id = newRequestID()
		w.Header().Set(apierror.HeaderRequestID, id)
	}
	return id
}

func newRequestID() string { return uuid.NewString() }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := setRequestID(w)
	g.inFlight.Add(1)
	g.metrics.inFlight.Inc()
	defer func() {
		g.inFlight.Add(-1)
		g.metrics.inFlight.Dec()
	}()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	switch r.URL.Path {
	case PathChatCompletions, PathCompletions:
		if r.Method != http.MethodPost {
			rejectMethod(w, r, http.MethodPost)
			return
		}
		code := g.serveCompletion(w, r, id)
		g.metrics.requests.WithLabelValues(r.URL.Path, code).Inc()
	case PathModels:
		if r.Method != http.MethodGet {
			rejectMethod(w, r, http.MethodGet)
			return
		}
		g.serveModels(w, r)
	default:
		apierror.Write(w, apierror.NotFound("there is no %s", r.URL.Path))
	}
}

func rejectMethod(w http.ResponseWriter, r *http.Request, allowed string) {
	w.Header().Set("Allow", allowed)
	apierror.Write(w, apierror.MethodNotAllowed(r.Method, allowed))
}

// serveCompletion serves a completion request and returns the response code.
func (g *Gateway) serveCompletion(w http.ResponseWriter, r *http.Request, id string) string {
	started := time.Now()
	admitted, failure := g.check(w, r, started)
	if failure != nil {
		apierror.Write(w, failure)
		return string(failure.Code)
	}
	ticket := online.Ticket{Tenant: admitted.tenant, Service: admitted.service, Deadline: admitted.deadline}
	release, refusal, err := g.gate.Admit(r.Context(), ticket)
	if err != nil {
		return g.endedWaiting(w, r)
	}
	if refusal != nil {
		failure := g.rejected(refusal)
		apierror.Write(w, failure)
		return string(failure.Code)
	}
	defer release()
	return g.newExchange(w, id, started, admitted).serve(r.Context())
}

// endedWaiting ends a request whose context ended while it waited.
func (g *Gateway) endedWaiting(w http.ResponseWriter, r *http.Request) string {
	if !errors.Is(context.Cause(r.Context()), apierror.ErrStopping) {
		return codeCallerLeft
	}
	failure := apierror.Stopping()
	apierror.Write(w, failure)
	return string(failure.Code)
}

// checked is an authenticated and validated request.
type checked struct {
	path       string
	tenant     *settings.Tenant
	service    *settings.Service
	adapter    string
	completion *Completion
	repeatable bool
	deadline   time.Time
}

// check authenticates and validates a request.
func (g *Gateway) check(w http.ResponseWriter, r *http.Request, now time.Time) (*checked, *apierror.Error) {
	snapshot := g.settings.Current()
	tenant, failure := Authenticate(snapshot, r)
	if failure != nil {
		return nil, failure
	}
	request := &checked{path: r.URL.Path, tenant: tenant}
	if failure := g.readHeaders(r, request, now); failure != nil {
		return nil, failure
	}
	body, failure := g.readBody(w, r)
	if failure != nil {
		return nil, failure
	}
	if request.completion, failure = ParseCompletion(r.URL.Path, body); failure != nil {
		return nil, failure
	}
	model := request.completion.Model
	service, adapter, ok := ResolveModel(snapshot, model)
	if !ok || !MayUse(tenant, service.Model) {
		return nil, apierror.ModelNotFound(model)
	}
	request.service, request.adapter = service, adapter
	return request, nil
}

// ResolveModel returns the service of a model name, and the adapter if the name has
// the form "MODEL:ADAPTER".
func ResolveModel(snapshot *settings.Snapshot, name string) (service *settings.Service, adapter string, ok bool) {
	if service, ok = snapshot.ServiceByModel(name); ok {
		return service, "", true
	}
	model, adapter, found := strings.Cut(name, ":")
	if !found {
		return nil, "", false
	}
	service, ok = snapshot.ServiceByModel(model)
	if !ok || !slices.Contains(service.Adapters, adapter) {
		return nil, "", false
	}
	return service, adapter, true
}

func (g *Gateway) readHeaders(r *http.Request, request *checked, now time.Time) *apierror.Error {
	switch value := r.Header.Get(HeaderRepeatable); value {
	case "", "true":
		request.repeatable = true
	case "false":
	default:
		return apierror.Invalid(HeaderRepeatable, "expected true or false")
	}
	timeout := g.config.RequestTimeout
	if value := r.Header.Get(HeaderTimeout); value != "" {
		asked, ok := parseTimeout(value)
		if !ok {
			return apierror.Invalid(HeaderTimeout, "expected a positive number of seconds or a duration like 2.5s")
		}
		timeout = min(timeout, asked)
	}
	request.deadline = now.Add(timeout)
	return nil
}

func parseTimeout(value string) (time.Duration, bool) {
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		if !(seconds > 0 && seconds < time.Duration(1<<62).Seconds()) {
			return 0, false
		}
		return time.Duration(seconds * float64(time.Second)), true
	}
	duration, err := time.ParseDuration(value)
	return duration, err == nil && duration > 0
}

// rejected converts a rejection by admission control to an error response.
func (g *Gateway) rejected(refusal *online.Refusal) *apierror.Error {
	g.metrics.refusals.WithLabelValues(string(refusal.Reason)).Inc()
	status := http.StatusServiceUnavailable
	if refusal.Reason.OfTenant() {
		status = http.StatusTooManyRequests
	}
	return apierror.NotRun(status, refusal.RetryAfter, "%s; the request was not run", refusalText[refusal.Reason])
}

var refusalText = map[online.Reason]string{
	online.ReasonRate:        "your requests per second are over your limit",
	online.ReasonConcurrency: "your requests in progress are over your limit",
	online.ReasonQueueFull:   "all engines are busy and the queue is full",
	online.ReasonShed:        "all engines are busy and a request of higher priority took the place in the queue",
	online.ReasonTooLate:     "all engines are busy and the request can't be served in its time",
	online.ReasonDraining:    "this node is stopping",
}

func (g *Gateway) newExchange(w http.ResponseWriter, id string, started time.Time, request *checked) *exchange {
	info := newResponseInfo(request.path, id, request.completion.Model, started)
	service, completion := request.service, request.completion
	x := &exchange{
		gateway:    g,
		id:         id,
		path:       request.path,
		tenant:     request.tenant.Name,
		priority:   engine.PriorityOnline + engine.Priority(request.tenant.Priority),
		completion: completion,
		routeRequest: routing.Request{
			Model:        service.Model,
			Adapter:      request.adapter,
			Regions:      service.Regions,
			Prefix:       routing.PrefixKeys(completion.Model, completion.Prompt),
			PromptTokens: len(completion.Prompt) / bytesPerToken,
			Repeatable:   request.repeatable,
			Slots:        service.SlotsPerEngine,
		},
		slots:           service.SlotsPerEngine,
		deadline:        request.deadline,
		started:         started,
		firstTokenLimit: g.config.tokenTimeout(service.TimeToFirstToken, g.config.FirstTokenFactor, g.config.FirstTokenTimeout),
		nextTokenLimit:  g.config.tokenTimeout(service.TimeBetweenTokens, g.config.NextTokenFactor, g.config.NextTokenTimeout),
		ends:            make(chan ended, relay.MaxAttempts),
		call:            g.newCall(request),
		attempts:        make(map[uint32]*attempt, 1),
	}
	if completion.Stream {
		x.answer = newStreamAnswer(info, w, g.config.WriteTimeout, completion.IncludeUsage)
	} else {
		x.answer = &wholeAnswer{responseInfo: info, writer: w}
	}
	return x
}

// newCall returns the call of a request, with the retry budget of its service.
func (g *Gateway) newCall(request *checked) *relay.Call {
	g.budgetsMutex.Lock()
	defer g.budgetsMutex.Unlock()
	budget := g.budgets[request.service.Model]
	if budget == nil {
		budget = relay.NewBudget(request.service.RetryBudget, relay.DefaultReserve)
		g.budgets[request.service.Model] = budget
	}
	budget.SetRatio(request.service.RetryBudget)
	return relay.NewCall(request.repeatable, request.deadline, budget)
}
