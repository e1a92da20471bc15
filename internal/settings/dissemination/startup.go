package dissemination

import (
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/settings"
	"chutelock.dev/chutelock/internal/transport"
)

// startup tracks the version queries of a starting node, which keep it from
// publishing an outdated state of its disk or of a restored store.
type startup struct {
	began     time.Time
	queriedAt time.Time
	finished  bool
	// answers are the versions of peers that have settings in force.
	answers map[transport.Address]settings.Version
	// queried counts the peers queried so far, so that each round queries others.
	queried int
}

// startupRetry is the pause between two rounds of queries.
const startupRetry = 200 * time.Millisecond

// startupQuorum is the number of peers whose answers end the wait early.
// A single peer may itself be behind.
const startupQuorum = 2

// tickStartup queries peers, and publishes the first version when enough have
// answered or the wait is over.
func (m *Machine) tickStartup(now time.Time) {
	if m.published {
		return
	}
	if !m.startup.finished {
		m.queryPeers(now)
		m.startup.finished = m.startupDone(now)
	}
	if m.startup.finished && m.state.known {
		m.publishAll()
	}
}

// queryPeers queries a few peers per round, the nearest first.
func (m *Machine) queryPeers(now time.Time) {
	if now.Sub(m.startup.queriedAt) < startupRetry {
		return
	}
	m.startup.queriedAt = now
	peers := slices.Concat(m.plan.zonePeers, m.plan.regionPeers, m.plan.otherRegions)
	for range min(startupPeers, len(peers)) {
		peer := peers[m.startup.queried%len(peers)]
		m.startup.queried++
		if _, answered := m.startup.answers[peer]; !answered {
			m.sendDigest(now, peer, false)
		}
	}
}

func (m *Machine) startupDone(now time.Time) bool {
	waited := now.Sub(m.startup.began)
	newest, answers := settings.Version(0), len(m.startup.answers)
	for _, version := range m.startup.answers {
		newest = max(newest, version)
	}
	caughtUp := m.state.known && m.state.version >= newest
	if answers >= startupQuorum && caughtUp {
		return true
	}
	if waited >= m.config.StartupWait && (caughtUp || newest == 0) {
		return true
	}
	return waited >= 2*m.config.StartupWait
}
