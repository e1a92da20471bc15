package dissemination

import (
	"math/rand/v2"
	"time"

	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/settings"
	"chutelock.dev/chutelock/internal/transport"
)

// Machine is the dissemination state machine of one node. See the package
// comment for the contract.
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
	// avoidPullsUntil is the time before which startPull does nothing. It saves
	// bandwidth after a bucket pull found that a peer diverged.
	avoidPullsUntil time.Time
	watch           watch
	gossip          gossip
	reports         reports
	// confirmedAt is when the store was last known to hold nothing newer than
	// what is in force here.
	confirmedAt time.Time
	// highestPeerVersion is the highest version that any peer reported.
	highestPeerVersion settings.Version
}

// New returns a Machine. Restored is what the node's disk holds, or nil.
func New(config Config, now time.Time, restored *State) *Machine {
	config = config.withDefaults()
	if restored == nil {
		restored = &State{}
	}
	machine := &Machine{
		config: config,
		// The XOR makes the second word of PCG's seed differ from the first.
		random:  rand.New(rand.NewPCG(config.Seed, config.Seed^0x9e3779b97f4a7c15)),
		state:   restored,
		startup: startup{began: now, answers: make(map[transport.Address]settings.Version)},
		reports: newReports(),
	}
	machine.plan = planFor(config.Self, &membership.View{})
	return machine
}

// takeActions returns and clears the pending actions.
func (m *Machine) takeActions() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}

func (m *Machine) emit(action Action) { m.actions = append(m.actions, action) }

// SetView updates the membership view.
func (m *Machine) SetView(now time.Time, view *membership.View) []Action {
	m.plan = planFor(m.config.Self, view)
	m.reports.keepChildren(m.plan.children)
	m.tickStartup(now)
	return m.takeActions()
}

// Tick runs the timers that are due.
func (m *Machine) Tick(now time.Time) []Action {
	m.tickStartup(now)
	m.tickPull(now)
	m.tickWatch(now)
	m.tickGossip(now)
	m.tickReports(now)
	return m.takeActions()
}

// InForce returns the version in force at this node; false before the first.
func (m *Machine) InForce() (settings.Version, bool) { return m.state.version, m.published }

// State returns the content in force; the caller must not keep it past the next
// call of a method.
func (m *Machine) State() *State { return m.state }

// Newest returns the newest change in force; its name is empty if it is not known.
func (m *Machine) Newest() Entry { return m.state.newest }

// HighestKnownVersion returns the highest version that this node has or any peer reported.
func (m *Machine) HighestKnownVersion() settings.Version {
	return max(m.highestPeerVersion, m.state.version)
}

// Age returns the time since the store was last known to hold nothing newer than
// what is in force here; false if that was never known.
func (m *Machine) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(m.confirmedAt), !m.confirmedAt.IsZero()
}

// Stale reports whether the last confirmation by the store is missing or older
// than StaleAfter.
func (m *Machine) Stale(now time.Time) bool {
	age, known := m.Age(now)
	return !known || age > m.config.StaleAfter
}

// Watching reports whether this node has a watch on the store.
func (m *Machine) Watching() bool { return m.watch.phase == phaseWatching }

// StoreRefused reports whether this node refused the store as rolled back or
// forked.
func (m *Machine) StoreRefused() bool { return m.watch.refused }

// confirm records that the state in force was the newest at a time.
func (m *Machine) confirm(at time.Time) {
	if at.After(m.confirmedAt) {
		m.confirmedAt = at
	}
}

// ageOf returns the age to send in messages.
func (m *Machine) ageOf(now time.Time) time.Duration {
	age, known := m.Age(now)
	if !known {
		return maxAge
	}
	return age
}

// maxAge stands for "never confirmed" in messages.
const maxAge = 24 * time.Hour

// observePeerVersion records the highest version reported by a peer. If the
// peer's version is in this node's epoch and not newer than the state in force,
// and its age is below maxAge, that state was the newest at now-age.
func (m *Machine) observePeerVersion(now time.Time, version settings.Version, age time.Duration) {
	m.highestPeerVersion = max(m.highestPeerVersion, version)
	if m.state.known && version <= m.state.version && version.Epoch() == m.state.version.Epoch() && age < maxAge {
		m.confirm(now.Add(-age))
	}
}

// HandleDelta processes a delta from a peer.
func (m *Machine) HandleDelta(now time.Time, from transport.Address, delta *Delta) []Action {
	m.applyOrPull(now, from, delta)
	m.observePeerVersion(now, delta.To, delta.Age)
	return m.takeActions()
}

// applyOrPull applies a peer's delta if it is contiguous, and otherwise pulls.
func (m *Machine) applyOrPull(now time.Time, from transport.Address, delta *Delta) {
	if m.state.known && delta.To <= m.state.version {
		return
	}
	if !m.state.accepts(delta) {
		m.startPull(now, from)
		return
	}
	changes := m.state.changes(delta)
	if m.state.digestWith(changes) != delta.Digest {
		m.emit(Notify{Notice: NoticeDivergence, InForce: m.state.version, Found: delta.To})
		m.startBucketPull(now, from)
		return
	}
	m.advance(now, delta, changes)
	m.forward(from, delta)
}

// advance applies a delta, persisting it before publishing it.
func (m *Machine) advance(now time.Time, delta *Delta, changes []Entry) {
	before := m.state.version
	m.state.advance(delta.To, changes)
	m.recordPeerChanges(before, changes)
	m.reports.expedite(now)
	m.log.append(*delta)
	m.emit(Persist{Version: delta.To, Changes: changes})
	if m.published {
		m.emit(Publish{Version: delta.To, Changes: changes})
	}
	m.tickStartup(now)
}

// forward passes a delta down the zone's tree.
func (m *Machine) forward(from transport.Address, delta *Delta) {
	for _, child := range m.plan.children {
		if child != from {
			m.emit(SendDelta{To: child, Delta: delta})
		}
	}
}

// install replaces the whole state.
func (m *Machine) install(now time.Time, next *State) {
	changes := m.state.difference(next)
	next.findNewest()
	before := m.state.version
	m.state = next
	m.recordPeerChanges(before, changes)
	m.reports.expedite(now)
	m.log.clear()
	m.emit(Persist{Version: next.version, Changes: changes})
	if m.published {
		m.emit(Publish{Version: next.version, Changes: changes})
	}
	m.tickStartup(now)
	m.announce(now)
}

// publishAll publishes the first version.
func (m *Machine) publishAll() {
	m.published = true
	m.emit(Publish{Version: m.state.version, Changes: m.state.all(), Replace: true})
}

// announce sends a digest to the children, and to the region's roots if this
// node reads the store, so that they pull.
func (m *Machine) announce(now time.Time) {
	targets := m.plan.children
	if m.watch.phase != phaseIdle {
		targets = append(targets[:len(targets):len(targets)], m.plan.roots...)
	}
	for _, target := range targets {
		m.sendDigest(now, target, true)
	}
}
