package objects

import "time"

// Lease is a lease that expires a TTL after its last renewal. Its epoch increases
// when it is acquired after a release or expiry.
type Lease struct {
	Name    string        `json:"name"`
	Holder  string        `json:"holder"`
	Epoch   uint64        `json:"epoch"`
	TTL     time.Duration `json:"ttl"`
	Renewed time.Time     `json:"renewed"`
}

func (l Lease) expired(now time.Time) bool {
	return l.Holder == "" || now.Sub(l.Renewed) >= l.TTL
}

// Leases grants leases. A released or expired lease keeps its epoch.
type Leases struct{ byName map[string]Lease }

// NewLeases returns a Leases with the given initial state.
func NewLeases(state []Lease) *Leases {
	leases := &Leases{byName: map[string]Lease{}}
	for _, lease := range state {
		leases.byName[lease.Name] = lease
	}
	return leases
}

// Acquire acquires or renews a lease. If another holder has it, Acquire returns that
// lease and ErrConflict.
func (l *Leases) Acquire(now time.Time, name, holder string, ttl time.Duration) (Lease, error) {
	lease := l.byName[name]
	if lease.expired(now) {
		lease.Epoch++
	} else if lease.Holder != holder {
		return lease, ErrConflict
	}
	lease.Name = name
	lease.Holder = holder
	lease.TTL = ttl
	lease.Renewed = now
	l.byName[name] = lease
	return lease, nil
}

// Release releases a lease. It returns ErrConflict if the holder or the epoch differs.
func (l *Leases) Release(name, holder string, epoch uint64) (Lease, error) {
	lease, found := l.byName[name]
	if !found {
		return Lease{}, ErrNotFound
	}
	if lease.Holder != holder || lease.Epoch != epoch {
		return lease, ErrConflict
	}
	lease.Holder = ""
	l.byName[name] = lease
	return lease, nil
}

// Get returns a lease, which may have expired.
func (l *Leases) Get(name string) (Lease, error) {
	lease, found := l.byName[name]
	if !found {
		return Lease{}, ErrNotFound
	}
	return lease, nil
}

// All returns all leases in unspecified order.
func (l *Leases) All() []Lease {
	all := make([]Lease, 0, len(l.byName))
	for _, lease := range l.byName {
		all = append(all, lease)
	}
	return all
}
