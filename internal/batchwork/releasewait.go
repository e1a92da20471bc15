package batchwork

import (
	"slices"
	"strings"
	"time"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
)

// minReleaseWait is how long an item with text waits at least for room at an engine of the text's
// release: about as long as an online request holds a slot.
const minReleaseWait = 500 * time.Millisecond

// releaseToWaitFor returns the release whose engines are to run an idle item, as they can continue
// its text; zero if any may run it. An item that finds no room at engines of its release, while
// there is room at others, or whose runs there make no progress, waits for as long as producing its
// text again would take, and then starts over. The caller holds the mutex.
func (r *Runner) releaseToWaitFor(item *openItem, route *catalog.Route, regions catalog.Regions, serving servingReleases, now time.Time) catalog.Release {
	release := item.origin.value()
	if !item.origin.known() || !slices.Contains(route.Services(), release.Service) || !serving.any(release, regions) {
		return catalog.Release{}
	}
	k := itemKey{item.job, item.index}
	since, waits := r.releaseWaits[k]
	switch {
	case !waits:
		r.releaseWaits[k] = now
	case now.Sub(since) > max(minReleaseWait, r.itemEstimator.textTime(*item)):
		return catalog.Release{}
	}
	return release
}

// acquire reserves places for at most count items of a group, in order.
func (r *Runner) acquire(group *startGroup, count int, now time.Time) []*balance.Lease {
	leases := r.options.Balancer.AcquireMany(group.wishes[:count], group.priority)
	if group.release != (catalog.Release{}) && len(leases) < count {
		r.restartWaits(group, len(leases), now)
	}
	return leases
}

// restartWaits lets the items of a group from an index on wait from now on, unless there is room
// at engines of other releases.
func (r *Runner) restartWaits(group *startGroup, from int, now time.Time) {
	anyRelease := group.wishes[from]
	anyRelease.Release = catalog.Release{}
	if r.options.Balancer.HasBatchRoom(anyRelease) {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, item := range group.items[from:] {
		r.releaseWaits[itemKey{item.job, item.index}] = now
	}
}

// servingReleases caches during a plan which releases have engines that may serve.
type servingReleases struct {
	balancer *balance.Balancer
	known    map[string]bool
}

// any reports whether any engine of a release in the regions may serve.
func (s servingReleases) any(release catalog.Release, regions catalog.Regions) bool {
	cached := release.Service + " " + release.Version + " " + strings.Join(regions, " ")
	if regions == nil {
		cached += " *"
	}
	if _, found := s.known[cached]; !found {
		s.known[cached] = s.balancer.Serves(balance.Wish{Service: release.Service, Release: release, Regions: regions})
	}
	return s.known[cached]
}
