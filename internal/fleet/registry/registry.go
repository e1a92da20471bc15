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

// Config configures a registry. Zero fields take the defaults.
type Config struct {
	Self membership.Member
	// PollInterval is the minimum interval between polls of an engine by its
	// home. PollsPerSecond stretches it for a home with many engines, up to
	// MaxPollInterval, which bounds how late an engine's own leaving report is
	// seen.
	PollInterval   time.Duration
	PollsPerSecond float64
	// DigestInterval is the minimum interval between digests, and DigestBudget
	// bounds the sender's digest traffic in bytes per second.
	DigestInterval time.Duration
	DigestBudget   float64
	// SummaryInterval is the minimum interval between summaries of a zone.
	SummaryInterval time.Duration
	Seed            uint64
}

const (
	defaultPollInterval    = time.Second
	defaultPollsPerSecond  = 4
	defaultDigestInterval  = time.Second
	defaultDigestBudget    = 2560
	defaultSummaryInterval = 2 * time.Second

	// MaxPollInterval is the maximum interval between polls of an engine.
	MaxPollInterval = 2 * time.Second

	// datagramOverhead estimates the bytes of a datagram besides its records:
	// IP, UDP, the transport's frame and MAC, and this package's header.
	datagramOverhead = 28 + 48 + 36
	// updateRepeats is the number of times a leaving update is sent; the wait between
	// sends starts at updateDelay and doubles.
	updateRepeats = 3
	updateDelay   = 150 * time.Millisecond
	// pollRetryDelay is the wait after a failed poll.
	pollRetryDelay = 100 * time.Millisecond
	// failureThreshold is the number of consecutive failed polls after which the
	// home marks an engine with SourceFailure.
	failureThreshold = 2
	// summaryIntervalPerZone is added to the summary interval for each zone,
	// so that the summaries of all zones together have a constant rate.
	summaryIntervalPerZone = 300 * time.Millisecond
	// summaryExpiry is the age, in summary intervals, at which a zone's sample
	// is dropped.
	summaryExpiry = 5
	// remoteUpdateExpiry is how long an update of another zone's engine
	// overrides summaries, which may be older.
	remoteUpdateExpiry = 5 * time.Second
	// machineListExpiry is the lifetime of a report of the machine list.
	machineListExpiry = 10 * time.Minute
	// pullInterval is the minimum interval between pulls of one kind.
	pullInterval = 500 * time.Millisecond
	// maxRecordsPerDigest keeps a digest within one datagram.
	maxRecordsPerDigest = 40
	// minLocalFaultEngines is the number of engines from which a home whose
	// engines all time out at once suspects its own network.
	minLocalFaultEngines = 4
	// pauseGap is the gap between ticks after which the view counts as stale.
	pauseGap = 3 * time.Second
	// peerViewTimeout is how long a node that has the machine list, or was paused,
	// waits for a peer with a complete view.
	peerViewTimeout = 2 * time.Second
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

// Datagram is an encoded message and its receiver.
type Datagram struct {
	To      transport.Address
	Payload []byte
}

// Pull is a call to make; its answer goes to HandlePullAnswer.
type Pull struct {
	To      transport.Address
	Payload []byte
}

// Poll asks the caller to read an engine's load and pass it to HandleLoad.
type Poll struct {
	Endpoint *fleet.Endpoint
}

// Decision is a state change or observation to be logged.
type Decision struct {
	Kind    DecisionKind
	Engine  string
	Zone    string
	Sources Sources
	// Peer is the member that reported it, or the new home.
	Peer     string
	Revision uint64
}

// DecisionKind is the kind of a Decision.
type DecisionKind uint8

// Kinds of decisions.
const (
	DecidedHome         DecisionKind = iota + 1 // this node became an engine's home
	DecidedLostHome                             // another node became the home, or the engine left the list
	DecidedLeaving                              // an engine is leaving and gets no new work
	DecidedBack                                 // an engine gets new work again
	DecidedList                                 // a newer list of engines is in use
	DecidedListRefused                          // a list older than the one in use was refused
	DecidedReady                                // the node's view is complete
	DecidedStale                                // the node was paused and must pull its view again
	DecidedLocalFault                           // all engines of this home time out at once; not shared
	DecidedZoneExpired                          // another zone's summaries stopped
	DecidedNotConfirmed                         // a gateway's report of failure was not confirmed
)

// Output is the work that a method leaves to its caller.
type Output struct {
	Datagrams  []Datagram
	Pulls      []Pull
	Polls      []Poll
	HomeEvents []fleet.HomeEvent
	Decisions  []Decision
}

// engineState is the state of one engine.
type engineState struct {
	id       uint64
	spec     fleet.Spec
	home     string
	load     engine.Load
	metadata uint16
	sources  Sources
	heard    time.Time // when the newest record was received
	listedAt time.Time // when the machine list last reported it as leaving
	endpoint *fleet.Endpoint

	// The fields below are used by the engine's home only.
	nextPoll   time.Time
	polling    bool
	failures   int
	localFault bool
	verifying  bool // a gateway's failure report awaits the next poll
}

// zoneSample is another zone's last summary.
type zoneSample struct {
	zone     string
	sequence uint32
	position uint16 // position in the forwarding tree from which it was last forwarded
	heard    time.Time
	models   []ModelCapacity
	engines  map[uint64]*engineState
}

// leavingUpdate schedules the repeats of an engine's leaving update.
type leavingUpdate struct {
	engine    uint64
	remaining int
	due       time.Time
	wait      time.Duration
}

// remoteUpdate is a leaving update of another zone's engine.
type remoteUpdate struct {
	sources Sources
	until   time.Time
}

// Registry is the state machine of a node's view of the engines. It is not
// safe for concurrent use.
type Registry struct {
	config Config
	random *rand.Rand
	self   membership.Member
	view   *membership.View
	zone   []membership.Member // live members of the own zone
	peers  []membership.Member // zone without this node

	engines       map[uint64]*engineState // of the own zone
	names         []string                // of the own zone's engines, in order
	version       listVersion
	samples       map[uint64]*zoneSample // by zone id
	readerLists   map[string]zoneList    // lists of the region's zones by name, on a store reader
	revision      uint64                 // of the store, on a reader
	updates       []leavingUpdate
	remoteUpdates map[uint64]remoteUpdate
	online        map[string]onlineRequest

	ready       bool
	staleSince  time.Time // when a pause was detected; zero on a new node
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

// New returns a registry without engines.
func New(config Config, now time.Time) *Registry {
	config = config.withDefaults()
	registry := &Registry{
		config:        config,
		random:        rand.New(rand.NewPCG(config.Seed, EngineID(config.Self.Name))),
		self:          config.Self,
		view:          &membership.View{},
		engines:       map[uint64]*engineState{},
		version:       listVersion{Zone: zoneID(config.Self.Zone)},
		samples:       map[uint64]*zoneSample{},
		remoteUpdates: map[uint64]remoteUpdate{},
		online:        map[string]onlineRequest{},
		lastTick:      now,
		dirty:         true,
	}
	registry.nextDigest = now.Add(registry.jitter(config.DigestInterval))
	registry.nextSummary = now.Add(registry.jitter(config.SummaryInterval))
	registry.nextList = now
	return registry
}

func (r *Registry) jitter(interval time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(interval) + 1))
}

// Ready reports whether the view is complete; snapshots are empty until then.
func (r *Registry) Ready() bool { return r.ready }

// ListRevision returns the store revision of the list of engines in use.
func (r *Registry) ListRevision() uint64 { return r.version.Revision }

// takeOutput returns and clears the pending output.
func (r *Registry) takeOutput() Output {
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

// SetView adopts a new view of the members and reassigns homes.
func (r *Registry) SetView(now time.Time, view *membership.View) Output {
	r.view = view
	if self, ok := view.Member(r.self.Name); ok {
		r.self = self
	}
	live := view.LiveInZone(r.self.Zone)
	if slices.EqualFunc(live, r.zone, func(a, b membership.Member) bool { return a.Name == b.Name && a.Address == b.Address }) {
		return r.takeOutput()
	}
	r.zone = live
	r.peers = r.peers[:0]
	for _, member := range live {
		if member.Name != r.self.Name {
			r.peers = append(r.peers, member)
		}
	}
	r.assignHomes(now)
	return r.takeOutput()
}

// assignHomes computes the home of each engine of the zone.
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
		r.invalidate(state)
		switch r.self.Name {
		case home:
			r.gainHome(now, state)
		case previous:
			r.loseHome(state)
		}
	}
}

func (r *Registry) gainHome(now time.Time, state *engineState) {
	state.nextPoll = now
	state.polling = false
	state.failures = 0
	r.decide(Decision{Kind: DecidedHome, Engine: state.spec.Name, Zone: state.spec.Zone})
	r.emitHomeEvent(fleet.HomeEvent{Kind: fleet.HomeGained}, state)
}

func (r *Registry) loseHome(state *engineState) {
	r.decide(Decision{Kind: DecidedLostHome, Engine: state.spec.Name, Zone: state.spec.Zone, Peer: state.home})
	r.emitHomeEvent(fleet.HomeEvent{Kind: fleet.HomeLost}, state)
	r.dropOnline(state.id)
}

func (r *Registry) isHome(state *engineState) bool { return state.home == r.self.Name }

func (r *Registry) emitHomeEvent(event fleet.HomeEvent, state *engineState) {
	event.Endpoint = r.endpointOf(state)
	r.output.HomeEvents = append(r.output.HomeEvents, event)
}

// invalidate drops the cached endpoint of a changed engine.
func (r *Registry) invalidate(state *engineState) {
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

// Snapshot returns the known engines, or nil if nothing changed since the last
// call. It is empty until the view is complete.
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

// setSources sets the sources that report an engine as leaving, and reports
// whether the engine started or stopped leaving.
func (r *Registry) setSources(state *engineState, sources Sources, peer string) bool {
	if state.sources == sources {
		return false
	}
	before := state.sources
	state.sources = sources
	r.invalidate(state)
	if (before != 0) == (sources != 0) {
		return false
	}
	kind, event := DecidedLeaving, fleet.HomeEngineLeaving
	if sources == 0 {
		kind, event = DecidedBack, fleet.HomeEngineBack
	}
	r.decide(Decision{Kind: kind, Engine: state.spec.Name, Zone: state.spec.Zone, Sources: sources, Peer: peer})
	if r.isHome(state) {
		r.emitHomeEvent(fleet.HomeEvent{Kind: event}, state)
	}
	return true
}

// Tick runs all timers that are due.
func (r *Registry) Tick(now time.Time) Output {
	if now.Sub(r.lastTick) > pauseGap && r.ready && len(r.peers) > 0 {
		r.ready = false
		r.staleSince = now
		r.dirty = true
		r.pulls = pullTimes{}
		r.decide(Decision{Kind: DecidedStale})
	}
	r.lastTick = now
	r.requestDuePolls(now)
	r.sendDueUpdates(now)
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
	return r.takeOutput()
}

// pullState pulls the view of a random live peer of the zone. If no peer has a
// complete view, because all started or were paused together, the list alone
// suffices after peerViewTimeout; the homes have polled their engines by then.
func (r *Registry) pullState(now time.Time) {
	alone := len(r.peers) == 0
	since := r.listSince
	if r.staleSince.After(since) {
		since = r.staleSince
	}
	if !r.listSince.IsZero() && (alone || now.Sub(since) > peerViewTimeout) {
		r.becomeReady()
		return
	}
	if alone || !reservePull(now, &r.pulls.state) {
		return
	}
	peer := r.peers[r.random.IntN(len(r.peers))]
	r.output.Pulls = append(r.output.Pulls, Pull{To: peer.Address, Payload: encodePull(r.version.Zone, nil)})
}

// pullTimes holds the earliest time of the next pull of each kind.
type pullTimes struct {
	state, list, metadata time.Time
}

// reservePull reports whether a pull may be made, and defers the next.
func reservePull(now time.Time, next *time.Time) bool {
	if now.Before(*next) {
		return false
	}
	*next = now.Add(pullInterval)
	return true
}

// expire drops what was not renewed.
func (r *Registry) expire(now time.Time) {
	for id, sample := range r.samples {
		if now.Sub(sample.heard) > summaryExpiry*r.summaryInterval() {
			delete(r.samples, id)
			r.dirty = true
			r.decide(Decision{Kind: DecidedZoneExpired, Zone: sample.zone})
		}
	}
	for _, state := range r.engines {
		if state.sources&SourceList != 0 && now.Sub(state.listedAt) > machineListExpiry && r.isHome(state) {
			r.setSources(state, state.sources&^SourceList, r.self.Name)
		}
	}
	for id, update := range r.remoteUpdates {
		if now.After(update.until) {
			delete(r.remoteUpdates, id)
		}
	}
	r.expireOnline(now)
}
