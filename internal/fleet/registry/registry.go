package registry

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/transport"
)

// Config sets a registry up. Zero fields take the defaults.
type Config struct {
	Self membership.Member
	// PollInterval is the least time between two polls of an engine by its
	// home. PollsPerSecond stretches it where a home has many engines, but not
	// beyond MostPollInterval, on which it depends how soon an engine's own
	// word that it leaves is heard.
	PollInterval   time.Duration
	PollsPerSecond float64
	// DigestInterval is the least time between two digests, and DigestBudget
	// bounds the bytes a second that digests cost their sender.
	DigestInterval time.Duration
	DigestBudget   float64
	// SummaryInterval is the time between two summaries of a zone.
	SummaryInterval time.Duration
	Seed            uint64
}

const (
	defaultPollInterval    = time.Second
	defaultPollsPerSecond  = 4
	defaultDigestInterval  = time.Second
	defaultDigestBudget    = 2560
	defaultSummaryInterval = 2 * time.Second

	// MostPollInterval is the longest time between two polls of an engine.
	MostPollInterval = 2 * time.Second

	// datagramOverhead estimates what a datagram costs beside its records:
	// IP, UDP, the transport's frame and MAC, and this package's header.
	datagramOverhead = 28 + 48 + 36
	// markRepeats and markDelay: an urgent mark is sent so often, and the
	// wait doubles each time.
	markRepeats = 3
	markDelay   = 150 * time.Millisecond
	// retryPoll is the wait after a failed poll.
	retryPoll = 100 * time.Millisecond
	// failuresToMark is the number of polls in a row that must fail.
	failuresToMark = 2
	// summaryShare is the time that each zone adds to the interval between
	// summaries, so that all zones' summaries together cost a constant rate.
	summaryShare = 300 * time.Millisecond
	// summaryExpiry is the age, in intervals, at which a zone's sample is dropped.
	summaryExpiry = 5
	// remoteMarkExpiry is how long a mark of another zone's engine overrides
	// summaries, which may have been made before it.
	remoteMarkExpiry = 5 * time.Second
	// listMarkExpiry is how long the machine list's word holds unless repeated.
	listMarkExpiry = 10 * time.Minute
	// pullInterval is the least time between two pulls of one kind.
	pullInterval = 500 * time.Millisecond
	// maxRecordsPerDigest keeps a digest within one datagram.
	maxRecordsPerDigest = 40
	// selfDoubtEngines: a home with at least so many engines, all of which
	// time out at once, doubts its own network first.
	selfDoubtEngines = 4
	// pauseGap is the gap between ticks after which what is known is stale.
	pauseGap = 3 * time.Second
	// wholeLimit is how long a node that has the list, or that was paused,
	// waits for a peer that has a whole view.
	wholeLimit = 2 * time.Second
)

func (c Config) withDefaults() Config {
	if c.PollInterval == 0 {
		c.PollInterval = defaultPollInterval
	}
	if c.PollsPerSecond == 0 {
		c.PollsPerSecond = defaultPollsPerSecond
	}
	if c.DigestInterval == 0 {
		c.DigestInterval = defaultDigestInterval
	}
	if c.DigestBudget == 0 {
		c.DigestBudget = defaultDigestBudget
	}
	if c.SummaryInterval == 0 {
		c.SummaryInterval = defaultSummaryInterval
	}
	return c
}

// Datagram is a message to send.
type Datagram struct {
	To      transport.Address
	Payload []byte
}

// Pull is a call to make, whose answer goes to HandlePullAnswer.
type Pull struct {
	To      transport.Address
	Payload []byte
}

// Poll asks the caller to read an engine's load and to hand it to HandleLoad.
type Poll struct {
	Endpoint *fleet.Endpoint
}

// Decision is something that this node decided or learned, for the log.
type Decision struct {
	Kind    DecisionKind
	Engine  string
	Zone    string
	Sources Sources
	// Peer is the member that said so, or the new home.
	Peer     string
	Revision uint64
}

// DecisionKind says what a Decision is about.
type DecisionKind uint8

// Kinds of decisions.
const (
	DecidedHome         DecisionKind = iota + 1 // this node became an engine's home
	DecidedLostHome                             // another node did
	DecidedLeaving                              // an engine gets no new work
	DecidedBack                                 // it gets work again
	DecidedList                                 // a newer list of engines is in use
	DecidedListRefused                          // a list older than the one in use was refused
	DecidedReady                                // the node's view is whole
	DecidedStale                                // the node was paused; its view is pulled again
	DecidedSelfDoubt                            // most engines fell silent at once; not shared
	DecidedZoneExpired                          // nothing was heard of another zone for long
	DecidedNotConfirmed                         // a gateway's report of failure was not confirmed
)

// Output is what the caller must do after a method returned it.
type Output struct {
	Datagrams  []Datagram
	Pulls      []Pull
	Polls      []Poll
	HomeEvents []fleet.HomeEvent
	Decisions  []Decision
}

// engineState is what is known of one engine.
type engineState struct {
	id       uint64
	spec     fleet.Spec
	home     string
	load     engine.Load
	facts    uint16
	sources  Sources
	heard    time.Time // when the newest record was taken in
	listMark time.Time // when the machine list last said that it leaves
	endpoint *fleet.Endpoint

	// The fields below are used by the engine's home only.
	nextPoll time.Time
	polling  bool
	failures int
	doubted  bool
	asked    bool // a gateway saw it fail
}

// zoneSample is what another zone said last.
type zoneSample struct {
	zone     string
	sequence uint32
	position uint16 // in the tree, from which the summary was passed on last
	heard    time.Time
	models   []ModelCapacity
	engines  map[uint64]*engineState
}

// mark is an urgent record that is being repeated.
type mark struct {
	engine uint64
	left   int
	due    time.Time
	wait   time.Duration
}

// remoteMark is what a home in another zone said of an engine's leaving.
type remoteMark struct {
	sources Sources
	until   time.Time
}

// Registry is a node's knowledge of engines. Its methods must not be called
// at once with each other.
type Registry struct {
	config Config
	random *rand.Rand
	self   membership.Member
	view   *membership.View
	zone   []membership.Member // live members of the own zone
	peers  []membership.Member // the same but this node

	engines  map[uint64]*engineState // of the own zone
	names    []string                // of the own zone's engines, in order
	version  listVersion
	samples  map[uint64]*zoneSample // by zone id
	reader   map[string]zoneList    // all lists of the region, at a reader of the store
	revision uint64                 // the store's, at a reader
	marks    []mark
	remote   map[uint64]remoteMark
	online   map[string]onlineRequest

	ready       bool
	staleSince  time.Time // when a pause was noticed; zero on a fresh node
	lastTick    time.Time
	nextDigest  time.Time
	nextSummary time.Time
	nextList    time.Time
	pulls       pullTimes
	listSince   time.Time // when the first list was adopted
	sequence    uint32
	dirty       bool
	output      Output
}

// New returns a registry that knows no engine.
func New(config Config, now time.Time) *Registry {
	config = config.withDefaults()
	registry := &Registry{
		config:   config,
		random:   rand.New(rand.NewPCG(config.Seed, EngineID(config.Self.Name))),
		self:     config.Self,
		view:     &membership.View{},
		engines:  map[uint64]*engineState{},
		version:  listVersion{Zone: zoneID(config.Self.Zone)},
		samples:  map[uint64]*zoneSample{},
		remote:   map[uint64]remoteMark{},
		online:   map[string]onlineRequest{},
		lastTick: now,
		dirty:    true,
	}
	registry.nextDigest = now.Add(registry.jitter(config.DigestInterval))
	registry.nextSummary = now.Add(registry.jitter(config.SummaryInterval))
	registry.nextList = now
	return registry
}

func (r *Registry) jitter(interval time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(interval) + 1))
}

// Ready says whether the view is whole; a node routes on no other.
func (r *Registry) Ready() bool { return r.ready }

// ListRevision is the store's revision of the list of engines in use.
func (r *Registry) ListRevision() uint64 { return r.version.Revision }

// take returns and clears what the caller must do.
func (r *Registry) take() Output {
	output := r.output
	r.output = Output{}
	return output
}

func (r *Registry) decide(decision Decision) {
	r.output.Decisions = append(r.output.Decisions, decision)
}

func (r *Registry) datagram(to transport.Address, head datagramHeader, body []byte) {
	r.output.Datagrams = append(r.output.Datagrams, Datagram{To: to, Payload: encodeDatagram(head, body)})
}

// SetView takes the members in: homes move with them.
func (r *Registry) SetView(now time.Time, view *membership.View) Output {
	r.view = view
	if self, ok := view.Member(r.self.Name); ok {
		r.self = self
	}
	live := view.LiveInZone(r.self.Zone)
	if slices.EqualFunc(live, r.zone, func(a, b membership.Member) bool { return a.Name == b.Name && a.Address == b.Address }) {
		return r.take()
	}
	r.zone = live
	r.peers = r.peers[:0]
	for _, member := range live {
		if member.Name != r.self.Name {
			r.peers = append(r.peers, member)
		}
	}
	r.assignHomes(now)
	return r.take()
}

// assignHomes gives each engine of the zone its home.
func (r *Registry) assignHomes(now time.Time) {
	for _, name := range r.names {
		state := r.engines[EngineID(name)]
		home := ""
		if owner, ok := membership.Owner("engine/"+name, r.zone); ok {
			home = owner.Name
		}
		if home == state.home {
			continue
		}
		previous := state.home
		state.home = home
		r.touch(state)
		switch r.self.Name {
		case home:
			r.gain(now, state)
		case previous:
			r.lose(state)
		}
	}
}

func (r *Registry) gain(now time.Time, state *engineState) {
	state.nextPoll = now
	state.polling = false
	state.failures = 0
	r.decide(Decision{Kind: DecidedHome, Engine: state.spec.Name, Zone: state.spec.Zone})
	r.tellHome(fleet.HomeEvent{Kind: fleet.HomeGained}, state)
}

func (r *Registry) lose(state *engineState) {
	r.decide(Decision{Kind: DecidedLostHome, Engine: state.spec.Name, Zone: state.spec.Zone, Peer: state.home})
	r.tellHome(fleet.HomeEvent{Kind: fleet.HomeLost}, state)
	r.forgetOnline(state.id)
}

func (r *Registry) isHome(state *engineState) bool { return state.home == r.self.Name }

func (r *Registry) tellHome(event fleet.HomeEvent, state *engineState) {
	event.Endpoint = r.endpointOf(state)
	r.output.HomeEvents = append(r.output.HomeEvents, event)
}

// touch drops the cached endpoint of an engine that changed.
func (r *Registry) touch(state *engineState) {
	state.endpoint = nil
	r.dirty = true
}

func (r *Registry) endpointOf(state *engineState) *fleet.Endpoint {
	if state.endpoint == nil {
		load := state.load
		if load.Models == nil {
			load.Models = state.spec.Models
		}
		state.endpoint = &fleet.Endpoint{
			Name: state.spec.Name, Address: state.spec.Address, Zone: state.spec.Zone, Region: state.spec.Region,
			Home: state.home, Leaving: state.sources != 0, Load: load,
		}
	}
	return state.endpoint
}

// Snapshot returns the engines known, or nil when nothing changed since the
// last call. It is empty until the view is whole.
func (r *Registry) Snapshot(now time.Time) *fleet.Snapshot {
	if !r.dirty {
		return nil
	}
	r.dirty = false
	snapshot := &fleet.Snapshot{Taken: now}
	if !r.ready {
		return snapshot
	}
	for _, name := range r.names {
		snapshot.Endpoints = append(snapshot.Endpoints, r.endpointOf(r.engines[EngineID(name)]))
	}
	for _, sample := range r.samples {
		for _, state := range sample.engines {
			snapshot.Endpoints = append(snapshot.Endpoints, r.endpointOf(state))
		}
	}
	sort.Slice(snapshot.Endpoints, func(i, j int) bool {
		return snapshot.Endpoints[i].Name < snapshot.Endpoints[j].Name
	})
	return snapshot
}

// setSources changes the sources that say that an engine leaves, and reports
// whether that changed whether it leaves.
func (r *Registry) setSources(state *engineState, sources Sources, peer string) bool {
	if state.sources == sources {
		return false
	}
	before := state.sources
	state.sources = sources
	r.touch(state)
	if (before != 0) == (sources != 0) {
		return false
	}
	kind, event := DecidedLeaving, fleet.HomeEngineLeaving
	if sources == 0 {
		kind, event = DecidedBack, fleet.HomeEngineBack
	}
	r.decide(Decision{Kind: kind, Engine: state.spec.Name, Zone: state.spec.Zone, Sources: sources, Peer: peer})
	if r.isHome(state) {
		r.tellHome(fleet.HomeEvent{Kind: event}, state)
	}
	return true
}

// Tick does what is due.
func (r *Registry) Tick(now time.Time) Output {
	if now.Sub(r.lastTick) > pauseGap && r.ready && len(r.peers) > 0 {
		r.ready = false
		r.staleSince = now
		r.dirty = true
		r.pulls = pullTimes{}
		r.decide(Decision{Kind: DecidedStale})
	}
	r.lastTick = now
	r.pollDue(now)
	r.repeatMarks(now)
	r.expire(now)
	if !now.Before(r.nextDigest) {
		r.nextDigest = now.Add(r.digestInterval()*3/4 + r.jitter(r.digestInterval()/2))
		r.sendDigests(now)
	}
	if !now.Before(r.nextSummary) {
		r.nextSummary = now.Add(r.summaryInterval())
		r.sendSummaries(now)
	}
	if !now.Before(r.nextList) {
		r.nextList = now.Add(r.config.SummaryInterval)
		r.announceLists()
	}
	if !r.ready {
		r.pullState(now)
	}
	return r.take()
}

// pullState asks a live peer of the zone for all it knows. Where no peer has a
// whole view, because all started or were paused together, the list alone
// serves after a while; the homes have polled their engines meanwhile.
func (r *Registry) pullState(now time.Time) {
	alone := len(r.peers) == 0
	since := r.listSince
	if r.staleSince.After(since) {
		since = r.staleSince
	}
	if !r.listSince.IsZero() && (alone || now.Sub(since) > wholeLimit) {
		r.becomeReady()
		return
	}
	if alone || !due(now, &r.pulls.state) {
		return
	}
	peer := r.peers[r.random.IntN(len(r.peers))]
	r.output.Pulls = append(r.output.Pulls, Pull{To: peer.Address, Payload: encodePull(r.version.Zone, nil)})
}

// pullTimes are the times from which the next pull of each kind may be made.
type pullTimes struct {
	state, list, facts time.Time
}

// due says whether a pull may be made, and puts the next one off.
func due(now time.Time, next *time.Time) bool {
	if now.Before(*next) {
		return false
	}
	*next = now.Add(pullInterval)
	return true
}

// expire drops what nobody repeated.
func (r *Registry) expire(now time.Time) {
	for id, sample := range r.samples {
		if now.Sub(sample.heard) > summaryExpiry*r.summaryInterval() {
			delete(r.samples, id)
			r.dirty = true
			r.decide(Decision{Kind: DecidedZoneExpired, Zone: sample.zone})
		}
	}
	for _, state := range r.engines {
		if state.sources&SourceList != 0 && now.Sub(state.listMark) > listMarkExpiry && r.isHome(state) {
			r.setSources(state, state.sources&^SourceList, r.self.Name)
		}
	}
	for id, one := range r.remote {
		if now.After(one.until) {
			delete(r.remote, id)
		}
	}
	r.expireOnline(now)
}
