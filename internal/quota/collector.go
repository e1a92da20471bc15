package quota

import (
	"math"
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/transport"
)

const (
	// freshTime is how long a front node may be silent before it counts as lost or cut
	// off: three reports without news, as datagrams may be lost.
	freshTime = 3 * refreshTime
	// shareFresh is the same for a zone whose data nodes send shares: five intervals.
	shareFresh = 400 * time.Millisecond
	// takeTime is how long front nodes take to go over from a data node that fell
	// silent: three reports without an answer, and one that is due without news.
	takeTime = 800 * time.Millisecond
	// quietTime is how long a data node may be silent before its front nodes may have left
	// it unheard: an interval between shares and half of one.
	quietTime = 120 * time.Millisecond
	// giveTime is how long the share of a data node may tell of front nodes that have
	// left it: an interval between shares, and their way.
	giveTime = 100 * time.Millisecond
	// sharerMemory is how long a zone whose data nodes are silent counts as a part of
	// the fleet that may let requests through.
	sharerMemory = 30 * time.Second
)

// Collector adds counts up at a data node. It is not safe for concurrent use.
//
// Each request that was let through is to count once, though the front node that did
// so may go over to another data node and either may be lost. So counts stand under
// their origin, a life of a front node or of a data node; and where one origin's counts
// rise because front nodes came to it, those of the origins that fell silent or are
// about to tell less are taken to fall by as much.
type Collector struct {
	zone    string
	window  time.Duration
	life    uint32
	reports map[source]lastReport
	shares  map[source]*zoneShare
	// others are the other zones that this node tells of requests or hears of.
	others map[string]*zoneContact
	// echo is what data nodes of other zones remember of this one, and remembered what
	// front nodes do of all from the node that took their reports before.
	echo, remembered heard
	// first is what was known here when front nodes told that last, and what came to
	// be known since and is older than that.
	first heard
	// unheard is what front nodes told of zones, at unheardAt.
	unheard   Unheard
	unheardAt time.Time
	// reported is the sum of reports; nil if it has to be made anew.
	reported *reportSum
}

// lastReport is what a front node told last, and what it brought as it came here: of that nothing
// is new.
type lastReport struct {
	heard
	brought Counts
}

// reportSum is what all front nodes told last, and by how much that grew since they came. It
// doesn't change.
type reportSum struct{ counts, growth Counts }

// source is one life of a node.
type source struct {
	address transport.Address
	life    uint32
}

type heard struct {
	at     time.Time
	counts Counts
}

// left is what the window still holds of the counts.
func (h heard) left(hold, window time.Duration, now time.Time) Counts {
	counts := Counts{}
	counts.add(h.counts, held(now.Sub(h.at), hold, window), now.Sub(h.at))
	return counts
}

// zoneShare is what a data node told last.
type zoneShare struct {
	heard
	zone string
	// given is what others seem to have taken over since, the oldest first.
	given []heard
	// reported is the sum of the receiver's own reports as the share came.
	reported *reportSum
}

// rest is what nobody has taken over.
func (s *zoneShare) rest() heard {
	if len(s.given) == 0 {
		return s.heard
	}
	rest := Counts{}
	rest.add(s.counts, 1, 0)
	for _, one := range s.given {
		rest.reduce(one.counts)
	}
	return heard{s.at, rest}
}

// follow returns the share that the data node tells next. It may have been sent before
// front nodes told that they are gone: what was given and isn't missing yet stays given
// for a while, each by itself. What another data node tells more of may be new requests, and
// must not renew what was given before: as long as a tenant asks for more and more, that would
// hide a part of its requests.
func (s *zoneShare) follow(counts Counts, now time.Time) *zoneShare {
	next := &zoneShare{heard: heard{now, counts}, zone: s.zone}
	missing := s.counts.above(counts)
	for _, one := range s.given {
		if now.Sub(one.at) > giveTime {
			continue
		}
		if still := one.counts.above(missing); len(still) > 0 {
			next.given = append(next.given, heard{one.at, still})
		}
		missing = missing.above(one.counts)
	}
	return next
}

// zoneContact is when another zone was heard of, and since when it leaves shares that
// tell of requests unanswered.
type zoneContact struct{ heardAt, askedAt, toldAt time.Time }

// NewCollector returns the collector of a data node in a zone. life is drawn anew for
// each.
func NewCollector(zone string, window time.Duration, life uint32) *Collector {
	return &Collector{
		zone: zone, window: window, life: life, reports: map[source]lastReport{}, shares: map[source]*zoneShare{},
		others: map[string]*zoneContact{},
	}
}

// Report takes a front node's report.
func (c *Collector) Report(from transport.Address, told Report, now time.Time) {
	name := source{from, told.Life}
	c.reported = nil
	if told.Gone {
		delete(c.reports, name)
		return
	}
	before, known := c.reports[name]
	brought := before.brought
	if !known || now.Sub(before.at) > freshTime {
		counted := before.left(aloneHold-c.window, c.window, now)
		c.arrive(told.Counts.above(counted), c.zone, name, 0, now)
		brought = told.Counts
	}
	c.reports[name] = lastReport{heard{now, told.Counts}, brought}
	if len(told.Others) > 0 {
		c.learn(told, now)
	}
}

// learn takes what a front node remembers of others, if it is more than is known here.
func (c *Collector) learn(report Report, now time.Time) {
	c.unheard, c.unheardAt = report.Unheard, now
	known := c.known("", now)
	present := Counts{}
	present.raise(known)
	present.raise(c.former(known, now))
	for key, count := range report.Others {
		if count.Admitted > present[key].Admitted {
			present.raise(report.Others)
			c.remembered, c.first = heard{now, present}, heard{now, known}
			return
		}
	}
}

// arrive notes that a source told of requests which it didn't let through just now:
// front nodes came to it, or it is heard again. Other sources of the zone that told of
// them have them no more, those first that are silent for longest. If recent is given, what
// was told may be new requests as well, and only sources give that have fallen silent within
// that time: one that is heard tells itself what it has no more. What none of them had was
// part of what front nodes remembered.
func (c *Collector) arrive(counts Counts, zone string, name source, recent time.Duration, now time.Time) {
	if len(counts) == 0 {
		return
	}
	var givers []*zoneShare
	for other, share := range c.shares {
		age := now.Sub(share.at)
		if share.zone == zone && other != name && (recent == 0 || quietTime < age && age <= recent) {
			givers = append(givers, share)
		}
	}
	slices.SortFunc(givers, func(a, b *zoneShare) int { return a.at.Compare(b.at) })
	rest := Counts{}
	rest.add(counts, 1, 0)
	for _, share := range givers {
		share.give(rest, c.leftOf(share, now), now)
	}
	if recent > 0 {
		return
	}
	first := c.first.left(0, c.window, now)
	first.add(rest, 1, 0)
	c.first = heard{now, first}
}

// give takes counts away, of which so much is left within the window, and from those
// that are to be taken.
func (s *zoneShare) give(counts Counts, left float64, now time.Time) {
	if left <= 0 {
		return
	}
	rest := s.rest().counts
	given := Counts{}
	for key, count := range counts {
		if taken := min(count.Admitted, rest[key].Admitted*left); taken > 0 {
			given[key] = Count{Admitted: taken / left}
			counts[key] = Count{Admitted: count.Admitted - taken}
		}
	}
	if len(given) > 0 {
		s.given = append(s.given, heard{now, given})
	}
}

// Share takes another data node's share.
func (c *Collector) Share(from transport.Address, share Share, now time.Time) {
	name := source{from, share.Life}
	if share.Zone != c.zone {
		contact := c.contact(share.Zone)
		contact.heardAt, contact.askedAt = now, time.Time{}
	}
	c.noteGrowth(name, share, now)
	before := c.shares[name]
	if before == nil {
		before = &zoneShare{zone: share.Zone}
	}
	next := before.follow(share.Counts, now)
	next.reported = c.sumOfReports()
	c.shares[name] = next
	if len(share.Yours) > 0 {
		c.echo = heard{now, share.Yours}
	}
}

// noteGrowth tells counts that came over to a data node from new ones: all, if it
// wasn't heard before, and otherwise what may have come from one that was heard within
// takeTime.
func (c *Collector) noteGrowth(name source, share Share, now time.Time) {
	before, known := c.shares[name]
	switch {
	case !known:
		c.arrive(share.Counts, share.Zone, name, 0, now)
	case now.Sub(before.at) > shareFresh:
		counted := before.rest().left(c.holdOf(before, now), c.window, now)
		c.arrive(share.Counts.above(counted), share.Zone, name, 0, now)
	default:
		c.arrive(share.Counts.above(before.counts), share.Zone, name, takeTime, now)
	}
}

func (c *Collector) contact(zone string) *zoneContact {
	known := c.others[zone]
	if known == nil {
		known = &zoneContact{}
		c.others[zone] = known
	}
	return known
}

// Sum returns what all front nodes but one let through. bound is the most that a tenant
// may be let through: a zone of which nobody is heard may be cut off and not down, and
// room is kept for its part of that.
func (c *Collector) Sum(but transport.Address, bound func(Key) float64, now time.Time) Sum {
	sum := c.known(but, now)
	former := c.former(sum, now)
	more := former.above(sum)
	sum.raise(former)
	sum.add(c.sinceShares(now), 1, 0)
	told := Sum{Life: c.life, Counts: sum, Unheard: c.unheardNow(now)}
	if told.Unheard.Zones > 0 {
		told.Within = c.within(more, told.Unheard, bound, now)
	}
	return told
}

// sinceShares is what the front nodes of other data nodes are expected to have let through
// since their shares came: where a tenant asks for more at once, it does so everywhere, so
// each has as much more as this node's own. Without it all let through what the old shares
// leave free, and a limit is exceeded where shares come late. What may be chance, within
// the deviation of such a count, is not expected.
func (c *Collector) sinceShares(now time.Time) Counts {
	expected := Counts{}
	own := c.sumOfReports()
	for _, share := range c.shares {
		if now.Sub(share.at) > shareFresh || share.reported == own {
			continue
		}
		for key, count := range own.growth {
			then := share.reported.growth[key]
			more := count.Admitted - then.Admitted
			if more <= math.Sqrt(share.reported.counts[key].Admitted) {
				continue
			}
			known := expected[key]
			expected[key] = Count{known.Admitted + more, known.Asked + max(0, count.Asked-then.Asked)}
		}
	}
	return expected
}

// sumOfReports adds up what all front nodes told last.
func (c *Collector) sumOfReports() *reportSum {
	if c.reported != nil {
		return c.reported
	}
	sum := &reportSum{counts: Counts{}, growth: Counts{}}
	for _, one := range c.reports {
		sum.counts.add(one.counts, 1, 0)
		sum.growth.add(one.counts, 1, 0)
		for key, count := range one.brought {
			known := sum.growth[key]
			sum.growth[key] = Count{known.Admitted - count.Admitted, known.Asked - count.Asked}
		}
	}
	c.reported = sum
	return sum
}

// within returns which requests lie in the room that is kept for unheard zones: what
// these told last, each up to its part, and what only front nodes remember.
func (c *Collector) within(remembered Counts, unheard Unheard, bound func(Key) float64, now time.Time) Counts {
	within := Counts{}
	each := Unheard{1, unheard.Of}.part()
	for zone := range c.silent(now) {
		for key, count := range c.ofZone(zone, now) {
			within[key] = Count{Admitted: within[key].Admitted + min(count.Admitted, each*bound(key))}
		}
	}
	for key, count := range remembered {
		within[key] = Count{Admitted: min(within[key].Admitted+count.Admitted, unheard.part()*bound(key))}
	}
	return within
}

// known adds up what was reported and shared.
func (c *Collector) known(but transport.Address, now time.Time) Counts {
	sum := c.own(but, now)
	sum.add(c.inZone(now), 1, 0)
	for zone := range c.others {
		sum.add(c.ofZone(zone, now), 1, 0)
	}
	return sum
}

// inZone is what other data nodes of this zone told, and of those that fell silent
// what is remembered elsewhere if that is more.
func (c *Collector) inZone(now time.Time) Counts {
	silent, heard := Counts{}, Counts{}
	for _, share := range c.shares {
		switch age := now.Sub(share.at); {
		case share.zone != c.zone:
		case age > shareFresh:
			silent.add(share.rest().counts, c.leftOf(share, now), age)
		default:
			heard.add(share.rest().counts, 1, age)
		}
	}
	silent.raise(c.echo.left(freshTime, c.window, now))
	heard.add(silent, 1, 0)
	return heard
}

func (c *Collector) ofZone(zone string, now time.Time) Counts {
	counts := Counts{}
	for _, share := range c.shares {
		if share.zone == zone {
			counts.add(share.rest().counts, c.leftOf(share, now), now.Sub(share.at))
		}
	}
	return counts
}

// former returns what front nodes remember of the time before this node took their
// reports, with what was let through since they told.
func (c *Collector) former(sum Counts, now time.Time) Counts {
	remembered, first := c.remembered.left(0, c.window, now), c.first.left(0, c.window, now)
	for key, count := range remembered {
		count.Admitted += max(0, sum[key].Admitted-first[key].Admitted)
		remembered[key] = count
	}
	return remembered
}

// leftOf is the part of a share that still counts. Room is kept for a zone of which
// nobody is heard.
func (c *Collector) leftOf(share *zoneShare, now time.Time) float64 {
	return held(now.Sub(share.at), c.holdOf(share, now), c.window)
}

func (c *Collector) holdOf(share *zoneShare, now time.Time) time.Duration {
	if contact := c.others[share.zone]; contact != nil && contact.silent(now) {
		return aloneHold - c.window
	}
	return freshTime
}

// silent says that a zone leaves unanswered what it is told, and did not for so long
// that it can't be at work any more.
func (z *zoneContact) silent(now time.Time) bool {
	if z.askedAt.IsZero() || now.Sub(z.toldAt) > freshTime {
		return false
	}
	unanswered := now.Sub(z.askedAt)
	return unanswered > shareFresh && unanswered < sharerMemory
}

// silent are the zones of which nobody is heard.
func (c *Collector) silent(now time.Time) map[string]bool {
	silent := map[string]bool{}
	for zone, contact := range c.others {
		if contact.silent(now) {
			silent[zone] = true
		}
	}
	return silent
}

// Unheard is the number of zones of which nobody is heard, among those that this node
// tells of requests.
func (c *Collector) Unheard(now time.Time) int { return len(c.silent(now)) }

// unheardNow counts the zones of which nobody is heard. What front nodes heard of them
// elsewhere counts until this node can tell by itself.
func (c *Collector) unheardNow(now time.Time) Unheard {
	zones, answering := 1, 0
	for _, contact := range c.others {
		if now.Sub(contact.heardAt) < sharerMemory || contact.silent(now) {
			zones++
		}
		if now.Sub(contact.heardAt) <= shareFresh {
			answering++
		}
	}
	unheard := Unheard{uint8(len(c.silent(now))), uint8(zones)}
	if now.Sub(c.unheardAt) <= shareFresh {
		unheard.Of = max(unheard.Of, c.unheard.Of)
		told := min(int(c.unheard.Zones), int(unheard.Of)-1-answering)
		unheard.Zones = max(unheard.Zones, uint8(max(0, told)))
	}
	return unheard
}

// own returns what front nodes reported here, but for the present life of one. Room
// is kept for one that fell silent, unless it is back in a new life.
func (c *Collector) own(but transport.Address, now time.Time) Counts {
	present := c.present()
	counts := Counts{}
	for from, report := range c.reports {
		age := now.Sub(report.at)
		isPresent := present[from.address] == from.life
		hold := freshTime
		if isPresent {
			hold = aloneHold - c.window
		}
		part := held(age, hold, c.window)
		switch {
		case part <= 0:
			delete(c.reports, from)
			c.reported = nil
		case !isPresent || from.address != but:
			counts.add(report.counts, part, age)
		}
	}
	return counts
}

// present are the lives of front nodes that reported last: what a node let through in
// the ones before is not in its own count.
func (c *Collector) present() map[transport.Address]uint32 {
	lives := make(map[transport.Address]uint32, len(c.reports))
	newest := make(map[transport.Address]time.Time, len(c.reports))
	for from, report := range c.reports {
		if report.at.After(newest[from.address]) {
			lives[from.address], newest[from.address] = from.life, report.at
		}
	}
	return lives
}

// ShareFor returns the share for a data node of a zone; false if there is nothing to
// tell, and none that tells something.
func (c *Collector) ShareFor(zone string, now time.Time) (Share, bool) {
	c.forget(now)
	share := Share{Life: c.life, Zone: c.zone, Counts: c.own("", now)}
	if zone != c.zone {
		share.Yours = c.lost(zone, now)
	}
	tells := len(share.Counts) > 0 || len(share.Yours) > 0
	if tells && zone != c.zone {
		c.noteTold(c.contact(zone), now)
	}
	return share, tells || c.told(now)
}

// noteTold notes that a zone has something to answer.
func (c *Collector) noteTold(contact *zoneContact, now time.Time) {
	// A zone that left all of that unanswered for sharerMemory is away until it is heard:
	// without that room was kept in 14,760 of 20,000 sums of 38 min for one that was gone for
	// good, where load comes for 40 s of each 57; in 369 with it.
	away := contact.toldAt.Sub(contact.askedAt) >= sharerMemory
	if contact.askedAt.IsZero() || (now.Sub(contact.toldAt) > freshTime && !away) {
		contact.askedAt = now
	}
	contact.toldAt = now
}

// told says that some share told of requests lately.
func (c *Collector) told(now time.Time) bool {
	for _, share := range c.shares {
		if len(share.counts) > 0 && now.Sub(share.at) <= shareFresh {
			return true
		}
	}
	return false
}

// forget drops shares that have run out.
func (c *Collector) forget(now time.Time) {
	for from, share := range c.shares {
		if now.Sub(share.at) >= aloneHold {
			delete(c.shares, from)
		}
	}
}

// lost returns what data nodes of a zone told that are silent now, and nobody took
// over.
func (c *Collector) lost(zone string, now time.Time) Counts {
	counts := Counts{}
	for _, share := range c.shares {
		if age := now.Sub(share.at); share.zone == zone && age > shareFresh {
			counts.add(share.rest().counts, c.leftOf(share, now), age)
		}
	}
	for key, count := range counts {
		if count.Admitted < admittedUnit {
			delete(counts, key)
		}
	}
	return counts
}
