package batchwork

import (
	"context"
	"time"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/ledger"
)

// confirmLeading waits, once per term, until all earlier commits are applied here.
func (r *Runner) confirmLeading(ctx context.Context) bool {
	leading, term := r.options.Shard.Leading()
	r.mutex.Lock()
	confirmed, stopped := r.term, r.stopped
	r.mutex.Unlock()
	if stopped && leading && confirmed == term {
		return false // the last text of the runs that Stop ends is still taken
	}
	if !leading || stopped {
		if confirmed != 0 {
			r.setTerm(0)
			eventNotLeading.Info("term", confirmed)
		}
		return false
	}
	if confirmed == term {
		return true
	}
	bounded, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	if r.options.Shard.Read(bounded, func(ledger.Reader) error { return nil }) != nil {
		return false
	}
	r.setTerm(term)
	eventLeading.Info("term", term, "open", len(r.options.Machine.openItems()))
	return true
}

func (r *Runner) setTerm(term uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.term = term
	r.overload = newOverload()
	r.since = clock.Now()
}

// hasSettled reports whether this node has led long enough to know the engines' load.
func (r *Runner) hasSettled(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return now.Sub(r.since) >= r.options.Settle
}
