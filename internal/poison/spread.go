package poison

import (
	"context"
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/clock"
)

// tellLoop hands news to peers.
func (g *Guard) tellLoop() {
	for g.wait(g.told, 0) {
		clock.Pause(g.running, gatherTime)
		records, wide := g.takeNews()
		if len(records) == 0 {
			continue
		}
		if g.options.Report == nil {
			g.options.Spread(records, wide)
			continue
		}
		ctx, cancel := context.WithTimeout(g.running, callTimeout)
		err := g.options.Report(ctx, records)
		cancel()
		if err != nil {
			g.notTold(records, err)
		}
	}
}

// notTold has this node write records itself, as it may reach the store though it
// reaches no data node, and tells them again after a pause.
func (g *Guard) notTold(records []Record, cause error) {
	eventNotTold.Error(cause, "records", len(records))
	g.mutex.Lock()
	for i := range records {
		g.keep(records[i].Fingerprint, g.options.Now())
		g.news[records[i].Fingerprint] = true
	}
	g.mutex.Unlock()
	clock.Pause(g.running, retryPause)
	signal(g.told)
}

// takeNews returns what is to be told, and whether to all data nodes.
func (g *Guard) takeNews() (records []Record, wide bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for f, all := range g.news {
		if record, found := g.table.Get(f); found {
			records = append(records, record)
			wide = wide || all
		}
	}
	clear(g.news)
	return records, wide
}

// keepLoop brings records to the store.
func (g *Guard) keepLoop() {
	reviewed := time.Now()
	pause := retryPause
	for g.wait(g.kept, g.untilDue()) {
		if time.Since(reviewed) >= reviewInterval {
			reviewed = time.Now()
			g.review()
		}
		if g.keepDue() {
			pause = retryPause
			continue
		}
		clock.Pause(g.running, pause)
		pause = min(2*pause, retryMost)
		signal(g.kept)
	}
}

// untilDue is the time until the next record is to be kept, or the next review.
func (g *Guard) untilDue() time.Duration {
	now := g.options.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	wait := reviewInterval
	for _, from := range g.unkept {
		if left := from.Sub(now); left > 0 {
			wait = min(wait, left)
		}
	}
	return wait
}

// keepDue keeps what is due, and says whether the store took all of it.
func (g *Guard) keepDue() bool {
	for _, f := range g.dueToKeep() {
		if err := g.keepOne(f); err != nil {
			eventNotKept.Error(err, "fingerprint", f)
			return false
		}
	}
	return true
}

// review forgets old records, and finds those that the store lacks though some node
// was to bring them there, or has though they are over.
func (g *Guard) review() {
	now := g.options.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.table.Forget(now)
	g.known.Store(g.table.Len() > 0)
	g.holding.Store(g.table.Holding())
	if g.options.Report != nil {
		return // data nodes see to the store
	}
	for _, record := range g.table.All() {
		g.keep(record.Fingerprint, now.Add(standInTime))
	}
	for f := range g.stored {
		g.keep(f, now.Add(standInTime))
	}
}

// dueToKeep are the records that the store is to have now.
func (g *Guard) dueToKeep() []Fingerprint {
	now := g.options.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var due []Fingerprint
	for f, from := range g.unkept {
		switch {
		case g.isKept(f): // by another node
			delete(g.unkept, f)
		case !now.Before(from):
			due = append(due, f)
		}
	}
	return due
}

// keepOne brings the store to what the table has of a request.
func (g *Guard) keepOne(f Fingerprint) error {
	g.mutex.Lock()
	record, found := g.table.Get(f)
	_, stored := g.stored[f]
	g.mutex.Unlock()
	ctx, cancel := context.WithTimeout(g.running, callTimeout)
	defer cancel()
	var err error
	switch {
	case found && record.lasting():
		err = g.options.Store.Save(ctx, record)
	case stored:
		err = g.options.Store.Remove(ctx, f)
	}
	if err != nil {
		return err
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.unkept, f)
	if now, _ := g.table.Get(f); !slices.Equal(now.Ends, record.Ends) {
		g.keep(f, g.options.Now()) // it changed meanwhile
	}
	return nil
}

// wait waits for a signal, for a time at most if one is given; false if the guard is
// closed.
func (g *Guard) wait(signalled <-chan struct{}, most time.Duration) bool {
	var timeout <-chan time.Time
	if most > 0 {
		timer := time.NewTimer(most)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-g.running.Done():
		return false
	case <-signalled:
	case <-timeout:
	}
	return g.running.Err() == nil
}
