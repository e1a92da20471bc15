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
	// Bounds of the backoff after failed calls of the store.
	minStoreBackoff = 60 * time.Millisecond
	maxStoreBackoff = 600 * time.Millisecond
	// pollHold is how long the store may hold a call that only asks for present changes; it
	// must be positive.
	pollHold = time.Millisecond
	// maxDataNodePause bounds a data node's pause between checks, so that it notices soon when
	// it becomes a watcher.
	maxDataNodePause = 300 * time.Millisecond
)

// followStore keeps a kind up to date from the store, as a watcher or because no peer has
// updated it for too long.
func (a *Agent) followStore(kind Kind) {
	backoff := minStoreBackoff
	mustList, lost := true, false
	for a.running.Err() == nil {
		task := a.nextTask(kind, mustList, rand.Float64(), clock.Now())
		if task.pause > 0 {
			a.pause(task.pause)
			continue
		}
		changed, err := a.readStore(kind, task)
		switch {
		case err == nil:
			a.recordStoreResponse()
			if lost {
				eventStoreBack.Info("kind", kind.Name, "revision", a.revision(kind.Name))
			}
			mustList, lost, backoff = false, false, minStoreBackoff
			if task.fallback {
				a.restartPulls()
			}
			if changed {
				a.pause(kind.fraction(changePauseFraction))
			}
			continue
		case errors.Is(err, ErrHistoryLost):
			mustList = true
			continue
		}
		if !lost && a.running.Err() == nil {
			lost = true
			eventStoreLost.Error(err, "kind", kind.Name, "revision", a.revision(kind.Name))
		}
		a.pause(backoff/2 + rand.N(backoff))
		backoff = min(2*backoff, maxStoreBackoff)
	}
}

// task is the next step for a kind: to pause, to list, or to ask for changes with a call that
// the store may hold.
type task struct {
	pause time.Duration
	list  bool
	hold  time.Duration
	// fallback says that a node that is no watcher reads the store because its data is stale.
	fallback bool
}

// nextTask decides the next step. jitter, in [0, 1), spreads the fallback reads of nodes.
func (a *Agent) nextTask(kind Kind, mustList bool, jitter float64, now time.Time) task {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	rank, isWatcher := a.rank()
	age := a.fresh.age(kind.Name, now)
	switch {
	case a.table.Revision(kind.Name) == 0:
		if pause := a.listDelay(isWatcher, jitter, now); pause > 0 {
			return task{pause: min(pullRetry, pause)}
		}
		return task{list: true}
	case mustList && (isWatcher || stale(kind, age, jitter)):
		return task{list: true, fallback: !isWatcher}
	case isWatcher:
		return task{hold: watchHold(kind, rank, time.Now())} // watchers align on wall-clock time
	case stale(kind, age, jitter):
		return task{hold: pollHold, fallback: true}
	}
	pause := kind.fraction(staleFraction+jitterFraction*jitter) - age
	if a.options.DataNode {
		pause = min(maxDataNodePause, pause)
	}
	return task{pause: pause}
}

// listDelay is how long an unsynced node waits for peers before it lists a kind itself. A
// watcher lists at once when the registry names other data nodes, else after registryGrace.
// Other nodes wait for the watchers' results, and longer while peers answer that are unsynced
// too, so that a fleet that starts does not overload the store with listings.
func (a *Agent) listDelay(isWatcher bool, jitter float64, now time.Time) time.Duration {
	if isWatcher && a.registryRead && len(a.nodes) > 1 {
		return 0
	}
	if isWatcher {
		return a.started.Add(registryGrace).Sub(now)
	}
	fraction := listDelayFraction + jitterFraction*jitter
	if now.Sub(a.lastPeerResponse) < recentPeerResponse {
		fraction += extraListDelayFraction
	}
	return a.started.Add(a.strictestKind().fraction(fraction)).Sub(now)
}

// strictestKind is the kind with the lowest MaxStaleness. An unsynced node lists all kinds by
// its delay, as they are used together.
func (a *Agent) strictestKind() Kind {
	return slices.MinFunc(a.options.Kinds, func(x, y Kind) int { return cmp.Compare(x.MaxStaleness, y.MaxStaleness) })
}

// rank returns this node's index among the healthy data nodes and whether it is a watcher. The
// caller holds the mutex.
func (a *Agent) rank() (rank int, isWatcher bool) {
	if !a.options.DataNode {
		return 0, false
	}
	rank = slices.Index(a.healthyNodes(), a.options.Self.Name)
	return rank, 0 <= rank && rank < watcherCount
}

// readStore makes one call of the store and reports whether it returned changes.
func (a *Agent) readStore(kind Kind, task task) (changed bool, err error) {
	started := clock.Now()
	if task.list {
		return false, a.list(kind)
	}
	after := a.revision(kind.Name)
	ctx, cancel := context.WithTimeout(a.running, task.hold+kind.fraction(watchSlackFraction))
	defer cancel()
	objects, revision, err := a.options.Store.Changes(ctx, kind.Name, after, task.hold)
	if err != nil {
		return false, err
	}
	// The store's state is known only up to the end of the requested hold: the response may
	// have been read later.
	confirmed := started.Add(min(clock.Since(started), task.hold))
	a.merge("watch", Delta{Kind: kind.Name, Since: after, Revision: max(revision, after), Objects: objects}, confirmed)
	return len(objects) > 0, nil
}

// list reads all objects of a kind.
func (a *Agent) list(kind Kind) error {
	if kind.Place != nil {
		return a.listLargeKind(kind)
	}
	started := clock.Now()
	ctx, cancel := context.WithTimeout(a.running, listTimeout)
	defer cancel()
	objects, revision, err := a.options.Store.List(ctx, kind.Name, false)
	if err != nil {
		return err
	}
	a.merge("list", Delta{Kind: kind.Name, IsSnapshot: true, Revision: revision, Objects: objects}, started)
	return nil
}

// listLargeKind reads a possibly stale list, which is cheaper for the store, and the changes
// since. Nothing is merged before both are there.
func (a *Agent) listLargeKind(kind Kind) error {
	ctx, cancel := context.WithTimeout(a.running, largeListTimeout)
	defer cancel()
	objects, revision, err := a.options.Store.List(ctx, kind.Name, true)
	if err != nil {
		return err
	}
	started := clock.Now()
	changed, current, err := a.options.Store.Changes(ctx, kind.Name, revision, pollHold)
	if errors.Is(err, ErrHistoryLost) {
		started = clock.Now()
		changed = nil
		objects, current, err = a.options.Store.List(ctx, kind.Name, false)
	}
	if err != nil {
		return err
	}
	a.merge("list", Delta{Kind: kind.Name, IsSnapshot: true, Revision: max(revision, current), Objects: withChanges(objects, changed)}, started)
	return nil
}

// withChanges applies changes to a list; it may modify the list.
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

func (a *Agent) recordStoreResponse() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.lastStoreResponse = clock.Now()
}

// LastStoreResponse returns when the store last answered this node.
func (a *Agent) LastStoreResponse() time.Time {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.lastStoreResponse
}

// Age returns the time since a kind's collection was last known to match the store, read
// directly or through peers.
func (a *Agent) Age(kind string) time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.fresh.age(kind, clock.Now())
}

func (a *Agent) revision(kind string) uint64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.table.Revision(kind)
}
