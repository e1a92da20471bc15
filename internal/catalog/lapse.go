package catalog

import "time"

// LapseHold is how long engines whose entries lapsed together stay in use. The
// store may be down for longer than engines need to enter themselves again; one
// that has really left refuses, or can't be reached, and is set aside.
const LapseHold = 6 * time.Second

// Lapses tells engines that left from entries that lapsed: when the store
// could not take heartbeats, many entries of a service disappear at once and
// come back with the engines' next heartbeats. It is pure.
type Lapses struct {
	present map[string]*Engine
	missing map[string]missing
}

type missing struct {
	engine Engine
	since  time.Time
}

// NewLapses returns a value that has seen no engines.
func NewLapses() *Lapses {
	return &Lapses{present: map[string]*Engine{}, missing: map[string]missing{}}
}

// Update takes the listed engines and returns those to use: the listed ones,
// and with them the missing ones of each service of which more are missing
// than listed. Engines of drained zones serve nobody, so they count on neither side:
// were two of three zones drained, the third one's could lapse together and count as
// few beside them. again says when to call next, if nothing changes before; zero
// means not at all.
func (l *Lapses) Update(listed []Engine, drained func(zone string) bool, now time.Time) (engines []Engine, again time.Time) {
	l.note(listed, now)
	here, gone := map[string]int{}, map[string]int{}
	for _, engine := range listed {
		if !engine.Leaving && !drained(engine.Zone) {
			here[engine.Service]++
		}
	}
	for _, one := range l.missing {
		if !drained(one.engine.Zone) {
			gone[one.engine.Service]++
		}
	}
	engines = make([]Engine, 0, len(listed)+len(l.missing))
	engines = append(engines, listed...)
	for _, one := range l.missing {
		if gone[one.engine.Service] <= here[one.engine.Service] {
			continue
		}
		engines = append(engines, one.engine)
		if end := one.since.Add(LapseHold); again.IsZero() || end.Before(again) {
			again = end
		}
	}
	return engines, again
}

// note compares the list with the one before, which must not have changed since. Engines
// that said they leave, and those whose address another has now, are not missing.
func (l *Lapses) note(listed []Engine, now time.Time) {
	current := make(map[string]*Engine, len(listed))
	for i := range listed {
		current[listed[i].ID] = &listed[i]
	}
	for id, engine := range l.present {
		if _, still := current[id]; !still && !engine.Leaving {
			l.missing[id] = missing{*engine, now}
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
	for id, one := range l.missing {
		_, back := current[id]
		if back || addresses[one.engine.Address] || now.Sub(one.since) >= LapseHold {
			delete(l.missing, id)
		}
	}
}
