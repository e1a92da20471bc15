package catalog

import "time"

// LapseHold is how long engines whose entries expired together stay in use. Those
// that really left refuse connections or are unreachable, and are ejected.
const LapseHold = 6 * time.Second

// Lapses distinguishes engines that left from expired entries: if the store
// cannot accept heartbeats, many entries of a service expire at once and return
// with the engines' next heartbeats. It does no I/O and is not safe for
// concurrent use.
type Lapses struct {
	present map[string]*Engine
	missing map[string]missingEngine
}

type missingEngine struct {
	engine Engine
	since  time.Time
}

// NewLapses returns a Lapses without engines.
func NewLapses() *Lapses {
	return &Lapses{present: map[string]*Engine{}, missing: map[string]missingEngine{}}
}

// Update returns the engines to use: the listed ones, and the missing ones of each
// service with more engines missing than listed. Engines of drained zones are not
// counted, or they could outnumber those of the remaining zones when these expire
// together. nextUpdate is when to call Update again if nothing changes before; zero
// if it need not be called.
func (l *Lapses) Update(listed []Engine, drained func(zone string) bool, now time.Time) (engines []Engine, nextUpdate time.Time) {
	l.trackMissing(listed, now)
	listedCount, missingCount := map[string]int{}, map[string]int{}
	for _, engine := range listed {
		if !engine.Leaving && !drained(engine.Zone) {
			listedCount[engine.Service]++
		}
	}
	for _, m := range l.missing {
		if !drained(m.engine.Zone) {
			missingCount[m.engine.Service]++
		}
	}
	engines = make([]Engine, 0, len(listed)+len(l.missing))
	engines = append(engines, listed...)
	for _, m := range l.missing {
		if missingCount[m.engine.Service] <= listedCount[m.engine.Service] {
			continue
		}
		engines = append(engines, m.engine)
		if end := m.since.Add(LapseHold); nextUpdate.IsZero() || end.Before(nextUpdate) {
			nextUpdate = end
		}
	}
	return engines, nextUpdate
}

// trackMissing compares the list with the previous one, which must not have been modified.
// Engines that announced to leave and those whose address is reused are not missing.
func (l *Lapses) trackMissing(listed []Engine, now time.Time) {
	current := make(map[string]*Engine, len(listed))
	for i := range listed {
		current[listed[i].ID] = &listed[i]
	}
	for id, engine := range l.present {
		if _, still := current[id]; !still && !engine.Leaving {
			l.missing[id] = missingEngine{*engine, now}
		}
	}
	l.present = current
	if len(l.missing) == 0 {
		return
	}
	addresses := make(map[string]bool, len(listed))
	for i := range listed {
		addresses[listed[i].Address] = true
	}
	for id, m := range l.missing {
		_, back := current[id]
		if back || addresses[m.engine.Address] || now.Sub(m.since) >= LapseHold {
			delete(l.missing, id)
		}
	}
}
