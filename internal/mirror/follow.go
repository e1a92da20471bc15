package mirror

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/clock"
)

const (
	// The pause after a failed call of the store grows between these.
	storeRetryFirst = 60 * time.Millisecond
	storeRetryMost  = 600 * time.Millisecond
	// pollTime is how long the store may hold a call that only asks for what is
	// there; it must be more than nothing.
	pollTime = time.Millisecond
	// restMost bounds a rest of a data node, so that a change of duty is noticed; others
	// have none.
	restMost = 300 * time.Millisecond
)

// follow keeps one kind up to date from the store: as a watcher, or because
// nobody has told this node for too long.
func (a *Agent) follow(kind Kind) {
	wait := storeRetryFirst
	mustList, lost := true, false
	for a.running.Err() == nil {
		task := a.nextTask(kind, mustList, rand.Float64(), clock.Now())
		if task.rest > 0 {
			a.pause(task.rest)
			continue
		}
		news, err := a.readStore(kind, task)
		switch {
		case err == nil:
			a.noteHeard()
			if lost {
				eventStoreBack.Info("kind", kind.Name, "revision", a.position(kind.Name))
			}
			mustList, lost, wait = false, false, storeRetryFirst
			if task.alone {
				a.tellOwnNews()
			}
			if news {
				a.pause(kind.share(newsShare))
			}
			continue
		case errors.Is(err, ErrHistoryLost):
			mustList = true
			continue
		}
		if !lost && a.running.Err() == nil {
			lost = true
			eventStoreLost.Error(err, "kind", kind.Name, "revision", a.position(kind.Name))
		}
		a.pause(wait/2 + rand.N(wait))
		wait = min(2*wait, storeRetryMost)
	}
}

// task is what to do next for a kind: to rest, to list, or to ask for changes
// that the store may hold for a time.
type task struct {
	rest time.Duration
	list bool
	hold time.Duration
	// alone says that the node reads because nobody has told it for too long.
	alone bool
}

// nextTask decides what is next. draw spreads the nodes that read the store by
// themselves.
func (a *Agent) nextTask(kind Kind, mustList bool, draw float64, now time.Time) task {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	rank, watches := a.rank()
	age := a.fresh.age(kind.Name, now)
	switch {
	case a.table.At(kind.Name) == 0:
		if rest := a.restBeforeListing(watches, draw, now); rest > 0 {
			return task{rest: min(pullRetry, rest)}
		}
		return task{list: true}
	case mustList && (watches || stale(kind, age, draw)):
		return task{list: true, alone: !watches}
	case watches:
		return task{hold: watchTime(kind, rank, time.Now())} // watchers go by the time of day that they share
	case stale(kind, age, draw):
		return task{hold: pollTime, alone: true}
	}
	rest := kind.share(staleShare+jitterShare*draw) - age
	if a.options.DataNode {
		rest = min(restMost, rest)
	}
	return task{rest: rest}
}

// restBeforeListing is how long a node that knows nothing lets others tell it before it
// lists a kind itself. Watchers list at once when they know that they are: on the registry
// there are others, or nobody is for long. All others wait for what the watchers find, and
// longer while peers answer, though they know nothing yet either: were each node to list,
// 985 of them would make 50,000 calls for 10,000 entries.
func (a *Agent) restBeforeListing(watches bool, draw float64, now time.Time) time.Duration {
	if watches && a.surveyed && len(a.nodes) > 1 {
		return 0
	}
	if watches {
		return a.started.Add(surveyTime).Sub(now)
	}
	share := firstShare + jitterShare*draw
	if now.Sub(a.answeredAt) < answeredLately {
		share += patienceShare
	}
	return a.started.Add(a.soonest().share(share)).Sub(now)
}

// soonest is the kind that has to be freshest. A node that starts lists all kinds when it
// lists that one: what it knows of one is used together with the others.
func (a *Agent) soonest() Kind {
	return slices.MinFunc(a.options.Kinds, func(x, y Kind) int { return cmp.Compare(x.Fresh, y.Fresh) })
}

// rank is this node's place among the data nodes that answer it, and whether
// it watches the store; the caller holds the mutex.
func (a *Agent) rank() (rank int, watches bool) {
	if !a.options.DataNode {
		return 0, false
	}
	rank = slices.Index(a.soundNodes(), a.options.Self.Name)
	return rank, 0 <= rank && rank < watcherCount
}

// readStore does one call of the store, and says whether it told of changes.
func (a *Agent) readStore(kind Kind, next task) (news bool, err error) {
	started := clock.Now()
	if next.list {
		return false, a.list(kind)
	}
	since := a.position(kind.Name)
	ctx, cancel := context.WithTimeout(a.running, next.hold+kind.share(watchSlackShare))
	defer cancel()
	objects, at, err := a.options.Store.Changes(ctx, kind.Name, since, next.hold)
	if err != nil {
		return false, err
	}
	// An answer that was held tells of its end, not of its start.
	confirmed := started.Add(min(clock.Since(started), next.hold))
	a.merge("watch", Delta{Kind: kind.Name, Since: since, At: max(at, since), Objects: objects}, confirmed)
	return len(objects) > 0, nil
}

// list reads all objects of a kind.
func (a *Agent) list(kind Kind) error {
	if kind.Place != nil {
		return a.listLarge(kind)
	}
	started := clock.Now()
	ctx, cancel := context.WithTimeout(a.running, listTimeout)
	defer cancel()
	objects, at, err := a.options.Store.List(ctx, kind.Name, false)
	if err != nil {
		return err
	}
	a.merge("list", Delta{Kind: kind.Name, Whole: true, At: at, Objects: objects}, started)
	return nil
}

// listLarge reads a kind of many objects: a list that may be seconds old, which costs a
// tenth, and what has changed since. Nothing of it is used before it is known to be new.
func (a *Agent) listLarge(kind Kind) error {
	ctx, cancel := context.WithTimeout(a.running, largeListTimeout)
	defer cancel()
	objects, at, err := a.options.Store.List(ctx, kind.Name, true)
	if err != nil {
		return err
	}
	asked := clock.Now()
	changed, now, err := a.options.Store.Changes(ctx, kind.Name, at, pollTime)
	if errors.Is(err, ErrHistoryLost) {
		asked = clock.Now()
		changed = nil
		objects, now, err = a.options.Store.List(ctx, kind.Name, false)
	}
	if err != nil {
		return err
	}
	a.merge("list", Delta{Kind: kind.Name, Whole: true, At: max(at, now), Objects: withChanges(objects, changed)}, asked)
	return nil
}

// withChanges applies changes to a list.
func withChanges(objects, changes []Object) []Object {
	if len(changes) == 0 {
		return objects
	}
	changed := make(map[string]bool, len(changes))
	for _, object := range changes {
		changed[object.Name] = true
	}
	objects = slices.DeleteFunc(objects, func(object Object) bool { return changed[object.Name] })
	for _, object := range changes {
		if !object.Gone {
			objects = append(objects, object)
		}
	}
	return objects
}

func (a *Agent) noteHeard() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.heard = clock.Now()
}

// Heard is when the store last answered this node.
func (a *Agent) Heard() time.Time {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.heard
}

// Age is how long ago the collection of a kind was known to have all that the
// store had, whoever told so.
func (a *Agent) Age(kind string) time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.fresh.age(kind, clock.Now())
}

func (a *Agent) position(kind string) uint64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.table.At(kind)
}
