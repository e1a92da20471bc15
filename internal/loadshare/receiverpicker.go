package loadshare

import (
	"cmp"
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/transport"
)

const (
	// maxDirectFronts is the maximum number of front nodes that report to the leader
	// itself. In smaller fleets, relays would only add datagrams between zones; more front nodes
	// than this cost the leader over 800 datagrams a second.
	maxDirectFronts = 32
	// directDelay is how long sums must indicate a small fleet before front nodes report
	// to the leader, as a data node that has just started knows of few front nodes.
	directDelay = time.Second
	// answerTimeout is how long a front node waits for a complete sum before it changes
	// to another data node: three reports, as datagrams may be lost.
	answerTimeout = 3 * ReportInterval
	// ejectionTime is how long a data node that didn't answer gets no reports, unless all
	// others are ejected, too.
	ejectionTime = 2 * time.Second
)

// ReportInterval is the interval between the reports of a front node with requests in
// flight. Few requests begin and end within it, as one holds an engine's slot for half
// a second or more.
const ReportInterval = 80 * time.Millisecond

// ReceiverPicker picks the data node that a front node reports to. It is not safe for
// concurrent use.
type ReceiverPicker struct {
	zone string
	// smallSince is since when sums indicate a small fleet; zero if they don't.
	smallSince time.Time
	chosen     transport.Address
	// sentAt is the time of the last report, heardAt that of the last complete sum,
	// and unansweredSince that of the first report after it.
	sentAt, unansweredSince, heardAt time.Time
	ejectedUntil                     map[transport.Address]time.Time
}

// NewReceiverPicker returns the picker of a front node in a zone.
func NewReceiverPicker(zone string) *ReceiverPicker {
	return &ReceiverPicker{zone: zone, ejectedUntil: map[transport.Address]time.Time{}}
}

// Pick returns the receiver of a report that is sent now: the leader in a small fleet,
// else a data node of the zone, the same for all its front nodes as long as it answers.
// leader is empty if unknown. The result is false if no data node is known.
func (p *ReceiverPicker) Pick(nodes []mirror.Node, leader transport.Address, now time.Time) (transport.Address, bool) {
	p.checkTimeout(now)
	candidates := p.candidates(nodes, leader, now)
	if len(candidates) == 0 {
		return "", false
	}
	index := slices.IndexFunc(candidates, func(a transport.Address) bool { return !now.Before(p.ejectedUntil[a]) })
	if index < 0 {
		clear(p.ejectedUntil)
		index = 0
	}
	if candidates[index] != p.chosen {
		p.chosen, p.unansweredSince = candidates[index], time.Time{}
	}
	if p.unansweredSince.IsZero() {
		p.unansweredSince = now
	}
	p.sentAt = now
	return p.chosen, true
}

// checkTimeout ejects the chosen node if it hasn't sent a complete sum for
// answerTimeout. Front nodes without requests send no reports and expect no answer.
func (p *ReceiverPicker) checkTimeout(now time.Time) {
	switch {
	case p.unansweredSince.IsZero():
	case now.Sub(p.sentAt) > answerTimeout:
		p.unansweredSince = time.Time{}
	case now.Sub(p.unansweredSince) > answerTimeout:
		p.eject(p.chosen, now)
	}
}

func (p *ReceiverPicker) eject(node transport.Address, now time.Time) {
	p.ejectedUntil[node] = now.Add(ejectionTime)
	for other, until := range p.ejectedUntil {
		if now.After(until) {
			delete(p.ejectedUntil, other)
		}
	}
}

// ReceiveSum takes a sum and says whether to use it: an incomplete one only if there was no
// complete one for answerTimeout.
func (p *ReceiverPicker) ReceiveSum(from transport.Address, sum Sum, now time.Time) bool {
	if from != p.chosen {
		return false
	}
	switch {
	case sum.Fronts > maxDirectFronts:
		p.smallSince = time.Time{}
	case p.smallSince.IsZero():
		p.smallSince = now
	}
	if !sum.Complete {
		return now.Sub(p.heardAt) > answerTimeout
	}
	p.unansweredSince, p.heardAt = time.Time{}, now
	return true
}

// candidates returns the data nodes to report to, the preferred one first.
func (p *ReceiverPicker) candidates(nodes []mirror.Node, leader transport.Address, now time.Time) []transport.Address {
	var addresses []transport.Address
	if leader != "" && !p.smallSince.IsZero() && now.Sub(p.smallSince) > directDelay {
		addresses = append(addresses, leader)
	}
	inZone, others := splitByZone(nodes, p.zone)
	addresses = append(addresses, rankRelays(inZone, p.zone, leader)...)
	return append(addresses, rankRelays(others, p.zone, leader)...)
}

// splitByZone separates the data nodes of a zone from the others.
func splitByZone(nodes []mirror.Node, zone string) (inZone, others []mirror.Node) {
	for _, node := range nodes {
		if node.Zone == zone {
			inZone = append(inZone, node)
		} else {
			others = append(others, node)
		}
	}
	return inZone, others
}

// rankRelays orders data nodes by preference as the relay of a zone, the leader last
// because of its other load.
func rankRelays(nodes []mirror.Node, zone string, leader transport.Address) []transport.Address {
	ordered := slices.Clone(nodes)
	slices.SortFunc(ordered, func(a, b mirror.Node) int {
		if a.Address != b.Address && (a.Address == leader || b.Address == leader) {
			return cmp.Compare(leaderRank(a, leader), leaderRank(b, leader))
		}
		return cmp.Compare(membership.RendezvousScore(zone, b.Name), membership.RendezvousScore(zone, a.Name))
	})
	addresses := make([]transport.Address, 0, len(ordered))
	for _, node := range ordered {
		addresses = append(addresses, node.Address)
	}
	return addresses
}

func leaderRank(node mirror.Node, leader transport.Address) int {
	if node.Address == leader {
		return 1
	}
	return 0
}
