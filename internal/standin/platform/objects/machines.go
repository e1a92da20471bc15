package objects

import (
	"sort"
	"time"
)

// Machine is an entry in the machine list.
type Machine struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Role    string `json:"role"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// machineChange is a change not yet visible in the list.
type machineChange struct {
	at      time.Time
	machine Machine
	removed bool
}

// Machines is a machine list in which changes become visible after a lag.
type Machines struct {
	registered map[string]registration
	visible    map[string]Machine
	pending    []machineChange // in order of time
}

// registration is the current state of a machine, without lag.
type registration struct {
	machine Machine
	// expires is when the machine is removed unless it is set again; zero for never.
	expires time.Time
}

// NewMachines returns an empty list.
func NewMachines() *Machines {
	return &Machines{registered: map[string]registration{}, visible: map[string]Machine{}}
}

// Set adds, changes or renews a machine. The machine is removed after ttl unless it
// is set again; with a ttl of 0 it does not expire.
func (m *Machines) Set(now time.Time, machine Machine, ttl time.Duration) {
	m.expire(now)
	previous, found := m.registered[machine.Name]
	renewed := registration{machine: machine}
	if ttl > 0 {
		renewed.expires = now.Add(ttl)
	}
	m.registered[machine.Name] = renewed
	if !found || previous.machine != machine {
		m.pending = append(m.pending, machineChange{at: now, machine: machine})
	}
}

// Remove removes a machine, if it exists.
func (m *Machines) Remove(now time.Time, name string) {
	m.expire(now)
	m.remove(now, name)
}

func (m *Machines) remove(now time.Time, name string) {
	if _, found := m.registered[name]; !found {
		return
	}
	delete(m.registered, name)
	m.pending = append(m.pending, machineChange{at: now, machine: Machine{Name: name}, removed: true})
}

// expire removes the machines whose registration has expired.
func (m *Machines) expire(now time.Time) {
	for name, known := range m.registered {
		if !known.expires.IsZero() && !now.Before(known.expires) {
			m.remove(now, name)
		}
	}
}

// List returns the machines as of now minus lag, ordered by name.
func (m *Machines) List(now time.Time, lag time.Duration) []Machine {
	m.expire(now)
	applied := 0
	for applied < len(m.pending) && !m.pending[applied].at.After(now.Add(-lag)) {
		m.apply(m.pending[applied])
		applied++
	}
	m.pending = append(m.pending[:0], m.pending[applied:]...)
	listed := make([]Machine, 0, len(m.visible))
	for _, machine := range m.visible {
		listed = append(listed, machine)
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i].Name < listed[j].Name })
	return listed
}

func (m *Machines) apply(change machineChange) {
	if change.removed {
		delete(m.visible, change.machine.Name)
		return
	}
	m.visible[change.machine.Name] = change.machine
}
