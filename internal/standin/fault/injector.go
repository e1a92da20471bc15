package fault

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// active is a fault that has been added, started or not.
type active struct {
	Fault
	from  time.Time
	until time.Time // zero means no end
	uses  int
}

func (a *active) inForce(now time.Time) bool {
	return !now.Before(a.from) && (a.until.IsZero() || now.Before(a.until))
}

func (a *active) expired(now time.Time) bool {
	return !a.until.IsZero() && !now.Before(a.until) || a.Count > 0 && a.uses >= a.Count
}

// Injector holds the faults of one stand-in. It is safe for concurrent use and
// takes no other lock under its mutex.
type Injector struct {
	mutex   sync.Mutex
	random  *rand.Rand
	faults  []*active
	actions map[Kind]func(Fault) error
	// cleared is closed and replaced by Clear, to wake callers of Wait.
	cleared chan struct{}
}

// NewInjector returns an injector without faults. The seed determines which
// requests a fault with a probability hits.
func NewInjector(seed uint64) *Injector {
	return &Injector{
		random:  rand.New(rand.NewPCG(seed, seed)),
		actions: map[Kind]func(Fault) error{},
		cleared: make(chan struct{}),
	}
}

// On registers the action to run when a fault of the kind starts.
func (i *Injector) On(kind Kind, action func(Fault) error) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.actions[kind] = action
}

// Add adds a fault. If its kind has a registered action, Add runs that instead,
// immediately or, without waiting for it, after the fault's delay.
func (i *Injector) Add(now time.Time, added Fault) error {
	if err := added.Validate(); err != nil {
		return err
	}
	i.mutex.Lock()
	action := i.actions[added.Kind]
	if action == nil {
		entry := &active{Fault: added, from: now.Add(time.Duration(added.After))}
		if added.Duration > 0 {
			entry.until = entry.from.Add(time.Duration(added.Duration))
		}
		i.faults = append(i.faults, entry)
	}
	i.mutex.Unlock()
	if action == nil {
		return nil
	}
	if added.After > 0 {
		time.AfterFunc(time.Duration(added.After), func() { _ = action(added) })
		return nil
	}
	return action(added)
}

// Clear removes all faults of a kind, or all faults if kind is empty.
func (i *Injector) Clear(kind Kind) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	kept := i.faults[:0]
	for _, entry := range i.faults {
		if kind != "" && entry.Kind != kind {
			kept = append(kept, entry)
		}
	}
	clear(i.faults[len(kept):])
	i.faults = kept
	close(i.cleared)
	i.cleared = make(chan struct{})
}

// List returns the faults that are in force or scheduled.
func (i *Injector) List(now time.Time) []Fault {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.prune(now)
	listed := make([]Fault, 0, len(i.faults))
	for _, entry := range i.faults {
		listed = append(listed, entry.Fault)
	}
	return listed
}

func (i *Injector) prune(now time.Time) {
	kept := i.faults[:0]
	for _, entry := range i.faults {
		if !entry.expired(now) {
			kept = append(kept, entry)
		}
	}
	clear(i.faults[len(kept):])
	i.faults = kept
}

// Take returns the first fault that selects the target, if any, and counts the use.
func (i *Injector) Take(now time.Time, kind Kind, target Target) (Fault, bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, entry := range i.faults {
		if entry.Kind != kind || !entry.inForce(now) || entry.expired(now) || !entry.selects(target) {
			continue
		}
		if entry.Probability > 0 && i.random.Float64() >= entry.Probability {
			continue
		}
		entry.uses++
		return entry.Fault, true
	}
	return Fault{}, false
}

// Wait blocks while a fault of the kind is in force, or until ctx ends. It
// doesn't count as a use.
func (i *Injector) Wait(ctx context.Context, kind Kind) error {
	for {
		until, cleared := i.until(time.Now(), kind)
		if until.IsZero() {
			return ctx.Err()
		}
		timer := time.NewTimer(time.Until(until))
		select {
		case <-timer.C:
		case <-cleared:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

// until returns the latest end of the faults of a kind in force, zero if there
// are none, and a channel that is closed by the next Clear.
func (i *Injector) until(now time.Time, kind Kind) (time.Time, <-chan struct{}) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	var latest time.Time
	for _, entry := range i.faults {
		if entry.Kind == kind && entry.inForce(now) && entry.until.After(latest) {
			latest = entry.until
		}
	}
	return latest, i.cleared
}
