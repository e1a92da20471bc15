package poison

import (
	"context"
	"time"

	"chutelock.dev/chutelock/internal/clock"
)

// publishLoop sends changed records to peers.
func (g *Guard) publishLoop() {
	for g.wait(g.publishReady, 0) {
		clock.Sleep(g.running, batchDelay)
		records, toDataNodes := g.takeUnpublished()
		if len(records) == 0 {
			continue
		}
		if g.options.Report == nil {
			g.options.Spread(records, toDataNodes)
			continue
		}
		ctx, cancel := context.WithTimeout(g.running, callTimeout)
		err := g.options.Report(ctx, records)
		cancel()
		if err != nil {
			g.retryPublish(records, err)
		}
	}
}

// retryPublish schedules records that no data node accepted to be reported again after a
// delay, and to be written by this node, which may reach the store.
func (g *Guard) retryPublish(records []Record, cause error) {
	eventNotPublished.Error(cause, "records", len(records))
	g.mutex.Lock()
	for i := range records {
		g.scheduleSync(records[i].Fingerprint, g.options.Now())
		g.unpublished[records[i].Fingerprint] = true
	}
	g.mutex.Unlock()
	clock.Sleep(g.running, retryDelay)
	signal(g.publishReady)
}

// takeUnpublished returns and clears the unpublished records, and whether data nodes need them.
func (g *Guard) takeUnpublished() (records []Record, toDataNodes bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for f, wide := range g.unpublished {
		if record, found := g.table.Get(f); found {
			records = append(records, record)
			toDataNodes = toDataNodes || wide
		}
	}
	clear(g.unpublished)
	return records, toDataNodes
}

// syncLoop syncs records with the store and reconciles all of them at intervals.
func (g *Guard) syncLoop() {
	reconciled := time.Now()
	for g.wait(g.syncReady, g.untilSync()) {
		if time.Since(reconciled) >= reconcileInterval {
			reconciled = time.Now()
			g.reconcile()
		}
		select {
		case <-g.storeAnswered: // before this attempt
		default:
		}
		ok := g.syncDue()
		if delay := g.finishSync(ok); delay > 0 {
			g.sleepUntilRetry(delay)
			signal(g.syncReady)
		}
	}
}

// finishSync returns the delay until the next attempt; 0 if this one succeeded.
func (g *Guard) finishSync(ok bool) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if ok {
		g.pacer.succeed()
		return 0
	}
	return g.pacer.fail()
}

// sleepUntilRetry sleeps for the given time, or until an early retry.
func (g *Guard) sleepUntilRetry(delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-g.storeAnswered:
		g.mutex.Lock()
		spacing := g.pacer.spacing(g.options.Now())
		g.mutex.Unlock()
		clock.Sleep(g.running, spacing)
	case <-timer.C:
	case <-g.running.Done():
	}
}

// untilSync returns the time until the next scheduled sync, at most reconcileInterval.
func (g *Guard) untilSync() time.Duration {
	now := g.options.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	wait := reconcileInterval
	for _, pending := range g.unsynced {
		if left := pending.from.Sub(now); left > 0 {
			wait = min(wait, left)
		}
	}
	return wait
}

// syncDue syncs the records that are due and reports whether all succeeded.
func (g *Guard) syncDue() bool {
	for _, f := range g.dueRecords() {
		if err := g.syncRecord(f); err != nil {
			eventNotStored.Error(err, "fingerprint", f)
			return false
		}
	}
	return true
}

// reconcile deletes expired records. On data nodes it schedules a sync of all others, to find
// those that the store lacks or still has after they expired.
func (g *Guard) reconcile() {
	now := g.options.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.table.Forget(now)
	g.updateFlags()
	if g.options.Report != nil {
		return // data nodes write to the store
	}
	for _, record := range g.table.All() {
		g.scheduleSync(record.Fingerprint, now.Add(takeoverDelay))
	}
	for f := range g.stored {
		g.scheduleSync(f, now.Add(takeoverDelay))
	}
}

// dueRecords returns the unsynced records whose time has come.
func (g *Guard) dueRecords() []Fingerprint {
	now := g.options.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var due []Fingerprint
	for f, pending := range g.unsynced {
		switch {
		case g.isSynced(f): // synced by another node
			delete(g.unsynced, f)
		case !now.Before(pending.from):
			due = append(due, f)
		}
	}
	return due
}

// syncRecord saves or removes the stored record of a request as the table has it.
func (g *Guard) syncRecord(f Fingerprint) error {
	ctx, cancel := context.WithTimeout(g.running, callTimeout)
	defer cancel()
	g.mutex.Lock()
	record, _ := g.table.Get(f)
	save := g.belongsInStore(f)
	inStore, stored := g.stored[f]
	g.cancelCall = cancel
	g.pacer.start(g.options.Now())
	g.mutex.Unlock()
	var err error
	switch {
	case save:
		err = g.options.Store.Save(ctx, record)
	case stored:
		err = g.options.Store.Remove(ctx, f, inStore.IsPart())
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.cancelCall = nil
	if err != nil {
		return err
	}
	delete(g.unsynced, f)
	if latest, _ := g.table.Get(f); !latest.sameCrashes(&record) {
		g.scheduleSync(f, g.options.Now()) // changed during the call
	}
	return nil
}

// wait waits for a signal, or up to limit if that is positive; false if the guard is closed.
func (g *Guard) wait(ready <-chan struct{}, limit time.Duration) bool {
	var timeout <-chan time.Time
	if limit > 0 {
		timer := time.NewTimer(limit)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-g.running.Done():
		return false
	case <-ready:
	case <-timeout:
	}
	return g.running.Err() == nil
}
