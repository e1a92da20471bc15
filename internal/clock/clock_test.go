package clock

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"
)

// fakeSource simulates a machine that was suspended.
type fakeSource struct{ suspended atomic.Int64 }

func (s *fakeSource) read() (boot, monotonic time.Duration, err error) {
	return time.Hour + time.Duration(s.suspended.Load()), time.Hour, nil
}

func TestNowIncludesSuspension(t *testing.T) {
	var machine fakeSource
	c := New(machine.read)
	before := c.Now()
	machine.suspended.Store(int64(10 * time.Second))
	c.checkedAt.Store(int64(-2 * checkInterval)) // make the next check due
	if passed := c.Now().Sub(before); passed < 10*time.Second {
		t.Errorf("%v passed", passed)
	}
	if passed := c.Now().Sub(before); passed > 11*time.Second {
		t.Errorf("%v passed: suspension counted more than once", passed)
	}
}

// Guards against noticing a suspension only at the next periodic check.
func TestWallClockJumpTriggersCheck(t *testing.T) {
	var machine fakeSource
	c := New(machine.read)
	before := c.Now()
	machine.suspended.Store(int64(3 * time.Second))
	c.drift.Store(int64(-3 * time.Second)) // simulate a jump of the wall clock by 3 s
	if passed := c.Now().Sub(before); passed < 3*time.Second {
		t.Errorf("%v passed", passed)
	}
}

func TestWallClockChangeIsNotSuspension(t *testing.T) {
	var machine fakeSource
	c := New(machine.read)
	before := c.Now()
	for _, change := range []time.Duration{2 * time.Second, -2 * time.Second} {
		c.drift.Store(int64(change))
		if passed := c.Now().Sub(before); passed < 0 || passed > time.Second {
			t.Errorf("set by %v: %v passed", change, passed)
		}
	}
}

func TestSourceErrorFallsBackToMonotonicClock(t *testing.T) {
	c := New(func() (boot, monotonic time.Duration, err error) { return 0, 0, errors.New("none") })
	before := c.Now()
	c.drift.Store(int64(time.Hour))
	if passed := c.Now().Sub(before); passed < 0 || passed > time.Second {
		t.Errorf("%v passed", passed)
	}
}

func TestReadSystem(t *testing.T) {
	boot, monotonic, err := readSystem()
	if err != nil || monotonic <= 0 || boot < monotonic-time.Second {
		t.Errorf("up for %v, %v without suspensions, %v", boot, monotonic, err)
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
