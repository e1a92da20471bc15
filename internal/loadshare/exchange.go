package loadshare

import (
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/transport"
)

const (
	// UrgentInterval is the minimum interval between shares to the leader while batch work
	// must yield to requests, which wait for it.
	UrgentInterval = 20 * time.Millisecond
	// leaderInterval is the minimum interval between shares from the leader to a relay:
	// batch load is as high as online load and changes faster.
	leaderInterval = ReportInterval / 2
	// shareInterval is the minimum interval between other shares. Their number grows with
	// the square of the zones, and requests prefer engines of their own zone, whose load
	// its relay knows directly.
	shareInterval = ReportInterval
	// loadExpiry is the lifetime of a report or share: five reports, as datagrams may be
	// lost. A front node that changes data nodes is counted twice for that long.
	loadExpiry = 5 * ReportInterval
	// peerAnswerTimeout is how long a data node of another zone may leave shares
	// unanswered before another node of that zone is tried.
	peerAnswerTimeout = 2 * shareInterval
	// activeHold is how long after its last load a data node sends shares, and how long
	// after a peer's last request for shares it answers.
	activeHold = 500 * time.Millisecond
	// isolationTimeout is how long a data node that sends shares may receive none before
	// its sums are incomplete.
	isolationTimeout = 300 * time.Millisecond
	// warmupTime is how long sums are incomplete after the first report: all reports
	// arrive within an interval, and most shares.
	warmupTime = ReportInterval + shareInterval/2
	// frontExpiry is how long a front node is counted after its last report, as idle ones
	// send none.
	frontExpiry = 5 * time.Second
)

// frontReport is the last report of a front node.
type frontReport struct {
	at   time.Time
	load balance.Report
	live bool // the load has not expired
}

// peer is another data node.
type peer struct {
	at       time.Time // of its last share
	fronts   int
	activeAt time.Time // of its last share with Active set
	live     bool      // its load has not expired
	// sentAt is the time of the last share sent to it, unansweredSince that of the first
	// one since its own.
	sentAt, unansweredSince time.Time
}

// Exchange takes reports and shares at a data node. It is not safe for concurrent
// use.
type Exchange struct {
	self    mirror.Node
	reports map[transport.Address]*frontReport
	peers   map[transport.Address]*peer
	// loadAt is when this node last had load, activeSince the start of that period of
	// activity.
	loadAt, activeSince time.Time
	// sentAt is the time of the last share sent, unansweredSince that of the first one
	// since a share was received.
	sentAt, unansweredSince time.Time
	// regionLeaders lead the batch work of regions and get shares as the leader does.
	regionLeaders []transport.Address
}

// SetRegionLeaders sets the leaders of the regions' batch work.
func (e *Exchange) SetRegionLeaders(leaders []transport.Address) { e.regionLeaders = leaders }

// NewExchange returns the exchange of a data node.
func NewExchange(self mirror.Node) *Exchange {
	return &Exchange{self: self, reports: map[transport.Address]*frontReport{}, peers: map[transport.Address]*peer{}}
}

// Report takes a front node's report.
func (e *Exchange) Report(from transport.Address, load balance.Report, now time.Time) {
	e.reports[from] = &frontReport{at: now, load: load, live: true}
	e.noteLoad(load, now)
}

func (e *Exchange) noteLoad(load balance.Report, now time.Time) {
	if len(load) == 0 {
		return
	}
	if !e.active(now) {
		e.activeSince = now
	}
	e.loadAt = now
}

// Share takes another data node's share.
func (e *Exchange) Share(from transport.Address, share Share, now time.Time) {
	sender := e.peer(from)
	sender.at, sender.fronts, sender.live = now, share.Fronts, true
	if share.Active {
		sender.activeAt = now
	}
	sender.unansweredSince, e.unansweredSince = time.Time{}, time.Time{}
}

func (e *Exchange) peer(address transport.Address) *peer {
	p := e.peers[address]
	if p == nil {
		p = &peer{}
		e.peers[address] = p
	}
	return p
}

// Lapsed returns the nodes whose last report or share has expired since the last call.
func (e *Exchange) Lapsed(now time.Time) []transport.Address {
	var expired []transport.Address
	expire := func(address transport.Address, at time.Time, live *bool) {
		if *live && now.Sub(at) > loadExpiry {
			*live = false
			expired = append(expired, address)
		}
	}
	for address, entry := range e.reports {
		expire(address, entry.at, &entry.live)
		if now.Sub(entry.at) > frontExpiry {
			delete(e.reports, address)
		}
	}
	for address, entry := range e.peers {
		expire(address, entry.at, &entry.live)
		if now.Sub(entry.at) > frontExpiry && now.Sub(entry.sentAt) > frontExpiry {
			delete(e.peers, address)
		}
	}
	return expired
}

// Fronts returns the number of front nodes that reported recently, to this node or to
// a peer.
func (e *Exchange) Fronts(now time.Time) int {
	count := e.ownFronts(now)
	for _, peer := range e.peers {
		if now.Sub(peer.at) <= loadExpiry {
			count += peer.fronts
		}
	}
	return count
}

func (e *Exchange) ownFronts(now time.Time) int {
	count := 0
	for _, report := range e.reports {
		if now.Sub(report.at) <= frontExpiry {
			count++
		}
	}
	return count
}

// Complete says that this node knows all load: it is past its warm-up, and peers answer
// its shares.
func (e *Exchange) Complete(now time.Time) bool {
	asking := !e.unansweredSince.IsZero() && now.Sub(e.sentAt) <= isolationTimeout
	isolated := asking && now.Sub(e.unansweredSince) > isolationTimeout
	return !isolated && now.Sub(e.activeSince) >= warmupTime
}

// OwnShare returns the share of this node: the load that front nodes reported to it, and
// its local load.
func (e *Exchange) OwnShare(local balance.Report, now time.Time) Share {
	load := balance.Report{}
	load.Add(local)
	for _, report := range e.reports {
		if now.Sub(report.at) <= loadExpiry {
			load.Add(report.load)
		}
	}
	e.noteLoad(load, now)
	return Share{Fronts: e.ownFronts(now), Active: e.active(now), Load: load}
}

func (e *Exchange) active(now time.Time) bool { return now.Sub(e.loadAt) <= activeHold }

// Due returns the data nodes to send a share to now: the leader, relays of the other
// zones and peers that ask for one. The leader asks nobody and only answers. urgent
// says that batch work must yield to requests, which the leader has to learn.
func (e *Exchange) Due(nodes []mirror.Node, leader transport.Address, urgent bool, now time.Time) []transport.Address {
	var due []transport.Address
	for _, address := range e.receivers(nodes, leader, now) {
		interval := shareInterval
		switch {
		case leader == e.self.Address:
			interval = leaderInterval
		case (address == leader || slices.Contains(e.regionLeaders, address)) && urgent:
			interval = UrgentInterval
		}
		receiver := e.peer(address)
		if now.Sub(receiver.sentAt) >= interval {
			if receiver.unansweredSince.IsZero() {
				receiver.unansweredSince = now
			}
			receiver.sentAt = now
			due = append(due, address)
		}
	}
	if len(due) > 0 && e.active(now) {
		if e.unansweredSince.IsZero() || now.Sub(e.sentAt) > isolationTimeout {
			e.unansweredSince = now
		}
		e.sentAt = now
	}
	return due
}

func (e *Exchange) receivers(nodes []mirror.Node, leader transport.Address, now time.Time) []transport.Address {
	var receivers []transport.Address
	for address, peer := range e.peers {
		if now.Sub(peer.activeAt) <= activeHold {
			receivers = append(receivers, address)
		}
	}
	if e.active(now) && leader != e.self.Address {
		receivers = append(receivers, e.probeTargets(nodes, leader, receivers, now)...)
	}
	slices.Sort(receivers)
	return slices.Compact(receivers)
}

// probeTargets returns data nodes that may have load but didn't ask for a share: the
// leaders, relays of this zone that rank before this node, and one node of each zone
// from which none asked.
func (e *Exchange) probeTargets(nodes []mirror.Node, leader transport.Address, asking []transport.Address, now time.Time) []transport.Address {
	var addresses []transport.Address
	if leader != "" {
		addresses = append(addresses, leader)
	}
	for _, other := range e.regionLeaders {
		if other != e.self.Address {
			addresses = append(addresses, other)
		}
	}
	inZone, others := splitByZone(nodes, e.self.Zone)
	preferred := rankRelays(inZone, e.self.Zone, leader)
	if own := slices.Index(preferred, e.self.Address); own > 0 {
		addresses = append(addresses, preferred[:own]...)
	}
	zones := map[string][]mirror.Node{}
	for _, node := range others {
		zones[node.Zone] = append(zones[node.Zone], node)
	}
	for zone, candidates := range zones {
		asked := slices.ContainsFunc(candidates, func(n mirror.Node) bool {
			return n.Address != leader && slices.Contains(asking, n.Address)
		})
		if !asked {
			addresses = append(addresses, e.firstAnswering(rankRelays(candidates, zone, leader), now))
		}
	}
	return addresses
}

// firstAnswering returns the first candidate that isn't known to leave shares
// unanswered, or the first of all.
func (e *Exchange) firstAnswering(candidates []transport.Address, now time.Time) transport.Address {
	for _, address := range candidates {
		peer := e.peers[address]
		if peer == nil || peer.unansweredSince.IsZero() || now.Sub(peer.unansweredSince) <= peerAnswerTimeout || now.Sub(peer.sentAt) > ejectionTime {
			return address
		}
	}
	return candidates[0]
}
