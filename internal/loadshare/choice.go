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
	// directMost is the number of front nodes up to which all report to the
	// leader itself. At 12.5 reports a second and as many answers each, 32 of
	// them cost a leader 800 datagrams a second; more is better spent on batch
	// work. Below that, relays would only add datagrams between zones.
	directMost = 32
	// directAfter is how long sums have to tell of a small fleet before the leader
	// is told itself: a data node that has just begun to take reports knows of few.
	directAfter = time.Second
	// silence is how long a front node waits for a complete sum before it reports
	// to another data node: three reports, as a datagram may be lost.
	silence = 3 * ReportInterval
	// asideTime is how long a data node that was silent gets no reports, unless
	// all others are silent, too. An estimate: a restart takes one to three seconds.
	asideTime = 2 * time.Second
)

// ReportInterval is the time between two reports of a front node that has
// requests under way. An engine's slot is held for half a second and more, so
// that few requests begin and end within it.
const ReportInterval = 80 * time.Millisecond

// Choice picks the data node that a front node reports to. It is not safe for
// concurrent use.
type Choice struct {
	zone string
	// smallSince is since when sums tell of a small fleet; zero if they don't.
	smallSince time.Time
	chosen     transport.Address
	// sentAt is the last report, askedAt the first one since the last complete
	// sum, and heardAt that sum.
	sentAt, askedAt, heardAt time.Time
	aside                    map[transport.Address]time.Time // until when
}

// NewChoice returns the choice of a front node in a zone.
func NewChoice(zone string) *Choice {
	return &Choice{zone: zone, aside: map[transport.Address]time.Time{}}
}

// Pick returns where to send a report that is sent now: the leader in a small
// fleet, else a data node of the zone, the same for all of the zone as long as it
// answers. leader is empty if it isn't known. False if no data node is known.
func (c *Choice) Pick(nodes []mirror.Node, leader transport.Address, now time.Time) (transport.Address, bool) {
	c.noteSilence(now)
	candidates := c.candidates(nodes, leader, now)
	if len(candidates) == 0 {
		return "", false
	}
	at := slices.IndexFunc(candidates, func(a transport.Address) bool { return !now.Before(c.aside[a]) })
	if at < 0 {
		clear(c.aside)
		at = 0
	}
	if candidates[at] != c.chosen {
		c.chosen, c.askedAt = candidates[at], time.Time{}
	}
	if c.askedAt.IsZero() {
		c.askedAt = now
	}
	c.sentAt = now
	return c.chosen, true
}

// noteSilence sets the chosen node aside if it answered the last reports not at
// all, or not completely. A front node without requests reports nothing, and
// waits for nothing.
func (c *Choice) noteSilence(now time.Time) {
	switch {
	case c.askedAt.IsZero():
	case now.Sub(c.sentAt) > silence:
		c.askedAt = time.Time{}
	case now.Sub(c.askedAt) > silence:
		c.setAside(c.chosen, now)
	}
}

func (c *Choice) setAside(node transport.Address, now time.Time) {
	c.aside[node] = now.Add(asideTime)
	for other, until := range c.aside {
		if now.After(until) {
			delete(c.aside, other)
		}
	}
}

// Heard takes a sum and says whether it is better than what the front node has:
// an incomplete one is only if nothing else was heard for long.
func (c *Choice) Heard(from transport.Address, sum Sum, now time.Time) bool {
	if from != c.chosen {
		return false
	}
	switch {
	case sum.Fronts > directMost:
		c.smallSince = time.Time{}
	case c.smallSince.IsZero():
		c.smallSince = now
	}
	if !sum.Complete {
		return now.Sub(c.heardAt) > silence
	}
	c.askedAt, c.heardAt = time.Time{}, now
	return true
}

// candidates lists the data nodes to report to, the best first.
func (c *Choice) candidates(nodes []mirror.Node, leader transport.Address, now time.Time) []transport.Address {
	var listed []transport.Address
	if leader != "" && !c.smallSince.IsZero() && now.Sub(c.smallSince) > directAfter {
		listed = append(listed, leader)
	}
	inZone, others := byZone(nodes, c.zone)
	listed = append(listed, relays(inZone, c.zone, leader)...)
	return append(listed, relays(others, c.zone, leader)...)
}

// byZone parts the data nodes of a zone from the others.
func byZone(nodes []mirror.Node, zone string) (inZone, others []mirror.Node) {
	for _, node := range nodes {
		if node.Zone == zone {
			inZone = append(inZone, node)
		} else {
			others = append(others, node)
		}
	}
	return inZone, others
}

// relays lists data nodes in the order in which they are to be the relay of a
// zone: the leader last, as it has most to do.
func relays(nodes []mirror.Node, zone string, leader transport.Address) []transport.Address {
	ordered := slices.Clone(nodes)
	slices.SortFunc(ordered, func(a, b mirror.Node) int {
		if a.Address != b.Address && (a.Address == leader || b.Address == leader) {
			return cmp.Compare(leads(a, leader), leads(b, leader))
		}
		return cmp.Compare(membership.RendezvousScore(zone, b.Name), membership.RendezvousScore(zone, a.Name))
	})
	addresses := make([]transport.Address, 0, len(ordered))
	for _, node := range ordered {
		addresses = append(addresses, node.Address)
	}
	return addresses
}

func leads(node mirror.Node, leader transport.Address) int {
	if node.Address == leader {
		return 1
	}
	return 0
}
