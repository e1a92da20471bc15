package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
)

// endless is the wait for a slot of no engine.
const endless = time.Duration(math.MaxInt64)

// leavesRegion says whether the engine is in another region than the wish prefers.
func (w Wish) leavesRegion(engine catalog.Engine) bool {
	return w.Region != "" && engine.Region != "" && engine.Region != w.Region
}

// byRegion parts engines into those of the wish's region, and those of the others by
// region. An engine whose region isn't known counts as of the wish's own.
func (w Wish) byRegion(engines []catalog.Engine) (own []catalog.Engine, remote map[string][]catalog.Engine) {
	if !slices.ContainsFunc(engines, w.leavesRegion) {
		return engines, nil
	}
	remote = map[string][]catalog.Engine{}
	for _, engine := range engines {
		if w.leavesRegion(engine) {
			remote[engine.Region] = append(remote[engine.Region], engine)
		} else {
			own = append(own, engine)
		}
	}
	return own, remote
}

// sameRegion lists the engines that byRegion puts together with one.
func (w Wish) sameRegion(engines []catalog.Engine, with catalog.Engine) []catalog.Engine {
	own, remote := w.byRegion(engines)
	if w.leavesRegion(with) {
		return remote[with.Region]
	}
	return own
}

// waitIn predicts the least wait for a slot of a group's engines. Batch work makes way at
// once, so that its slots count as free.
func (p prediction) waitIn(g group) time.Duration {
	least := endless
	for _, one := range g.engines {
		slots := max(one.engine.Slots, 1)
		beyond := p.table.load(one.engine.ID, p.now) - p.table.yielding(one.engine.ID, p.now) - slots
		least = min(least, p.table.ran*time.Duration(max(0, beyond+1))/time.Duration(slots))
	}
	return least
}

// withoutWait returns the other group of the wish's region if a request waits in the
// chosen one and not there.
func withoutWait(chosen, near, far group) group {
	for _, other := range []group{near, far} {
		if chosen.wait > 0 && other.wait == 0 {
			return other
		}
	}
	return chosen
}

// nearestRegion returns the engines of the region where a request has a slot soonest, its
// round trip included, if that is sooner than after wait; else no engines. inTime says that
// a region too far away for the wish to be in time is left out: there are engines nearer.
//
// With other regions counted as other zones are, a request left its region for two free
// slots of eight, though its own had free ones, too.
func (t *Table) nearestRegion(
	remote map[string][]catalog.Engine, wish Wish, inTime bool, wait time.Duration, now time.Time, draw func() float64,
) (best group, sawRoom bool) {
	best.wait = wait
	for _, region := range byRoundTrip(remote, t.distances, now) {
		if region.roundTrip >= best.wait || (inTime && wish.Wait > 0 && region.roundTrip >= wish.Wait) {
			break
		}
		there := wish
		if wish.Wait > 0 {
			there.Wait = max(1, wish.Wait-region.roundTrip)
		}
		_, found, saw := t.groups(region.engines, there, now, draw)
		sawRoom = sawRoom || saw
		if found.wait < endless && region.roundTrip+found.wait < best.wait {
			found.wait += region.roundTrip
			best = found
		}
	}
	return best, sawRoom
}

// remoteRegion is the engines of another region with the round trip to its nearest zone.
type remoteRegion struct {
	name      string
	engines   []catalog.Engine
	roundTrip time.Duration
}

// byRoundTrip lists regions, the nearest first.
func byRoundTrip(remote map[string][]catalog.Engine, d distances, now time.Time) []remoteRegion {
	regions := make([]remoteRegion, 0, len(remote))
	for name, engines := range remote {
		one := remoteRegion{name: name, engines: engines, roundTrip: endless}
		for _, engine := range engines {
			one.roundTrip = min(one.roundTrip, d.roundTrip(engine.Zone, now))
		}
		regions = append(regions, one)
	}
	slices.SortFunc(regions, func(a, b remoteRegion) int {
		return cmp.Or(cmp.Compare(a.roundTrip, b.roundTrip), cmp.Compare(a.name, b.name))
	})
	return regions
}
