package poison

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
)

// A request ends three engines within 54 ms, and each takes connections at its address for a
// moment longer than the connection on which it had the request. The request reached six
// engines more 4.9 s later.
//
// Why: an engine counted as ended only if its address refused in the very moment the connection
// broke. Evidence, in the log of a front node beside a load of 27: "attempt-failed" with
// "unexpected EOF" at three engines at 17.361, 17.395 and 17.414 and no
// "engine-ended-under-request" for them; 17.854: "connection refused" at the same addresses.
func TestAnEngineThatRefusesAMomentLaterCountsAsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard, broken := lateGuard(t, 100*time.Millisecond)
		for _, engine := range []string{"a", "b", "c"} {
			guard.Broke(context.Background(), broken(engine))
		}
		time.Sleep(time.Second)
		if !holds(guard, 1) {
			t.Error("a request that ended three engines is not held back")
		}
	})
}

// Connections that break while their engines stay up count nothing, and neither does a
// request that another engine answers: it stood by.
func TestASecondLookCountsNoBystanders(t *testing.T) {
	for name, c := range map[string]struct {
		after  time.Duration
		served bool
	}{"engines stay up": {time.Hour, false}, "answered elsewhere": {100 * time.Millisecond, true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				guard, broken := lateGuard(t, c.after)
				for _, engine := range []string{"a", "b", "c"} {
					guard.Broke(context.Background(), broken(engine))
				}
				if c.served {
					guard.Served(func() Fingerprint { return print(1) })
				}
				time.Sleep(time.Second)
				if holds(guard, 1) {
					t.Error("held back")
				}
			})
		})
	}
}

// lateGuard is a front node's guard before engines that refuse connections some time from
// now on, and what it is told of request 1.
func lateGuard(t *testing.T, after time.Duration) (*Guard, func(engine string) Break) {
	end := time.Now().Add(after)
	guard := NewGuard(Options{
		Ended:  func(context.Context, catalog.Engine) bool { return time.Now().After(end) },
		Report: func(context.Context, []Record) error { return nil }, Now: time.Now,
	})
	guard.Start()
	t.Cleanup(guard.Close)
	return guard, func(engine string) Break {
		return Break{Engine: catalog.Engine{ID: engine}, Fingerprint: func() Fingerprint { return print(1) }}
	}
}
