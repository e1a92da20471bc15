package batchwork

import (
	"time"

	"chutelock.dev/chutelock/internal/transport"
)

const (
	// executorSilence is how long an executor with runs may say nothing before it
	// counts as lost: four times the interval at which it says that it is alive.
	executorSilence = 4 * aliveInterval
	// executorAside is how long a data node that was lost or refused gets no runs.
	// An estimate: a restart takes one to three seconds.
	executorAside = 3 * time.Second
)

// executors is what a leader knows of the data nodes that run items for it. It is
// not safe for concurrent use.
type executors struct {
	// localRuns is the number of runs that the leader keeps to itself.
	localRuns int

	runs  map[transport.Address]int
	heard map[transport.Address]time.Time
	aside map[transport.Address]time.Time // until when
}

func newExecutors(localRuns int) *executors {
	return &executors{
		localRuns: localRuns,

		runs: map[transport.Address]int{}, heard: map[transport.Address]time.Time{}, aside: map[transport.Address]time.Time{},
	}
}

// pick returns the first candidate that may run an item; false if the leader is
// to run it itself.
func (x *executors) pick(candidates []transport.Address, local int, now time.Time) (transport.Address, bool) {
	if !x.wanted(local) {
		return "", false
	}
	for _, address := range candidates {
		if x.runs[address] < executorMost && !now.Before(x.aside[address]) {
			return address, true
		}
	}
	return "", false
}

// wanted says whether a leader with so many runs of its own gives others away.
func (x *executors) wanted(local int) bool { return local >= x.localRuns }

// begin counts a run at an executor; its silence counts from then on.
func (x *executors) begin(address transport.Address, now time.Time) {
	if x.runs[address] == 0 {
		x.heard[address] = now
	}
	x.runs[address]++
}

func (x *executors) end(address transport.Address) {
	x.runs[address]--
	if x.runs[address] <= 0 {
		delete(x.runs, address)
		delete(x.heard, address)
	}
}

func (x *executors) hear(address transport.Address, now time.Time) {
	if x.runs[address] > 0 {
		x.heard[address] = now
	}
}

// fail sets an executor aside.
func (x *executors) fail(address transport.Address, now time.Time) {
	for other, until := range x.aside {
		if now.After(until) {
			delete(x.aside, other)
		}
	}
	x.aside[address] = now.Add(executorAside)
}

// silent returns the executors that count as lost from now on.
func (x *executors) silent(now time.Time) []transport.Address {
	var lost []transport.Address
	for address, at := range x.heard {
		if now.Sub(at) > executorSilence && now.After(x.aside[address]) {
			lost = append(lost, address)
			x.fail(address, now)
		}
	}
	return lost
}
