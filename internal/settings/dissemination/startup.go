package dissemination

import (
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/settings"
	"chutelock.dev/chutelock/internal/transport"
)

// startup asks a few peers for their versions, so that a restarted node does
// not put its disk's or a restored store's older state in force.
type startup struct {
	began    time.Time
	askedAt  time.Time
	finished bool
	// answers are the versions of peers that have settings in force.
	answers map[transport.Address]settings.Version
	// asked counts the peers asked so far, so that each round asks others.
	asked int
}

// startupRetry is the pause between two rounds of questions.
const startupRetry = 200 * time.Millisecond

// startupQuorum is the number of peers whose word spares the rest of the wait.
// One alone may be the node that lags most.
const startupQuorum = 2

// tickStartup asks peers, and publishes the first version when enough have
// answered or the wait is over.
func (m *Machine) tickStartup(now time.Time) {
	if m.published {
		return
	}
	if !m.startup.finished {
		m.askPeers(now)
		m.startup.finished = m.startupDone(now)
	}
	if m.startup.finished && m.state.known {
		m.publishAll()
	}
}

// askPeers asks a few peers, near ones first, and others in the next round.
func (m *Machine) askPeers(now time.Time) {
	if now.Sub(m.startup.askedAt) < startupRetry {
		return
	}
	m.startup.askedAt = now
	near := slices.Concat(m.plan.zone, m.plan.region, m.plan.elsewhere)
	for range min(startupPeers, len(near)) {
		peer := near[m.startup.asked%len(near)]
		m.startup.asked++
		if _, answered := m.startup.answers[peer]; !answered {
			m.sendDigest(now, peer, false)
		}
	}
}

func (m *Machine) startupDone(now time.Time) bool {
	waited := now.Sub(m.startup.began)
	best, answers := settings.Version(0), len(m.startup.answers)
	for _, version := range m.startup.answers {
		best = max(best, version)
	}
	caughtUp := m.state.known && m.state.version >= best
	if answers >= startupQuorum && caughtUp {
		return true
	}
	if waited >= m.config.StartupWait && (caughtUp || best == 0) {
		return true
	}
	return waited >= 2*m.config.StartupWait
}
