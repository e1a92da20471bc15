package catalog

import "time"

// ExpiryHold is how long after the store's return the engines whose entries expired in its
// absence stay in use: those that live are listed again by then. Those that left
// refuse connections or are unreachable, and are ejected.
const ExpiryHold = 3 * time.Second

// ExpiryTracker distinguishes engines that left from expired entries: if the store
// cannot accept heartbeats, entries expire and return with the engines' next heartbeats. If the
// store has been there, an engine whose entry is removed has left, however many do at a time. It
// does no I/O and is not safe for concurrent use.
type ExpiryTracker struct {
	present map[string]*Engine
	missing map[string]Engine
}

// NewExpiryTracker returns an ExpiryTracker without engines.
func NewExpiryTracker() *ExpiryTracker {
	return &ExpiryTracker{present: map[string]*Engine{}, missing: map[string]Engine{}}
}

// Update returns the engines to use: the listed ones, and until ExpiryHold after the store's
// last return from an outage also those that have gone missing since. returned is zero if
// there was no outage. nextUpdate is when to call Update again if nothing changes before; zero
// if it need not be called.
func (t *ExpiryTracker) Update(listed []Engine, returned, now time.Time) (engines []Engine, nextUpdate time.Time) {
	holdEnd := returned.Add(ExpiryHold)
	t.trackMissing(listed, now.Before(holdEnd))
	engines = make([]Engine, 0, len(listed)+len(t.missing))
	engines = append(engines, listed...)
	for _, engine := range t.missing {
		engines = append(engines, engine)
	}
	if len(t.missing) > 0 {
		nextUpdate = holdEnd
	}
	return engines, nextUpdate
}

// trackMissing compares the list with the previous one, which must not have been modified. holds
// says whether engines may be missing because their entries expired. Engines that announced to
// leave and those whose address is reused are not missing.
func (t *ExpiryTracker) trackMissing(listed []Engine, holds bool) {
	current := make(map[string]*Engine, len(listed))
	for i := range listed {
		current[listed[i].ID] = &listed[i]
	}
	for id, engine := range t.present {
		if _, still := current[id]; !still && !engine.Leaving {
			t.missing[id] = *engine
		}
	}
	t.present = current
	if !holds {
		clear(t.missing)
	}
	if len(t.missing) == 0 {
		return
	}
	addresses := make(map[string]bool, len(listed))
	for i := range listed {
		addresses[listed[i].Address] = true
	}
	for id, engine := range t.missing {
		if _, back := current[id]; back || addresses[engine.Address] {
			delete(t.missing, id)
		}
	}
}
