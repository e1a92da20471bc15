package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
)

// infiniteWait is the wait for a slot where there is no engine.
const infiniteWait = time.Duration(math.MaxInt64)

// outsideRegion reports whether the engine is in another region than the preferred one; an
// unknown region counts as the same.
func (w Wish) outsideRegion(engine catalog.Engine) bool {
	return w.Region != "" && engine.Region != "" && engine.Region != w.Region
}

// splitByRegion splits engines into those of the preferred region, or of an unknown one, and
// the others by region.
func (w Wish) splitByRegion(engines []catalog.Engine) (own []catalog.Engine, remote map[string][]catalog.Engine) {
	if !slices.ContainsFunc(engines, w.outsideRegion) {
		return engines, nil
	}
	remote = map[string][]catalog.Engine{}
	for _, engine := range engines {
		if w.outsideRegion(engine) {
			remote[engine.Region] = append(remote[engine.Region], engine)
		} else {
			own = append(own, engine)
		}
	}
	return own, remote
}

// sameRegion returns the engines that splitByRegion groups with the given one.
func (w Wish) sameRegion(engines []catalog.Engine, with catalog.Engine) []catalog.Engine {
	own, remote := w.splitByRegion(engines)
	if w.outsideRegion(with) {
		return remote[with.Region]
	}
	return own
}

// minWait predicts the minimum wait for a slot of a group's engines. Slots of batch work
// count as free, as it is preempted at once.
func (p prediction) minWait(g group) time.Duration {
	shortest := infiniteWait
	for _, scored := range g.engines {
		slots := max(scored.engine.Slots, 1)
		excess := p.table.load(scored.engine.ID, p.now) - p.table.preemptible(scored.engine.ID, p.now) - slots
		shortest = min(shortest, p.table.hold(scored.engine, p.now)*time.Duration(max(0, excess+1))/time.Duration(slots))
	}
	return shortest
}

// preferWithoutWait returns near or far if a request has to wait in the chosen group but not
// there.
func preferWithoutWait(chosen, near, far group) group {
	for _, other := range []group{near, far} {
		if chosen.minWait > 0 && other.minWait == 0 {
			return other
		}
	}
	return chosen
}

// soonestRegion returns the engines of the region where a request gets a slot soonest, round
// trip included, if that takes less than wait; else no engines. With inTime set, regions too
// distant for a first token on time are skipped. foundRoom reports whether an engine there
// has room.
func (t *Table) soonestRegion(
	remote map[string][]catalog.Engine, wish Wish, inTime bool, wait time.Duration, now time.Time, draw func() float64,
) (best group, foundRoom bool) {
	best.minWait = wait
	for _, region := range sortByRTT(remote, t.zoneRTTs, now) {
		if region.rtt >= best.minWait || (inTime && wish.Wait > 0 && region.rtt >= wish.Wait) {
			break
		}
		regional := wish
		if wish.Wait > 0 {
			regional.Wait = max(1, wish.Wait-region.rtt)
		}
		_, candidate, hasRoom := t.groupByZone(region.engines, regional, now, draw)
		foundRoom = foundRoom || hasRoom
		if candidate.minWait < infiniteWait && region.rtt+candidate.minWait < best.minWait {
			candidate.minWait += region.rtt
			best = candidate
		}
	}
	return best, foundRoom
}

// remoteRegion holds the engines of another region and the round-trip time to its nearest
// zone.
type remoteRegion struct {
	name    string
	engines []catalog.Engine
	rtt     time.Duration
}

// sortByRTT returns the regions, nearest first.
func sortByRTT(remote map[string][]catalog.Engine, rtts rttTracker, now time.Time) []remoteRegion {
	regions := make([]remoteRegion, 0, len(remote))
	for name, engines := range remote {
		region := remoteRegion{name: name, engines: engines, rtt: infiniteWait}
		for _, engine := range engines {
			region.rtt = min(region.rtt, rtts.rtt(engine.Zone, now))
		}
		regions = append(regions, region)
	}
	slices.SortFunc(regions, func(a, b remoteRegion) int {
		return cmp.Or(cmp.Compare(a.rtt, b.rtt), cmp.Compare(a.name, b.name))
	})
	return regions
}
