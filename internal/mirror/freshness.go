package mirror

import "time"

// The shares of a kind's Fresh bound that its parts may take. Together they
// leave room for the last call itself.
const (
	// watchShare is the period of a watcher's calls: with watcherCount watchers
	// at even distances, one of them hears from the store every quarter of Fresh.
	watchShare = 0.75
	// watchSlackShare is how much longer than asked a watch may take before the
	// path to the store counts as broken.
	watchSlackShare = 0.2
	// staleShare is the age from which on a node reads the store by itself,
	// whoever should have told it; jitterShare spreads the nodes after that.
	staleShare  = 0.6
	jitterShare = 0.15
	// firstShare is how long a node that is no data node lets its peers tell it
	// what there is, before it lists that itself.
	firstShare = 0.4
	// patienceShare is how much longer it does while peers answer that know nothing yet.
	patienceShare = 0.6
	// newsShare is how long a watcher rests after news before it asks for more, so
	// that changes that follow each other closely cost one call together.
	newsShare = 0.05
	// tellShare is the least gain in age that is worth an answer to a data node, and
	// frontTellShare one to another node: data nodes hand ages on.
	tellShare      = 0.1
	frontTellShare = 0.2
)

const (
	// surveyTime is how long a data node that knows of no other one waits for them to be
	// heard of before it takes itself for a watcher: all nodes start within 0.3 s.
	surveyTime = 500 * time.Millisecond
	// answeredLately is how long ago a peer's last answer may be for its node to wait on
	// peers.
	answeredLately = time.Second
)

// watcherCount is the number of data nodes that watch the store at a time.
const watcherCount = 3

// Kind is a kind of objects that an agent mirrors.
type Kind struct {
	Name string
	// Fresh is the time within which a change in the store is to be known on
	// every node that can reach the store or a peer.
	Fresh time.Duration
	// Place reads of an object's content which nodes are to know it; nil if all are to
	// know all objects. See selection.
	Place func(content []byte) Place
}

func (k Kind) share(of float64) time.Duration { return time.Duration(of * float64(k.Fresh)) }

// freshness holds, by kind, when a table was last known to have all that the
// store had. It is not safe for concurrent use.
type freshness struct {
	confirmed map[string]time.Time
}

func newFreshness() *freshness { return &freshness{confirmed: map[string]time.Time{}} }

// confirm notes that the table had all at a time. It returns whether that is
// news.
func (f *freshness) confirm(kind string, at time.Time) bool {
	if !at.After(f.confirmed[kind]) {
		return false
	}
	f.confirmed[kind] = at
	return true
}

// known says whether a kind was ever confirmed.
func (f *freshness) known(kind string) bool { return !f.confirmed[kind].IsZero() }

// age is how old the newest confirmation is; ages beyond ageMost, and those of
// kinds that were never confirmed, are ageMost.
func (f *freshness) age(kind string, now time.Time) time.Duration {
	at, known := f.confirmed[kind]
	if !known {
		return ageMost
	}
	return min(max(0, now.Sub(at)), ageMost)
}

// ageMost is the oldest age that is told.
const ageMost = time.Hour

// stale says whether a node whose draw is in [0, 1) must read the store itself.
func stale(kind Kind, age time.Duration, draw float64) bool {
	return age >= kind.share(staleShare+jitterShare*draw)
}

// watchTime is how long the watcher of a rank holds its next watch. Watchers
// end theirs at even distances within the period, so that one of them hears
// from the store soon after the other, also after a change has ended all
// watches at once.
func watchTime(kind Kind, rank int, now time.Time) time.Duration {
	period := kind.share(watchShare)
	slot := period * time.Duration(rank) / watcherCount
	left := (slot - time.Duration(now.UnixNano())%period + 2*period) % period
	if left < period/(2*watcherCount) {
		left += period
	}
	return left
}
