package dissemination

import (
	"time"

	"chutelock.dev/chutelock/internal/transport"
)

// gossip is the exchange of digests with random peers.
type gossip struct {
	next  time.Time
	count int
}

// tickGossip sends a digest to one peer every GossipInterval, with jitter.
func (m *Machine) tickGossip(now time.Time) {
	if now.Before(m.gossip.next) {
		return
	}
	interval := m.config.GossipInterval
	m.gossip.next = now.Add(interval*4/5 + time.Duration(m.random.Int64N(int64(interval)*2/5)))
	m.gossip.count++
	if target, ok := m.gossipTarget(); ok {
		m.sendDigest(now, target, false)
	}
}

// gossipTarget returns a random peer: usually of the zone, sometimes of the
// region; the first nodes of a zone also pick peers of other regions.
func (m *Machine) gossipTarget() (transport.Address, bool) {
	head := m.plan.position < relayRoots
	switch {
	case head && m.gossip.count%headRegionPeriod == 0 && len(m.plan.otherRegions) > 0:
		return m.randomPeer(m.plan.otherRegions), true
	case (m.gossip.count%regionGossipPeriod == 1 || len(m.plan.zonePeers) == 0) && len(m.plan.regionPeers) > 0:
		return m.randomPeer(m.plan.regionPeers), true
	case len(m.plan.zonePeers) > 0:
		return m.randomPeer(m.plan.zonePeers), true
	}
	return "", false
}

func (m *Machine) randomPeer(from []transport.Address) transport.Address {
	return from[m.random.IntN(len(from))]
}

func (m *Machine) sendDigest(now time.Time, to transport.Address, answer bool) {
	m.emit(SendDigest{To: to, Digest: Digest{
		Version: m.state.version, Known: m.published, Answer: answer, Digest: m.state.digest(), Age: m.ageOf(now),
	}})
}

// HandleDigest compares a peer's digest with this node's state; the node that is
// behind pulls.
func (m *Machine) HandleDigest(now time.Time, from transport.Address, digest *Digest) []Action {
	if !m.published && digest.Answer && digest.Known {
		m.startup.answers[from] = digest.Version
	}
	if digest.Known {
		m.compare(now, from, digest)
		m.observePeerVersion(now, digest.Version, digest.Age)
	}
	behind := m.published && (!digest.Known || digest.Version < m.state.version)
	asked := !digest.Answer && !digest.Known
	if behind && !digest.Answer || asked {
		m.sendDigest(now, from, true)
	}
	m.tickStartup(now)
	return m.takeActions()
}

func (m *Machine) compare(now time.Time, from transport.Address, digest *Digest) {
	switch {
	case !m.state.known || digest.Version > m.state.version:
		m.startPull(now, from)
	case digest.Version == m.state.version && digest.Digest != m.state.digest():
		m.emit(Notify{Notice: NoticeDivergence, InForce: m.state.version, Found: digest.Version})
	}
}
