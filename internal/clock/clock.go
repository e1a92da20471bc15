// Package clock provides a monotonic clock that includes the time during which the
// machine was suspended, for leases, windows, deadlines and ages.
//
// The monotonic clock of time.Now stops while the machine is suspended, so that expired
// leases would still look valid and old data fresh. Now continues meanwhile, and does not
// jump when the wall clock is set.
//
// Times from Now are only comparable with each other, by Sub, Before and After. Their wall
// clock reading is off by the suspended time: use time.Now for times that other machines or
// a later run of the process read. Timers and deadlines of contexts and connections run on
// the monotonic clock and take durations, such as those from Until.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"chutelock.dev/chutelock/internal/telemetry"
)

var eventSuspended = telemetry.Define(1017, "suspended", "The machine was suspended for the given time and this process did not run; its view of other nodes is older by that time.")

const (
	// driftTolerance is the change of the wall clock against the monotonic clock that
	// triggers a check for a suspension. It exceeds the change by slewing, some 0.5 ms per
	// second, within checkInterval.
	driftTolerance = 5 * time.Millisecond
	// checkInterval is the interval of checks without such a change, as the wall clock may
	// be set back by the duration of a suspension.
	checkInterval = time.Second
	// minSuspension is the growth of the offset that counts as a suspension; it exceeds the
	// time between the readings of two clocks. A shorter suspension stays uncounted until
	// the offset has grown by this much.
	minSuspension = 2 * time.Millisecond
)

// Source returns the machine's uptime with and without the time during which it was
// suspended. It fails if the system has no such clocks.
type Source func() (boot, monotonic time.Duration, err error)

// Clock is a monotonic clock that includes suspended time. It is safe for concurrent use.
type Clock struct {
	source    Source
	start     time.Time
	suspended atomic.Int64 // nanoseconds since start
	drift     atomic.Int64 // of the wall clock against the monotonic clock since start, at the last check
	checkedAt atomic.Int64 // monotonic time since start

	mutex  sync.Mutex    // guards the fields below; only locks of telemetry are taken while it is held
	offset time.Duration // boot minus monotonic time that is counted already
	known  bool          // offset is set
}

// New returns a clock that detects suspensions by the source.
func New(source Source) *Clock {
	c := &Clock{source: source, start: time.Now()}
	c.checkSuspension()
	return c
}

// Now returns the current time.
func (c *Clock) Now() time.Time {
	now := time.Now()
	monotonic := now.Sub(c.start)
	drift := now.Round(0).Sub(c.start.Round(0)) - monotonic
	driftChange := drift - time.Duration(c.drift.Load())
	if driftChange.Abs() > driftTolerance || monotonic-time.Duration(c.checkedAt.Load()) > checkInterval {
		c.drift.Store(int64(drift))
		c.checkedAt.Store(int64(monotonic))
		c.checkSuspension()
	}
	return now.Add(time.Duration(c.suspended.Load()))
}

// checkSuspension adds the time suspended since the last check.
func (c *Clock) checkSuspension() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	boot, monotonic, err := c.source()
	if err != nil {
		return // suspended time is unknown: use the monotonic clock alone
	}
	offset := boot - monotonic
	if !c.known {
		c.offset, c.known = offset, true
		return
	}
	if suspended := offset - c.offset; suspended >= minSuspension {
		c.offset = offset
		c.suspended.Add(int64(suspended))
		eventSuspended.Info("for", suspended)
	}
}

// SimulateSuspension simulates a suspension, for tests.
func (c *Clock) SimulateSuspension(lasted time.Duration) { c.suspended.Add(int64(lasted)) }

// system is the clock of the package-level functions.
var system = New(readSystem)

func readSystem() (boot, monotonic time.Duration, err error) {
	var bootClock, monotonicClock unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &bootClock); err != nil {
		return 0, 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonicClock); err != nil {
		return 0, 0, err
	}
	return time.Duration(bootClock.Nano()), time.Duration(monotonicClock.Nano()), nil
}

// Now returns the current time of the process's clock.
func Now() time.Time { return system.Now() }

// Since returns the time elapsed since a time from Now.
func Since(at time.Time) time.Duration { return Now().Sub(at) }

// Until returns the time until a time from Now.
func Until(at time.Time) time.Duration { return at.Sub(Now()) }

// SimulateSuspension simulates a suspension on the process's clock, for tests.
func SimulateSuspension(lasted time.Duration) { system.SimulateSuspension(lasted) }

// Uptime returns the time since the machine started, which later runs of a process can compare. It
// is 0 if the system doesn't tell.
func Uptime() time.Duration {
	boot, _, err := readSystem()
	if err != nil {
		return 0
	}
	return boot
}
