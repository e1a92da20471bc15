package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/fleet"
)

// Router picks endpoints for attempts and adapts to their outcomes. It is not
// safe for concurrent use.
type Router struct {
	config Config
	random *rand.Rand

	states        map[string]*endpointState
	pools         map[string]*pool
	prefixes      map[string]*prefixTable
	sweptSnapshot *fleet.Snapshot

	hardFilters []Filter // must pass
	softFilters []Filter // pass if any endpoint does; must pass for requests that are Ready
	preferences []Filter // pass if any endpoint does
	scorers     []weightedScorer
	prefix      *prefixScorer
	picker      Picker

	medianFirstToken time.Duration
	transitions      []Transition

	// Buffers that are reused by each decision.
	candidates []Candidate
	preferred  []Candidate
	scores     []float64
	scratch    []float64
}

type weightedScorer struct {
	scorer Scorer
	weight float64
}

// pool holds the endpoints of one snapshot that may serve a model.
type pool struct {
	snapshot     *fleet.Snapshot
	regions      []string
	members      []member
	lastCompared time.Time
}

type member struct {
	endpoint *fleet.Endpoint
	state    *endpointState
	hash     uint64
	// remote is the number of other nodes' online streams by the endpoint's report.
	remote float64
	// waiting is the number of waiting online requests by the report.
	waiting float64
}

// NewRouter returns a router that has observed no traffic.
func NewRouter(config Config) *Router {
	config = config.withDefaults()
	router := &Router{
		config:   config,
		random:   rand.New(rand.NewPCG(config.Seed, xxhash.Sum64String(config.Zone))),
		states:   map[string]*endpointState{},
		pools:    map[string]*pool{},
		prefixes: map[string]*prefixTable{},
		prefix:   &prefixScorer{},
		picker:   &nearBestPicker{},
	}
	router.hardFilters = []Filter{triedFilter{}, ownSlotsFilter{}}
	router.softFilters = []Filter{ejectedFilter{}, busyFilter{}, stalledFilter{router}, totalSlotsFilter{}}
	router.preferences = []Filter{provenFilter{}}
	router.scorers = []weightedScorer{
		{loadScorer{}, config.Weights.Load},
		{kvScorer{}, config.Weights.KV},
		{router.prefix, config.Weights.Prefix},
		{adapterScorer{}, config.Weights.Adapter},
		{zoneScorer{}, config.Weights.Zone},
		{healthScorer{}, config.Weights.Health},
	}
	return router
}

// Pick chooses the endpoint for an attempt and counts the attempt as in flight
// there. Its error is a *NoEndpointError.
func (r *Router) Pick(now time.Time, request Request, snapshot *fleet.Snapshot) (Decision, error) {
	pool := r.pool(now, &request, snapshot)
	r.ejectSlow(now, pool)
	view := View{Now: now, Request: &request, Zone: r.config.Zone, Region: r.config.Region, config: &r.config, random: r.random}
	if len(request.Prefix) > 0 {
		view.prefixes = r.prefixTable(now, request.Model)
	}
	if reason := r.filter(&view, pool); reason != "" {
		return Decision{}, &NoEndpointError{Model: request.Model, Reason: reason}
	}
	view.MeanLoad = meanLoad(r.candidates)
	r.scores = slices.Grow(r.scores[:0], len(r.candidates))[:len(r.candidates)]
	clear(r.scores)
	for _, stage := range r.scorers {
		if stage.weight != 0 {
			stage.scorer.Score(&view, r.candidates, stage.weight, r.scores)
		}
	}
	return r.decide(&view, r.picker.Pick(&view, r.candidates, r.scores)), nil
}

func (r *Router) decide(view *View, chosen int) Decision {
	candidate := &r.candidates[chosen]
	probe := candidate.state.ejected
	decision := Decision{
		Endpoint: candidate.Endpoint,
		Attempt:  candidate.state.begin(view.Now, probe),
		Score:    r.scores[chosen],
		Probe:    probe,
	}
	if view.prefixes != nil && len(r.prefix.expected) > 0 {
		decision.ExpectedPrefix = r.prefix.expected[chosen]
		keys := view.Request.Prefix
		view.prefixes.record(view.Now, keys[:min(len(keys), MaxPrefixKeys)], &r.prefix.plan, candidate.hash)
	}
	return decision
}

// filter fills r.candidates. If none is left, it returns the reason.
func (r *Router) filter(view *View, pool *pool) Reason {
	r.fillCandidates(view, pool)
	if len(r.candidates) == 0 {
		return ReasonNoEndpoint
	}
	for _, stage := range r.hardFilters {
		dropped := firstDropped(r.candidates, view, stage)
		if dropped == len(r.candidates) {
			continue
		}
		r.candidates = keep(r.candidates[:dropped], r.candidates[dropped:], view, stage)
		if len(r.candidates) > 0 {
			continue
		}
		if stage.Name() == (triedFilter{}).Name() {
			return ReasonAllTried
		}
		return ReasonFull
	}
	for _, stage := range r.softFilters {
		if !r.prefer(view, stage) && view.Request.Ready {
			return ReasonFull
		}
	}
	for _, stage := range r.preferences {
		r.prefer(view, stage)
	}
	return ""
}

// prefer drops the candidates that the stage drops, unless these are all. It reports whether any passed.
func (r *Router) prefer(view *View, stage Filter) bool {
	dropped := firstDropped(r.candidates, view, stage)
	if dropped == len(r.candidates) {
		return true
	}
	r.preferred = append(r.preferred[:0], r.candidates[:dropped]...)
	r.preferred = keep(r.preferred, r.candidates[dropped:], view, stage)
	if len(r.preferred) == 0 {
		return false
	}
	r.candidates, r.preferred = r.preferred, r.candidates
	return true
}

// firstDropped returns the index of the first candidate that the stage drops, or
// len(candidates), which spares the caller the copying.
func firstDropped(candidates []Candidate, view *View, stage Filter) int {
	for i := range candidates {
		if !stage.Keep(view, &candidates[i]) {
			return i
		}
	}
	return len(candidates)
}

func keep(into, from []Candidate, view *View, stage Filter) []Candidate {
	for i := range from {
		if stage.Keep(view, &from[i]) {
			into = append(into, from[i])
		}
	}
	return into
}

// fillCandidates fills r.candidates with the pool's endpoints and their
// estimated load.
func (r *Router) fillCandidates(view *View, pool *pool) {
	r.candidates = r.candidates[:0]
	sum, weights := 0.0, 0.0
	for i := range pool.members {
		m := &pool.members[i]
		freshness := r.freshness(view.Now, m.endpoint.Load.At)
		sum += m.remote * freshness
		weights += freshness
		r.candidates = append(r.candidates, Candidate{Endpoint: m.endpoint, InFlight: m.state.inFlight, Load: m.remote, Pressure: m.waiting * freshness, Freshness: freshness, hash: m.hash, state: m.state})
	}
	mean := 0.0
	if weights > 0 {
		mean = sum / weights
	}
	threshold := mean*r.config.RemoteMargin + r.config.RemoteSlack
	for i := range r.candidates {
		c := &r.candidates[i]
		remote := c.Load*c.Freshness + mean*(1-c.Freshness)
		c.Load = float64(c.InFlight) + remote
		c.Pressure += float64(c.InFlight) + max(0, remote-threshold)*r.config.RemoteWeight
	}
}

func (r *Router) freshness(now, at time.Time) float64 {
	if at.IsZero() {
		return 0
	}
	age := now.Sub(at)
	if age <= 0 {
		return 1
	}
	return 1 / (1 + float64(age)/float64(r.config.LoadHalfWeightAge))
}

func meanLoad(candidates []Candidate) float64 {
	sum := 0.0
	for i := range candidates {
		sum += candidates[i].Load
	}
	return sum / float64(len(candidates))
}

// pool returns the endpoints that may serve the request. For each model
// it is cached for the last snapshot and list of regions.
func (r *Router) pool(now time.Time, request *Request, snapshot *fleet.Snapshot) *pool {
	if r.sweptSnapshot != snapshot {
		r.sweep(snapshot)
	}
	current := r.pools[request.Model]
	if current != nil && current.snapshot == snapshot && slices.Equal(current.regions, request.Regions) {
		return current
	}
	next := &pool{snapshot: snapshot, regions: request.Regions}
	if current != nil {
		next.lastCompared = current.lastCompared
		next.members = make([]member, 0, len(current.members))
	}
	for _, endpoint := range snapshot.Endpoints {
		if serves(endpoint, request) {
			next.members = append(next.members, r.member(endpoint))
		}
	}
	r.pools[request.Model] = next
	return next
}

func serves(endpoint *fleet.Endpoint, request *Request) bool {
	if endpoint.Leaving || endpoint.Load.Draining {
		return false
	}
	if len(request.Regions) > 0 && !slices.Contains(request.Regions, endpoint.Region) {
		return false
	}
	return slices.Contains(endpoint.Load.Models, request.Model)
}

func (r *Router) member(endpoint *fleet.Endpoint) member {
	state := r.states[endpoint.Name]
	if state == nil {
		state = &endpointState{name: endpoint.Name}
		r.states[endpoint.Name] = state
	}
	load := &endpoint.Load
	online := max(0, float64(load.Running-load.RunningBatch+load.Waiting-load.WaitingBatch))
	own := 0
	if !load.At.IsZero() {
		own = state.inFlightAt(load.At)
	}
	return member{
		endpoint: endpoint,
		state:    state,
		hash:     xxhash.Sum64String(endpoint.Name),
		remote:   max(0, online-float64(own)),
		waiting:  max(0, float64(load.Waiting-load.WaitingBatch)),
	}
}

// sweep deletes the state of endpoints that are gone and have nothing in flight,
// and the pools and prefixes of models that no endpoint serves any more. It does
// nothing while there are at most twice as many states as endpoints.
func (r *Router) sweep(snapshot *fleet.Snapshot) {
	r.sweptSnapshot = snapshot
	if len(r.states) <= 2*len(snapshot.Endpoints) {
		return
	}
	present := make(map[string]bool, len(snapshot.Endpoints))
	for _, endpoint := range snapshot.Endpoints {
		present[endpoint.Name] = true
	}
	for name, state := range r.states {
		if !present[name] && state.inFlight == 0 {
			delete(r.states, name)
		}
	}
	for model, pool := range r.pools {
		if len(pool.members) == 0 {
			delete(r.pools, model)
			delete(r.prefixes, model)
		}
	}
}

func (r *Router) prefixTable(now time.Time, model string) *prefixTable {
	table := r.prefixes[model]
	if table == nil {
		table = newPrefixTable(now, r.config.PrefixEntries)
		r.prefixes[model] = table
	}
	return table
}

// Observe records an outcome of an attempt.
func (r *Router) Observe(now time.Time, outcome Outcome) {
	attempt := outcome.Attempt
	if attempt == nil || attempt.ended {
		return
	}
	if outcome.Kind == OutcomeFirstToken {
		r.observeFirstToken(now, attempt)
		return
	}
	wasWaiting := attempt.waiting
	attempt.state.end(now, attempt)
	switch outcome.Kind {
	case OutcomeFinished:
		if !wasWaiting && outcome.Tokens > 1 {
			attempt.state.betweenToken.add(now.Sub(attempt.started).Seconds() / float64(outcome.Tokens-1))
		}
		attempt.state.failures = 0
		attempt.state.lastFinish = now
		if attempt.state.ejected && attempt.probe && wasWaiting {
			r.restore(attempt.state)
		}
	case OutcomeFailed:
		r.observeFailure(now, outcome, wasWaiting)
	}
}

// Capacity estimates how many streams of the model this node may have in
// flight: its own and the free slots of the endpoints that are not ejected.
func (r *Router) Capacity(now time.Time, request Request, snapshot *fleet.Snapshot) int {
	pool := r.pool(now, &request, snapshot)
	view := View{Now: now, Request: &request, config: &r.config}
	r.fillCandidates(&view, pool)
	if request.Slots <= 0 {
		if len(r.candidates) == 0 {
			return 0
		}
		return math.MaxInt32
	}
	capacity := 0
	for i := range r.candidates {
		candidate := &r.candidates[i]
		capacity += candidate.InFlight
		if (ejectedFilter{}).Keep(&view, candidate) {
			capacity += max(0, int(float64(request.Slots)-candidate.Load))
		}
	}
	return capacity
}

// InFlight returns the number of this node's own attempts on an endpoint.
func (r *Router) InFlight(endpoint string) int {
	if state := r.states[endpoint]; state != nil {
		return state.inFlight
	}
	return 0
}

// Ejected returns the number of ejected endpoints.
func (r *Router) Ejected() int {
	count := 0
	for _, state := range r.states {
		if state.ejected {
			count++
		}
	}
	return count
}

// Transitions returns the ejections and restorations since the last call.
func (r *Router) Transitions() []Transition {
	transitions := r.transitions
	r.transitions = nil
	return transitions
}

// FailureOutcome returns the outcome of a failed attempt.
func FailureOutcome(attempt *Attempt, failure *engine.Error, timedOut bool) Outcome {
	return Outcome{Attempt: attempt, Kind: OutcomeFailed, Fate: failure.Fate, Status: failure.Status, RetryAfter: failure.RetryAfter, TimedOut: timedOut}
}
