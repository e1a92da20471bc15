package fault

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// active is a fault in force, or one that waits for its beginning.
type active struct {
	Fault
	from  time.Time
	until time.Time // zero: no end
	uses  int
}

func (a *active) inForce(now time.Time) bool {
	return !now.Before(a.from) && (a.until.IsZero() || now.Before(a.until))
}

func (a *active) over(now time.Time) bool {
	return !a.until.IsZero() && !now.Before(a.until) || a.Count > 0 && a.uses >= a.Count
}

// Injector holds the faults of one stand-in. All methods may be called
// concurrently. It takes no other lock while it holds its own.
type Injector struct {
	mutex   sync.Mutex
	random  *rand.Rand
	faults  []*active
	actions map[Kind]func(Fault) error
	// cleared is closed and replaced when faults are cleared, so that those
	// who wait for the end of one look again.
	cleared chan struct{}
}

// NewInjector returns an injector without faults. The seed decides which uses
// a fault with a probability takes.
func NewInjector(seed uint64) *Injector {
	return &Injector{
		random:  rand.New(rand.NewPCG(seed, seed)),
		actions: map[Kind]func(Fault) error{},
		cleared: make(chan struct{}),
	}
}

// On registers what to do when a fault of the kind begins.
func (i *Injector) On(kind Kind, action func(Fault) error) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.actions[kind] = action
}

// Add puts a fault in force. For a kind with a registered action the action
// is run, at once or after the fault's delay.
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

// Clear ends all faults of a kind, or all faults if kind is empty.
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

// List returns the faults that are in force or will be.
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
		if !entry.over(now) {
			kept = append(kept, entry)
		}
	}
	clear(i.faults[len(kept):])
	i.faults = kept
}

// Take uses the first fault of the kind that selects the target.
func (i *Injector) Take(now time.Time, kind Kind, target Target) (Fault, bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, entry := range i.faults {
		if entry.Kind != kind || !entry.inForce(now) || entry.over(now) || !entry.selects(target) {
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
// doesn't use the fault up.
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

// until is the latest end of the faults of a kind in force, zero if none is.
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
