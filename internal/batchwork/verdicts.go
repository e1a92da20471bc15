package batchwork

import (
	"context"
	"time"

	"chutelock.dev/chutelock/internal/clock"
)

// verdictsMost bounds the ends of items that are committed at once.
const verdictsMost = 64

// keepVerdict remembers the end of an item that could not be committed, so that
// the item isn't run again for it.
func (r *Runner) keepVerdict(s step) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.verdicts[itemKey{s.job, s.index}] = s
}

// commitVerdicts commits, in one entry, the ends that are due: those that could
// not be committed before, and those of items whose retention is over. The
// items rest meanwhile.
func (r *Runner) commitVerdicts(open []openItem, now time.Time) {
	due := r.dueVerdicts(open, now)
	if len(due) == 0 {
		return
	}
	r.rest(due, now.Add(commitTimeout+failurePause))
	r.tasks.Add(1)
	go func() {
		defer r.tasks.Done()
		ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
		defer cancel()
		r.noteVerdicts(due, r.propose(ctx, due))
	}()
}

func (r *Runner) dueVerdicts(open []openItem, now time.Time) []step {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var due []step
	for i := range open {
		if len(due) == verdictsMost {
			break
		}
		item := &open[i]
		if len(r.verdicts) == 0 && !now.After(item.giveUp.Add(giveUpMargin)) {
			continue
		}
		if !r.idle(item, now) {
			continue
		}
		if s, found := r.verdict(item, now); found {
			due = append(due, s)
		}
	}
	return due
}

// verdict is the end that is due for an item, if one is. One that doesn't
// follow what is committed is forgotten. The caller holds the mutex.
func (r *Runner) verdict(item *openItem, now time.Time) (step, bool) {
	k := itemKey{item.job, item.index}
	if kept, found := r.verdicts[k]; found {
		if kept.from == item.lastEvent {
			return kept, true
		}
		delete(r.verdicts, k)
	}
	if now.After(item.giveUp.Add(giveUpMargin)) {
		return step{job: item.job, index: item.index, from: item.lastEvent, to: item.lastEvent, state: StateDead}, true
	}
	return step{}, false
}

// rest keeps items from being run until a time.
func (r *Runner) rest(steps []step, until time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, s := range steps {
		r.pauses[itemKey{s.job, s.index}] = until
	}
}

func (r *Runner) noteVerdicts(steps []step, err error) {
	if err != nil {
		eventCommitLost.Error(err, "items", len(steps))
		r.rest(steps, clock.Now().Add(failurePause))
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, s := range steps {
		k := itemKey{s.job, s.index}
		delete(r.verdicts, k)
		delete(r.pauses, k)
		if s.state == StateDead {
			eventItemDead.Info("job", s.job, "item", s.index, "cause", "its end is committed late")
		}
	}
}
