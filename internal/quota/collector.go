package quota

import (
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/transport"
)

const (
	// reportTimeout is the silence after which a front node counts as lost or cut off:
	// three refresh intervals, as datagrams may be lost.
	reportTimeout = 3 * refreshInterval
	// shareTimeout is the same for data nodes: five share intervals.
	shareTimeout = 400 * time.Millisecond
	// handoverTime is the time front nodes take to leave a silent relay: three unanswered
	// reports and one refresh interval.
	handoverTime = 800 * time.Millisecond
	// transferMinSilence is the silence of a data node after which its front nodes may have
	// left it unnoticed: one and a half share intervals.
	transferMinSilence = 120 * time.Millisecond
	// transferHold is how long a data node's shares may still include front nodes that
	// left it: a share interval and the transmission.
	transferHold = 100 * time.Millisecond
	// maxIgnoredGrowth is the growth in requests that is never taken for a trend.
	maxIgnoredGrowth = 2
	// silentZoneTimeout is how long a silent zone is taken to admit requests still.
	silentZoneTimeout = 30 * time.Second
)

// Collector aggregates counts at a data node. It is not safe for concurrent use.
//
// Each admitted request must count once, though front nodes change relays and either
// may fail. Counts are therefore kept by source, an incarnation of a node. Where the
// counts of a source rise because front nodes moved to it, as much is subtracted from
// sources that fell silent or are about to report less.
type Collector struct {
	zone        string
	window      time.Duration
	incarnation uint32
	reports     map[source]lastReport
	shares      map[source]*receivedShare
	// zones are the other zones that this node exchanges shares with.
	zones map[string]*zoneContact
	// recovered are counts of this zone that other zones remember, and remembered those
	// that front nodes bring along from a former relay.
	recovered, remembered datedCounts
	// baseline is what was known here when remembered was set, plus counts that became
	// known since but are older.
	baseline datedCounts
	// restored is when requests were admitted before this node started, at any node, and history
	// what Save knows of it.
	restored, history history
	// reportedSilent are the silent zones that a front node reported at reportedSilentAt.
	reportedSilent   SilentZones
	reportedSilentAt time.Time
	// totals caches the sum of the reports; nil if outdated.
	totals *reportTotals
}

// lastReport is a front node's last report, with the counts it had when it came here:
// these are not new requests.
type lastReport struct {
	datedCounts
	initial Counts
}

// reportTotals is the sum of all last reports, and their growth since the front nodes
// came here. It is immutable.
type reportTotals struct{ counts, growth Counts }

// source is one incarnation of a node.
type source struct {
	address     transport.Address
	incarnation uint32
}

// datedCounts are counts as of a time.
type datedCounts struct {
	at     time.Time
	counts Counts
}

// remaining returns what is left of the counts within the window.
func (d datedCounts) remaining(hold, window time.Duration, now time.Time) Counts {
	counts := Counts{}
	counts.add(d.counts, remainingFraction(now.Sub(d.at), hold, window), now.Sub(d.at))
	return counts
}

// receivedShare is the last share of a data node.
type receivedShare struct {
	datedCounts
	zone string
	// transferred are counts taken over by other sources since, the oldest first.
	transferred []datedCounts
	// totals are the receiver's own report totals when the share came.
	totals *reportTotals
}

// untransferred returns the counts that no other source has taken over.
func (s *receivedShare) untransferred() datedCounts {
	if len(s.transferred) == 0 {
		return s.datedCounts
	}
	counts := Counts{}
	counts.add(s.counts, 1, 0)
	for _, transfer := range s.transferred {
		counts.subtract(transfer.counts)
	}
	return datedCounts{s.at, counts}
}

// successor returns the next share of the same source. It may have been sent before
// front nodes announced their departure, so each transfer that its counts don't show
// yet is kept for transferHold from its own time. A transfer must not be renewed by
// growth elsewhere, which may be new requests and would hide a part of them.
func (s *receivedShare) successor(counts Counts, now time.Time) *receivedShare {
	next := &receivedShare{datedCounts: datedCounts{now, counts}, zone: s.zone}
	decrease := s.counts.excessOver(counts)
	for _, transfer := range s.transferred {
		if now.Sub(transfer.at) > transferHold {
			continue
		}
		if kept := transfer.counts.excessOver(decrease); len(kept) > 0 {
			next.transferred = append(next.transferred, datedCounts{transfer.at, kept})
		}
		decrease = decrease.excessOver(transfer.counts)
	}
	return next
}

// zoneContact holds when another zone was last heard, since when it hasn't answered
// shares with counts, and when one was last sent.
type zoneContact struct{ heardAt, unansweredSince, sentAt time.Time }

// NewCollector returns the collector of a data node in a zone. incarnation is drawn at
// each start.
func NewCollector(zone string, window time.Duration, incarnation uint32) *Collector {
	return &Collector{
		zone: zone, window: window, incarnation: incarnation, reports: map[source]lastReport{}, shares: map[source]*receivedShare{},
		zones: map[string]*zoneContact{}, history: history{},
	}
}

// Report takes a front node's report.
func (c *Collector) Report(from transport.Address, report Report, now time.Time) {
	src := source{from, report.Incarnation}
	c.totals = nil
	if report.Gone {
		delete(c.reports, src)
		return
	}
	previous, known := c.reports[src]
	initial := previous.initial
	if !known || now.Sub(previous.at) > reportTimeout {
		counted := previous.remaining(reserveHold-c.window, c.window, now)
		c.transferTo(report.Counts.excessOver(counted), c.zone, src, 0, now)
		initial = report.Counts
	}
	c.reports[src] = lastReport{datedCounts{now, report.Counts}, initial}
	if len(report.Remembered) > 0 {
		c.reportedSilent, c.reportedSilentAt = report.SilentZones, now
		c.LearnRemembered(report.Remembered, now)
	}
}

// LearnRemembered takes counts of all nodes that another node remembers if they exceed those
// known here.
func (c *Collector) LearnRemembered(counts Counts, now time.Time) {
	total := c.total("", now)
	merged := Counts{}
	merged.mergeMax(total)
	merged.mergeMax(c.rememberedCounts(total, now))
	for key, count := range counts {
		if count.Admitted > merged[key].Admitted {
			merged.mergeMax(counts)
			c.remembered, c.baseline = datedCounts{now, merged}, datedCounts{now, total}
			return
		}
	}
}

// transferTo accounts for counts of a receiver that are not new requests, as front nodes
// moved to it or it is heard again: they are subtracted from other sources of the
// zone, the longest silent first. With maxSilence, the counts may be new requests as
// well, and only sources that fell silent within that time are reduced; others report
// their losses themselves. The rest was part of the remembered counts.
func (c *Collector) transferTo(counts Counts, zone string, receiver source, maxSilence time.Duration, now time.Time) {
	if len(counts) == 0 {
		return
	}
	var donors []*receivedShare
	for other, share := range c.shares {
		age := now.Sub(share.at)
		if share.zone == zone && other != receiver && (maxSilence == 0 || transferMinSilence < age && age <= maxSilence) {
			donors = append(donors, share)
		}
	}
	slices.SortFunc(donors, func(a, b *receivedShare) int { return a.at.Compare(b.at) })
	remaining := Counts{}
	remaining.add(counts, 1, 0)
	for _, share := range donors {
		share.transferOut(remaining, c.shareFraction(share, now), now)
	}
	if maxSilence > 0 {
		return
	}
	baseline := c.baseline.remaining(0, c.window, now)
	baseline.add(remaining, 1, 0)
	c.baseline = datedCounts{now, baseline}
}

// transferOut moves counts to another source, at most those that remain here: fraction
// of them is still within the window. It reduces counts by what it moved.
func (s *receivedShare) transferOut(counts Counts, fraction float64, now time.Time) {
	if fraction <= 0 {
		return
	}
	available := s.untransferred().counts
	transferred := Counts{}
	for key, count := range counts {
		if taken := min(count.Admitted, available[key].Admitted*fraction); taken > 0 {
			transferred[key] = Count{Admitted: taken / fraction}
			counts[key] = Count{Admitted: count.Admitted - taken}
		}
	}
	if len(transferred) > 0 {
		s.transferred = append(s.transferred, datedCounts{now, transferred})
	}
}

// Share takes another data node's share.
func (c *Collector) Share(from transport.Address, share Share, now time.Time) {
	src := source{from, share.Incarnation}
	if share.Zone != c.zone {
		contact := c.contact(share.Zone)
		contact.heardAt, contact.unansweredSince = now, time.Time{}
	}
	c.transferGrowth(src, share, now)
	previous := c.shares[src]
	if previous == nil {
		previous = &receivedShare{zone: share.Zone}
	}
	successor := previous.successor(share.Counts, now)
	successor.totals = c.reportTotals()
	c.shares[src] = successor
	if len(share.Recovered) > 0 {
		c.recovered = datedCounts{now, share.Recovered}
	}
}

// transferGrowth separates counts that moved to a data node from new requests: all of
// them if it wasn't heard before, else at most those of sources that fell silent within
// handoverTime.
func (c *Collector) transferGrowth(src source, share Share, now time.Time) {
	previous, known := c.shares[src]
	switch {
	case !known:
		c.transferTo(share.Counts, share.Zone, src, 0, now)
	case now.Sub(previous.at) > shareTimeout:
		counted := previous.untransferred().remaining(c.shareHold(previous, now), c.window, now)
		c.transferTo(share.Counts.excessOver(counted), share.Zone, src, 0, now)
	default:
		c.transferTo(share.Counts.excessOver(previous.counts), share.Zone, src, handoverTime, now)
	}
}

func (c *Collector) contact(zone string) *zoneContact {
	contact := c.zones[zone]
	if contact == nil {
		contact = &zoneContact{}
		c.zones[zone] = contact
	}
	return contact
}

// Sum returns the counts of all front nodes except one. bound returns how many requests
// of a tenant to admit within the window; a silent zone may be partitioned and not down,
// so its part of that is reserved.
func (c *Collector) Sum(except transport.Address, bound func(Key) float64, now time.Time) Sum {
	total := c.total(except, now)
	remembered := c.rememberedCounts(total, now)
	rememberedOnly := remembered.excessOver(total)
	total.mergeMax(remembered)
	total.add(c.expectedGrowth(now), 1, 0)
	sum := Sum{Incarnation: c.incarnation, Counts: total, SilentZones: c.currentSilentZones(now)}
	if sum.SilentZones.Silent > 0 {
		sum.InReserve = c.reserveUse(rememberedOnly, sum.SilentZones, bound, now)
	}
	return sum
}

// expectedGrowth estimates what front nodes of other data nodes admitted since their
// shares were sent. Demand rises at all nodes alike, so each is expected to grow as
// this node's own. Without it, a limit is exceeded where shares come late. Growth that
// may be chance is ignored.
func (c *Collector) expectedGrowth(now time.Time) Counts {
	expected := Counts{}
	totals := c.reportTotals()
	for _, share := range c.shares {
		if now.Sub(share.at) > shareTimeout || share.totals == totals {
			continue
		}
		for key, count := range totals.growth {
			previous := share.totals.growth[key]
			growth := count.Admitted - previous.Admitted
			noise := growthNoise(share.totals.counts[key].Admitted, now.Sub(share.at), c.window)
			if growth <= max(maxIgnoredGrowth, noise) {
				continue
			}
			current := expected[key]
			expected[key] = Count{current.Admitted + growth, current.Demand + max(0, count.Demand-previous.Demand)}
		}
	}
	return expected
}

// reportTotals returns the sum of the last reports of all front nodes.
func (c *Collector) reportTotals() *reportTotals {
	if c.totals != nil {
		return c.totals
	}
	totals := &reportTotals{counts: Counts{}, growth: Counts{}}
	for _, report := range c.reports {
		totals.counts.add(report.counts, 1, 0)
		totals.growth.add(report.counts, 1, 0)
		for key, count := range report.initial {
			growth := totals.growth[key]
			totals.growth[key] = Count{growth.Admitted - count.Admitted, growth.Demand - count.Demand}
		}
	}
	c.totals = totals
	return totals
}

// reserveUse returns the requests that use the reserve for silent zones: the last
// counts of each, up to its part, and those that only front nodes remember.
func (c *Collector) reserveUse(remembered Counts, silent SilentZones, bound func(Key) float64, now time.Time) Counts {
	used := Counts{}
	zoneFraction := SilentZones{1, silent.Total}.fraction()
	for zone := range c.silentZones(now) {
		for key, count := range c.zoneCounts(zone, now) {
			used[key] = Count{Admitted: used[key].Admitted + min(count.Admitted, zoneFraction*bound(key))}
		}
	}
	for key, count := range remembered {
		used[key] = Count{Admitted: min(used[key].Admitted+count.Admitted, silent.fraction()*bound(key))}
	}
	return used
}

// total returns the sum of reports and shares.
func (c *Collector) total(except transport.Address, now time.Time) Counts {
	sum := c.ownCounts(except, now)
	sum.add(c.peerCounts(now), 1, 0)
	for zone := range c.zones {
		sum.add(c.zoneCounts(zone, now), 1, 0)
	}
	return sum
}

// peerCounts returns the counts of other data nodes of this zone; for silent ones, the
// recovered counts if they are higher.
func (c *Collector) peerCounts(now time.Time) Counts {
	silent, heard := Counts{}, Counts{}
	for _, share := range c.shares {
		switch age := now.Sub(share.at); {
		case share.zone != c.zone:
		case age > shareTimeout:
			silent.add(share.untransferred().counts, c.shareFraction(share, now), age)
		default:
			heard.add(share.untransferred().counts, 1, age)
		}
	}
	silent.mergeMax(c.recovered.remaining(reportTimeout, c.window, now))
	heard.add(silent, 1, 0)
	return heard
}

func (c *Collector) zoneCounts(zone string, now time.Time) Counts {
	counts := Counts{}
	for _, share := range c.shares {
		if share.zone == zone {
			counts.add(share.untransferred().counts, c.shareFraction(share, now), now.Sub(share.at))
		}
	}
	return counts
}

// rememberedCounts returns the remembered and restored counts plus the growth since.
func (c *Collector) rememberedCounts(total Counts, now time.Time) Counts {
	remembered, baseline := c.remembered.remaining(0, c.window, now), c.baseline.remaining(0, c.window, now)
	remembered.mergeMax(c.restored.counts(now))
	for key, count := range remembered {
		count.Admitted += max(0, total[key].Admitted-baseline[key].Admitted)
		remembered[key] = count
	}
	return remembered
}

// shareFraction is the part of a share that is still within the window; a silent
// zone's counts are held longer.
func (c *Collector) shareFraction(share *receivedShare, now time.Time) float64 {
	return remainingFraction(now.Sub(share.at), c.shareHold(share, now), c.window)
}

func (c *Collector) shareHold(share *receivedShare, now time.Time) time.Duration {
	if contact := c.zones[share.zone]; contact != nil && contact.silent(now) {
		return reserveHold - c.window
	}
	return reportTimeout
}

// silent says that a zone leaves shares unanswered, but not for so long that it must be
// down.
func (z *zoneContact) silent(now time.Time) bool {
	if z.unansweredSince.IsZero() || now.Sub(z.sentAt) > reportTimeout {
		return false
	}
	unanswered := now.Sub(z.unansweredSince)
	return unanswered > shareTimeout && unanswered < silentZoneTimeout
}

// silentZones returns the zones that leave shares unanswered.
func (c *Collector) silentZones(now time.Time) map[string]bool {
	silent := map[string]bool{}
	for zone, contact := range c.zones {
		if contact.silent(now) {
			silent[zone] = true
		}
	}
	return silent
}

// SilentZoneCount returns the number of silent zones.
func (c *Collector) SilentZoneCount(now time.Time) int { return len(c.silentZones(now)) }

// currentSilentZones counts the silent zones and all zones. What front nodes reported
// applies until this node can tell by itself.
func (c *Collector) currentSilentZones(now time.Time) SilentZones {
	zones, answering := 1, 0
	for _, contact := range c.zones {
		if now.Sub(contact.heardAt) < silentZoneTimeout || contact.silent(now) {
			zones++
		}
		if now.Sub(contact.heardAt) <= shareTimeout {
			answering++
		}
	}
	silent := SilentZones{uint8(len(c.silentZones(now))), uint8(zones)}
	if now.Sub(c.reportedSilentAt) <= shareTimeout {
		silent.Total = max(silent.Total, c.reportedSilent.Total)
		reported := min(int(c.reportedSilent.Silent), int(silent.Total)-1-answering)
		silent.Silent = max(silent.Silent, uint8(max(0, reported)))
	}
	return silent
}

// ownCounts returns the counts reported here, without the present incarnation of one
// front node. Counts of a silent front node are held longer unless it has restarted.
func (c *Collector) ownCounts(except transport.Address, now time.Time) Counts {
	current := c.currentIncarnations()
	counts := Counts{}
	for src, report := range c.reports {
		age := now.Sub(report.at)
		isCurrent := current[src.address] == src.incarnation
		hold := reportTimeout
		if isCurrent {
			hold = reserveHold - c.window
		}
		fraction := remainingFraction(age, hold, c.window)
		switch {
		case fraction <= 0:
			delete(c.reports, src)
			c.totals = nil
		case !isCurrent || src.address != except:
			counts.add(report.counts, fraction, age)
		}
	}
	return counts
}

// currentIncarnations returns the latest incarnation of each front node; its reports
// exclude what earlier ones admitted.
func (c *Collector) currentIncarnations() map[transport.Address]uint32 {
	incarnations := make(map[transport.Address]uint32, len(c.reports))
	newest := make(map[transport.Address]time.Time, len(c.reports))
	for src, report := range c.reports {
		if report.at.After(newest[src.address]) {
			incarnations[src.address], newest[src.address] = src.incarnation, report.at
		}
	}
	return incarnations
}

// ShareFor returns the share for a data node of a zone, and false if neither it nor
// any recent share has counts.
func (c *Collector) ShareFor(zone string, now time.Time) (Share, bool) {
	c.expireShares(now)
	share := Share{Incarnation: c.incarnation, Zone: c.zone, Counts: c.ownCounts("", now)}
	if zone != c.zone {
		share.Recovered = c.lostCounts(zone, now)
	}
	hasCounts := len(share.Counts) > 0 || len(share.Recovered) > 0
	if hasCounts && zone != c.zone {
		c.noteSent(c.contact(zone), now)
	}
	return share, hasCounts || c.hasRecentShares(now)
}

// noteSent notes that a share with counts was sent to a zone.
func (c *Collector) noteSent(contact *zoneContact, now time.Time) {
	// A zone that was silent for silentZoneTimeout is taken for down until it is heard, so
	// that a new burst of load doesn't renew its reserve. Else a lost zone with load in 40 s of
	// each 57 s kept its reserve three quarters of the time.
	away := contact.sentAt.Sub(contact.unansweredSince) >= silentZoneTimeout
	if contact.unansweredSince.IsZero() || (now.Sub(contact.sentAt) > reportTimeout && !away) {
		contact.unansweredSince = now
	}
	contact.sentAt = now
}

// hasRecentShares says that a recent share had counts.
func (c *Collector) hasRecentShares(now time.Time) bool {
	for _, share := range c.shares {
		if len(share.counts) > 0 && now.Sub(share.at) <= shareTimeout {
			return true
		}
	}
	return false
}

// expireShares drops expired shares.
func (c *Collector) expireShares(now time.Time) {
	for src, share := range c.shares {
		if now.Sub(share.at) >= reserveHold {
			delete(c.shares, src)
		}
	}
}

// lostCounts returns the counts of a zone's silent data nodes that no other source has
// taken over.
func (c *Collector) lostCounts(zone string, now time.Time) Counts {
	counts := Counts{}
	for _, share := range c.shares {
		if age := now.Sub(share.at); share.zone == zone && age > shareTimeout {
			counts.add(share.untransferred().counts, c.shareFraction(share, now), age)
		}
	}
	for key, count := range counts {
		if count.Admitted < admittedUnit {
			delete(counts, key)
		}
	}
	return counts
}
