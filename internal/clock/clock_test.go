package clock

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"
)

// suspension is a source whose machine was suspended for a time.
type suspension struct{ lasted atomic.Int64 }

func (s *suspension) read() (boot, steady time.Duration, err error) {
	return time.Hour + time.Duration(s.lasted.Load()), time.Hour, nil
}

func TestNowGoesOnWhileTheMachineIsSuspended(t *testing.T) {
	var machine suspension
	c := New(machine.read)
	before := c.Now()
	machine.lasted.Store(int64(10 * time.Second))
	c.reviewed.Store(int64(-2 * reviewInterval)) // as if the next look were due
	if passed := c.Now().Sub(before); passed < 10*time.Second {
		t.Errorf("%v passed", passed)
	}
	if passed := c.Now().Sub(before); passed > 11*time.Second {
		t.Errorf("%v passed: it counts more than once", passed)
	}
}

// The time of day jumps by as much at once: that has the clock look.
func TestAJumpOfTheTimeOfDayIsLookedInto(t *testing.T) {
	var machine suspension
	c := New(machine.read)
	before := c.Now()
	machine.lasted.Store(int64(3 * time.Second))
	c.drift.Store(int64(-3 * time.Second)) // as if it had been three seconds less
	if passed := c.Now().Sub(before); passed < 3*time.Second {
		t.Errorf("%v passed", passed)
	}
}

func TestATimeOfDayThatIsSetIsNoSuspension(t *testing.T) {
	var machine suspension
	c := New(machine.read)
	before := c.Now()
	for _, set := range []time.Duration{2 * time.Second, -2 * time.Second} {
		c.drift.Store(int64(set))
		if passed := c.Now().Sub(before); passed < 0 || passed > time.Second {
			t.Errorf("set by %v: %v passed", set, passed)
		}
	}
}

func TestASystemWithoutSuchClocksKeepsTheSteadyOne(t *testing.T) {
	c := New(func() (boot, steady time.Duration, err error) { return 0, 0, errors.New("none") })
	before := c.Now()
	c.drift.Store(int64(time.Hour))
	if passed := c.Now().Sub(before); passed < 0 || passed > time.Second {
		t.Errorf("%v passed", passed)
	}
}

func TestTheSystemTellsItsClocks(t *testing.T) {
	boot, steady, err := readSystem()
	if err != nil || steady <= 0 || boot < steady-time.Second {
		t.Errorf("up for %v, %v without suspensions, %v", boot, steady, err)
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
