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
	// restMost bounds a rest, so that a change of duty is noticed.
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
		first := a.started.Add(a.soonest().share(firstShare + jitterShare*draw))
		if !a.options.DataNode && now.Before(first) {
			return task{rest: min(pullRetry, first.Sub(now))}
		}
		return task{list: true}
	case mustList && (watches || stale(kind, age, draw)):
		return task{list: true}
	case watches:
		return task{hold: watchTime(kind, rank, time.Now())} // watchers go by the time of day that they share
	case stale(kind, age, draw):
		return task{hold: pollTime}
	}
	return task{rest: min(restMost, kind.share(staleShare+jitterShare*draw)-age)}
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
		ctx, cancel := context.WithTimeout(a.running, listTimeout)
		defer cancel()
		objects, at, err := a.options.Store.List(ctx, kind.Name)
		if err != nil {
			return false, err
		}
		a.merge("list", Delta{Kind: kind.Name, Whole: true, At: at, Objects: objects}, started)
		return false, nil
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
