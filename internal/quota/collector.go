package quota

import (
	"time"

	"chutelock.dev/chutelock/internal/transport"
)

const (
	// freshTime is how long a front node may be silent before it counts as lost or cut
	// off: three reports without news, as datagrams may be lost.
	freshTime = 3 * refreshTime
	// shareFresh is the same for a zone whose data nodes send shares: five intervals.
	shareFresh = 400 * time.Millisecond
	// sharerMemory is how long a zone whose data nodes are silent counts as a part of
	// the fleet that may let requests through.
	sharerMemory = 30 * time.Second
)

// Collector adds counts up at a data node. It is not safe for concurrent use.
type Collector struct {
	zone    string
	window  time.Duration
	life    uint32
	reports map[source]heard
	shares  map[transport.Address]zoneShare
	// echo is what data nodes of other zones remember of this one, and remembered what
	// front nodes do of all from the node that took their reports before.
	echo, remembered heard
	// first is what was known here when front nodes told that last.
	first heard
}

// source is one life of a front node.
type source struct {
	address transport.Address
	life    uint32
}

type heard struct {
	at     time.Time
	counts Counts
}

// left is what the window still holds of the counts.
func (h heard) left(window time.Duration, now time.Time) Counts {
	counts := Counts{}
	counts.add(h.counts, held(now.Sub(h.at), 0, window), now.Sub(h.at))
	return counts
}

type zoneShare struct {
	heard
	zone string
}

// NewCollector returns the collector of a data node in a zone. life is drawn anew for
// each.
func NewCollector(zone string, window time.Duration, life uint32) *Collector {
	return &Collector{zone: zone, window: window, life: life, reports: map[source]heard{}, shares: map[transport.Address]zoneShare{}}
}

// Report takes a front node's report.
func (c *Collector) Report(from transport.Address, report Report, now time.Time) {
	name := source{from, report.Life}
	if report.Gone {
		delete(c.reports, name)
		return
	}
	_, known := c.reports[name]
	c.reports[name] = heard{now, report.Counts}
	if len(report.Others) > 0 {
		c.learn(report, !known, now)
	}
}

// learn takes what a front node remembers of others, if it is more than is known here.
// What a node had when it was first heard is part of that, and not new.
func (c *Collector) learn(report Report, first bool, now time.Time) {
	if first {
		c.addFirst(report.Counts, now)
	}
	present := c.known("", nil, now)
	present.raise(c.former(present, now))
	for key, count := range report.Others {
		if count.Admitted > present[key].Admitted {
			present.raise(report.Others)
			c.remembered, c.first = heard{now, present}, heard{now, c.known("", nil, now)}
			return
		}
	}
}

func (c *Collector) addFirst(counts Counts, now time.Time) {
	first := c.first.left(c.window, now)
	first.add(counts, 1, 0)
	c.first = heard{now, first}
}

// Share takes another data node's share.
func (c *Collector) Share(from transport.Address, share Share, now time.Time) {
	if _, known := c.shares[from]; !known {
		c.addFirst(share.Counts, now)
	}
	c.shares[from] = zoneShare{heard{now, share.Counts}, share.Zone}
	if len(share.Yours) > 0 {
		c.echo = heard{now, share.Yours}
	}
}

// Sum returns what all front nodes but one let through. Where a data node took
// another one's place, front nodes that reported to both count twice until the older
// report runs out: a tenant near its limit gets a little less for that long, where it
// could get far more if what a lost node knew were forgotten.
//
// bound is the most that a tenant may be let through. A zone of which nobody is heard
// may be cut off and not down, and takes its part of it meanwhile.
func (c *Collector) Sum(but transport.Address, bound func(Key) float64, now time.Time) Sum {
	sum := c.known(but, bound, now)
	sum.raise(c.former(sum, now))
	return Sum{Life: c.life, Counts: sum}
}

// known adds up what was reported and shared. Without bound, zones that aren't heard
// count by what they told last.
func (c *Collector) known(but transport.Address, bound func(Key) float64, now time.Time) Counts {
	sum, inZone := c.own(but, now), Counts{}
	zones, silent := c.zones(now)
	others := map[string]Counts{}
	for from, share := range c.shares {
		counts := inZone
		if share.zone != c.zone {
			if others[share.zone] == nil {
				others[share.zone] = Counts{}
			}
			counts = others[share.zone]
		}
		counts.add(share.counts, c.leftOf(from, silent, now), now.Sub(share.at))
	}
	inZone.raise(c.echoed(now))
	sum.add(inZone, 1, 0)
	for zone, counts := range others {
		if !silent[zone] || bound == nil {
			sum.add(counts, 1, 0)
		}
	}
	if bound == nil {
		return sum
	}
	for zone := range silent {
		sum.addSilent(others[zone], bound, 1/float64(zones))
	}
	return sum
}

// former returns what front nodes remember of the time before this node took their
// reports, with what was let through since they told.
func (c *Collector) former(sum Counts, now time.Time) Counts {
	remembered, first := c.remembered.left(c.window, now), c.first.left(c.window, now)
	for key, count := range remembered {
		count.Admitted += max(0, sum[key].Admitted-first[key].Admitted)
		remembered[key] = count
	}
	return remembered
}

// addSilent adds the counts of a zone that isn't heard: for each tenant its part of
// the bound, or what it had if that is more.
func (c Counts) addSilent(counts Counts, bound func(Key) float64, part float64) {
	for key, total := range c {
		total.Admitted += max(counts[key].Admitted, part*bound(key))
		c[key] = total
	}
	for key, count := range counts {
		if _, added := c[key]; !added {
			c[key] = Count{Admitted: max(count.Admitted, part*bound(key))}
		}
	}
}

func (c *Collector) echoed(now time.Time) Counts {
	echo := Counts{}
	echo.add(c.echo.counts, held(now.Sub(c.echo.at), freshTime, c.window), now.Sub(c.echo.at))
	return echo
}

// leftOf is the part of a share that still counts. Room is kept for a zone of which
// nobody is heard.
func (c *Collector) leftOf(from transport.Address, silent map[string]bool, now time.Time) float64 {
	share := c.shares[from]
	hold := freshTime
	if silent[share.zone] {
		hold = aloneHold - c.window
	}
	return held(now.Sub(share.at), hold, c.window)
}

// zones counts the zones that something was heard of, this one included, and returns
// those of which nothing was lately.
func (c *Collector) zones(now time.Time) (count int, silent map[string]bool) {
	silent = map[string]bool{}
	for _, share := range c.shares {
		if share.zone != c.zone && now.Sub(share.at) < sharerMemory {
			silent[share.zone] = true
		}
	}
	count = 1 + len(silent)
	for _, share := range c.shares {
		if now.Sub(share.at) <= shareFresh {
			delete(silent, share.zone)
		}
	}
	return count, silent
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
	share := Share{Zone: c.zone, Counts: c.own("", now)}
	if zone != c.zone {
		share.Yours = c.lost(zone, now)
	}
	return share, len(share.Counts) > 0 || len(share.Yours) > 0 || c.told(now)
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

// lost returns what data nodes of a zone told that are silent now.
func (c *Collector) lost(zone string, now time.Time) Counts {
	_, silent := c.zones(now)
	counts := Counts{}
	for from, share := range c.shares {
		age := now.Sub(share.at)
		if age >= sharerMemory {
			delete(c.shares, from)
			continue
		}
		if share.zone == zone && age > shareFresh {
			counts.add(share.counts, c.leftOf(from, silent, now), age)
		}
	}
	return counts
}
