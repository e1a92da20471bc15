package objects

import (
	"sort"
	"time"
)

// Machine is an entry of the machine list.
type Machine struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Role    string `json:"role"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// machineChange is a change that the list shows later.
type machineChange struct {
	at      time.Time
	machine Machine
	removed bool
}

// Machines is the list of machines, which shows each change only after a lag.
type Machines struct {
	present map[string]registration
	shown   map[string]Machine
	pending []machineChange // by time
}

// registration is a machine as it is, without lag.
type registration struct {
	machine Machine
	// expires is when the machine is taken for gone unless it registers again;
	// zero for never.
	expires time.Time
}

// NewMachines returns an empty list.
func NewMachines() *Machines {
	return &Machines{present: map[string]registration{}, shown: map[string]Machine{}}
}

// Set adds, changes or renews a machine. It is gone after ttl unless it is set
// again; 0 keeps it.
func (m *Machines) Set(now time.Time, machine Machine, ttl time.Duration) {
	m.expire(now)
	known, found := m.present[machine.Name]
	renewed := registration{machine: machine}
	if ttl > 0 {
		renewed.expires = now.Add(ttl)
	}
	m.present[machine.Name] = renewed
	if !found || known.machine != machine {
		m.pending = append(m.pending, machineChange{at: now, machine: machine})
	}
}

// Remove takes a machine out.
func (m *Machines) Remove(now time.Time, name string) {
	m.expire(now)
	m.remove(now, name)
}

func (m *Machines) remove(now time.Time, name string) {
	if _, found := m.present[name]; !found {
		return
	}
	delete(m.present, name)
	m.pending = append(m.pending, machineChange{at: now, machine: Machine{Name: name}, removed: true})
}

// expire removes the machines that did not register again in time.
func (m *Machines) expire(now time.Time) {
	for name, known := range m.present {
		if !known.expires.IsZero() && !now.Before(known.expires) {
			m.remove(now, name)
		}
	}
}

// List returns the machines as they were a lag ago, by name.
func (m *Machines) List(now time.Time, lag time.Duration) []Machine {
	m.expire(now)
	applied := 0
	for applied < len(m.pending) && !m.pending[applied].at.After(now.Add(-lag)) {
		m.apply(m.pending[applied])
		applied++
	}
	m.pending = append(m.pending[:0], m.pending[applied:]...)
	listed := make([]Machine, 0, len(m.shown))
	for _, machine := range m.shown {
		listed = append(listed, machine)
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i].Name < listed[j].Name })
	return listed
}

func (m *Machines) apply(change machineChange) {
	if change.removed {
		delete(m.shown, change.machine.Name)
		return
	}
	m.shown[change.machine.Name] = change.machine
}
