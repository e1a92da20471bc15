package dissemination

import (
	"math/rand/v2"
	"time"

	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/settings"
	"chutelock.dev/chutelock/internal/transport"
)

// Machine is one node's part in the dissemination. See the package comment
// for the contract.
type Machine struct {
	config  Config
	random  *rand.Rand
	state   *State
	log     deltaLog
	plan    plan
	actions []Action
	startup startup
	// published is set once a version is in force at this node.
	published bool
	pull      pull
	// avoidPullsUntil spares bandwidth after a peer proved to diverge.
	avoidPullsUntil time.Time
	watch           watch
	gossip          gossip
	reports         reports
	// confirmedAt is when the store was last known to hold nothing newer than
	// what is in force here.
	confirmedAt time.Time
	// heard is the highest version that any peer told of.
	heard settings.Version
}

// New makes a machine. Restored is what the node's disk holds, or nil.
func New(config Config, now time.Time, restored *State) *Machine {
	config = config.withDefaults()
	if restored == nil {
		restored = &State{}
	}
	machine := &Machine{
		config:  config,
		random:  rand.New(rand.NewPCG(config.Seed, config.Seed^0x9e3779b97f4a7c15)),
		state:   restored,
		startup: startup{began: now, answers: make(map[transport.Address]settings.Version)},
		reports: newReports(),
	}
	machine.plan = planFor(config.Self, &membership.View{})
	return machine
}

// take gives the actions gathered by one method.
func (m *Machine) take() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}

func (m *Machine) do(action Action) { m.actions = append(m.actions, action) }

// SetView tells which members live.
func (m *Machine) SetView(now time.Time, view *membership.View) []Action {
	m.plan = planFor(m.config.Self, view)
	m.reports.keepChildren(m.plan.children)
	m.tickStartup(now)
	return m.take()
}

// Tick lets time pass.
func (m *Machine) Tick(now time.Time) []Action {
	m.tickStartup(now)
	m.tickPull(now)
	m.tickWatch(now)
	m.tickGossip(now)
	m.tickReports(now)
	return m.take()
}

// InForce is the version in force at this node; false before the first.
func (m *Machine) InForce() (settings.Version, bool) { return m.state.version, m.published }

// State is the content in force; the caller must not keep it past the next
// call of a method.
func (m *Machine) State() *State { return m.state }

// Newest is the newest change in force; its name is empty if it is not known.
func (m *Machine) Newest() Entry { return m.state.newest }

// Heard is the highest version that any peer told of, or the own one.
func (m *Machine) Heard() settings.Version { return max(m.heard, m.state.version) }

// Age is the time since the store was last known to hold nothing newer than
// what is in force here; false if that was never known.
func (m *Machine) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(m.confirmedAt), !m.confirmedAt.IsZero()
}

// Stale says that this node can't tell whether its settings are the newest.
func (m *Machine) Stale(now time.Time) bool {
	age, known := m.Age(now)
	return !known || age > m.config.StaleAfter
}

// Watching says whether this node reads the store.
func (m *Machine) Watching() bool { return m.watch.phase == phaseWatching }

// StoreRefused says that the store went back or forked, as seen by this node.
func (m *Machine) StoreRefused() bool { return m.watch.refused }

// confirm notes that the state in force was the newest at a time.
func (m *Machine) confirm(at time.Time) {
	if at.After(m.confirmedAt) {
		m.confirmedAt = at
	}
}

// ageOf is the age that goes into messages.
func (m *Machine) ageOf(now time.Time) time.Duration {
	age, known := m.Age(now)
	if !known {
		return maxAge
	}
	return age
}

// maxAge stands for "never confirmed" in messages.
const maxAge = 24 * time.Hour

// hear takes a peer's word on how fresh a version is.
func (m *Machine) hear(now time.Time, version settings.Version, age time.Duration) {
	m.heard = max(m.heard, version)
	if m.state.known && version <= m.state.version && version.Epoch() == m.state.version.Epoch() && age < maxAge {
		m.confirm(now.Add(-age))
	}
}

// HandleDelta takes a delta from a peer.
func (m *Machine) HandleDelta(now time.Time, from transport.Address, delta *Delta) []Action {
	m.offer(now, from, delta)
	m.hear(now, delta.To, delta.Age)
	return m.take()
}

// offer applies a peer's delta if it joins, and pulls if it leaves a gap.
func (m *Machine) offer(now time.Time, from transport.Address, delta *Delta) {
	if m.state.known && delta.To <= m.state.version {
		return
	}
	if !m.state.fits(delta) {
		m.startPull(now, from)
		return
	}
	changes := m.state.changes(delta)
	if m.state.digestWith(changes) != delta.Digest {
		m.do(Notify{Notice: NoticeDivergence, InForce: m.state.version, Found: delta.To})
		m.startBucketPull(now, from)
		return
	}
	m.advance(now, delta, changes)
	m.forward(from, delta)
}

// advance brings a delta in force. It is persisted before it is published.
func (m *Machine) advance(now time.Time, delta *Delta, changes []Entry) {
	before := m.state.version
	m.state.advance(delta.To, changes)
	m.noteAhead(before, changes)
	m.reports.hurry(now)
	m.log.append(*delta)
	m.do(Persist{Version: delta.To, Changes: changes})
	if m.published {
		m.do(Publish{Version: delta.To, Changes: changes})
	}
	m.tickStartup(now)
}

// forward passes a delta down the zone's tree.
func (m *Machine) forward(from transport.Address, delta *Delta) {
	for _, child := range m.plan.children {
		if child != from {
			m.do(SendDelta{To: child, Delta: delta})
		}
	}
}

// install brings a whole state in force.
func (m *Machine) install(now time.Time, fresh *State) {
	changes := m.state.difference(fresh)
	fresh.findNewest()
	before := m.state.version
	m.state = fresh
	m.noteAhead(before, changes)
	m.reports.hurry(now)
	m.log.clear()
	m.do(Persist{Version: fresh.version, Changes: changes})
	if m.published {
		m.do(Publish{Version: fresh.version, Changes: changes})
	}
	m.tickStartup(now)
	m.announce(now)
}

// publishAll puts the first version in force.
func (m *Machine) publishAll() {
	m.published = true
	m.do(Publish{Version: m.state.version, Changes: m.state.all(), Replace: true})
}

// announce tells the nodes below, and the region's roots if this node reads
// the store, that there is something to pull.
func (m *Machine) announce(now time.Time) {
	targets := m.plan.children
	if m.watch.phase != phaseIdle {
		targets = append(targets[:len(targets):len(targets)], m.plan.roots...)
	}
	for _, target := range targets {
		m.sendDigest(now, target, true)
	}
}
