package origin

import (
	"time"

	"chutelock.dev/chutelock/internal/catalog"
)

// historyTTL bounds how long releases that are gone are remembered.
const historyTTL = 10 * time.Minute

// History remembers which releases a node's list of engines had, and since when it was watched. It
// is not safe for concurrent use.
type History struct {
	since    time.Time // of the first observation
	listed   map[catalog.Release]bool
	lastSeen map[catalog.Release]time.Time
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{lastSeen: map[catalog.Release]time.Time{}} }

// Observe records that the list has the given engines from now on.
func (h *History) Observe(engines []catalog.Engine, now time.Time) {
	if h.since.IsZero() {
		h.since = now
	}
	for release := range h.listed {
		h.lastSeen[release] = now // listed until now
	}
	h.listed = map[catalog.Release]bool{}
	for i := range engines {
		release := engines[i].Release()
		h.listed[release] = true
		h.lastSeen[release] = now
	}
	for release, at := range h.lastSeen {
		if now.Sub(at) > historyTTL {
			delete(h.lastSeen, release)
		}
	}
}

// Miss records that releases may have come and gone unseen until now, so that the history begins anew.
func (h *History) Miss(now time.Time) {
	if !h.since.IsZero() {
		h.since = now
	}
}

// Sole returns the only release that the service had in the given time until now. It returns false
// if there was more than one, or none, or if the history is shorter. window must be at most
// historyTTL to be meaningful.
func (h *History) Sole(service string, window time.Duration, now time.Time) (catalog.Release, bool) {
	if h.since.IsZero() || now.Sub(h.since) < window || window > historyTTL {
		return catalog.Release{}, false
	}
	seen := h.seen(service, window, now)
	if len(seen) != 1 {
		return catalog.Release{}, false
	}
	return seen[0], true
}

// Several reports whether the service is known to have had more than one release in the given time until
// now. Unlike Sole, a history that is too short or misses changes may tell.
func (h *History) Several(service string, window time.Duration, now time.Time) bool {
	return len(h.seen(service, window, now)) > 1
}

func (h *History) seen(service string, window time.Duration, now time.Time) (releases []catalog.Release) {
	for release, at := range h.lastSeen {
		if release.Service == service && (h.listed[release] || now.Sub(at) < window) {
			releases = append(releases, release)
		}
	}
	return releases
}
