package poison

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
)

// Guards against missed crashes where an engine's address still accepts connections for a
// moment after the connection with the request is lost.
func TestGuardCountsEngineThatRefusesConnectionsLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard, lostConnection := newRecheckGuard(t, 100*time.Millisecond)
		for _, engine := range []string{"a", "b", "c"} {
			guard.ConnectionLost(context.Background(), lostConnection(engine))
		}
		time.Sleep(time.Second)
		if !isHeld(guard, 1) {
			t.Error("a request that crashed three engines is not held back")
		}
	})
}

// Guards against crashes that a recheck records though the engine still runs or another
// engine has answered the request.
func TestGuardRecheckIgnoresBystanders(t *testing.T) {
	for name, c := range map[string]struct {
		crashDelay time.Duration
		served     bool
	}{"engines keep running": {time.Hour, false}, "answered by another engine": {100 * time.Millisecond, true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				guard, lostConnection := newRecheckGuard(t, c.crashDelay)
				for _, engine := range []string{"a", "b", "c"} {
					guard.ConnectionLost(context.Background(), lostConnection(engine))
				}
				if c.served {
					guard.Served(func() Fingerprint { return print(1) })
				}
				time.Sleep(time.Second)
				if isHeld(guard, 1) {
					t.Error("request held back")
				}
			})
		})
	}
}

// Guards against several retries after a hold before the first one's crash is known: the
// engine's address still accepts connections for a moment, and the request went to five engines
// within 250 ms.
func TestGuardHoldsRetryUntilRecheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var crashed atomic.Bool
		guard := NewGuard(Options{
			EngineCrashed: func(context.Context, catalog.Engine) bool { return crashed.Load() },
			Report:        func(context.Context, []Record) error { return nil }, Now: time.Now,
		})
		guard.Start()
		t.Cleanup(guard.Close)
		lose := func(engine string) {
			guard.ConnectionLost(context.Background(), LostConnection{Engine: catalog.Engine{ID: engine}, Fingerprint: func() Fingerprint { return print(1) }})
		}
		crashed.Store(true)
		for _, engine := range []string{"a", "b", "c"} {
			lose(engine)
		}
		for isHeld(guard, 1) {
			time.Sleep(time.Second)
		}
		crashed.Store(false)
		lose("d")
		if !isHeld(guard, 1) {
			t.Error("a request is retried although it may have crashed a further engine")
		}
		crashed.Store(true)
		time.Sleep(time.Second)
		if !isHeld(guard, 1) {
			t.Error("a request that crashed a further engine is not held back")
		}
	})
}

// A request that may not be held back is retried at once, also while a recheck is pending.
func TestGuardRetriesWithoutRecheckBelowThreshold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard, lostConnection := newRecheckGuard(t, time.Hour)
		guard.ConnectionLost(context.Background(), lostConnection("a"))
		if isHeld(guard, 1) {
			t.Error("request held back")
		}
	})
}

// newRecheckGuard returns a front node's guard whose engines count as crashed after a delay,
// and a function that returns the lost connection of request 1 to an engine.
func newRecheckGuard(t *testing.T, delay time.Duration) (*Guard, func(engine string) LostConnection) {
	crashTime := time.Now().Add(delay)
	guard := NewGuard(Options{
		EngineCrashed: func(context.Context, catalog.Engine) bool { return time.Now().After(crashTime) },
		Report:        func(context.Context, []Record) error { return nil }, Now: time.Now,
	})
	guard.Start()
	t.Cleanup(guard.Close)
	return guard, func(engine string) LostConnection {
		return LostConnection{Engine: catalog.Engine{ID: engine}, Fingerprint: func() Fingerprint { return print(1) }}
	}
}
