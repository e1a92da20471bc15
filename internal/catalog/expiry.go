package catalog

import "time"

// ExpiryHold is how long engines whose entries expired together stay in use. Those
// that really left refuse connections or are unreachable, and are ejected.
const ExpiryHold = 6 * time.Second

// ExpiryTracker distinguishes engines that left from expired entries: if the store
// cannot accept heartbeats, many entries of a service expire at once and return
// with the engines' next heartbeats. It does no I/O and is not safe for
// concurrent use.
type ExpiryTracker struct {
	present map[string]*Engine
	missing map[string]missingEngine
}

type missingEngine struct {
	engine Engine
	since  time.Time
}

// NewExpiryTracker returns an ExpiryTracker without engines.
func NewExpiryTracker() *ExpiryTracker {
	return &ExpiryTracker{present: map[string]*Engine{}, missing: map[string]missingEngine{}}
}

// Update returns the engines to use: the listed ones, and the missing ones of each
// service with more engines missing than listed. Engines of drained zones are not
// counted, or they could outnumber those of the remaining zones when these expire
// together. nextUpdate is when to call Update again if nothing changes before; zero
// if it need not be called.
func (t *ExpiryTracker) Update(listed []Engine, drained func(zone string) bool, now time.Time) (engines []Engine, nextUpdate time.Time) {
	t.trackMissing(listed, now)
	listedCount, missingCount := map[string]int{}, map[string]int{}
	for _, engine := range listed {
		if !engine.Leaving && !drained(engine.Zone) {
			listedCount[engine.Service]++
		}
	}
	for _, m := range t.missing {
		if !drained(m.engine.Zone) {
			missingCount[m.engine.Service]++
		}
	}
	engines = make([]Engine, 0, len(listed)+len(t.missing))
	engines = append(engines, listed...)
	for _, m := range t.missing {
		if missingCount[m.engine.Service] <= listedCount[m.engine.Service] {
			continue
		}
		engines = append(engines, m.engine)
		if end := m.since.Add(ExpiryHold); nextUpdate.IsZero() || end.Before(nextUpdate) {
			nextUpdate = end
		}
	}
	return engines, nextUpdate
}

// trackMissing compares the list with the previous one, which must not have been modified.
// Engines that announced to leave and those whose address is reused are not missing.
func (t *ExpiryTracker) trackMissing(listed []Engine, now time.Time) {
	current := make(map[string]*Engine, len(listed))
	for i := range listed {
		current[listed[i].ID] = &listed[i]
	}
	for id, engine := range t.present {
		if _, still := current[id]; !still && !engine.Leaving {
			t.missing[id] = missingEngine{*engine, now}
		}
	}
	t.present = current
	if len(t.missing) == 0 {
		return
	}
	addresses := make(map[string]bool, len(listed))
	for i := range listed {
		addresses[listed[i].Address] = true
	}
	for id, m := range t.missing {
		_, back := current[id]
		if back || addresses[m.engine.Address] || now.Sub(m.since) >= ExpiryHold {
			delete(t.missing, id)
		}
	}
}
