package batchwork

import (
	"time"

	"chutelock.dev/chutelock/internal/transport"
)

const (
	// executorTimeout is how long an executor with runs may be silent before it counts as
	// lost.
	executorTimeout = 4 * heartbeatInterval
	// executorBackoff is how long a data node gets no runs after it was lost or refused
	// one. A restart takes one to three seconds.
	executorBackoff = 3 * time.Second
)

// executors tracks the data nodes that run items for a leader. It is not safe for concurrent
// use.
type executors struct {
	// localRuns is the number of runs whose streams the leader reads itself.
	localRuns int

	runs         map[transport.Address]int
	lastHeard    map[transport.Address]time.Time
	backoffUntil map[transport.Address]time.Time
}

func newExecutors(localRuns int) *executors {
	return &executors{
		localRuns: localRuns,

		runs: map[transport.Address]int{}, lastHeard: map[transport.Address]time.Time{}, backoffUntil: map[transport.Address]time.Time{},
	}
}

// pick returns the first candidate that may run an item; false if the leader is to run it
// itself.
func (x *executors) pick(candidates []transport.Address, local int, now time.Time) (transport.Address, bool) {
	if !x.delegates(local) {
		return "", false
	}
	for _, address := range candidates {
		if x.runs[address] < maxExecutorRuns && !now.Before(x.backoffUntil[address]) {
			return address, true
		}
	}
	return "", false
}

// delegates reports whether a leader with that many local runs delegates further ones.
func (x *executors) delegates(local int) bool { return local >= x.localRuns }

// begin counts a run at an executor; the first one starts its timeout.
func (x *executors) begin(address transport.Address, now time.Time) {
	if x.runs[address] == 0 {
		x.lastHeard[address] = now
	}
	x.runs[address]++
}

func (x *executors) end(address transport.Address) {
	x.runs[address]--
	if x.runs[address] <= 0 {
		delete(x.runs, address)
		delete(x.lastHeard, address)
	}
}

func (x *executors) heartbeat(address transport.Address, now time.Time) {
	if x.runs[address] > 0 {
		x.lastHeard[address] = now
	}
}

// backOff stops new runs at an executor for executorBackoff.
func (x *executors) backOff(address transport.Address, now time.Time) {
	for other, until := range x.backoffUntil {
		if now.After(until) {
			delete(x.backoffUntil, other)
		}
	}
	x.backoffUntil[address] = now.Add(executorBackoff)
}

// expireSilent returns the executors that have timed out, and backs off from them.
func (x *executors) expireSilent(now time.Time) []transport.Address {
	var lost []transport.Address
	for address, at := range x.lastHeard {
		if now.Sub(at) > executorTimeout && now.After(x.backoffUntil[address]) {
			lost = append(lost, address)
			x.backOff(address, now)
		}
	}
	return lost
}
