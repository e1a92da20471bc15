package command

import (
	"sort"
	"time"

	"chutelock.dev/chutelock/internal/jobs/machine"
)

const (
	// LeaseTTL is how long a shard's leader waits for a renewal before it ends
	// a lease.
	LeaseTTL = 6 * time.Second
	// StartValidity is how long a dispatcher may start items after it sent the
	// last renewal that was answered. A dispatcher that is cut off therefore
	// stops starting the items of a job within this time of its cancellation.
	StartValidity = 2 * time.Second
	// RenewInterval is the time between renewals.
	RenewInterval = 600 * time.Millisecond
)

// leaseKey names the leases that one dispatcher was given by one entry.
type leaseKey struct {
	dispatcher string
	epoch      uint64
}

// keeperState decides at a shard's leader which leases are no longer renewed.
// It is volatile: a new leader knows no renewal, and gives each lease a whole
// LeaseTTL from when it first sees it. Time comes in as an argument.
type keeperState struct {
	term  uint64
	heard map[leaseKey]time.Time
}

// renewed notes a renewal.
func (k *keeperState) renewed(now time.Time, dispatcher string, epochs []uint64) {
	if k.heard == nil {
		k.heard = map[leaseKey]time.Time{}
	}
	for _, epoch := range epochs {
		k.heard[leaseKey{dispatcher, epoch}] = now
	}
}

// expired returns the leases to end, of all that are held in term.
func (k *keeperState) expired(now time.Time, term uint64, held []machine.HeldLease) []machine.ExpireLeases {
	if k.term != term {
		k.term = term
		k.heard = nil
	}
	remembered := make(map[leaseKey]time.Time, len(held))
	silent := map[string][]uint64{}
	for _, lease := range held {
		key := leaseKey{lease.Dispatcher, lease.Epoch}
		if _, seen := remembered[key]; seen {
			continue
		}
		last, known := k.heard[key]
		if !known {
			last = now
		}
		remembered[key] = last
		if now.Sub(last) >= LeaseTTL {
			silent[lease.Dispatcher] = append(silent[lease.Dispatcher], lease.Epoch)
		}
	}
	k.heard = remembered
	return expiries(silent)
}

func expiries(silent map[string][]uint64) []machine.ExpireLeases {
	ended := make([]machine.ExpireLeases, 0, len(silent))
	for dispatcher, epochs := range silent {
		ended = append(ended, machine.ExpireLeases{Dispatcher: dispatcher, Epochs: epochs})
	}
	sort.Slice(ended, func(a, b int) bool { return ended[a].Dispatcher < ended[b].Dispatcher })
	return ended
}
