package command

import (
	"sort"
	"time"

	"chutelock.dev/chutelock/internal/jobs/machine"
)

// RenewInterval < StartValidity < LeaseTTL: a dispatcher renews before it must
// stop starting items, and stops before the leader expires its leases.
const (
	// LeaseTTL is the time without renewal after which a shard's leader expires
	// a lease.
	LeaseTTL = 6 * time.Second
	// StartValidity is how long a dispatcher may start items after it sent the
	// last successful renewal. A partitioned dispatcher therefore stops starting
	// items of a job within this time of its cancellation.
	StartValidity = 2 * time.Second
	// RenewInterval is the time between renewals.
	RenewInterval = 600 * time.Millisecond
)

// leaseKey identifies the leases granted to a dispatcher by one log entry.
type leaseKey struct {
	dispatcher string
	epoch      uint64
}

// leaseTracker tracks renewals at a shard's leader. It is not persisted: a new
// leader gives each lease a full LeaseTTL from when it first sees it. Keeper.mutex
// guards it.
type leaseTracker struct {
	term        uint64
	lastRenewal map[leaseKey]time.Time
}

// renewed records a renewal.
func (t *leaseTracker) renewed(now time.Time, dispatcher string, epochs []uint64) {
	if t.lastRenewal == nil {
		t.lastRenewal = map[leaseKey]time.Time{}
	}
	for _, epoch := range epochs {
		t.lastRenewal[leaseKey{dispatcher, epoch}] = now
	}
}

// expired returns the commands that expire those of the held leases that were
// not renewed within LeaseTTL. A new term resets the recorded renewals.
func (t *leaseTracker) expired(now time.Time, term uint64, held []machine.HeldLease) []machine.ExpireLeases {
	if t.term != term {
		t.term = term
		t.lastRenewal = nil
	}
	renewals := make(map[leaseKey]time.Time, len(held))
	unrenewed := map[string][]uint64{}
	for _, lease := range held {
		key := leaseKey{lease.Dispatcher, lease.Epoch}
		if _, seen := renewals[key]; seen {
			continue
		}
		last, known := t.lastRenewal[key]
		if !known {
			last = now
		}
		renewals[key] = last
		if now.Sub(last) >= LeaseTTL {
			unrenewed[lease.Dispatcher] = append(unrenewed[lease.Dispatcher], lease.Epoch)
		}
	}
	t.lastRenewal = renewals
	return expireCommands(unrenewed)
}

func expireCommands(unrenewed map[string][]uint64) []machine.ExpireLeases {
	commands := make([]machine.ExpireLeases, 0, len(unrenewed))
	for dispatcher, epochs := range unrenewed {
		commands = append(commands, machine.ExpireLeases{Dispatcher: dispatcher, Epochs: epochs})
	}
	sort.Slice(commands, func(a, b int) bool { return commands[a].Dispatcher < commands[b].Dispatcher })
	return commands
}
