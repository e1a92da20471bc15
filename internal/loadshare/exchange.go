package loadshare

import (
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/transport"
)

const (
	// PressInterval is the least time between two shares to the leader while
	// batch work has to make way for requests: these wait that much longer.
	PressInterval = 20 * time.Millisecond
	// runsInterval is the least time between two shares of the leader to a relay:
	// batch work is as much as online work, and changes faster.
	runsInterval = ReportInterval / 2
	// shareInterval is the least time between two shares otherwise. Their datagrams
	// grow with the square of the zones, and requests prefer engines of their
	// zone, of which the zone's relay knows by itself.
	shareInterval = ReportInterval
	// lapseTime is how long a report or a share counts: five reports, as datagrams
	// may be lost. A front node that goes over to another data node counts twice
	// for that long.
	lapseTime = 5 * ReportInterval
	// answerTime is how long a data node of another zone may leave shares
	// unanswered before another one of the zone is sent them.
	answerTime = 2 * shareInterval
	// activeTail is how long a data node goes on sending shares after the last
	// load it had, and answering those of another one.
	activeTail = 500 * time.Millisecond
	// aloneTime is how long a data node that sends shares may hear none before
	// its own sums count as incomplete.
	aloneTime = 300 * time.Millisecond
	// beginTime is how long the sums of a data node that begins to take reports
	// are incomplete: all reports come within an interval, and most shares.
	beginTime = ReportInterval + shareInterval/2
	// countTime is how long a front node counts after its last report; idle ones
	// report nothing.
	countTime = 5 * time.Second
)

// report is what a front node said last.
type report struct {
	at      time.Time
	load    balance.Report
	counted bool // the load counts
}

// sharer is another data node.
type sharer struct {
	at       time.Time // of its last share
	fronts   int
	activeAt time.Time // of its last share that asked for one
	counted  bool      // its load counts
	// sentAt is the last share sent to it, askedAt the first one since its own.
	sentAt, askedAt time.Time
}

// Exchange is the part of a data node that takes reports and shares. It is not
// safe for concurrent use.
type Exchange struct {
	self    mirror.Node
	reports map[transport.Address]*report
	sharers map[transport.Address]*sharer
	// loadAt is when this node had load to tell of last, and begunAt since when
	// without a pause.
	loadAt, begunAt time.Time
	// sentAt is the last share that it sent, askedAt the first one since it heard
	// one.
	sentAt, askedAt time.Time
	// leaders of regions' batch work hear of load as the leader does.
	leaders []transport.Address
}

// AlsoTo sets the leaders of regions' batch work.
func (e *Exchange) AlsoTo(leaders []transport.Address) { e.leaders = leaders }

// NewExchange returns the exchange of a data node.
func NewExchange(self mirror.Node) *Exchange {
	return &Exchange{self: self, reports: map[transport.Address]*report{}, sharers: map[transport.Address]*sharer{}}
}

// Report takes a front node's report.
func (e *Exchange) Report(from transport.Address, load balance.Report, now time.Time) {
	e.reports[from] = &report{at: now, load: load, counted: true}
	e.noteLoad(load, now)
}

func (e *Exchange) noteLoad(load balance.Report, now time.Time) {
	if len(load) == 0 {
		return
	}
	if !e.active(now) {
		e.begunAt = now
	}
	e.loadAt = now
}

// Share takes another data node's share.
func (e *Exchange) Share(from transport.Address, share Share, now time.Time) {
	known := e.sharer(from)
	known.at, known.fronts, known.counted = now, share.Fronts, true
	if share.Active {
		known.activeAt = now
	}
	known.askedAt, e.askedAt = time.Time{}, time.Time{}
}

func (e *Exchange) sharer(address transport.Address) *sharer {
	known := e.sharers[address]
	if known == nil {
		known = &sharer{}
		e.sharers[address] = known
	}
	return known
}

// Lapsed returns the nodes whose last report or share is too old to count from
// now on; each is returned once.
func (e *Exchange) Lapsed(now time.Time) []transport.Address {
	var lapsed []transport.Address
	lapse := func(address transport.Address, at time.Time, counted *bool) {
		if *counted && now.Sub(at) > lapseTime {
			*counted = false
			lapsed = append(lapsed, address)
		}
	}
	for address, one := range e.reports {
		lapse(address, one.at, &one.counted)
		if now.Sub(one.at) > countTime {
			delete(e.reports, address)
		}
	}
	for address, one := range e.sharers {
		lapse(address, one.at, &one.counted)
		if now.Sub(one.at) > countTime && now.Sub(one.sentAt) > countTime {
			delete(e.sharers, address)
		}
	}
	return lapsed
}

// Fronts is how many front nodes reported lately, to this node or to one that
// it hears of.
func (e *Exchange) Fronts(now time.Time) int {
	count := e.ownFronts(now)
	for _, one := range e.sharers {
		if now.Sub(one.at) <= lapseTime {
			count += one.fronts
		}
	}
	return count
}

func (e *Exchange) ownFronts(now time.Time) int {
	count := 0
	for _, one := range e.reports {
		if now.Sub(one.at) <= countTime {
			count++
		}
	}
	return count
}

// Complete says that this node hears of all load that there is to know of: it
// took reports for long enough, and others answer if it asks for their shares.
func (e *Exchange) Complete(now time.Time) bool {
	asking := !e.askedAt.IsZero() && now.Sub(e.sentAt) <= aloneTime
	alone := asking && now.Sub(e.askedAt) > aloneTime
	return !alone && now.Sub(e.begunAt) >= beginTime
}

// Own returns the share of this node: what front nodes report to it, and what it
// runs itself.
func (e *Exchange) Own(runs balance.Report, now time.Time) Share {
	load := balance.Report{}
	load.Add(runs)
	for _, one := range e.reports {
		if now.Sub(one.at) <= lapseTime {
			load.Add(one.load)
		}
	}
	e.noteLoad(load, now)
	return Share{Fronts: e.ownFronts(now), Active: e.active(now), Load: load}
}

func (e *Exchange) active(now time.Time) bool { return now.Sub(e.loadAt) <= activeTail }

// Due returns the data nodes that are to be sent a share now: the leader, the
// relays of the other zones, and whoever asks for it. The leader itself is asked
// by all who have anything to share, and only answers them. pressed says that
// batch work has to make way for requests, of which the leader has to hear.
func (e *Exchange) Due(nodes []mirror.Node, leader transport.Address, pressed bool, now time.Time) []transport.Address {
	var due []transport.Address
	for _, address := range e.receivers(nodes, leader, now) {
		interval := shareInterval
		switch {
		case leader == e.self.Address:
			interval = runsInterval
		case (address == leader || slices.Contains(e.leaders, address)) && pressed:
			interval = PressInterval
		}
		receiver := e.sharer(address)
		if now.Sub(receiver.sentAt) >= interval {
			if receiver.askedAt.IsZero() {
				receiver.askedAt = now
			}
			receiver.sentAt = now
			due = append(due, address)
		}
	}
	if len(due) > 0 && e.active(now) {
		if e.askedAt.IsZero() || now.Sub(e.sentAt) > aloneTime {
			e.askedAt = now
		}
		e.sentAt = now
	}
	return due
}

func (e *Exchange) receivers(nodes []mirror.Node, leader transport.Address, now time.Time) []transport.Address {
	var receivers []transport.Address
	for address, one := range e.sharers {
		if now.Sub(one.activeAt) <= activeTail {
			receivers = append(receivers, address)
		}
	}
	if e.active(now) && leader != e.self.Address {
		receivers = append(receivers, e.unasked(nodes, leader, receivers, now)...)
	}
	slices.Sort(receivers)
	return slices.Compact(receivers)
}

// unasked returns data nodes that may have something to share though they didn't
// ask for a share: the leader; of this zone the relays that front nodes prefer to
// this one; and one of each zone from which nobody asked.
func (e *Exchange) unasked(nodes []mirror.Node, leader transport.Address, asking []transport.Address, now time.Time) []transport.Address {
	var addresses []transport.Address
	if leader != "" {
		addresses = append(addresses, leader)
	}
	for _, other := range e.leaders {
		if other != e.self.Address {
			addresses = append(addresses, other)
		}
	}
	inZone, others := byZone(nodes, e.self.Zone)
	preferred := relays(inZone, e.self.Zone, leader)
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
			addresses = append(addresses, e.answering(relays(candidates, zone, leader), now))
		}
	}
	return addresses
}

// answering returns the first data node that isn't known to leave shares
// unanswered, or the first of all.
func (e *Exchange) answering(candidates []transport.Address, now time.Time) transport.Address {
	for _, address := range candidates {
		one := e.sharers[address]
		if one == nil || one.askedAt.IsZero() || now.Sub(one.askedAt) <= answerTime || now.Sub(one.sentAt) > asideTime {
			return address
		}
	}
	return candidates[0]
}
