package replica

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"chutelock.dev/chutelock/internal/membership"
)

const (
	// recentResponse is how long a node that answered a call is preferred to others.
	recentResponse = 30 * time.Second
	// A node that did not answer is passed over for minSilence, which doubles with each further
	// call up to maxSilence.
	minSilence = 5 * time.Second
	maxSilence = 10 * time.Minute
)

// responses remembers which nodes answered this node's calls. Members may be listed long after
// their machines are gone. Its mutex is a leaf lock.
type responses struct {
	mutex  sync.Mutex
	byNode map[string]response // by name
}

// response is the outcome of the last call to a node.
type response struct {
	incarnation uint64 // of the member that was called
	at          time.Time
	answered    bool
	silence     time.Duration // how long a silent node is passed over
}

func newResponses() *responses { return &responses{byNode: map[string]response{}} }

// record notes whether a node answered a call.
func (r *responses) record(m membership.Member, answered bool, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	next := response{incarnation: m.Incarnation, at: now, answered: answered}
	if last := r.byNode[m.Name]; !answered {
		next.silence = minSilence
		if !last.answered && last.incarnation == m.Incarnation {
			next.silence = min(max(2*last.silence, minSilence), maxSilence)
		}
	}
	r.byNode[m.Name] = next
}

// isSilent reports whether a node is to be passed over, as it did not answer. A node that has
// restarted since is not.
func (r *responses) isSilent(m membership.Member, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	last, known := r.byNode[m.Name]
	return known && !last.answered && last.incarnation == m.Incarnation && now.Sub(last.at) < last.silence
}

// hasAnswered reports whether a node answered recently.
func (r *responses) hasAnswered(m membership.Member, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	last := r.byNode[m.Name]
	return last.answered && now.Sub(last.at) < recentResponse
}

// retain forgets the nodes that are not members.
func (r *responses) retain(members []membership.Member) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.byNode) <= 2*len(members) {
		return
	}
	kept := make(map[string]response, len(members))
	for _, m := range members {
		if last, known := r.byNode[m.Name]; known {
			kept[m.Name] = last
		}
	}
	r.byNode = kept
}

// order sorts members by how likely they are to answer: first those that did recently, in random
// order, then those that started last.
func (r *responses) order(members []membership.Member, now time.Time) {
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	answered := make(map[string]bool, len(members))
	for _, m := range members {
		answered[m.Name] = r.hasAnswered(m, now)
	}
	slices.SortStableFunc(members, func(a, b membership.Member) int {
		switch {
		case answered[a.Name] && answered[b.Name]:
			return 0
		case answered[a.Name] != answered[b.Name]:
			if answered[a.Name] {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.Incarnation, a.Incarnation)
	})
}
