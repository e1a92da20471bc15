// Package clock tells the time by which leases, windows, deadlines and ages are kept.
//
// The steady clock that time.Now carries stands still while a machine is suspended, so
// that by it a fact that is ten seconds old looks as new as it was before, and a lease
// that is over still holds. Now goes on meanwhile, as a machine that froze would see it,
// and doesn't jump when the time of day is set.
//
// Times of Now are compared with others of Now only, by Sub, Before and After. Their
// date is wrong by the time that the machine was suspended: what other machines or a
// later start of the process read is taken from time.Now. Timers and deadlines of
// contexts and connections run by the steady clock: they get durations, as from Until.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"chutelock.dev/chutelock/internal/telemetry"
)

var eventSuspended = telemetry.Define(1017, "suspended", "The machine was suspended for the time given, in which nothing of this process ran; what is known of others is older by it.")

const (
	// tolerance is how far the time of day may move against the steady clock between
	// two looks before it is asked whether the machine was suspended. It is set by
	// slewing, by some 0.5 ms a second, and looks are reviewInterval apart at most.
	tolerance = 5 * time.Millisecond
	// reviewInterval is how often it is asked anyway: the time of day may be set back
	// by as much as a suspension lasted.
	reviewInterval = time.Second
	// leastSuspension is less than any suspension, and more than what passes between
	// the readings of two clocks.
	leastSuspension = 2 * time.Millisecond
)

// Source reads how long the machine has been up: with the time in which it was suspended,
// and without. It fails where the system has no such clocks.
type Source func() (boot, steady time.Duration, err error)

// Clock counts the time that the machine was suspended.
type Clock struct {
	source    Source
	start     time.Time
	suspended atomic.Int64 // since start
	drift     atomic.Int64 // of the time of day against the steady clock since start, when last looked at
	reviewed  atomic.Int64 // steady time since start

	mutex  sync.Mutex // guards what is below; a leaf
	offset time.Duration
	known  bool // offset is that of an earlier reading
}

// New returns a clock with a source of its own.
func New(source Source) *Clock {
	c := &Clock{source: source, start: time.Now()}
	c.review()
	return c
}

// Now is the present time.
func (c *Clock) Now() time.Time {
	now := time.Now()
	steady := now.Sub(c.start)
	drift := now.Round(0).Sub(c.start.Round(0)) - steady
	moved := drift - time.Duration(c.drift.Load())
	if moved.Abs() > tolerance || steady-time.Duration(c.reviewed.Load()) > reviewInterval {
		c.drift.Store(int64(drift))
		c.reviewed.Store(int64(steady))
		c.review()
	}
	return now.Add(time.Duration(c.suspended.Load()))
}

// review asks how long the machine has been suspended.
func (c *Clock) review() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	boot, steady, err := c.source()
	if err != nil {
		return // the system has no suspension, or doesn't tell: the steady clock serves
	}
	offset := boot - steady
	if !c.known {
		c.offset, c.known = offset, true
		return
	}
	if missed := offset - c.offset; missed >= leastSuspension {
		c.offset = offset
		c.suspended.Add(int64(missed))
		eventSuspended.Info("for", missed)
	}
}

// Skip counts a suspension that there wasn't, as tests play one.
func (c *Clock) Skip(lasted time.Duration) { c.suspended.Add(int64(lasted)) }

// system is the process's clock.
var system = New(readSystem)

func readSystem() (boot, steady time.Duration, err error) {
	var withSuspension, without unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &withSuspension); err != nil {
		return 0, 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &without); err != nil {
		return 0, 0, err
	}
	return time.Duration(withSuspension.Nano()), time.Duration(without.Nano()), nil
}

// Now is the present time by the process's clock.
func Now() time.Time { return system.Now() }

// Since is the time that has passed since a time of Now.
func Since(at time.Time) time.Duration { return Now().Sub(at) }

// Until is the time that passes until a time of Now.
func Until(at time.Time) time.Duration { return at.Sub(Now()) }

// Skip has the process's clock count a suspension that there wasn't, as tests play one.
func Skip(lasted time.Duration) { system.Skip(lasted) }
