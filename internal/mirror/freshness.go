package mirror

import "time"

// Fractions of a kind's MaxStaleness that the steps of propagating a change may take. Together
// they leave room for the last call.
const (
	// watchFraction is the period of a watcher's calls. As watcherCount watchers are evenly
	// spaced, one of them hears from the store every quarter of MaxStaleness.
	watchFraction = 0.75
	// watchSlackFraction is how much longer than its hold a watch may take before it fails.
	watchSlackFraction = 0.2
	// staleFraction is the age from which a node reads the store itself; jitterFraction spreads
	// the nodes' reads after that.
	staleFraction  = 0.6
	jitterFraction = 0.15
	// listDelayFraction is how long an unsynced node that is no watcher waits for its peers
	// before it lists a kind itself.
	listDelayFraction = 0.4
	// extraListDelayFraction is added while peers answer that are unsynced too.
	extraListDelayFraction = 0.6
	// changePauseFraction is how long a watcher pauses after changes, so that changes in quick
	// succession are read by one call.
	changePauseFraction = 0.05
	// minAgeGainFraction is the least reduction of age that ends a data node's pull, and
	// frontMinAgeGainFraction that for a front node. It is less for data nodes as they pass
	// confirmations on.
	minAgeGainFraction      = 0.1
	frontMinAgeGainFraction = 0.2
)

const (
	// registryGrace is how long a data node that knows no other one waits to learn of them
	// before it acts as a watcher.
	registryGrace = 500 * time.Millisecond
	// recentPeerResponse is the age up to which a peer's last response counts as recent.
	recentPeerResponse = time.Second
)

// watcherCount is the number of data nodes that watch the store at a time.
const watcherCount = 3

// Kind configures the mirroring of a kind of objects.
type Kind struct {
	Name string
	// MaxStaleness is the time within which a change in the store must be known on every node
	// that can reach the store or a peer.
	MaxStaleness time.Duration
	// Place reads an object's place from its content, which decides which nodes mirror the
	// object; nil if all nodes mirror all objects. See subset.
	Place func(content []byte) Place
	// States says that a state of an object which was overwritten unseen counts as unwatched; see
	// Agent.TakeUnwatched.
	States bool
}

func (k Kind) fraction(f float64) time.Duration { return time.Duration(f * float64(k.MaxStaleness)) }

// freshness holds, by kind, the time at which the table was last known to match the store. It
// is not safe for concurrent use.
type freshness struct {
	confirmed map[string]time.Time
}

func newFreshness() *freshness { return &freshness{confirmed: map[string]time.Time{}} }

// confirm records that the table matched the store at a time, and reports whether that is later
// than recorded before.
func (f *freshness) confirm(kind string, at time.Time) bool {
	if !at.After(f.confirmed[kind]) {
		return false
	}
	f.confirmed[kind] = at
	return true
}

// sinceConfirmed returns how long before a time the kind was last confirmed; 0 if it was later.
func (f *freshness) sinceConfirmed(kind string, at time.Time) time.Duration {
	return max(0, at.Sub(f.confirmed[kind]))
}

// minSilence is the least time between two known answers of the store for the later one to
// count as news: a peer's report of the same answer may seem later by its transmission.
const minSilence = 20 * time.Millisecond

// minOutage is the silence of the store from which objects may have expired for lack of
// heartbeats that it accepts. Shorter silences are common on busy nodes, and end no object that
// is kept for several heartbeats.
const minOutage = 2 * time.Second

// latest returns the time of the latest confirmation of any kind; zero if there is none.
func (f *freshness) latest() time.Time {
	var latest time.Time
	for _, at := range f.confirmed {
		if at.After(latest) {
			latest = at
		}
	}
	return latest
}

// everConfirmed says whether a kind was ever confirmed.
func (f *freshness) everConfirmed(kind string) bool { return !f.confirmed[kind].IsZero() }

// age returns the time since the last confirmation, at most maxAge. It is maxAge for kinds that
// were never confirmed.
func (f *freshness) age(kind string, now time.Time) time.Duration {
	at, known := f.confirmed[kind]
	if !known {
		return maxAge
	}
	return min(max(0, now.Sub(at)), maxAge)
}

// maxAge is the largest age that is reported to peers.
const maxAge = time.Hour

// stale says whether a node must read the store itself; its jitter is in [0, 1).
func stale(kind Kind, age time.Duration, jitter float64) bool {
	return age >= kind.fraction(staleFraction+jitterFraction*jitter)
}

// watchHold returns how long the watcher of a rank asks the store to hold its next watch.
// Watchers end their watches at evenly spaced times of the period, also after a change has
// ended all watches at once.
func watchHold(kind Kind, rank int, now time.Time) time.Duration {
	period := kind.fraction(watchFraction)
	offset := period * time.Duration(rank) / watcherCount
	hold := (offset - time.Duration(now.UnixNano())%period + 2*period) % period
	if hold < period/(2*watcherCount) {
		hold += period
	}
	return hold
}
