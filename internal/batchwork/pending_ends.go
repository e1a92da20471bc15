package batchwork

import (
	"context"
	"time"

	"chutelock.dev/chutelock/internal/clock"
)

// maxEndsPerCommit bounds the item ends in one entry.
const maxEndsPerCommit = 64

// addPendingEnd stores an item's end that could not be committed, so that the item isn't run
// again to reach it.
func (r *Runner) addPendingEnd(end itemUpdate) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.pendingEnds[itemKey{end.job, end.index}] = end
}

// commitPendingEnds commits due ends in one entry: those whose commit failed before, and
// those of items past their retention. The items are paused meanwhile.
func (r *Runner) commitPendingEnds(open []openItem, now time.Time) {
	due, dueTimes := r.dueEnds(open, now)
	if len(due) == 0 {
		return
	}
	r.pauseItems(due, now.Add(commitTimeout+failurePause))
	r.tasks.Add(1)
	go func() {
		defer r.tasks.Done()
		ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
		defer cancel()
		outcomes, err := r.propose(ctx, due)
		r.finishPendingEnds(due, dueTimes, outcomes, err)
	}()
}

// dueEnds returns the ends to commit, and when their items were to end.
func (r *Runner) dueEnds(open []openItem, now time.Time) (due []itemUpdate, dueTimes []time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for i := range open {
		if len(due) == maxEndsPerCommit {
			break
		}
		item := &open[i]
		if len(r.pendingEnds) == 0 && !now.After(item.giveUp.Add(giveUpMargin)) {
			continue
		}
		if !r.isIdle(item, now) {
			continue
		}
		if end, found := r.dueEnd(item, now); found {
			due = append(due, end)
			dueTimes = append(dueTimes, item.due)
		}
	}
	return due, dueTimes
}

// dueEnd returns an item's due end, if any. It deletes one that doesn't follow the committed
// text. The caller holds the mutex.
func (r *Runner) dueEnd(item *openItem, now time.Time) (itemUpdate, bool) {
	k := itemKey{item.job, item.index}
	if end, found := r.pendingEnds[k]; found {
		if end.from == item.lastEvent && end.origin.restarts == item.origin.restarts {
			return end, true
		}
		delete(r.pendingEnds, k)
	}
	if now.After(item.giveUp.Add(giveUpMargin)) {
		return itemUpdate{job: item.job, index: item.index, from: item.lastEvent, to: item.lastEvent, origin: item.origin, state: StateDead}, true
	}
	return itemUpdate{}, false
}

// pauseItems keeps items from running until a time.
func (r *Runner) pauseItems(updates []itemUpdate, until time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, u := range updates {
		r.pauses[itemKey{u.job, u.index}] = until
	}
}

// finishPendingEnds forgets the ends whose outcome is known; an item whose end had no effect
// resumes after its committed text.
func (r *Runner) finishPendingEnds(ends []itemUpdate, dueTimes []time.Time, outcomes []updateOutcome, err error) {
	if err != nil {
		eventCommitLost.Error(err, "items", len(ends))
		r.pauseItems(ends, clock.Now().Add(failurePause))
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for i, end := range ends {
		k := itemKey{end.job, end.index}
		delete(r.pendingEnds, k)
		delete(r.pauses, k)
		if outcomes[i] != updateApplied {
			continue
		}
		r.options.Metrics.itemEnded(end.state, dueTimes[i], clock.Now())
		if end.state == StateDead {
			eventItemDead.Info("job", end.job, "item", end.index, "cause", "its end was committed late")
		}
	}
}
